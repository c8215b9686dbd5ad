package router

import (
	"math"
	"slices"
)

// previousRouterWrites stands for the writes in flight at an earlier router until LearnFrom finds that none is.
const previousRouterWrites = 0.5

// MigrateFrom takes over, before the first command, what an earlier router of the same process has learned
// and what still means the same under other settings: where endpoints are, their states, roles and
// positions, when they started, which are ejected or unreachable, slow-start budgets, and the sessions.
// What was learned of the earlier command groups, traffic or number of routers (latencies, service times,
// shares, rates) starts afresh, and so does what is in flight: the earlier router's attempts end there.
func (r *Router) MigrateFrom(now float64, from *Router) {
	r.endpoints = slices.Clone(from.endpoints)
	for i := range r.endpoints {
		r.endpoints[i].resetTraffic()
	}
	r.shards = slices.Clone(from.shards)
	for i := range r.shards {
		s := &r.shards[i]
		s.endpoints = slices.Clone(s.endpoints)
		s.latencySum, s.answerCount = 0, 0
	}
	r.sessionsRotatedAt = now
	r.sessions = from.sessions.CloneFunc(func(s session) session {
		if s.writesInFlight > 0 {
			s.writesInFlight = previousRouterWrites
		}
		return s
	})
	r.subscribed, r.nextPollAt, r.pollFailures = from.subscribed, from.nextPollAt, from.pollFailures
}

// resetTraffic forgets what is in flight and what was learned of latencies.
func (e *endpoint) resetTraffic() {
	e.queued, e.inFlight, e.unansweredAttempts = 0, 0, 0
	e.attemptCount, e.answeredWorkSum = 0, 0
	e.latencySum, e.queuePositionSum, e.answerCount = 0, 0, 0
}

// LearnFrom takes over what an earlier router of the process has just learned of a command's session. The
// session's last commands end there after the switch, and a read that is routed here must see what they
// wrote.
func (r *Router) LearnFrom(c *Command, from *Router) {
	learned, known := from.session(c.Session), r.session(c.Session)
	s := known
	if learned.writesInFlight == 0 {
		s.writesInFlight = math.Floor(s.writesInFlight)
	}
	noPosition := math.IsInf(max(learned.lastWrite, learned.highestRead), -1)
	if s.writesInFlight == known.writesInFlight && noPosition {
		return
	}
	s.lastWrite = max(s.lastWrite, learned.lastWrite)
	s.highestRead = max(s.highestRead, learned.highestRead)
	r.sessions.Put(c.Session, s)
	newest := &r.shards[c.Shard].newestPosition
	*newest = max(*newest, s.lastWrite, s.highestRead)
}
