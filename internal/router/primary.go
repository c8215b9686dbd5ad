package router

import (
	"math"
	"slices"
)

const (
	fallbackShare = 0.2  // share of the last second's reads that may go to the primary
	fallbackSlots = 10   // slots in which that second is counted
	roleTestShare = 0.25 // share of the longest objective between two role tests of an endpoint by few routers
)

// primary is the endpoint whose own word for being the primary is the newest, or none. The list, which may be
// seconds late or frozen, counts only for an endpoint that was never heard.
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

// testForPrimary sends a write to an endpoint that may have become the primary, where no primary is known or
// only a suspected one: an endpoint that is not turns it away at once, and nothing has run.
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
	// The tests of a hundred routers overload endpoints that come back in slow start.
	intervalFactor := max(1, math.Sqrt(float64(r.config.RouterCount))/2)
	r.endpoints[i].nextRoleTestAt = now + roleTestShare*r.longestObjective*intervalFactor
	return i
}

func (r *Router) mayTestRole(now float64, c *Command, i int) bool {
	e := &r.endpoints[i]
	if !r.eligible(e) || r.updateEjection(now, i) || now < e.nextRoleTestAt || r.remainingAttempts(c) <= 1 {
		return false
	}
	return now-e.roleHeldAt > roleTestShare*r.longestObjective && r.slowStartAdmits(now, i)
}

// chooseEjectedPrimary fails open: a few failures say little, and there is no other primary.
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

// primaryCrowded says that a replica which may yet cover a read will answer so much earlier than the primary
// that the read rather waits for it: fallbacks of hundreds of routers overran primaries with writes to do.
func (r *Router) primaryCrowded(now float64, c *Command, g *group, primary int) bool {
	longest := r.predictedResponse(primary, g) - latencySlack*g.LatencyObjective
	return slices.ContainsFunc(r.shards[c.Shard].endpoints, func(i int) bool {
		return r.mayCover(now, c.requiredPosition, i, primary) && r.predictedResponse(i, g) < longest
	})
}

// mayFallBack keeps reads at primaries to their share of the last second's.
func (r *Router) mayFallBack(now float64) bool {
	reads, fallbacks := r.readCounter.Sums(now)
	return fallbacks+1 <= fallbackShare*(reads+1)
}

// admitPrimary returns a primary if it admits the command, else none.
func (r *Router) admitPrimary(now float64, c *Command, g *group, primary int) int {
	if !r.slowStartAdmits(now, primary) || !r.admits(now, c, g, primary, g.primaryQueueLimit) {
		return noIndex
	}
	return primary
}
