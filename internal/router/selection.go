package router

import (
	"cmp"
	"math"
	"slices"
)

// pick spreads reads uniformly over the replicas that cover a position, answer, and are not crowded.
func (r *Router) pickReplica(now float64, c *Command, g *groupState, need float64) int {
	if trial := r.collectCandidates(now, c, g, need); trial >= 0 {
		n := &r.endpoints[trial]
		// What was out of reach is left to probes. Where all are doubted the one that failed longest ago is
		// taken, or many bad members at once would leave nobody to send to, and nobody to learn from.
		due := now >= n.recoveryAt && now-c.ArrivedAt < latencySlack*g.LatencyObjective && now-r.recoveryAt >= r.recoveryInterval &&
			(math.IsInf(n.unreachableSince, 1) || !r.config.HealthChecks)
		if due || r.healthyReplicas == 0 && r.mayFailOpen(now, n) {
			n.recoveryAt, r.recoveryAt = now+r.longestObjective, now
			return trial
		}
	}
	if at := r.heavyReadReplica(c.Shard); r.heavy(g) {
		r.candidates = slices.DeleteFunc(r.candidates, func(i int) bool { return i != at })
	} else {
		r.prefer(func(i int) bool { return i != at })
	}
	return r.drawCandidate(now, c, g)
}

// gather is the first listed replica within reach, or -1. A heavy read can stop a replica's log while it
// runs: spread evenly such reads kept all replicas behind. All routers know one order, so heavy reads meet
// there and others, as long as another will do, do not. Harm: one is crowded, and of no use to fresh reads.
func (r *Router) heavyReadReplica(s int) int {
	if !slices.ContainsFunc(r.groups, func(g groupState) bool { return r.heavy(&g) }) {
		return -1
	}
	p := r.primary(s)
	for _, i := range r.shards[s].endpoints {
		if n := &r.endpoints[i]; i != p && r.eligible(n) && math.IsInf(n.unreachableSince, 1) {
			return i
		}
	}
	return -1
}

// heavy says that any age will do for a group and that its target is beyond that of all that need fresh data.
func (r *Router) heavy(g *groupState) bool { return g.LatencyObjective > r.longestObjective }

// spread draws from the spare nodes that are not crowded, or gives -1 if the best has no room.
func (r *Router) drawCandidate(now float64, c *Command, g *groupState) int {
	if len(r.candidates) == 0 {
		return -1
	}
	best := slices.MinFunc(r.candidates, func(a, b int) int { return cmp.Compare(r.predictedResponse(a, g), r.predictedResponse(b, g)) })
	if !r.admits(now, c, g, best, g.queueLimit) {
		return -1
	}
	most := r.predictedResponse(best, g) + latencySlack*g.LatencyObjective
	r.candidates = slices.DeleteFunc(r.candidates, func(i int) bool { return r.predictedResponse(i, g) > most })
	// Hundreds of routers that each spread a few reads over all hosts open a connection for most of them, and
	// hear of a position twice nowhere. Harm: a router with several times the mean traffic leans on few.
	if r.preferOwnZone(); r.lowTraffic() {
		r.prefer(func(i int) bool { return r.endpoints[i].idleConnections > 0 })
	}
	return r.candidates[r.random.IntN(len(r.candidates))]
}

// blind says that a target brings so few dispatches to a member that nothing is seen of it in time.
func (r *Router) lowTraffic() bool { return r.warmRate*r.longestObjective < lowTrafficAttempts }

// near keeps a blind router to its own zone: a slow way to another is over before it has seen it. Harm: load
// follows clients' zones until members there are foretold as crowded.
func (r *Router) preferOwnZone() {
	if r.lowTraffic() {
		r.prefer(func(i int) bool { return r.endpoints[i].zone == r.config.Zone })
	}
}

// narrow keeps the spare nodes that are better, if any are.
func (r *Router) prefer(better func(int) bool) {
	if slices.ContainsFunc(r.candidates, better) {
		r.candidates = slices.DeleteFunc(r.candidates, func(i int) bool { return !better(i) })
	}
}
