package frontend

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
	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/dispatcher"
	"stoatdale.example/stoatdale/internal/endpoint"
	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/metrics"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

const (
	testShard     = 2
	testBlockSize = 4096
	// testDeadline is the longest wait for a condition.
	testDeadline = 20 * time.Second
	// never is a timeout that no test reaches, in seconds.
	never = 100
)

// harness is a server and a dispatcher with one endpoint. Their event loop runs only while a test waits for a condition.
type harness struct {
	t          *testing.T
	server     *Server
	loop       *eventloop.Loop
	dispatcher *dispatcher.Dispatcher
	counters   metrics.Counters
	buffers    *buffer.Pool
	lastKey    byte // first byte of the cancel key returned last

	endpoint        endpoint.Endpoint
	backendListener net.Listener // the endpoint's listener; accepts no connection before startBackend
}

// newHarness returns a harness whose limits no test reaches, except those that change sets.
func newHarness(t *testing.T, change func(*config.Limits)) *harness {
	t.Helper()
	h := &harness{t: t, counters: metrics.Counters{ReceivedByGroup: make([]uint64, 2)}, backendListener: newSilentListener(t)}
	limitReceiveBuffer(t, h.backendListener, testBlockSize)
	h.endpoint = endpoint.Endpoint{
		ID:      "a",
		Address: netip.MustParseAddrPort(h.backendListener.Addr().String()),
		Shard:   testShard,
		State:   endpoint.StateReady,
		Primary: true,
	}
	config := testConfig()
	config.KnownList = endpoint.List{Complete: true, Endpoints: []endpoint.Endpoint{h.endpoint}}
	config.Discovery = netip.MustParseAddrPort(newSilentListener(t).Addr().String())
	change(&config.Limits)
	var err error
	h.loop, err = eventloop.New(16)
	require.NoError(t, err)
	h.buffers = buffer.NewPool(testBlockSize, config.Limits.Counts.BufferBlocks)
	h.dispatcher = dispatcher.New(config, h.loop, h.buffers, &h.counters, zerolog.Nop())
	h.dispatcher.RunTurn(0)
	h.server, err = Listen(netip.MustParseAddrPort("127.0.0.1:0"), h.loop, Options{
		Limits:     &config.Limits,
		Settings:   &config.Settings,
		Buffers:    h.buffers,
		Dispatcher: h.dispatcher,
		Counters:   &h.counters,
		Log:        zerolog.Nop(),

		DrawCancelKey: func() pg.CancelKey { h.lastKey++; return pg.CancelKey{h.lastKey} },
	})
	require.NoError(t, err)
	return h
}

// newDrainHarness returns a harness whose drain deadline does not pass during a test.
func newDrainHarness(t *testing.T, change func(*config.Limits)) *harness {
	t.Helper()
	return newHarness(t, func(l *config.Limits) {
		l.Durations.DrainDeadline = never
		change(l)
	})
}

// testConfig returns a configuration with two command groups: look is idempotent, order is idempotent with a key.
func testConfig() *config.Config {
	config := &config.Config{Limits: testLimits()}
	config.Settings.GroupNames = []string{"look", "order"}
	config.Settings.Config = router.Config{
		CommandGroups: []router.CommandGroup{
			{Consistency: router.Eventual, LatencyObjective: 500, ClientTimeout: 500, PriorityWeight: 1},
			{
				Consistency: router.PrimaryOnly, Idempotency: router.IdempotentWithKey,
				LatencyObjective: 500, ClientTimeout: 500, PriorityWeight: 1,
			},
		},
		RouterCount: 1, MaxAttempts: 4, BatchInterval: 0.005, PollList: true, SlowStart: 1, OverloadWindow: 1,
	}
	return config
}

func testLimits() config.Limits {
	return config.Limits{
		Sizes: config.Sizes{
			ReadPerTurn: 1 << 16, BufferBlock: testBlockSize, BackendMessage: 1 << 17, InspectedMessage: 1 << 10,
			ClientMessage: 1 << 16, StartupPacket: 1000, StatementComment: 1 << 10,
			UnsentAnswers: 1 << 20,
		},
		Counts: config.Counts{
			BackendConnections: 8, ClientConnections: 8, SharedDescriptors: 64, AcceptsPerTurn: 8, ListenBacklog: 64,
			MessagesPerTurn: 100, PipelinedCommands: 8, InvalidQueries: 100, IdleClients: 100, BufferBlocks: 1 << 20,
		},
		Durations: config.Durations{
			PositionEpoch: 3600, ConnectTimeout: never, StatementWriteTimeout: never, HealthCheckTimeout: never, SilenceTimeout: never, LongPollHold: 1,
			MinBackoff: never, MaxBackoff: never, MaxClientTimeout: 1000, FirstQueryTimeout: never, MessageTimeout: never,
			WriteStallTimeout: never, IdleTimeout: never, CloseLinger: never, BackendIdleTimeout: never,
			HiddenCloseGrace: never, LongTurn: never,
		},
	}
}

// newSilentListener returns a listener that does not accept connections by itself.
func newSilentListener(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// limitReceiveBuffer sets the size of the receive buffer, in bytes, of the connections that a listener accepts.
func limitReceiveBuffer(t *testing.T, listener net.Listener, size int) {
	t.Helper()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
	}))
	require.NoError(t, err)
}

// runUntil runs the event loop until the condition holds. It fails the test after testDeadline.
func (h *harness) runUntil(condition func() bool) {
	h.t.Helper()
	deadline := time.Now().Add(testDeadline)
	require.NoError(h.t, h.loop.Run(func(now float64) float64 {
		h.server.ProcessPending()
		h.dispatcher.RunTurn(now)
		if condition() || time.Now().After(deadline) {
			h.loop.Stop()
		}
		return now + 0.002
	}))
	require.True(h.t, condition(), "the condition did not hold within testDeadline")
}

// dial connects to the server. Nothing reads from the connection.
func (h *harness) dial() net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.server.Address.String())
	require.NoError(h.t, err)
	h.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// client connects and sends messages. The channel gets all bytes that the client received, once the connection has ended.
func (h *harness) client(messages ...[]byte) (net.Conn, <-chan string) {
	h.t.Helper()
	conn := h.dial()
	for _, message := range messages {
		_, err := conn.Write(message)
		require.NoError(h.t, err)
	}
	received := make(chan string, 1)
	go func() {
		all, _ := io.ReadAll(conn)
		received <- string(all)
	}()
	return conn, received
}

// readAll runs the event loop until the connection of a client has ended, and returns what the client received.
func (h *harness) readAll(received <-chan string) string {
	h.t.Helper()
	var all string
	ended := false
	h.runUntil(func() bool {
		select {
		case all = <-received:
			ended = true
		default:
		}
		return ended
	})
	return all
}

// acceptedCommands returns the condition that the server has accepted n commands.
func (h *harness) acceptedCommands(n int) func() bool {
	return func() bool { return h.counters.Received == uint64(n) }
}

// publishState passes an endpoint list to the dispatcher in which the endpoint is in the given state.
func (h *harness) publishState(state endpoint.State) {
	h.endpoint.State = state
	h.dispatcher.HandleList(endpoint.List{Generation: 9, Endpoints: []endpoint.Endpoint{h.endpoint}})
	h.dispatcher.RunTurn(h.loop.Now())
}

// startupThen returns the start-up packet followed by messages.
func startupThen(messages ...[]byte) []byte {
	sent := pg.AppendStartupMessage(nil)
	for _, message := range messages {
		sent = append(sent, message...)
	}
	return sent
}

// query returns a query for testShard, with an id and other fields in its routing comment.
func query(id, fields string) []byte {
	return pg.AppendQuery(nil, fmt.Sprintf("SELECT doc FROM items WHERE id = 'k' /* id=%s,cluster=2,%s */", id, fields))
}

// patientQuery returns a query whose client waits for longer than any test runs.
func patientQuery(id string) []byte { return query(id, "c=look,d=300000") }

// longQuery returns a patient query of nearly a kilobyte, the limit of a comment.
func longQuery(id string) []byte {
	return query(id, "c=look,d=300000,x="+strings.Repeat("y", 900))
}

// hugeQuery returns a patient query too large for the socket buffers between the router and the backend, whose receive
// buffer is small.
func hugeQuery(id string) []byte {
	return pg.AppendQuery(nil, fmt.Sprintf("SELECT doc FROM items WHERE id = '%s' /* id=%s,cluster=2,c=look,d=300000 */",
		strings.Repeat("y", 6<<20), id))
}
