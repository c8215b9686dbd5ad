package router

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Times of others are shifted exactly; times that may be the router's own, only to the careful side.
func TestReportedTimesAreShiftedToTheCarefulSide(t *testing.T) {
	for behind, want := range map[float64]struct{ listed, seen, write float64 }{
		2:  {listed: 7, seen: 9, write: 9.5},    // others' times were taken for 2 s later than they are
		-2: {listed: 11, seen: 11, write: 11.5}, // and here for 2 s earlier
	} {
		r := testRouter(t, testConfig())
		r.UpdateEndpoints(9, []EndpointInfo{{Index: 1, State: Ready, StartedAt: 9}}, false, false)
		r.endpoints[2].startedAt, r.endpoints[2].startFromList = 9, false // seen by the router itself
		r.endpoints[1].position = 9.8
		r.sessions.Put(9, session{lastWrite: 9.5, highestRead: math.Inf(-1)})
		r.shards[0].newestPosition = 9.5
		r.ShiftReportedTimes(behind)
		assert.InDelta(t, 9.8-behind, r.endpoints[1].position, 1e-9)
		assert.InDelta(t, want.listed, r.endpoints[1].startedAt, 1e-9)
		assert.InDelta(t, want.seen, r.endpoints[2].startedAt, 1e-9, "it is never taken for warmer than it is")
		assert.InDelta(t, want.write, r.session(9).lastWrite, 1e-9, "nor a write for an earlier one")
		assert.InDelta(t, want.write, r.shards[0].newestPosition, 1e-9)
	}
}
