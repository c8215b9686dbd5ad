package front

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/core"
	"stoatdale.example/stoatdale/internal/count"
	"stoatdale.example/stoatdale/internal/loop"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/roster"
	"stoatdale.example/stoatdale/internal/router"
	"stoatdale.example/stoatdale/internal/site"
)

// harness is a front whose one member takes connections and says nothing.
type harness struct {
	t          *testing.T
	server     *Server
	loop       *loop.Loop
	dispatcher *core.Core
	counters   count.Counters

	backendListener net.Listener // the member's
	endpoint        roster.Endpoint
	buffers         *buffer.Pool
}

func newHarness(t *testing.T, change func(*site.Limits)) *harness {
	mute := func() net.Listener {
		n, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = n.Close() })
		return n
	}
	d := &harness{t: t, counters: count.Counters{ReceivedByGroup: make([]uint64, 2)}, backendListener: mute()}
	raw, err := d.backendListener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { // connections that it accepts have it too
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
	}))
	require.NoError(t, err)
	d.loop, err = loop.New(16)
	require.NoError(t, err)
	d.endpoint = roster.Endpoint{ID: "a", Address: netip.MustParseAddrPort(d.backendListener.Addr().String()), Shard: 2, State: roster.StateReady, Primary: true}
	s := &site.Config{KnownList: roster.List{Complete: true, Endpoints: []roster.Endpoint{d.endpoint}}}
	group := router.CommandGroup{Consistency: router.Eventual, LatencyObjective: 500, ClientTimeout: 500, PriorityWeight: 1}
	keyed := router.CommandGroup{Consistency: router.PrimaryOnly, Idempotency: router.IdempotentWithKey, LatencyObjective: 500, ClientTimeout: 500, PriorityWeight: 1}
	s.Settings.Config = router.Config{CommandGroups: []router.CommandGroup{group, keyed}, RouterCount: 1, MaxAttempts: 4, BatchInterval: 0.005, PollList: true, SlowStart: 1, OverloadWindow: 1}
	s.Settings.GroupNames = []string{"look", "order"}
	s.Discovery = netip.MustParseAddrPort(mute().Addr().String())
	s.Limits = site.Limits{
		Sizes: site.Sizes{
			ReadPerTurn: 1 << 16, BufferBlock: 4096, BackendMessage: 1 << 17, InspectedMessage: 1 << 10,
			ClientMessage: 1 << 16, StartupPacket: 1000, StatementComment: 1 << 10, DiscardedInput: 1 << 20,
			UnsentAnswers: 1 << 20,
		},
		Counts: site.Counts{
			BackendConnections: 8, ClientConnections: 8, SharedDescriptors: 64, AcceptsPerTurn: 8, ListenBacklog: 64,
			MessagesPerTurn: 100, PipelinedCommands: 8, InvalidQueries: 100, IdleClients: 100,
		},
		Durations: site.Durations{
			PositionEpoch: 3600, ConnectTimeout: 100, HealthCheckTimeout: 100, SilenceTimeout: 100, LongPollHold: 1,
			MinBackoff: 100, MaxBackoff: 100, MaxClientTimeout: 1000, FirstQueryTimeout: 100, MessageTimeout: 100,
			WriteStallTimeout: 100, IdleTimeout: 100, CloseLinger: 100, BackendIdleTimeout: 100,
		},
	}
	s.Limits.Counts.BufferBlocks = 1 << 20
	change(&s.Limits)
	d.buffers = buffer.NewPool(4096, s.Limits.Counts.BufferBlocks)
	d.dispatcher = core.New(s, d.loop, d.buffers, &d.counters, zerolog.Nop())
	d.dispatcher.Settle(0)
	d.server, err = Listen(netip.MustParseAddrPort("127.0.0.1:0"), d.loop, &s.Limits, d.buffers, d.dispatcher, &s.Settings, &d.counters, zerolog.Nop())
	require.NoError(t, err)
	return d
}

// runUntil turns the loop until something holds.
func (d *harness) runUntil(until func() bool) {
	d.t.Helper()
	late := time.Now().Add(20 * time.Second)
	require.NoError(d.t, d.loop.Run(func(now float64) float64 {
		d.server.ProcessPending()
		d.dispatcher.Settle(now)
		if until() || time.Now().After(late) {
			d.loop.Stop()
		}
		return now + 0.002
	}))
	require.True(d.t, until(), "waited for in vain")
}

// client connects and sends, and then its answers are read until the end.
func (d *harness) client(say ...[]byte) (net.Conn, chan string) {
	d.t.Helper()
	c, err := net.Dial("tcp", d.server.Address.String())
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = c.Close() })
	for _, b := range say {
		_, err := c.Write(b)
		require.NoError(d.t, err)
	}
	heard := make(chan string, 1)
	go func() {
		b, _ := io.ReadAll(c)
		heard <- string(b)
	}()
	return c, heard
}

func (d *harness) readAll(from chan string) string {
	d.t.Helper()
	said, ok := "", false
	d.runUntil(func() bool {
		select {
		case said = <-from:
			ok = true
		default:
		}
		return ok
	})
	return said
}

func query(id string, rest string) []byte {
	return pg.Query(nil, fmt.Sprintf("SELECT doc FROM items WHERE id = 'k' /* id=%s,cluster=2,%s */", id, rest))
}

func TestHalfAMessageIsAnErrorInTime(t *testing.T) {
	for what, half := range map[string][]byte{
		"start-up": pg.Hello(nil)[:20], "query": append(pg.Hello(nil), query("1", "c=look,d=300")[:30]...),
	} {
		d := newHarness(t, func(l *site.Limits) { l.Durations.FirstQueryTimeout = 0.05 })
		_, heard := d.client(half)
		assert.Contains(t, d.readAll(heard), pg.CodeProtocol, what)
		assert.EqualValues(t, 1, d.counters.MessageTimeouts, what)
	}
	d := newHarness(t, func(l *site.Limits) { l.Durations.MessageTimeout = 0.05 })
	c, heard := d.client(pg.Hello(nil), pg.Query(nil, ""))
	go func() { // drips, which renews nothing
		for _, b := range query("1", "c=look,d=300") {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	assert.Contains(t, d.readAll(heard), pg.CodeProtocol)
	assert.Zero(t, d.counters.Received)
}

func TestClientThatNeverAsksIsClosed(t *testing.T) {
	d := newHarness(t, func(l *site.Limits) { l.Durations.FirstQueryTimeout = 0.05 })
	_, nothing := d.client()
	_, hello := d.client(pg.Hello(nil))
	assert.Empty(t, d.readAll(nothing))
	assert.NotEmpty(t, d.readAll(hello), "the welcome")
	assert.EqualValues(t, 2, d.counters.FirstQueryTimeouts)
	assert.Zero(t, d.server.OpenConnections())
	assert.Zero(t, d.server.silent.Len()+d.server.idle.Len()+d.server.closing.Len())
}

func TestThoseThatNeverAskedMakeRoomFirst(t *testing.T) {
	d := newHarness(t, func(l *site.Limits) { l.Counts.ClientConnections = 2 })
	_, asked := d.client(pg.Hello(nil), pg.Query(nil, ""))
	d.runUntil(func() bool { return d.server.idle.Len() == 1 })
	_, silent := d.client()
	d.runUntil(func() bool { return d.server.silent.Len() == 1 })
	d.client()
	d.readAll(silent)
	assert.EqualValues(t, 1, d.counters.ClientsShed)
	assert.Empty(t, asked, "it asked, and stays")
}

func TestClientsThatAskOnceAndStayMakeRoom(t *testing.T) {
	d := newHarness(t, func(l *site.Limits) { l.Counts.IdleClients = 2 })
	_, first := d.client(pg.Hello(nil), pg.Query(nil, ""))
	d.runUntil(func() bool { return d.server.idle.Len() == 1 })
	for range 2 {
		d.client(pg.Hello(nil), pg.Query(nil, ""))
	}
	d.readAll(first)
	d.runUntil(func() bool { return d.server.idle.Len() == 2 })
	assert.EqualValues(t, 1, d.counters.ClientsShed)
}

func TestWhatMembersMustNotSeeIsAnErrorOfTheFront(t *testing.T) {
	d := newHarness(t, func(*site.Limits) {})
	d.client(pg.Hello(nil), query("a1", "c=look,d=300000"))
	d.runUntil(func() bool { return d.counters.Received == 1 })
	for what, b := range map[string][]byte{
		"id in hand": query("a1", "c=look,d=300"), "no key": query("b", "c=order,d=300"), "absurd wait": query("b", "c=look,d=2000000"),
		"no id": pg.Query(nil, "SELECT 1 /* c=look,d=300,cluster=2 */"), "group": query("b", "c=gaze,d=300"),
		"set": pg.Query(nil, "SELECT 1 /* id=b,c=look,d=300,cluster=77 */"),
	} {
		_, heard := d.client(pg.Hello(nil), b, []byte("X\x00\x00\x00\x04"))
		said := d.readAll(heard)
		assert.True(t, strings.Contains(said, pg.CodeValue) || strings.Contains(said, pg.CodeSyntax), "%s: %q", what, said)
	}
	assert.EqualValues(t, 1, d.counters.Received)
	assert.EqualValues(t, 6, d.counters.InvalidQueries)
}

func TestClientThatRepeatsWhatIsNoCommandIsEnded(t *testing.T) {
	d := newHarness(t, func(l *site.Limits) { l.Counts.InvalidQueries = 3 })
	bad := query("b", "c=gaze,d=300")
	c, heard := d.client(pg.Hello(nil), bad, bad, bad, bad)
	d.runUntil(func() bool { return d.server.closing.Len() == 1 })
	go func() { _, _ = c.Write(make([]byte, 64<<20)) }() // far more than is read away
	assert.Equal(t, 3, strings.Count(d.readAll(heard), pg.CodeValue))
	d.runUntil(func() bool { return d.server.OpenConnections() == 0 })
}

func TestOneClientHasItsShareOfATurn(t *testing.T) {
	d := newHarness(t, func(l *site.Limits) { l.Counts.MessagesPerTurn = 4 })
	d.client(append(pg.Hello(nil), strings.Repeat(string(pg.Query(nil, "")), 50)...))
	d.runUntil(func() bool { return len(d.server.pending) > 0 })
	turns := 0
	d.runUntil(func() bool { turns++; return len(d.server.pending) == 0 })
	assert.Greater(t, turns, 8)
}
