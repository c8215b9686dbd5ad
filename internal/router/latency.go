package router

import (
	"cmp"
	"math"
)

const (
	decayObjectives      = 4    // longest objectives over which an endpoint's latency decays; its health in one,
	decayAttempts        = 2    // or in the time of so many attempts to it, where these are rare
	maxTailFactor        = 3.0  // times the expected latency that one answer counts for at most
	averageWeight        = 0.05 // of one answer in the fleet's and the groups' means
	connectFailureWeight = 0.2  // of one failed connection in the cost of a new one
	serviceBatchSize         = 8.0  // answers whose mean stands for a group's service time if it is the least yet
	serviceDriftObjectives    = 25   // longest objectives in which the service time follows batches that are above it
	assumedServiceShare  = 0.25 // of its objective that a group's service time is taken for until answers tell
)

// expectedLatency is the answer time over all groups to expect at a queue position. Other routers' part of
// the queue shows only in answer times; this router's goes with what it has in flight.
func (r *Router) expectedLatency(e *endpoint, position int) float64 {
	meanPosition := (e.queuePositionSum + priorWeight*r.fleetQueueLength) / (e.answerCount + priorWeight)
	others := math.Sqrt(float64(r.config.RouterCount)) - 1
	return r.meanLatency(e) * (others + float64(position+1)/(meanPosition+1)) / (others + 1)
}

// meanLatency is an endpoint's mean answer time, leaning on its shard's while answers are few, and that on
// the fleet's: with low traffic an endpoint is heard every ten seconds, its shard every second.
func (r *Router) meanLatency(e *endpoint) float64 {
	s := &r.shards[e.shard]
	prior := priorWeight * (s.latencySum + priorWeight*r.fleetLatency) / (s.answerCount + priorWeight)
	return (e.latencySum + prior) / (e.answerCount + priorWeight)
}

// predictedResponse is the answer time to expect of an endpoint for a group's next command.
func (r *Router) predictedResponse(i int, g *group) float64 {
	e := &r.endpoints[i]
	response := max(g.serviceTime, r.expectedLatency(e, e.queued)*g.tailFactor)
	if e.idleConnections == 0 && r.connectionsCostly() {
		response += r.connectCost
	}
	return response
}

// connectionsCostly says that new connections cost so much that open ones are worth keeping.
func (r *Router) connectionsCostly() bool { return r.connectCost >= latencySlack*r.longestObjective }

// expectedWork is a group's service time, or what its objective makes likely before the first answer.
func (r *Router) expectedWork(g *group) float64 {
	return cmp.Or(g.serviceTime, assumedServiceShare*g.LatencyObjective)
}

// relativeWork is a group's expected work in commands of the mean service time.
func (r *Router) relativeWork(g *group) float64 {
	work := r.expectedWork(g)
	return work / cmp.Or(r.fleetServiceTime, work)
}

// decay lets the sums of an endpoint and of its shard decay, and those of its health quicker.
func (r *Router) decay(now float64, e *endpoint) {
	e.decay(now, r.decayTime, r.decayTime/decayObjectives)
	r.shards[e.shard].decay(now, decayObjectives*r.longestObjective)
}

// recordLatency adds an attempt's answer time, or the least that it would have been.
func (r *Router) recordLatency(g *group, e *endpoint, a *Attempt, elapsed float64) {
	if expected := r.expectedLatency(e, a.queuePosition); expected > 0 {
		g.tailFactor += averageWeight * (min(elapsed/expected, maxTailFactor) - g.tailFactor)
	}
	normalized := r.normalizedLatency(g, elapsed)
	e.latencySum += normalized
	e.queuePositionSum += float64(a.queuePosition + 1)
	e.answerCount++
	s := &r.shards[e.shard]
	s.latencySum += normalized
	s.answerCount++
}

// normalizedLatency is an answer time as if the command had the fleet's mean service time. What a longer one
// takes beyond its service time is chance of that rather than queueing, so it counts in proportion.
func (r *Router) normalizedLatency(g *group, elapsed float64) float64 {
	proportion := min(1, r.fleetServiceTime/max(g.serviceTime, roundOff))
	return max(0, r.fleetServiceTime+(elapsed-g.serviceTime)*proportion)
}

// recordServiceTime takes the least mean of late: under load every answer holds a queue too.
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

// recordFleetLatency takes an answer into the fleet's means; the first ones count alike.
func (r *Router) recordFleetLatency(g *group, a *Attempt, elapsed float64) {
	r.fleetAnswerCount++
	weight := max(averageWeight, 1/r.fleetAnswerCount)
	r.fleetServiceTime += weight * (g.serviceTime - r.fleetServiceTime)
	normalized := min(r.normalizedLatency(g, elapsed), maxTailFactor*r.fleetServiceTime)
	r.fleetLatency += weight * (normalized - r.fleetLatency)
	r.fleetQueueLength += weight * (float64(a.queuePosition+1) - r.fleetQueueLength)
}
