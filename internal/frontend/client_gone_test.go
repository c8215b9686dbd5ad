package frontend

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/endpoint"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// Tests of this package produce races between two events on real connections, and always in the worse order: the backend
// withholds its answers until the test releases them, and the event loop runs only until an awaited condition holds.

// goneClient is a case of TestNothingIsForwardedForAGoneClient: a client that leaves while its command waits.
type goneClient struct {
	limits     func(*config.Limits)
	backend    func(*fakeBackend)
	arrange    func(*harness, *fakeBackend) net.Conn // returns once the command waits
	sentBefore []string                              // ids that reach the backend before the client leaves
	commands   int                                   // number of the client's commands that are accepted
}

func noChange(*config.Limits)      {}
func noAnswers(*fakeBackend)       {}
func holdGreeting(b *fakeBackend)  { b.greeting = make(chan struct{}) }
func holdAccepting(b *fakeBackend) { b.accepting = make(chan struct{}) }

// goneClients are the situations in which a command may wait, by subtest name.
var goneClients = map[string]goneClient{
	"held by the module": {
		limits: noChange, backend: noAnswers, arrange: commandHeld, commands: 1,
	},
	"between attempts": {
		limits: noChange,
		backend: func(b *fakeBackend) {
			b.answer = overloaded
			holdAccepting(b)
		},
		arrange: commandBetweenAttempts, sentBefore: []string{"a1"}, commands: 1,
	},
	"while its connection comes up": {
		limits: noChange, backend: holdGreeting, arrange: commandWhileConnecting, commands: 1,
	},
	"with half of its statement written": {
		limits: func(l *config.Limits) {
			l.Sizes.ClientMessage = 64 << 20
			l.Sizes.ReadPerTurn = 64 << 20
		},
		backend: holdAccepting, arrange: commandHalfWritten, commands: 1,
	},
	"behind a full pipeline": {
		limits:  func(l *config.Limits) { l.Counts.PipelinedCommands = 2 },
		backend: noAnswers, arrange: pipelineFull, commands: 2,
	},
	"unread with bytes before its end": {
		limits: func(l *config.Limits) {
			l.Counts.PipelinedCommands = 1
			l.Sizes.ReadPerTurn = 4096
		},
		backend: noAnswers, arrange: commandsUnread, commands: 1,
	},
	"with its last answer owed": {
		limits: noChange, backend: noAnswers, arrange: lastReplyOutstanding, commands: 1,
	},
	"with answers that it does not take": {
		limits: func(l *config.Limits) {
			l.Sizes.UnsentAnswers = 4096
			l.Counts.InvalidQueries = 1 << 30
		},
		backend: noAnswers, arrange: repliesNotRead, commands: 0,
	},
	"unread for want of buffers": {
		limits:  func(l *config.Limits) { l.Counts.BufferBlocks = 1 << 10 },
		backend: noAnswers, arrange: buffersScarce, commands: 0,
	},
	"unread for want of room for its next answer": {
		limits:  func(l *config.Limits) { l.Counts.BufferBlocks = 1 << 10 },
		backend: noAnswers, arrange: roomScarce, commands: 1,
	},
	"while the router drains": {
		limits:  func(l *config.Limits) { l.Durations.DrainDeadline = 0 },
		backend: noAnswers, arrange: routerDrains, commands: 1,
	},
}

func commandHeld(h *harness, _ *fakeBackend) net.Conn {
	h.publishState(endpoint.StateDraining)
	conn, _ := h.client(startupThen(patientQuery("a1")))
	h.runUntil(h.acceptedCommands(1))
	return conn
}

func commandBetweenAttempts(h *harness, backend *fakeBackend) net.Conn {
	conn, _ := h.client(startupThen(patientQuery("a1")))
	h.runUntil(backend.hasStarted(1))
	h.publishState(endpoint.StateDraining)
	close(backend.accepting)
	h.runUntil(func() bool { return h.counters.AttemptResults[router.Overloaded] == 1 })
	return conn
}

func commandWhileConnecting(h *harness, _ *fakeBackend) net.Conn {
	conn, _ := h.client(startupThen(patientQuery("a1")))
	h.runUntil(func() bool { return h.counters.BackendConnects == 1 })
	return conn
}

func commandHalfWritten(h *harness, backend *fakeBackend) net.Conn {
	conn, _ := h.client()
	go func() { _, _ = conn.Write(startupThen(hugeQuery("a1"))) }()
	h.runUntil(backend.hasStarted(1))
	return conn
}

func pipelineFull(h *harness, _ *fakeBackend) net.Conn {
	h.publishState(endpoint.StateDraining)
	conn, _ := h.client(startupThen(patientQuery("a1"), patientQuery("a2"), patientQuery("a3"), patientQuery("a4")))
	h.runUntil(h.acceptedCommands(2))
	return conn
}

func commandsUnread(h *harness, _ *fakeBackend) net.Conn {
	h.publishState(endpoint.StateDraining)
	var queries []byte
	for i := range 40 {
		queries = append(queries, longQuery(fmt.Sprintf("a%x", i))...)
	}
	conn, _ := h.client(startupThen(queries))
	h.runUntil(h.acceptedCommands(1))
	return conn
}

func lastReplyOutstanding(h *harness, _ *fakeBackend) net.Conn {
	h.publishState(endpoint.StateDraining)
	conn, _ := h.client(startupThen(patientQuery("a1"), unknownMessage))
	h.runUntil(func() bool { return h.counters.InvalidQueries == 1 })
	return conn
}

func repliesNotRead(h *harness, _ *fakeBackend) net.Conn {
	h.publishState(endpoint.StateDraining)
	conn := h.dial()
	invalid := []byte(strings.Repeat(string(pg.AppendQuery(nil, "SELECT 1")), 100_000))
	go func() { _, _ = conn.Write(startupThen(invalid, patientQuery("a1"))) }()
	h.runUntil(func() bool {
		for accepted := range h.server.conns {
			return accepted.output.Len() > 4096
		}
		return false
	})
	return conn
}

func buffersScarce(h *harness, backend *fakeBackend) net.Conn {
	h.publishState(endpoint.StateDraining)
	conn, _ := h.client(pg.AppendStartupMessage(nil))
	h.runUntil(func() bool { return h.counters.ClientsAccepted == 1 })
	holdBuffers(h, backend)
	_, err := conn.Write(pg.AppendQuery(nil, strings.Repeat("z", 60_000))[:9000])
	require.NoError(h.t, err)
	h.runUntil(func() bool { return len(h.server.awaitingBuffers) == 1 })
	return conn
}

func roomScarce(h *harness, backend *fakeBackend) net.Conn {
	h.publishState(endpoint.StateDraining)
	conn, _ := h.client(startupThen(patientQuery("a1")))
	h.runUntil(h.acceptedCommands(1))
	holdBuffers(h, backend)
	_, err := conn.Write(pg.AppendQuery(nil, strings.Repeat("z", 60_000))[:9000])
	require.NoError(h.t, err)
	h.runUntil(func() bool { return len(h.server.awaitingRoom) == 1 })
	return conn
}

// holdBuffers makes buffers scarce until the test's client is gone.
func holdBuffers(h *harness, backend *fakeBackend) {
	heldBuffers := h.buffers.NewChain()
	heldBuffers.Write(make([]byte, testBlockSize<<10))
	go func() {
		<-backend.clientGone
		h.loop.Post(heldBuffers.Free)
	}()
}

func routerDrains(h *harness, _ *fakeBackend) net.Conn {
	h.publishState(endpoint.StateDraining)
	conn, _ := h.client(startupThen(patientQuery("a1")))
	other := h.dial() // sends the later command, which has to be accepted before the shutdown
	_, err := other.Write(startupThen(patientQuery("b1")))
	require.NoError(h.t, err)
	h.runUntil(h.acceptedCommands(2))
	h.server.Shutdown()
	return conn
}

// closings are the ways in which a client closes its connection. The value is the argument of SetLinger, in seconds: -1
// closes the connection as usual, 0 resets it.
var closings = map[string]int{"closes": -1, "resets": 0}

// Once a client has left, none of its waiting commands is forwarded. The router once missed the end of connections that it
// was not reading, because epoll reported the end only together with bytes to read.
func TestNothingIsForwardedForAGoneClient(t *testing.T) {
	for waiting, client := range goneClients {
		for closing, linger := range closings {
			t.Run(waiting+", "+closing, func(t *testing.T) { testGoneClient(t, client, linger) })
		}
	}
}

func testGoneClient(t *testing.T, client goneClient, linger int) {
	t.Helper()
	h := newDrainHarness(t, client.limits)
	backend := h.startBackend(client.backend)
	conn := client.arrange(h, backend)
	_ = conn.(*net.TCPConn).SetLinger(linger)
	open := h.server.OpenConnections()
	_ = conn.Close()
	h.runUntil(func() bool { return h.server.OpenConnections() == open-1 })
	assert.EqualValues(t, client.commands, h.counters.Abandoned)
	assert.EqualValues(t, min(client.commands, 1), h.counters.ClientsLeftUnsent, "clients noticed gone while a command was unsent")
	close(backend.clientGone)

	// A later command of another client reaches the backend, and nothing else does.
	backend.resume()
	h.publishState(endpoint.StateReady)
	if !h.server.ListenerClosed() {
		h.client(startupThen(patientQuery("b1")))
	}
	h.runUntil(backend.hasReceived(len(client.sentBefore) + 1))
	assert.Equal(t, append(client.sentBefore, "b1"), backend.ids())
}

// A client leaves after its command has reached a backend. The command may run there, and is not retried even if the
// backend rejects it.
func TestForwardedCommandOfAGoneClientIsNotRetried(t *testing.T) {
	h := newHarness(t, noChange)
	release := make(chan struct{})
	backend := h.startBackend(func(b *fakeBackend) {
		b.answer = func(id string) []byte {
			<-release
			return overloaded(id)
		}
	})
	conn, _ := h.client(startupThen(patientQuery("a1")))
	h.runUntil(backend.hasReceived(1))
	_ = conn.Close()
	h.runUntil(func() bool { return h.counters.Abandoned == 1 })
	assert.Zero(t, h.counters.ClientsLeftUnsent)
	close(release)
	h.runUntil(func() bool { return h.counters.AttemptResults[router.Overloaded] == 1 })
	h.client(startupThen(patientQuery("b1")))
	h.runUntil(backend.hasReceived(2))
	assert.Equal(t, "b1", backend.ids()[1])
}

// The router finds a command and the end of its connection in the socket in the same turn. Nobody waits for the command
// any more, so no attempt begins.
func TestPipelineOfAGoneClientIsNotForwarded(t *testing.T) {
	h := newHarness(t, noChange)
	conn := h.dial()
	h.runUntil(func() bool { return h.counters.ClientsAccepted == 1 })
	_, err := conn.Write(startupThen(patientQuery("a1")))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	h.runUntil(func() bool { return h.server.OpenConnections() == 0 })
	assert.Zero(t, h.counters.Attempts)
}

// A client sends a query and leaves while it is in the listener's backlog. Its query is not read once it is accepted.
func TestClientGoneBeforeItIsAcceptedIsNotRead(t *testing.T) {
	for closing, linger := range closings {
		h := newHarness(t, noChange)
		backend := h.startBackend(noAnswers)
		conn := h.dial()
		_, err := conn.Write(startupThen(patientQuery("a1")))
		require.NoError(t, err)
		require.NoError(t, conn.(*net.TCPConn).SetLinger(linger))
		require.NoError(t, conn.Close()) // the event loop has not run yet
		h.client(startupThen(patientQuery("b1")))
		h.runUntil(backend.hasReceived(1))
		assert.Equal(t, []string{"b1"}, backend.ids(), closing)
		assert.EqualValues(t, 1, h.counters.Received, closing)
		assert.EqualValues(t, 2, h.counters.ClientsAccepted, closing)
	}
}
