package router

import (
	"cmp"
	"math"
)

const (
	// Time constant with which an endpoint's latency decays, in longest objectives; that of its health is
	// one longest objective.
	decayObjectives = 4
	// Where attempts to an endpoint are rare, the time of this many takes the place of one longest
	// objective.
	decayAttempts = 2
	// A single answer counts for at most this many times the expected latency.
	maxTailFactor = 3.0
	// Weight of one answer in the exponentially weighted means of the fleet and of the groups.
	averageWeight = 0.05
	// Weight of one failed connection in the cost of a new one.
	connectFailureWeight = 0.2
	// Number of answers whose mean replaces a group's service time if it is lower.
	serviceBatchSize = 8.0
	// Time constant, in longest objectives, with which a group's service time rises to batches above it.
	serviceDriftObjectives = 25
	// Share of its latency objective that is taken for a group's service time before there are answers.
	assumedServiceShare = 0.25
)

// expectedLatency returns the answer time in seconds, over all groups, that an endpoint is expected to
// have at a queue position. The other routers' part of its queue shows only in answer times. This
// router's part follows the attempts that it has in flight there.
func (r *Router) expectedLatency(e *endpoint, position int) float64 {
	t := r.trafficAt(e)
	meanPosition := (t.queuePositionSum + priorWeight*r.fleetQueueLength) / (t.answerCount + priorWeight)
	others := math.Sqrt(float64(r.config.RouterCount)) - 1
	return r.meanLatency(e) * (others + float64(position+1)/(meanPosition+1)) / (others + 1)
}

// meanLatency returns an endpoint's mean answer time in seconds. While the endpoint has few answers, the
// result is close to the mean of its shard, which in turn is close to that of the fleet while the shard has
// few answers. With low traffic a router has an answer from an endpoint every ten seconds, and from its
// shard every second.
func (r *Router) meanLatency(e *endpoint) float64 {
	t, s := r.trafficAt(e), r.trafficOfShard(e.shard)
	prior := priorWeight * (s.latencySum + priorWeight*r.fleetLatency) / (s.answerCount + priorWeight)
	return (t.latencySum + prior) / (t.answerCount + priorWeight)
}

// predictedResponse returns the answer time in seconds that endpoint i is expected to have for a group's
// next command.
func (r *Router) predictedResponse(i int, g *group) float64 {
	e := &r.endpoints[i]
	response := max(g.serviceTime, r.expectedLatency(e, e.queued)*g.tailFactor)
	if e.idleConnections == 0 && r.connectionsCostly() {
		response += r.connectCost
	}
	return response
}

// connectionsCostly reports whether a new connection costs so much time that open ones are worth keeping.
func (r *Router) connectionsCostly() bool { return r.connectCost >= latencySlack*r.longestObjective }

// expectedWork returns a group's service time in seconds, assumed from its objective before the first
// answer.
func (r *Router) expectedWork(g *group) float64 {
	return cmp.Or(g.serviceTime, assumedServiceShare*g.LatencyObjective)
}

// relativeWork returns a group's expected work as a number of commands of mean service time.
func (r *Router) relativeWork(g *group) float64 {
	work := r.expectedWork(g)
	return work / cmp.Or(r.fleetServiceTime, work)
}

// decay decays the sums of an endpoint and of its shard, those of the endpoint's health faster.
func (r *Router) decay(now float64, e *endpoint) {
	e.decay(now, r.decayTime/decayObjectives)
	r.decayTraffic(now, e)
}

// decayTraffic decays what this router has measured at an endpoint and its shard.
func (r *Router) decayTraffic(now float64, e *endpoint) {
	r.trafficAt(e).decay(now, r.decayTime)
	r.trafficOfShard(e.shard).decay(now, decayObjectives*r.longestObjective)
}

// recordLatency adds an attempt's answer time, or an estimate of what it would have been, to the latency
// statistics of this router and of the current one.
func (r *Router) recordLatency(now float64, g *group, e *endpoint, a *Attempt, elapsed float64) {
	if expected := r.expectedLatency(e, a.queuePosition); expected > 0 {
		g.tailFactor += averageWeight * (min(elapsed/expected, maxTailFactor) - g.tailFactor)
	}
	normalized := r.normalizedLatency(g, elapsed)
	r.addLatency(e, normalized, a.queuePosition)
	if r.current != r {
		r.current.learnLatency(now, r, e, normalized, a.queuePosition)
	}
}

// addLatency adds a normalized answer time to the sums of an endpoint and of its shard. What is estimated for
// attempts that an ejected endpoint does not answer tells nothing of the shard's other endpoints.
func (r *Router) addLatency(e *endpoint, normalized float64, queuePosition int) {
	r.trafficAt(e).addLatency(normalized, queuePosition)
	if !e.ejected {
		r.trafficOfShard(e.shard).addLatency(normalized, queuePosition)
	}
}

// learnLatency adds an answer time that a router of earlier settings has normalized to the mean service
// time of its own commands. What the answer took beyond that mean tells of the endpoint, whatever the
// command.
func (r *Router) learnLatency(now float64, from *Router, e *endpoint, normalized float64, queuePosition int) {
	r.decayTraffic(now, e)
	serviceTime := cmp.Or(r.fleetServiceTime, from.fleetServiceTime)
	r.addLatency(e, max(0, serviceTime+normalized-from.fleetServiceTime), queuePosition)
}

// normalizedLatency converts a group's answer time, in seconds, to that of a command with the fleet's
// mean service time. For a longer command, the part beyond its service time is scaled down in proportion:
// it comes from the variation of that service time rather than from queueing.
func (r *Router) normalizedLatency(g *group, elapsed float64) float64 {
	proportion := min(1, r.fleetServiceTime/max(g.serviceTime, roundOff))
	return max(0, r.fleetServiceTime+(elapsed-g.serviceTime)*proportion)
}

// recordServiceTime updates a group's service time to the lowest recent mean of its answer times. Under
// load every answer time includes queueing.
func (r *Router) recordServiceTime(now float64, g *group, elapsed float64) {
	g.batchLatencySum += elapsed
	g.batchAnswers++
	mean := g.batchLatencySum / g.batchAnswers
	switch {
	case g.batchAnswers >= serviceBatchSize:
		drift := 1 - math.Exp((g.batchEndedAt-now)/(serviceDriftObjectives*r.longestObjective))
		g.serviceTime = min(mean, g.serviceTime+drift*(mean-g.serviceTime))
		g.batchLatencySum, g.batchAnswers, g.batchEndedAt = 0, 0, now
	case g.batchEndedAt == 0:
		prior := priorWeight * assumedServiceShare * g.LatencyObjective
		g.serviceTime = (g.batchLatencySum + prior) / (g.batchAnswers + priorWeight)
	}
}

// recordFleetLatency adds an answer to the fleet's means. The first answers all have the same weight.
func (r *Router) recordFleetLatency(g *group, a *Attempt, elapsed float64) {
	r.fleetAnswerCount++
	weight := max(averageWeight, 1/r.fleetAnswerCount)
	r.fleetServiceTime += weight * (g.serviceTime - r.fleetServiceTime)
	normalized := min(r.normalizedLatency(g, elapsed), maxTailFactor*r.fleetServiceTime)
	r.fleetLatency += weight * (normalized - r.fleetLatency)
	r.fleetQueueLength += weight * (float64(a.queuePosition+1) - r.fleetQueueLength)
}
