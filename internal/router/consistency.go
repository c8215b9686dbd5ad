package router

import (
	"math"
	"slices"
)

// session is a session's two positions, and how many of its writes are out.
type session struct{ lastWrite, highestRead, writesInFlight float64 }

// owed is the position that a session's read must cover if it is sent now: also what the session was told
// while it waited. A write that is out may stand in the log already, with its answer on its way.
func (r *Router) sessionPosition(now float64, c *Command) float64 {
	s := r.session(c.Session)
	need := math.Max(math.Max(s.lastWrite, s.highestRead), r.shards[c.Shard].positionFloor)
	if r.config.ClientTokens && c.LastWriteAge != 0 {
		need = math.Max(need, c.ArrivedAt-c.LastWriteAge)
	} else if s.writesInFlight > 0 && !r.config.ClientTokens {
		need = now
	}
	return need
}

// note keeps what a session has written or seen, and that one more of its writes is out, or one less.
func (r *Router) recordSession(c *Command, g *groupState, out, at float64) {
	s := r.session(c.Session)
	switch {
	case c.Session != 0 && g.Consistency == PrimaryOnly:
		s.writesInFlight, s.lastWrite = math.Max(0, s.writesInFlight+out), math.Max(s.lastWrite, at)
	case c.Session != 0 && g.Consistency == SessionConsistent && !math.IsInf(at, -1):
		s.highestRead = math.Max(s.highestRead, at)
	default:
		return
	}
	r.sessions.Put(c.Session, s)
	r.shards[c.Shard].newestPosition = math.Max(r.shards[c.Shard].newestPosition, at)
}

// session is what is remembered of a session, if anything.
func (r *Router) session(id uint64) session {
	if s, ok := r.sessions.Get(id); ok {
		return s
	}
	return session{lastWrite: math.Inf(-1), highestRead: math.Inf(-1)}
}

// forget lets the older generation of sessions go; their positions become their sets' floors.
func (r *Router) expireSessions(now float64) {
	if now-r.sessionsTurnedAt < retentionTimeouts*r.longestTimeout && r.sessions.Younger() < maxSessions/2 {
		return
	}
	r.sessionsTurnedAt = now
	for i := range r.shards {
		s := &r.shards[i]
		s.positionFloor, s.olderPosition, s.newestPosition = math.Max(s.positionFloor, s.olderPosition), s.newestPosition, math.Inf(-1)
	}
	for i := range r.groups { // how groups are served is remembered about as long
		r.groups[i].arrivals, r.groups[i].answeredInTime = r.groups[i].arrivals/2, r.groups[i].answeredInTime/2
	}
	r.sessions.Turn()
}

// tell notes a position and a role that held at a time.
func (r *Router) recordReport(n *endpoint, at, position float64, role Role) {
	if position >= 0 {
		p := r.config.PositionEpoch + position
		n.position = math.Max(n.position, p)
		if at > n.reportedAt {
			n.reportedAt, n.lag = at, math.Max(0, at-p)
		}
	}
	if role != RoleUnknown && at >= n.roleAt {
		n.role, n.roleAt = role, at
	}
}

// mayCover says whether a member can have applied up to a position within the wait, at twice the log's pace.
func (n *endpoint) mayCatchUp(now, need float64) bool {
	return math.IsInf(n.reportedAt, -1) || need <= n.position+2*(now+catchUpWait-n.reportedAt)
}

// qualify makes the spare nodes those that may take a read of the position needed. It returns the
// doubted node that is due for a trial first, or -1: a doubted primary too, whose data is excused.
func (r *Router) collectCandidates(now float64, c *Command, g *groupState, need float64) int {
	p, trial := r.primary(c.Shard), -1
	r.candidates, r.healthyReplicas = r.candidates[:0], 0
	for _, i := range r.shards[c.Shard].endpoints {
		n := &r.endpoints[i]
		doubted := r.suspected(now, i)
		if i != p && !doubted && r.eligible(n) && n.mayCatchUp(now, need) {
			r.healthyReplicas++
		}
		if i == p && !doubted || !r.eligible(n) || n.position < need && i != p || !r.slowStartAdmits(now, i) {
			continue
		}
		if !doubted {
			r.candidates = append(r.candidates, i)
		} else if n.queued == 0 && g.Idempotency == Idempotent && (trial < 0 || n.recoveryAt < r.endpoints[trial].recoveryAt) {
			trial = i
		}
	}
	return trial
}

// ask has one replica, this router's own, probed for a read that none is known to cover: all routers spread
// evenly, and keeping all fresh cost more probes than commands. It tells whether any may cover in time. One
// that is cold and has its share already is not asked: reads found that it covers, and waited for it in vain.
func (r *Router) checkPosition(now float64, c *Command, primary int) (may bool) {
	r.candidates = r.candidates[:0]
	for _, i := range r.shards[c.Shard].endpoints {
		if n := &r.endpoints[i]; i != primary && r.eligible(n) && !n.ejected && n.mayCatchUp(now, c.requiredPosition) {
			may = true
			if r.slowStartAdmits(now, i) {
				r.candidates = append(r.candidates, i)
			}
		}
	}
	at := r.heavyReadReplica(c.Shard)
	r.prefer(func(i int) bool { return i != at })
	r.preferOwnZone()
	if len(r.candidates) > 0 {
		i := r.candidates[r.config.Instance%len(r.candidates)]
		n := &r.endpoints[i]
		known := n.position >= c.requiredPosition || now-math.Max(n.reportedAt, n.checkedAt) < catchUpWait
		if r.config.LoadReports && !r.config.ReplicasCheckReads && !known { // a guarded one tells by turning the read away
			r.requestCheck(now, i)
		}
	}
	return may
}

// leastBehind serves sites whose replicas check reads themselves.
func (r *Router) freshestReplica(now float64, c *Command, g *groupState) int {
	r.collectCandidates(now, c, g, math.Inf(-1))
	r.candidates = slices.DeleteFunc(r.candidates, func(i int) bool { // each is tried once
		return slices.ContainsFunc(c.Attempts, func(l Attempt) bool { return l.Endpoint == i })
	})
	least := math.Inf(1)
	for _, i := range r.candidates {
		least = math.Min(least, r.recentLag(now, i))
	}
	r.candidates = slices.DeleteFunc(r.candidates, func(i int) bool { return r.recentLag(now, i) > least+catchUpWait/2 })
	return r.drawCandidate(now, c, g)
}

// behind is how far a replica lagged lately; one not heard of late may have caught up since.
func (r *Router) recentLag(now float64, at int) float64 {
	if n := &r.endpoints[at]; now-n.reportedAt <= r.longestObjective {
		return n.lag
	}
	return 0
}
