package frontend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// longHold is how long a router may be held up within a turn, and more than the 0.1 s after a client's leaving in which an
// attempt may still begin.
const longHold = 150 * time.Millisecond

// While the router is held up, the connection that an attempt waits for comes up, and then the attempt's client leaves:
// the next turn finds both.
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
