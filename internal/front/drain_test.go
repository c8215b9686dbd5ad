package front

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/site"
)

// A client whose connection was accepted just before the end has not said anything yet: it is heard until the last
// call. It was ended without a word, which counts as refused, and in numbers as lost.
func TestClientThatCameJustBeforeTheEndIsHeard(t *testing.T) {
	for what, first := range map[string][]byte{
		"nothing": nil, "half of the start-up": pg.Hello(nil)[:11], "the start-up": pg.Hello(nil),
		"half of the query": startupThen(query("a1", "c=look,d=300")[:20]),
	} {
		d := newDrainHarness(t, func(*site.Limits) {})
		s := d.startBackend(func(s *fakeBackend) { s.answer = overloaded })
		c, heard := d.client(first)
		d.runUntil(func() bool {
			for k := range d.server.conns {
				return k.input.Len()+k.output.Len() > 0 || k.state == stateOpen || len(first) == 0
			}
			return false
		})
		d.server.Shutdown()
		require.True(t, d.server.ListenerClosed())
		_, err := c.Write(startupThen(query("a1", "c=look,d=300"))[len(first):])
		require.NoError(t, err)
		assert.Contains(t, d.readAll(heard), pg.CodeFull, "asked after %s", what)
		assert.Contains(t, s.ids(), "a1")
		require.NoError(t, c.Close())
		d.runUntil(func() bool { return d.server.OpenConnections() == 0 })
		assert.False(t, d.server.drainTimer.IsSet())
	}
}

// Who has not asked by the last call hears that asking elsewhere does no harm, and is ended.
func TestClientThatDoesNotAskByTheLastCallIsToldSo(t *testing.T) {
	for what, first := range map[string][]byte{
		"nothing": nil, "half of the start-up": pg.Hello(nil)[:11], "the start-up": pg.Hello(nil),
		"half of the query": startupThen(query("a1", "c=look,d=300000")[:20]),
		"half of the next":  startupThen(pg.Query(nil, ""), query("a1", "c=look,d=300000")[:20]),
	} {
		d := newHarness(t, func(l *site.Limits) { l.Durations.DrainDeadline = 0.05 })
		_, heard := d.client(first)
		d.runUntil(func() bool { return d.counters.ClientsAccepted == 1 })
		d.server.Shutdown()
		assert.Contains(t, d.readAll(heard), pg.CodeEnding, "%s", what)
		assert.Zero(t, d.counters.Received)
	}
}

// All descriptors are taken by clients that are spared for a moment, and one more waits to be accepted: closing the
// listener then would reset it.
func TestClientThatWaitsToBeAcceptedAtTheEndIsServed(t *testing.T) {
	d := newDrainHarness(t, func(l *site.Limits) { l.Counts.ClientConnections = 2; l.Durations.ShedGrace = 0.05 })
	d.client(pg.Hello(nil))
	d.client(pg.Hello(nil))
	d.runUntil(func() bool { return d.server.silent.Len() == 2 })
	_, heard := d.client(startupThen(pg.Query(nil, "")))
	d.server.Shutdown()
	assert.False(t, d.server.ListenerClosed())
	d.runUntil(d.server.ListenerClosed)
	assert.EqualValues(t, 3, d.counters.ClientsAccepted)
	assert.Contains(t, d.readAll(heard), string(pg.Empty(nil)))
}

// Where none makes room the listener is closed at the last call all the same.
func TestFullRouterEndsAllTheSame(t *testing.T) {
	d := newHarness(t, func(l *site.Limits) {
		l.Counts.ClientConnections = 1
		l.Durations.ShedGrace = 0.01
		l.Durations.DrainDeadline = 0.05
	})
	s := d.startBackend(func(*fakeBackend) {})
	c, _ := d.client(startupThen(query("a1", "c=look,d=300000")))
	d.runUntil(s.hasReceived(1))
	d.client(startupThen(query("a2", "c=look,d=300000")))
	d.runUntil(func() bool { return d.loop.Now() > 0.02 && d.server.resumeTimer.IsSet() })
	d.server.Shutdown()
	d.runUntil(d.server.ListenerClosed)
	assert.EqualValues(t, 1, d.counters.Received)
	require.NoError(t, c.Close())
	d.runUntil(func() bool { return d.server.OpenConnections() == 0 })
}

// A command lies in the socket when its connection would be ended: it was asked in time, and is answered.
func TestCommandInTheSocketIsNotSwallowedAtTheEnd(t *testing.T) {
	d := newDrainHarness(t, func(*site.Limits) {})
	s := d.startBackend(func(s *fakeBackend) { s.answer = overloaded })
	c, heard := d.client(startupThen(pg.Query(nil, "")))
	d.runUntil(func() bool { return d.server.idle.Len() == 1 })
	_, err := c.Write(query("a1", "c=look,d=300"))
	require.NoError(t, err)
	d.server.Shutdown() // the loop has not turned since it was written
	assert.Contains(t, d.readAll(heard), pg.CodeFull)
	assert.Contains(t, s.ids(), "a1")
}

// So it is behind the answer to the one before: that is the moment at which a connection in a drain is ended. The
// next command comes in the turn of the answer, too late to be among what is ready in it.
func TestCommandBehindAnAnswerIsNotSwallowedAtTheEnd(t *testing.T) {
	d := newDrainHarness(t, func(*site.Limits) {})
	say, said := make(chan struct{}), make(chan struct{}, 2)
	s := d.startBackend(func(s *fakeBackend) {
		s.answer = func(id string) []byte { <-say; return valueRow(id) }
		s.answered = said
	})
	c, heard := d.client(startupThen(query("a1", "c=look,d=300000")))
	d.runUntil(s.hasReceived(1))
	d.server.Shutdown()
	close(say)
	<-said // it lies in the router's socket
	d.loop.Post(func() {
		_, err := c.Write(query("a2", "c=look,d=300000"))
		assert.NoError(t, err)
	})
	got := d.readAll(heard)
	assert.Contains(t, got, "value of a1")
	assert.Contains(t, got, "value of a2")
}

// A client that goes on asking before it is answered is read no more after the last call: what was taken is
// answered and the connection ends, so that what it asks later it may ask elsewhere.
func TestClientThatPipelinesForGoodIsEnded(t *testing.T) {
	d := newHarness(t, func(l *site.Limits) { l.Durations.DrainDeadline = 0.05; l.Durations.CloseLinger = 0.05 })
	say := make(chan struct{})
	s := d.startBackend(func(s *fakeBackend) { s.answer = func(id string) []byte { <-say; return valueRow(id) } })
	c, heard := d.client(startupThen(query("a1", "c=look,d=300000")))
	d.runUntil(s.hasReceived(1))
	d.server.Shutdown()
	d.runUntil(func() bool { return d.server.deadlinePassed })
	_, err := c.Write(query("a2", "c=look,d=300000"))
	require.NoError(t, err)
	close(say)
	got := d.readAll(heard)
	assert.Contains(t, got, "value of a1")
	assert.NotContains(t, got, "value of a2")
	assert.EqualValues(t, 1, d.counters.Received)
	d.runUntil(func() bool { return d.server.OpenConnections() == 0 })
}
