package router

import (
	"math"
	"slices"
)

// MigrateFrom takes over from a router of the same process what still means the same under other settings, before
// the first command: where members are, their states, roles and positions, when they started, what is doubted
// or out of reach, what was spent on cold ones, and the sessions. What was learnt in terms of the old command
// groups, traffic or routers (paces, work, shares, rates, how groups were served) starts afresh, and so does
// what is out: the old router's dispatches end there.
func (r *Router) MigrateFrom(now float64, from *Router) {
	r.endpoints = make([]endpoint, len(from.endpoints))
	for i, n := range from.endpoints {
		n.queued, n.inFlight, n.unanswered, n.attemptSum = 0, 0, 0, 0
		n.latencySum, n.queueSum, n.answerSum = 0, 0, 0
		r.endpoints[i] = n
	}
	r.shards = make([]shard, len(from.shards))
	for i, s := range from.shards {
		s.endpoints, s.latencySum, s.answerSum = slices.Clone(s.endpoints), 0, 0
		r.shards[i] = s
	}
	r.sessionsTurnedAt = now
	r.sessions = from.sessions.CloneFunc(func(s session) session {
		if s.writesInFlight > 0 { // those writes end there: a half stands for them until LearnFrom finds none out
			s.writesInFlight = 0.5
		}
		return s
	})
	r.subscribed, r.pollAt, r.pollFailures = from.subscribed, from.pollAt, from.pollFailures
}

// LearnFrom takes over what another router of the process has just learnt of a command's session: its last
// commands end there after the switch, and a read that is taken here must see what they wrote.
func (r *Router) LearnFrom(c *Command, from *Router) {
	told, s := from.session(c.Session), r.session(c.Session)
	if told.writesInFlight == 0 {
		s.writesInFlight = math.Floor(s.writesInFlight)
	}
	if s.writesInFlight == r.session(c.Session).writesInFlight && math.IsInf(max(told.lastWrite, told.highestRead), -1) {
		return
	}
	s.lastWrite, s.highestRead = max(s.lastWrite, told.lastWrite), max(s.highestRead, told.highestRead)
	r.sessions.Put(c.Session, s)
	r.shards[c.Shard].newestPosition = max(r.shards[c.Shard].newestPosition, s.lastWrite, s.highestRead)
}
