package router

import (
	"math"
	"slices"
)

// primary is the member whose own word for being the primary is the newest; the list counts
// only for a member that was never heard, since it may be seconds late or frozen.
func (r *Router) primary(s int) int {
	best, bestAt := -1, math.Inf(-1)
	for _, i := range r.shards[s].endpoints {
		if n := &r.endpoints[i]; r.eligible(n) && n.role == RolePrimary && n.roleAt > bestAt {
			best, bestAt = i, n.roleAt
		} else if r.eligible(n) && best < 0 && n.role == RoleUnknown && n.listedPrimary {
			best = i
		}
	}
	return best
}

// seekPrimary tests members with a write where no primary is known, or only a doubted one, since a miss is
// harmless and comes at once.
func (r *Router) testForPrimary(now float64, c *Command, p int) int {
	r.candidates = r.candidates[:0]
	for _, i := range r.shards[c.Shard].endpoints {
		n := &r.endpoints[i]
		if r.eligible(n) && i != p && !r.suspected(now, i) && now >= n.roleTestAt && len(c.Attempts) < r.config.MaxAttempts-1 &&
			now-n.roleAt > roleTestShare*r.longestObjective && r.slowStartAdmits(now, i) {
			r.candidates = append(r.candidates, i)
		}
	}
	if len(r.candidates) == 0 {
		// Few answers tell little, and there is no other primary. Where none is known it may be a doubted member:
		// with these left out, a set refused its writes until a read happened to try its new primary.
		for _, i := range r.shards[c.Shard].endpoints {
			n := &r.endpoints[i]
			if (i == p || p < 0 && r.eligible(n) && r.suspected(now, i)) && r.mayFailOpen(now, n) && r.slowStartAdmits(now, i) {
				n.recoveryAt = now + r.longestObjective
				return i
			}
		}
		return -1
	}
	at := r.candidates[r.random.IntN(len(r.candidates))]
	// A hundred routers' tests push members that come back cold over.
	r.endpoints[at].roleTestAt = now + roleTestShare*r.longestObjective*math.Max(1, math.Sqrt(float64(r.config.RouterCount))/2)
	return at
}

// crowded says that a replica which may yet cover a read foretells an answer so much earlier than the primary
// that the read rather waits for it: reads that spill from hundreds of routers, each of which knows few
// positions, overran primaries with writes to do. Harm: such a read waits for a probe, or all of its wait.
func (r *Router) primaryCrowded(now float64, c *Command, g *groupState, primary int) bool {
	most := r.predictedResponse(primary, g) - latencySlack*g.LatencyObjective
	return slices.ContainsFunc(r.shards[c.Shard].endpoints, func(i int) bool {
		n := &r.endpoints[i]
		return i != primary && r.eligible(n) && !n.ejected && n.mayCatchUp(now, c.requiredPosition) && r.predictedResponse(i, g) < most
	})
}

// maySpill keeps reads on the primary to one in five of the last second's.
func (r *Router) mayFallBack(now float64) bool {
	return r.fallbacks.Sum(now)+1 <= fallbackShare*(r.reads.Sum(now)+1)
}

// fit returns a primary if it has room for the command in time, else -1.
func (r *Router) admitPrimary(now float64, c *Command, g *groupState, at int) int {
	if !r.slowStartAdmits(now, at) || !r.admits(now, c, g, at, g.primaryQueueLimit) {
		return -1
	}
	return at
}
