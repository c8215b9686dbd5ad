package router

import (
	"math"
	"slices"
)

// previousRouterWrites marks in session.writesInFlight that writes were in flight at the previous router.
// It stays until MergeSession finds that none is in flight there any more.
const previousRouterWrites = 0.5

// MigrateFrom copies, before the first command, the state of the previous router of the same process that
// is still valid under new settings: the endpoints with their shards, states, roles, positions, start
// times, ejections, failed contacts and slow-start budgets, and the sessions. What the previous router
// has measured of its command groups, traffic or number of routers (latencies, service times, shares,
// rates) starts afresh. Attempts in flight are not copied: they end at the previous router.
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

// resetTraffic discards the attempts in flight and the measured latencies.
func (e *endpoint) resetTraffic() {
	e.queued, e.inFlight, e.unansweredAttempts = 0, 0, 0
	e.attemptCount, e.answeredWorkSum = 0, 0
	e.latencySum, e.queuePositionSum, e.answerCount = 0, 0, 0
}

// MergeSession merges what another router of the process has learned of a command's session. After a switch
// the session's last commands still end at the previous router, and a read routed here has to see what they
// wrote; so has a read that is still to be sent there what the session has written here.
func (r *Router) MergeSession(c *Command, from *Router) {
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
