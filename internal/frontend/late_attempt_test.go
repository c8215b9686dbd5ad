package frontend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/endpoint"
)

// longHold is the time for which the tests block the router within a turn. It is longer than 0.1 s, the time after a
// client's leaving in which an attempt may still begin.
const longHold = 150 * time.Millisecond

// While the router is blocked, the backend connection that an attempt waits for comes up, and then the client of the
// attempt leaves. The next turn sees both events, and must not begin the attempt.
func TestAttemptIsNotBegunWhenItsConnectionComesUpJustBeforeItsClientLeaves(t *testing.T) {
	h := newHarness(t, noChange)
	backend := h.startBackend(holdGreeting)
	conn, _ := h.client(startupThen(patientQuery("a1")))
	startupSent := time.Now().Add(longHold / 3)
	h.runUntil(func() bool { return h.counters.BackendConnects == 1 && time.Now().After(startupSent) })
	backend.resume()
	time.Sleep(longHold / 3)
	require.NoError(t, conn.Close())
	time.Sleep(longHold)
	h.runUntil(func() bool { return h.counters.Abandoned == 1 })
	time.Sleep(longHold / 3)
	assert.Empty(t, backend.ids())
}

// The router is blocked between reading a command and sending it, and the client leaves in that time.
func TestAttemptIsNotBegunForAClientThatLeftDuringALongTurn(t *testing.T) {
	h := newHarness(t, noChange)
	backend := h.startBackend(func(b *fakeBackend) { b.answer = valueRow })
	h.client(startupThen(patientQuery("a0"))) // leaves an open connection to the backend
	h.runUntil(func() bool { return h.counters.Answered == 1 })
	conn, _ := h.client(startupThen(patientQuery("a1")))
	held := false
	require.NoError(t, h.loop.Run(func(now float64) float64 {
		h.server.ProcessPending()
		if h.counters.Received == 2 && !held {
			held = true
			require.NoError(t, conn.Close())
			time.Sleep(longHold)
		}
		h.dispatcher.RunTurn(now)
		if held {
			h.loop.Stop()
		}
		return now + 0.002
	}))
	h.runUntil(func() bool { return h.dispatcher.InFlight() == 0 })
	time.Sleep(longHold / 3)
	assert.Equal(t, []string{"a0"}, backend.ids())
}

// A connection that comes up after an endpoint list has reported its endpoint as draining or gone gets no attempt, even if
// the connect timeout is long.
func TestAttemptIsNotBegunAtAnEndpointThatDrainsMeanwhile(t *testing.T) {
	for _, state := range []endpoint.State{endpoint.StateDraining, endpoint.StateGone} {
		h := newHarness(t, noChange)
		backend := h.startBackend(holdGreeting)
		h.client(startupThen(patientQuery("a1")))
		h.runUntil(func() bool { return h.counters.BackendConnects == 1 })
		h.publishState(state)
		backend.resume()
		end := time.Now().Add(longHold)
		h.runUntil(func() bool { return time.Now().After(end) })
		assert.Empty(t, backend.ids())
		assert.Equal(t, 1, h.dispatcher.InFlight(), "the command waits for another endpoint")
	}
}
