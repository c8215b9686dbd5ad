package member

import (
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/count"
	"stoatdale.example/stoatdale/internal/loop"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
	"stoatdale.example/stoatdale/internal/site"
)

// bench is Members with one node, whose listener the test works itself.
type bench struct {
	t       *testing.T
	m       *Pool
	l       *loop.Loop
	blocks  *buffer.Pool
	count   count.Counters
	node    net.Listener
	endings []router.Result
	values  []string
	probes  []router.Result
	reports []string
}

func (b *bench) AttemptEnded(_ *Attempt, e router.Result, _ float64, a *pg.Answer) {
	b.endings = append(b.endings, e)
	if a != nil {
		b.values = append(b.values, a.Report())
		a.Row.Free()
	}
}

func (b *bench) HealthChecked(_ int, ending router.Result, _ float64, report string) {
	b.probes, b.reports = append(b.probes, ending), append(b.reports, report)
}

func listener(t *testing.T) net.Listener {
	// Small receive buffers, so that a long statement cannot be written whole to a member that does not read.
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

func newBench(t *testing.T) *bench {
	b := &bench{t: t, blocks: buffer.NewPool(4096, 1<<20), node: listener(t)}
	var err error
	b.l, err = loop.New(16)
	require.NoError(t, err)
	limits := &site.Limits{
		Sizes: site.Sizes{
			ReadPerTurn: 1 << 16, BackendMessage: 1 << 17, InspectedMessage: 1 << 10,
		},
		Counts: site.Counts{
			BackendConnections: 4,
		},
		Durations: site.Durations{
			ConnectTimeout: 30, HealthCheckTimeout: 30, BackendIdleTimeout: 60,
		},
	}
	b.m = New(b.l, limits, b.blocks, b, &b.count)
	b.place(b.node)
	return b
}

func (b *bench) place(n net.Listener) {
	b.m.SetAddress(0, netip.MustParseAddrPort(n.Addr().String()), false)
}

func (b *bench) send(text string, until float64) *Attempt {
	c := b.blocks.New()
	c.Write([]byte(text + "\x00"))
	d := &Attempt{Statement: &c, WaitStart: 2, WaitEnd: 4, Deadline: until}
	b.m.Send(d)
	return d
}

// run turns the loop until something holds.
func (b *bench) run(until func() bool) {
	b.t.Helper()
	late := time.Now().Add(20 * time.Second)
	require.NoError(b.t, b.l.Run(func(now float64) float64 {
		if until() || time.Now().After(late) {
			b.l.Stop()
		}
		return now + 0.002
	}))
	require.True(b.t, until(), "waited for in vain")
}

func (b *bench) ended(n int) func() bool { return func() bool { return len(b.endings) == n } }

// accept takes the member's side of a connection and greets, while the loop turns.
func (b *bench) accept() net.Conn {
	b.t.Helper()
	done := make(chan net.Conn, 1)
	go func() {
		c, err := b.node.Accept()
		if err == nil {
			_, _ = io.ReadFull(c, make([]byte, len(pg.Hello(nil))))
			_, _ = c.Write(pg.Welcome(nil))
		}
		done <- c
	}()
	var c net.Conn
	b.run(func() bool {
		select {
		case c = <-done:
		default:
		}
		return c != nil
	})
	b.t.Cleanup(func() { _ = c.Close() })
	return c
}

// hear reads what the member is sent.
func (b *bench) hear(c net.Conn, n int) string {
	b.t.Helper()
	got := make(chan string, 1)
	go func() {
		text := make([]byte, n)
		_, _ = io.ReadFull(c, text)
		got <- string(text)
	}()
	said := ""
	b.run(func() bool {
		select {
		case said = <-got:
		default:
		}
		return said != ""
	})
	return said
}

// reply answers a dispatch once it has come.
func (b *bench) reply(c net.Conn, value string) {
	b.t.Helper()
	b.hear(c, 5)
	_, _ = c.Write(answer(value))
	b.run(b.ended(len(b.endings) + 1))
}

func answer(value string) []byte {
	a := pg.Message(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
	a = pg.Message(a, 'D', []byte{0, 1, 0, 0, 0, byte(len(value))}, []byte(value))
	return pg.Ready(pg.Message(a, 'C', []byte("x\x00")))
}

const far = 1e6 // seconds
