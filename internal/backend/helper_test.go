package backend

import (
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/metrics"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// fixture holds a Pool with one endpoint, the listener on which the test acts as the backend, and the results that the Pool
// has reported.
type fixture struct {
	t        *testing.T
	pool     *Pool
	loop     *eventloop.Loop
	blocks   *buffer.Pool
	counters metrics.Counters
	backend  net.Listener
	results  []router.Result // results of attempts
	values   []string        // values in the answers to attempts
	checks   []router.Result // results of health checks
	reports  []string        // load reports from health checks

	sendsForbidden bool // no attempt may be sent any more
}

// AttemptEnded implements ResultHandler.
func (f *fixture) AttemptEnded(_ *Attempt, result router.Result, _ float64, answer *pg.Answer) {
	f.results = append(f.results, result)
	if answer != nil {
		f.values = append(f.values, answer.Value())
		answer.Row.Free()
	}
}

// MaySend implements ResultHandler.
func (f *fixture) MaySend(*Attempt) bool { return !f.sendsForbidden }

// HealthChecked implements ResultHandler.
func (f *fixture) HealthChecked(_ int, result router.Result, _ float64, report string) {
	f.checks = append(f.checks, result)
	f.reports = append(f.reports, report)
}

// listen returns a listener with small receive buffers. They keep a long statement from being written completely while the
// backend does not read.
func listen(t *testing.T) net.Listener {
	listenConfig := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}}
	listener, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// newFixture returns a fixture whose endpoint 0 has the address of the fixture's listener. Its buffers are never scarce.
func newFixture(t *testing.T) *fixture { return newFixtureWith(t, buffer.NewPool(4096, 1<<20)) }

// newFixtureWith returns a fixture that uses the given buffers.
func newFixtureWith(t *testing.T, blocks *buffer.Pool) *fixture {
	f := &fixture{t: t, blocks: blocks, backend: listen(t)}
	var err error
	f.loop, err = eventloop.New(16)
	require.NoError(t, err)
	limits := &config.Limits{
		Sizes: config.Sizes{
			ReadPerTurn: 1 << 16, BackendMessage: 1 << 17, InspectedMessage: 1 << 10, BufferBlock: 4 << 10,
		},
		Counts: config.Counts{
			BackendConnections: 4,
		},
		Durations: config.Durations{
			ConnectTimeout: 30, HealthCheckTimeout: 30, BackendIdleTimeout: 60, StatementWriteTimeout: 30,
		},
	}
	f.pool = New(f.loop, limits, f.blocks, f, &f.counters)
	f.setAddress(f.backend)
	return f
}

// setAddress sets the address of endpoint 0 to that of a listener.
func (f *fixture) setAddress(listener net.Listener) {
	f.pool.SetAddress(0, netip.MustParseAddrPort(listener.Addr().String()), false)
}

// send sends a statement. Its bytes 2 and 3 must be the digits of the waiting time.
func (f *fixture) send(text string, deadline float64) *Attempt {
	c := f.blocks.NewChain()
	c.Write([]byte(text + "\x00"))
	attempt := &Attempt{Statement: &c, WaitStart: 2, WaitEnd: 4, Deadline: deadline}
	f.pool.Send(attempt)
	return attempt
}

// run runs the event loop until the condition holds. It fails the test after 20 seconds.
func (f *fixture) run(condition func() bool) {
	f.t.Helper()
	giveUpAt := time.Now().Add(20 * time.Second)
	require.NoError(f.t, f.loop.Run(func(now float64) float64 {
		if condition() || time.Now().After(giveUpAt) {
			f.loop.Stop()
		}
		return now + 0.002
	}))
	require.True(f.t, condition(), "the condition did not hold in time")
}

// hasResults returns the condition that n attempts have ended.
func (f *fixture) hasResults(n int) func() bool { return func() bool { return len(f.results) == n } }

// accept accepts a connection as the backend and answers its start-up packet.
func (f *fixture) accept() net.Conn {
	f.t.Helper()
	done := make(chan net.Conn, 1)
	go func() {
		c, err := f.backend.Accept()
		if err == nil {
			_, _ = io.ReadFull(c, make([]byte, len(pg.AppendStartupMessage(nil))))
			_, _ = c.Write(pg.AppendStartupReply(nil, pg.CancelKey{}))
		}
		done <- c
	}()
	var c net.Conn
	f.run(func() bool {
		select {
		case c = <-done:
		default:
		}
		return c != nil
	})
	f.t.Cleanup(func() { _ = c.Close() })
	return c
}

// receive reads n bytes at the backend's end of a connection.
func (f *fixture) receive(c net.Conn, n int) string {
	f.t.Helper()
	got := make(chan string, 1)
	go func() {
		buf := make([]byte, n)
		_, _ = io.ReadFull(c, buf)
		got <- string(buf)
	}()
	text := ""
	f.run(func() bool {
		select {
		case text = <-got:
		default:
		}
		return text != ""
	})
	return text
}

// reply receives the beginning of an attempt, answers it, and waits for its result.
func (f *fixture) reply(c net.Conn, value string) {
	f.t.Helper()
	f.receive(c, 5)
	_, _ = c.Write(answer(value))
	f.run(f.hasResults(len(f.results) + 1))
}

// answer returns the messages of an answer with one row.
func answer(value string) []byte {
	a := pg.AppendMessage(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
	a = pg.AppendMessage(a, 'D', []byte{0, 1, 0, 0, 0, byte(len(value))}, []byte(value))
	return pg.AppendReadyForQuery(pg.AppendMessage(a, 'C', []byte("x\x00")))
}

const distantDeadline = 1e6 // seconds, on the event loop's clock
