package router

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Times reported by others are shifted exactly. Times that may be the router's own are only moved to the
// careful side.
func TestReportedTimesAreShiftedToTheCarefulSide(t *testing.T) {
	for behind, want := range map[float64]struct{ listed, seen, write float64 }{
		2:  {listed: 7, seen: 9, write: 9.5},    // reported times were taken for 2 s later than they were
		-2: {listed: 11, seen: 11, write: 11.5}, // reported times were taken for 2 s earlier than they were
	} {
		r := testRouter(t, testConfig())
		r.UpdateEndpoints(9, []EndpointInfo{{Index: 1, State: Ready, StartedAt: 9}}, false, false)
		r.endpoints[2].startedAt, r.endpoints[2].startFromList = 9, false // observed by the router itself
		r.endpoints[1].position = 9.8
		r.sessions.Put(9, session{lastWrite: 9.5, highestRead: math.Inf(-1)})
		r.shards[0].newestPosition = 9.5
		r.ShiftReportedTimes(behind)
		assert.InDelta(t, 9.8-behind, r.endpoints[1].position, 1e-9)
		assert.InDelta(t, want.listed, r.endpoints[1].startedAt, 1e-9)
		assert.InDelta(t, want.seen, r.endpoints[2].startedAt, 1e-9,
			"an endpoint never counts as warmer than it is")
		assert.InDelta(t, want.write, r.session(9).lastWrite, 1e-9, "a write never counts as earlier than it was")
		assert.InDelta(t, want.write, r.shards[0].newestPosition, 1e-9)
	}
}
