package router

import (
	"math"
	"slices"
)

const (
	catchUpWait       = 0.1     // seconds that a read waits for a replica to catch up
	maxSessions       = 1 << 16 // sessions remembered before the older half is forgotten
	retentionTimeouts = 8       // longest client timeouts until sessions and removed endpoints are forgotten
)

// requiredPosition is the log position that a read's data must cover if it is sent now.
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

// sessionPosition is the position that a session's read must cover, with what its session was told while the
// read waited. A write in flight may be in the log already, with its answer on the way.
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

// recordSession notes a position that a session wrote or read, and a change of its writes in flight.
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

// expireSessions forgets the older generation of sessions when it is due; its highest positions become its
// shards' floors. How groups were served is forgotten by half at the same time.
func (r *Router) expireSessions(now float64) {
	if now-r.sessionsRotatedAt < retentionTimeouts*r.longestTimeout && r.sessions.YoungerLen() < maxSessions/2 {
		return
	}
	for i := range r.groups {
		r.groups[i].arrivalCount /= 2
		r.groups[i].inTimeAnswerCount /= 2
	}
	r.rotateSessions(now)
}

// mayCatchUp says whether it can have applied up to a position within the wait, at twice the log's pace.
func (e *endpoint) mayCatchUp(now, position float64) bool {
	return math.IsInf(e.positionReportedAt, -1) || position <= e.position+2*(now+catchUpWait-e.positionReportedAt)
}

// mayCover says whether a replica that is not ejected may cover a read's position within the wait.
func (r *Router) mayCover(now, position float64, i, primary int) bool {
	e := &r.endpoints[i]
	return i != primary && r.eligible(e) && !e.ejected && e.mayCatchUp(now, position)
}

// collectCandidates gathers the endpoints that may take a read of a position. It returns the ejected endpoint
// that is due for a recovery attempt first, or none; that may be the primary, whose data are always fresh.
func (r *Router) collectCandidates(now float64, c *Command, g *group, position float64) int {
	primary, recovering := r.primary(c.Shard), noIndex
	r.candidates, r.healthyReplicas = r.candidates[:0], 0
	for _, i := range r.shards[c.Shard].endpoints {
		e := &r.endpoints[i]
		ejected := r.updateEjection(now, i)
		if r.mayCover(now, position, i, primary) {
			r.healthyReplicas++
		}
		covers := i == primary || e.position >= position
		if i == primary && !ejected || !r.eligible(e) || !covers || !r.slowStartAdmits(now, i) {
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

// checkPosition says whether a replica may cover a read in time, and has one checked, this router's own:
// keeping the positions of all of them fresh costs more checks than there are commands.
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
	// A replica that checks reads itself tells its position by turning the read away.
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

// chooseFreshestReplica serves deployments whose replicas check reads themselves. Each is tried once for a command.
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

// recentLag is how far a replica lagged lately; one that was not heard of lately may have caught up since.
func (r *Router) recentLag(now float64, i int) float64 {
	if e := &r.endpoints[i]; now-e.positionReportedAt <= r.longestObjective {
		return e.reportedLag
	}
	return 0
}
