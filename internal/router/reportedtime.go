package router

import "math"

// ShiftReportedTimes corrects the times that endpoints, the list and clients have reported so far. It is
// called when the caller's clock turns out to be behind theirs by the given number of seconds (negative:
// ahead). The reported times were then taken for that much later than they were. Where a time may have
// been taken from the router's own clock, it is only moved to the side that makes the router more
// careful.
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
