package frontend

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/pg"
)

// A client that is accepted just before the shutdown has until the drain deadline to send its first query. If its
// connection were closed without an error, the client would count it as refused.
func TestClientAcceptedJustBeforeShutdownIsServed(t *testing.T) {
	for sent, first := range map[string][]byte{
		"nothing":              nil,
		"half of the start-up": pg.AppendStartupMessage(nil)[:11],
		"the start-up":         pg.AppendStartupMessage(nil),
		"half of the query":    startupThen(query("a1", "c=look,d=300")[:20]),
	} {
		h := newDrainHarness(t, noChange)
		backend := h.startBackend(func(b *fakeBackend) { b.answer = overloaded })
		conn, received := h.client(first)
		h.runUntil(func() bool {
			for accepted := range h.server.conns {
				return accepted.input.Len()+accepted.output.Len() > 0 || accepted.state == stateOpen || len(first) == 0
			}
			return false
		})
		h.server.Shutdown()
		require.True(t, h.server.ListenerClosed())
		_, err := conn.Write(startupThen(query("a1", "c=look,d=300"))[len(first):])
		require.NoError(t, err)
		assert.Contains(t, h.readAll(received), pg.CodeTooManyConnections, "sent before: %s", sent)
		assert.Contains(t, backend.ids(), "a1")
		require.NoError(t, conn.Close())
		h.runUntil(func() bool { return h.server.OpenConnections() == 0 })
		assert.False(t, h.server.drainTimer.IsSet())
	}
}

// A client that has not completed its query by the drain deadline gets an error that allows a retry, and its connection is
// closed.
func TestClientWithoutQueryAtTheDrainDeadlineGetsAnError(t *testing.T) {
	for sent, first := range map[string][]byte{
		"nothing":              nil,
		"half of the start-up": pg.AppendStartupMessage(nil)[:11],
		"the start-up":         pg.AppendStartupMessage(nil),
		"half of the query":    startupThen(patientQuery("a1")[:20]),
		"half of the next":     startupThen(pg.AppendQuery(nil, ""), patientQuery("a1")[:20]),
	} {
		h := newHarness(t, func(l *config.Limits) { l.Durations.DrainDeadline = 0.05 })
		_, received := h.client(first)
		h.runUntil(func() bool { return h.counters.ClientsAccepted == 1 })
		h.server.Shutdown()
		assert.Contains(t, h.readAll(received), pg.CodeCannotConnectNow, "%s", sent)
		assert.Zero(t, h.counters.Received)
	}
}

// At the shutdown all client connections are in use by clients in their grace period, and one more client is in the
// backlog. Closing the listener immediately would reset that client's connection.
func TestClientInTheBacklogAtShutdownIsServed(t *testing.T) {
	h := newDrainHarness(t, func(l *config.Limits) {
		l.Counts.ClientConnections = 2
		l.Durations.ShedGrace = 0.05
		l.Durations.FirstQueryShedGrace = 0.05
	})
	h.client(pg.AppendStartupMessage(nil))
	h.client(pg.AppendStartupMessage(nil))
	h.runUntil(func() bool { return h.server.silent.Len() == 2 })
	_, received := h.client(startupThen(pg.AppendQuery(nil, "")))
	h.server.Shutdown()
	assert.False(t, h.server.ListenerClosed())
	h.runUntil(h.server.ListenerClosed)
	assert.EqualValues(t, 3, h.counters.ClientsAccepted)
	assert.Contains(t, h.readAll(received), string(pg.AppendEmptyQueryResponse(nil)))
}

// If no connection can be shed, the listener is still closed at the drain deadline.
func TestShutdownEndsWithoutAFreeDescriptor(t *testing.T) {
	h := newHarness(t, func(l *config.Limits) {
		l.Counts.ClientConnections = 1
		l.Durations.ShedGrace = 0.01
		l.Durations.DrainDeadline = 0.05
	})
	backend := h.startBackend(noAnswers)
	conn, _ := h.client(startupThen(patientQuery("a1")))
	h.runUntil(backend.hasReceived(1))
	h.client(startupThen(patientQuery("a2")))
	h.runUntil(func() bool { return h.loop.Now() > 0.02 && h.server.resumeTimer.IsSet() })
	h.server.Shutdown()
	h.runUntil(h.server.ListenerClosed)
	assert.EqualValues(t, 1, h.counters.Received)
	require.NoError(t, conn.Close())
	h.runUntil(func() bool { return h.server.OpenConnections() == 0 })
}

// A command is still unread in the socket when the shutdown would close its connection. It was sent in time, so it is
// answered.
func TestCommandInTheSocketAtShutdownIsAnswered(t *testing.T) {
	h := newDrainHarness(t, noChange)
	backend := h.startBackend(func(b *fakeBackend) { b.answer = overloaded })
	conn, received := h.client(startupThen(pg.AppendQuery(nil, "")))
	h.runUntil(func() bool { return h.server.idle.Len() == 1 })
	_, err := conn.Write(query("a1", "c=look,d=300"))
	require.NoError(t, err)
	h.server.Shutdown() // the event loop has not run since the query was written
	assert.Contains(t, h.readAll(received), pg.CodeTooManyConnections)
	assert.Contains(t, backend.ids(), "a1")
}

// During the shutdown a connection is closed once its last command is answered. Here the next command arrives in the turn
// of that answer, but too late to be among the turn's events. It must be answered all the same.
func TestCommandBehindAnAnswerDuringShutdownIsAnswered(t *testing.T) {
	h := newDrainHarness(t, noChange)
	release := make(chan struct{})
	answered := make(chan struct{}, 2)
	backend := h.startBackend(func(b *fakeBackend) {
		b.answer = valueRowAfter(release)
		b.answered = answered
	})
	conn, received := h.client(startupThen(patientQuery("a1")))
	h.runUntil(backend.hasReceived(1))
	h.server.Shutdown()
	close(release)
	<-answered // the answer is in the router's socket
	h.loop.Post(func() {
		_, err := conn.Write(patientQuery("a2"))
		require.NoError(t, err)
	})
	answers := h.readAll(received)
	assert.Contains(t, answers, "value of a1")
	assert.Contains(t, answers, "value of a2")
}

// A client that keeps sending queries before it gets its answers is not read after the drain deadline. Accepted commands
// are answered, then the connection ends, and the client can send its later queries to another router.
func TestPipeliningClientIsNotReadAfterTheDrainDeadline(t *testing.T) {
	h := newHarness(t, func(l *config.Limits) {
		l.Durations.DrainDeadline = 0.05
		l.Durations.CloseLinger = 0.05
	})
	release := make(chan struct{})
	backend := h.startBackend(func(b *fakeBackend) { b.answer = valueRowAfter(release) })
	conn, received := h.client(startupThen(patientQuery("a1")))
	h.runUntil(backend.hasReceived(1))
	h.server.Shutdown()
	h.runUntil(func() bool { return h.server.deadlinePassed })
	_, err := conn.Write(patientQuery("a2"))
	require.NoError(t, err)
	close(release)
	answers := h.readAll(received)
	assert.Contains(t, answers, "value of a1")
	assert.NotContains(t, answers, "value of a2")
	assert.EqualValues(t, 1, h.counters.Received)
	h.runUntil(func() bool { return h.server.OpenConnections() == 0 })
}
