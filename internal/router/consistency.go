package router

import (
	"math"
	"slices"
)

const (
	catchUpWait       = 0.1     // seconds for which a read waits for a replica to catch up
	maxSessions       = 1 << 16 // number of remembered sessions at which the older half is forgotten
	retentionTimeouts = 8       // longest client timeouts for which sessions and removed endpoints are kept
)

// requiredPosition returns the log position, as a time, that a replica must have applied to serve a read
// sent now. A replica that has applied it covers the read.
func (r *Router) requiredPosition(now float64, c *Command, g *group) float64 {
	switch g.Consistency {
	case Linearizable:
		return c.ArrivedAt
	case BoundedStaleness:
		return now - g.MaxStaleness
	case SessionConsistent:
		return r.sessionPosition(now, c)
	default:
		return math.Inf(-1)
	}
}

// MaySend reports whether the attempt of a command that is in flight may still be sent to its endpoint. The
// caller asks before each write of a part of it. Until the last byte is written, a bounded read's data age,
// a session may write, and the endpoint may turn out not to be the primary, so that what covered the read
// when Route chose the endpoint may no longer cover it. An attempt that may not be sent ends as NeverSent.
func (r *Router) MaySend(now float64, c *Command) bool {
	k := slices.IndexFunc(c.Attempts, func(a Attempt) bool { return a.InFlight })
	if k < 0 {
		return false
	}
	g := &r.groups[c.Group]
	// Replicas that check reads reject those that they do not cover, and an endpoint that is not the primary
	// rejects writes.
	if r.config.ReplicasCheckReads || g.Consistency == PrimaryOnly {
		return true
	}
	return r.covers(c.Attempts[k].Endpoint, r.primary(c.Shard), r.requiredPosition(now, c, g))
}

// covers reports whether endpoint i is known to have applied a position, or is the primary of its shard.
func (r *Router) covers(i, primary int, position float64) bool {
	return i == primary || r.endpoints[i].position >= position
}

// sessionPosition returns the position that a read must cover for its session. It includes what the
// session has learned while the read waited. Unless clients send tokens, a write in flight counts as done:
// it may be in the log with its answer under way.
func (r *Router) sessionPosition(now float64, c *Command) float64 {
	s := r.session(c.Session)
	position := max(s.lastWrite, s.highestRead, r.shards[c.Shard].positionFloor)
	switch {
	case r.config.ClientTokens && c.LastWriteAge != 0:
		return max(position, c.ArrivedAt-c.LastWriteAge)
	case s.writesInFlight > 0 && !r.config.ClientTokens:
		return now
	}
	return position
}

// recordSession records a position that a session has written or read, and adds writes to its writes in
// flight.
func (r *Router) recordSession(c *Command, g *group, writes, position float64) {
	s := r.session(c.Session)
	switch {
	case c.Session != 0 && g.Consistency == PrimaryOnly:
		s.writesInFlight = max(0, s.writesInFlight+writes)
		s.lastWrite = max(s.lastWrite, position)
	case c.Session != 0 && g.Consistency == SessionConsistent && !math.IsInf(position, -1):
		s.highestRead = max(s.highestRead, position)
	default:
		return
	}
	r.sessions.Put(c.Session, s)
	r.shards[c.Shard].newestPosition = max(r.shards[c.Shard].newestPosition, position)
}

// expireSessions forgets the older generation of sessions when it is due. The highest positions in it
// become the floors of the shards. The groups' arrivalCount and inTimeAnswerCount are halved at the same
// time.
func (r *Router) expireSessions(now float64) {
	if now-r.sessionsRotatedAt < r.sessionRetention && r.sessions.YoungerLen() < maxSessions/2 {
		return
	}
	for i := range r.groups {
		r.groups[i].arrivalCount /= 2
		r.groups[i].inTimeAnswerCount /= 2
	}
	r.rotateSessions(now)
}

// mayCatchUp reports whether the endpoint may reach a position within catchUpWait if it applies the log
// at twice the pace at which it is written.
func (e *endpoint) mayCatchUp(now, position float64) bool {
	return math.IsInf(e.positionReportedAt, -1) ||
		position <= e.position+2*(now+catchUpWait-e.positionReportedAt)
}

// mayCover reports whether endpoint i is a replica, not ejected, that may cover a read's position within
// catchUpWait.
func (r *Router) mayCover(now, position float64, i, primary int) bool {
	e := &r.endpoints[i]
	return i != primary && r.eligible(e) && !e.ejected && e.mayCatchUp(now, position)
}

// collectCandidates sets r.candidates to the endpoints that may serve a read at a position, and
// r.healthyReplicas. For an idempotent read it returns the ejected endpoint with the earliest recovery
// time, or noIndex. That may be the primary, whose data is always current.
func (r *Router) collectCandidates(now float64, c *Command, g *group, position float64) int {
	primary, recovering := r.primary(c.Shard), noIndex
	r.candidates, r.healthyReplicas = r.candidates[:0], 0
	for _, i := range r.shards[c.Shard].endpoints {
		e := &r.endpoints[i]
		ejected := r.updateEjection(now, i)
		if r.mayCover(now, position, i, primary) {
			r.healthyReplicas++
		}
		serves := r.eligible(e) && r.covers(i, primary, position)
		if i == primary && !ejected || !serves || !r.slowStartAdmits(now, i) {
			continue
		}
		if !ejected {
			r.candidates = append(r.candidates, i)
		} else if e.queued == 0 && g.Idempotency == Idempotent &&
			(recovering < 0 || e.nextRecoveryAt < r.endpoints[recovering].nextRecoveryAt) {
			recovering = i
		}
	}
	return recovering
}

// checkPosition reports whether a replica may cover a read within catchUpWait. If so, it may request a
// health check of one of them, chosen by this router's index. Keeping the positions of all replicas fresh
// would take more checks than there are commands.
func (r *Router) checkPosition(now float64, c *Command, primary int) (mayCover bool) {
	r.candidates = r.candidates[:0]
	for _, i := range r.shards[c.Shard].endpoints {
		if r.mayCover(now, c.requiredPosition, i, primary) {
			mayCover = true
			if r.slowStartAdmits(now, i) {
				r.candidates = append(r.candidates, i)
			}
		}
	}
	heavy := r.heavyReadReplica(c.Shard)
	r.prefer(func(i int) bool { return i != heavy })
	r.preferOwnZone()
	// A replica that checks reads itself reports its position when it rejects the read.
	if len(r.candidates) == 0 || !r.config.LoadReports || r.config.ReplicasCheckReads {
		return mayCover
	}
	i := r.candidates[r.config.Instance%len(r.candidates)]
	e := &r.endpoints[i]
	if e.position < c.requiredPosition && now-max(e.positionReportedAt, e.lastCheckAt) >= catchUpWait {
		r.requestCheck(now, i)
	}
	return mayCover
}

// chooseFreshestReplica chooses a replica for a read where replicas check reads themselves: one of those
// that lag least, each at most once for a command. It returns noIndex if there is none.
func (r *Router) chooseFreshestReplica(now float64, c *Command, g *group) int {
	r.collectCandidates(now, c, g, math.Inf(-1))
	r.candidates = slices.DeleteFunc(r.candidates, func(i int) bool {
		return slices.ContainsFunc(c.Attempts, func(a Attempt) bool { return a.Endpoint == i })
	})
	least := math.Inf(1)
	for _, i := range r.candidates {
		least = min(least, r.recentLag(now, i))
	}
	r.candidates = slices.DeleteFunc(r.candidates, func(i int) bool {
		return r.recentLag(now, i) > least+catchUpWait/2
	})
	return r.drawCandidate(now, c, g)
}

// recentLag returns by how many seconds replica i was behind lately. It returns 0 if its last report is
// old, as the replica may have caught up since.
func (r *Router) recentLag(now float64, i int) float64 {
	if e := &r.endpoints[i]; now-e.positionReportedAt <= r.longestObjective {
		return e.reportedLag
	}
	return 0
}
