package router

import (
	"cmp"
	"math"
	"slices"
)

const (
	// Share of the latency objective that counts as a small difference, for example between the quickest
	// endpoint and a chosen one.
	latencySlack = 0.1
	// With fewer attempts to an endpoint per longest objective, a router cannot observe its queue.
	lowTrafficAttempts = 0.5
	// Share of this router's commands that may be recovery attempts.
	recoveryShare = 0.05
)

// chooseEndpoint returns the endpoint for a command, or noIndex if there is none for now. A fallback is a
// read that goes to the primary because no replica can serve it.
func (r *Router) chooseEndpoint(now float64, c *Command, g *group) (i int, fallback bool) {
	primary := r.primary(c.Shard)
	primaryHealthy := primary >= 0 && !r.updateEjection(now, primary)
	switch {
	case primaryHealthy && (g.Consistency == PrimaryOnly || g.Consistency == Linearizable):
		return r.admitPrimary(now, c, g, primary), false
	case g.Consistency == PrimaryOnly:
		return r.testForPrimary(now, c, primary), false
	}
	c.requiredPosition = r.requiredPosition(now, c, g)
	if i = r.chooseReplica(now, c, g, c.requiredPosition); i >= 0 {
		return i, false
	}
	if primaryHealthy && r.mayFallBack(now) && !r.primaryCrowded(now, c, g, primary) {
		if i = r.admitPrimary(now, c, g, primary); i >= 0 {
			return i, true
		}
	}
	return r.serveUncovered(now, c, g, primary, primaryHealthy)
}

// serveUncovered chooses an endpoint for a read that no replica is known to cover and that has not fallen
// back to the primary. healthy reports whether the primary is known and not ejected.
func (r *Router) serveUncovered(now float64, c *Command, g *group, primary int, healthy bool) (int, bool) {
	waitIsUseless := !r.checkPosition(now, c, primary) || c.tooStale
	if r.config.ReplicasCheckReads && (!waitIsUseless || !healthy) {
		if i := r.chooseFreshestReplica(now, c, g); i >= 0 {
			return i, false
		}
	}
	// The read waits only so long that an answer can still be useful.
	wait := min(catchUpWait, maxWaitShare*(r.usefulUntil(c, g)-c.ArrivedAt))
	if healthy && (waitIsUseless || now-c.ArrivedAt >= wait) {
		return r.admitPrimary(now, c, g, primary), true
	}
	return noIndex, false
}

// chooseReplica returns an endpoint for a read, or noIndex. It spreads reads evenly over the replicas that
// cover them, answer, and are not crowded. An ejected endpoint comes first if its recovery attempt is due.
func (r *Router) chooseReplica(now float64, c *Command, g *group, position float64) int {
	if i := r.collectCandidates(now, c, g, position); i >= 0 && r.recoveryDue(now, c, g, i) {
		r.endpoints[i].nextRecoveryAt, r.lastRecoveryAt = now+r.longestObjective, now
		return i
	}
	heavy := r.heavyReadReplica(c.Shard)
	if r.isHeavy(g) {
		r.candidates = slices.DeleteFunc(r.candidates, func(i int) bool { return i != heavy })
	} else {
		r.prefer(func(i int) bool { return i != heavy })
	}
	return r.drawCandidate(now, c, g)
}

// heavyReadReplica returns the first listed replica of a shard that is reachable, or noIndex if there is
// none or no group is heavy. Heavy reads can stop a replica from applying the log. Spread evenly, they
// kept all replicas behind, so all go to this replica, and other reads avoid it.
func (r *Router) heavyReadReplica(shard int) int {
	if !slices.ContainsFunc(r.groups, func(g group) bool { return r.isHeavy(&g) }) {
		return noIndex
	}
	primary := r.primary(shard)
	for _, i := range r.shards[shard].endpoints {
		if e := &r.endpoints[i]; i != primary && r.eligible(e) && math.IsInf(e.unreachableSince, 1) {
			return i
		}
	}
	return noIndex
}

// isHeavy reports whether a group reads data of any age with a longer latency objective than all fresher
// groups.
func (r *Router) isHeavy(g *group) bool { return g.LatencyObjective > r.longestObjective }

// drawCandidate draws one of the candidates that are about as quick as the quickest. It returns noIndex
// if the quickest does not admit the command.
func (r *Router) drawCandidate(now float64, c *Command, g *group) int {
	if len(r.candidates) == 0 {
		return noIndex
	}
	best := slices.MinFunc(r.candidates, func(a, b int) int {
		return cmp.Compare(r.predictedResponse(a, g), r.predictedResponse(b, g))
	})
	if !r.admits(now, c, g, best, g.queueLimit) {
		return noIndex
	}
	longest := r.predictedResponse(best, g) + latencySlack*g.LatencyObjective
	r.candidates = slices.DeleteFunc(r.candidates, func(i int) bool {
		return r.predictedResponse(i, g) > longest
	})
	r.preferOwnZone()
	// Hundreds of routers that each spread a few reads over all endpoints would need a new connection for
	// most reads.
	if r.hasLowTraffic() {
		r.prefer(func(i int) bool { return r.endpoints[i].idleConnections > 0 })
	}
	return r.candidates[r.random.IntN(len(r.candidates))]
}

// hasLowTraffic reports whether this router sends too little to each endpoint to observe its state in time.
func (r *Router) hasLowTraffic() bool {
	return r.warmAttemptRate*r.longestObjective < lowTrafficAttempts
}

// preferOwnZone keeps the candidates in this router's zone if it has low traffic. A slow network to
// another zone would have recovered before such a router had noticed it.
func (r *Router) preferOwnZone() {
	if r.hasLowTraffic() {
		r.prefer(func(i int) bool { return r.endpoints[i].zone == r.config.Zone })
	}
}

// prefer keeps only the candidates that are better, unless none are.
func (r *Router) prefer(better func(int) bool) {
	if slices.ContainsFunc(r.candidates, better) {
		r.candidates = slices.DeleteFunc(r.candidates, func(i int) bool { return !better(i) })
	}
}
