package router

import "math"

// ShiftReportedTimes sets right the times that endpoints, the list and sessions' clients have told, after
// the caller's clock turned out to be behind theirs by so many seconds (negative: ahead): what was told of
// before is that much earlier. Where a time may be the router's own, it is only moved to the side on which
// it makes the router more careful.
func (r *Router) ShiftReportedTimes(behind float64) {
	for i := range r.endpoints {
		e := &r.endpoints[i]
		e.position -= behind
		e.reportedLag = max(0, e.reportedLag+behind)
		if behind < 0 || e.startFromList {
			e.startedAt -= behind
		}
	}
	forwardShift := math.Max(0, -behind)
	for i := range r.shards {
		s := &r.shards[i]
		s.positionFloor += forwardShift
		s.newestPosition += forwardShift
		s.olderPosition += forwardShift
	}
	r.sessions.Update(func(s session) session {
		s.lastWrite += forwardShift
		s.highestRead += forwardShift
		return s
	})
}
