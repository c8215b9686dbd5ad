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

// fixture is a Pool with one endpoint, whose listener the test serves itself, and the results that the Pool reported.
type fixture struct {
	t           *testing.T
	pool        *Pool
	loop        *eventloop.Loop
	blocks      *buffer.Pool
	counters    metrics.Counters
	backend     net.Listener
	results     []router.Result // of attempts
	values      []string        // of answers to attempts
	checks      []router.Result // of health checks
	reports     []string        // of health checks
	clientsGone bool            // the commands of attempts have lost their clients
}

// AttemptEnded implements ResultHandler.
func (f *fixture) AttemptEnded(_ *Attempt, result router.Result, _ float64, answer *pg.Answer) {
	f.results = append(f.results, result)
	if answer != nil {
		f.values = append(f.values, answer.Value())
		answer.Row.Free()
	}
}

// Wanted implements ResultHandler.
func (f *fixture) Wanted(*Attempt) bool { return !f.clientsGone }

// HealthChecked implements ResultHandler.
func (f *fixture) HealthChecked(_ int, result router.Result, _ float64, report string) {
	f.checks = append(f.checks, result)
	f.reports = append(f.reports, report)
}

// listen returns a listener with small receive buffers, so that a long statement cannot be written completely to a
// backend that does not read.
func listen(t *testing.T) net.Listener {
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}}
	n, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = n.Close() })
	return n
}

// newFixture returns a Pool whose endpoint 0 is the fixture's listener.
func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, blocks: buffer.NewPool(4096, 1<<20), backend: listen(t)}
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

// setAddress gives endpoint 0 the address of a listener.
func (f *fixture) setAddress(n net.Listener) {
	f.pool.SetAddress(0, netip.MustParseAddrPort(n.Addr().String()), false)
}

// send sends a statement whose waiting time is the two digits after its first two bytes.
func (f *fixture) send(text string, deadline float64) *Attempt {
	c := f.blocks.NewChain()
	c.Write([]byte(text + "\x00"))
	attempt := &Attempt{Statement: &c, WaitStart: 2, WaitEnd: 4, Deadline: deadline}
	f.pool.Send(attempt)
	return attempt
}

// run runs the event loop until the condition holds.
func (f *fixture) run(until func() bool) {
	f.t.Helper()
	late := time.Now().Add(20 * time.Second)
	require.NoError(f.t, f.loop.Run(func(now float64) float64 {
		if until() || time.Now().After(late) {
			f.loop.Stop()
		}
		return now + 0.002
	}))
	require.True(f.t, until(), "waited for in vain")
}

// hasResults returns the condition that so many attempts have ended.
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

// receive reads n bytes as the backend.
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

// reply answers an attempt once it has come.
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
