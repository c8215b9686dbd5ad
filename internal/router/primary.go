package router

import (
	"math"
	"slices"
)

const (
	// Share of the reads in the last second that may fall back to the primary.
	fallbackShare = 0.2
	// Number of slots in which that second is counted.
	fallbackSlots = 10
	// Share of the longest objective between two role tests of an endpoint, if there are few routers.
	roleTestShare = 0.25
)

// primary returns the endpoint that has stated most recently that it is the primary, or noIndex. The
// list, which may be seconds late or frozen, counts only for an endpoint that has never stated its role.
func (r *Router) primary(shard int) int {
	best, bestAt := noIndex, math.Inf(-1)
	for _, i := range r.shards[shard].endpoints {
		e := &r.endpoints[i]
		if !r.eligible(e) {
			continue
		}
		if e.role == RolePrimary && e.roleHeldAt > bestAt {
			best, bestAt = i, e.roleHeldAt
		} else if best < 0 && e.role == RoleUnknown && e.listedPrimary {
			best = i
		}
	}
	return best
}

// testForPrimary returns an endpoint that may have become the primary, for a write where no primary is
// known or it is ejected. An endpoint that is not the primary rejects the write immediately, and nothing
// has run.
func (r *Router) testForPrimary(now float64, c *Command, primary int) int {
	r.candidates = r.candidates[:0]
	for _, i := range r.shards[c.Shard].endpoints {
		if i != primary && r.mayTestRole(now, c, i) {
			r.candidates = append(r.candidates, i)
		}
	}
	if len(r.candidates) == 0 {
		return r.chooseEjectedPrimary(now, c, primary)
	}
	i := r.candidates[r.random.IntN(len(r.candidates))]
	// With an interval that did not grow with the number of routers, the tests of a hundred routers would
	// overload endpoints that restart in slow start.
	intervalFactor := max(1, math.Sqrt(float64(r.config.RouterCount))/2)
	r.endpoints[i].nextRoleTestAt = now + roleTestShare*r.longestObjective*intervalFactor
	return i
}

// mayTestRole reports whether a write may be sent to endpoint i to find out if it is the primary.
func (r *Router) mayTestRole(now float64, c *Command, i int) bool {
	e := &r.endpoints[i]
	if !r.eligible(e) || r.updateEjection(now, i) || now < e.nextRoleTestAt || r.remainingAttempts(c) <= 1 {
		return false
	}
	return now-e.roleHeldAt > roleTestShare*r.longestObjective && r.slowStartAdmits(now, i)
}

// chooseEjectedPrimary returns an ejected endpoint that may be the primary, or noIndex. A few failures
// prove little, and there is no other primary.
func (r *Router) chooseEjectedPrimary(now float64, c *Command, primary int) int {
	for _, i := range r.shards[c.Shard].endpoints {
		e := &r.endpoints[i]
		mayBePrimary := i == primary || primary < 0 && r.eligible(e) && r.updateEjection(now, i)
		if mayBePrimary && r.mayFailOpen(now, e) && r.slowStartAdmits(now, i) {
			e.nextRecoveryAt = now + r.longestObjective
			return i
		}
	}
	return noIndex
}

// primaryCrowded reports whether a replica that may yet cover a read would answer so much earlier than
// the primary that the read should wait for it. Fallbacks of hundreds of routers overloaded primaries
// that had writes to do.
func (r *Router) primaryCrowded(now float64, c *Command, g *group, primary int) bool {
	longest := r.predictedResponse(primary, g) - latencySlack*g.LatencyObjective
	return slices.ContainsFunc(r.shards[c.Shard].endpoints, func(i int) bool {
		return r.mayCover(now, c.requiredPosition, i, primary) && r.predictedResponse(i, g) < longest
	})
}

// mayFallBack reports whether one more read may go to a primary within the allowed share of the last
// second's reads.
func (r *Router) mayFallBack(now float64) bool {
	reads, fallbacks := r.readCounter.Sums(now)
	return fallbacks+1 <= fallbackShare*(reads+1)
}

// admitPrimary returns the primary if it admits the command, otherwise noIndex.
func (r *Router) admitPrimary(now float64, c *Command, g *group, primary int) int {
	if !r.slowStartAdmits(now, primary) || !r.admits(now, c, g, primary, g.primaryQueueLimit) {
		return noIndex
	}
	return primary
}
