package router

import (
	"cmp"
	"math"
)

// pace foretells a node's answer time over all command groups. The other routers' part of the
// queue shows only in its answer times; this router's own, one in so many, goes with what is out.
func (r *Router) expectedLatency(n *endpoint, ahead int) float64 {
	places := (n.queueSum + priorWeight*r.queueLength) / (n.answerSum + priorWeight)
	others := math.Sqrt(float64(r.config.RouterCount)) - 1
	return r.meanLatency(n) * (others + float64(ahead+1)/(places+1)) / (others + 1)
}

// mean is a node's mean answer time, leaning on its set's while there are few, and that on the fleet's. Thin
// routers hear a node every ten seconds, its set every second: leaning on the fleet alone, hundreds went on
// sending to sets that answered nothing in time. Harm: one slow node slows its set's others a little.
func (r *Router) meanLatency(n *endpoint) float64 {
	s := &r.shards[n.shard]
	return (n.latencySum + priorWeight*(s.latencySum+priorWeight*r.latency)/(s.answerSum+priorWeight)) / (n.answerSum + priorWeight)
}

// sojourn foretells a node's answer time for a command group.
func (r *Router) predictedResponse(at int, g *groupState) float64 {
	n := &r.endpoints[at]
	t := math.Max(g.serviceTime, r.expectedLatency(n, n.queued)*g.tailFactor)
	if n.idleConnections == 0 && r.connectionsCostly() {
		t += r.connectCost
	}
	return t
}

// dear says that new connections cost much, so that those that stand are worth keeping.
func (r *Router) connectionsCostly() bool { return r.connectCost >= latencySlack*r.longestObjective }

// workOf is a command group's work, or before its first answer what its target makes likely.
func (r *Router) expectedWork(g *groupState) float64 {
	return cmp.Or(g.serviceTime, assumedServiceShare*g.LatencyObjective)
}

// fadeNode lets the records of a node and of its set fade.
func (r *Router) decay(now float64, n *endpoint) {
	if now > n.decayedAt {
		f, quick := math.Exp((n.decayedAt-now)/r.decayTime), math.Exp(decayObjectives*(n.decayedAt-now)/r.decayTime)
		n.latencySum, n.queueSum, n.answerSum, n.attemptSum = n.latencySum*f, n.queueSum*f, n.answerSum*f, n.attemptSum*f
		n.failureSum, n.resultSum = n.failureSum*quick, n.resultSum*quick
		n.decayedAt = now
	}
	if s := &r.shards[n.shard]; now > s.decayedAt {
		f := math.Exp((s.decayedAt - now) / (decayObjectives * r.longestObjective))
		s.latencySum, s.answerSum, s.decayedAt = s.latencySum*f, s.answerSum*f, now
	}
}

// measure adds an answer time, or the least that it would have been.
func (r *Router) recordLatency(g *groupState, n *endpoint, l *Attempt, took float64) {
	if seen := r.expectedLatency(n, l.queuePosition); seen > 0 {
		g.tailFactor += averageWeight * (math.Min(took/seen, maxTailFactor) - g.tailFactor)
	}
	n.latencySum += r.normalizedLatency(g, took)
	n.queueSum += float64(l.queuePosition + 1)
	n.answerSum++
	s := &r.shards[n.shard]
	s.latencySum, s.answerSum = s.latencySum+r.normalizedLatency(g, took), s.answerSum+1
}

// asMean is an answer time as of a command of mean work. What a heavier one takes beyond its own work is
// chance of that work more than queue, so it counts in proportion.
func (r *Router) normalizedLatency(g *groupState, took float64) float64 {
	return math.Max(0, r.serviceTime+(took-g.serviceTime)*math.Min(1, r.serviceTime/math.Max(g.serviceTime, roundOff)))
}
