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
	dispatcher *core.Dispatcher
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
	d.dispatcher.RunTurn(0)
	d.server, err = Listen(netip.MustParseAddrPort("127.0.0.1:0"), d.loop, Options{
		Limits:     &s.Limits,
		Settings:   &s.Settings,
		Buffers:    d.buffers,
		Dispatcher: d.dispatcher,
		Counters:   &d.counters,
		Log:        zerolog.Nop(),
	})
	require.NoError(t, err)
	return d
}

// newDrainHarness is a desk whose last call does not end within a test.
func newDrainHarness(t *testing.T, change func(*site.Limits)) *harness {
	return newHarness(t, func(l *site.Limits) { l.Durations.DrainDeadline = 100; change(l) })
}

// runUntil turns the loop until something holds.
func (d *harness) runUntil(until func() bool) {
	d.t.Helper()
	late := time.Now().Add(20 * time.Second)
	require.NoError(d.t, d.loop.Run(func(now float64) float64 {
		d.server.ProcessPending()
		d.dispatcher.RunTurn(now)
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

func (d *harness) acceptedCommands(n int) func() bool {
	return func() bool { return d.counters.Received == uint64(n) }
}

// drains and readies say in a publishState that the member does.
func (d *harness) publishState(state roster.State) {
	d.endpoint.State = state
	d.dispatcher.HandleList(roster.List{Generation: 9, Endpoints: []roster.Endpoint{d.endpoint}})
	d.dispatcher.RunTurn(d.loop.Now())
}

func query(id string, rest string) []byte {
	return pg.Query(nil, fmt.Sprintf("SELECT doc FROM items WHERE id = 'k' /* id=%s,cluster=2,%s */", id, rest))
}

func startupThen(more ...[]byte) []byte {
	b := pg.Hello(nil)
	for _, m := range more {
		b = append(b, m...)
	}
	return b
}

func longQuery(id string) []byte {
	return query(id, "c=look,d=300000,x="+strings.Repeat("y", 900)) // a comment is a kilobyte at the most
}

// hugeQuery is a statement that the sockets on the way to the member cannot hold: its own receive buffer is small.
func hugeQuery(id string) []byte {
	return pg.Query(nil, fmt.Sprintf("SELECT doc FROM items WHERE id = '%s' /* id=%s,cluster=2,c=look,d=300000 */",
		strings.Repeat("y", 6<<20), id))
}
