package router

import (
	"cmp"
	"math"
	"slices"
)

const (
	latencySlack       = 0.1  // share of the latency objective by which an endpoint may be slower than the best
	lowTrafficAttempts = 0.5  // attempts to an endpoint within an objective: with fewer its queue cannot be seen
	recoveryShare      = 0.05 // of this router's commands may be recovery attempts
)

// chooseEndpoint picks an endpoint, or none for now. A fallback is a read at the primary for want of a
// replica.
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
	return r.chooseForUncoveredRead(now, c, g, primary, primaryHealthy)
}

// chooseForUncoveredRead serves a read that no replica is known to cover and that did not fall back at once.
func (r *Router) chooseForUncoveredRead(now float64, c *Command, g *group, primary int, primaryHealthy bool) (int, bool) {
	waitIsUseless := !r.checkPosition(now, c, primary) || c.tooStale
	if r.config.ReplicasCheckReads && (!waitIsUseless || !primaryHealthy) {
		if i := r.chooseFreshestReplica(now, c, g); i >= 0 {
			return i, false
		}
	}
	// The answer must fit in after the wait.
	wait := min(catchUpWait, maxWaitShare*(r.usefulUntil(c, g)-c.ArrivedAt))
	if primaryHealthy && (waitIsUseless || now-c.ArrivedAt >= wait) {
		return r.admitPrimary(now, c, g, primary), true
	}
	return noIndex, false
}

// chooseReplica spreads reads evenly over the replicas that cover them, answer, and are not crowded.
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

// heavyReadReplica is the first listed replica that is reachable, or none. Heavy reads can stop a replica's
// log: spread evenly they kept all replicas behind. So they meet there, and other reads avoid it.
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

// isHeavy says that a group reads data of any age, with an objective beyond that of all fresher groups.
func (r *Router) isHeavy(g *group) bool { return g.LatencyObjective > r.longestObjective }

// drawCandidate draws from the candidates about as quick as the quickest, or none if that one is too busy.
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
	// Hundreds of routers that each spread a few reads over all endpoints open a connection for most of them.
	if r.hasLowTraffic() {
		r.prefer(func(i int) bool { return r.endpoints[i].idleConnections > 0 })
	}
	return r.candidates[r.random.IntN(len(r.candidates))]
}

// hasLowTraffic says that this router sends too little to an endpoint to see its state in time.
func (r *Router) hasLowTraffic() bool { return r.warmAttemptRate*r.longestObjective < lowTrafficAttempts }

// preferOwnZone suits low traffic: a slow network to another zone is over before this router has seen it.
func (r *Router) preferOwnZone() {
	if r.hasLowTraffic() {
		r.prefer(func(i int) bool { return r.endpoints[i].zone == r.config.Zone })
	}
}

// prefer keeps the candidates that are better, if any are.
func (r *Router) prefer(better func(int) bool) {
	if slices.ContainsFunc(r.candidates, better) {
		r.candidates = slices.DeleteFunc(r.candidates, func(i int) bool { return !better(i) })
	}
}
