package router

import "math"

const (
	lowestQueueShare = 0.4 // share of the queue limit for a group with a value density near 0
	// Share of the least acceptable queueing time up to which endpoints may have queues. Other commands wait
	// in the router.
	queueShare           = 0.4
	lowTrafficQueueShare = 0.3 // added to queueShare for a router with no traffic, and less the more it has
	earlyLeaveThreshold  = 0.5 // share of early disconnects above which earlyLeaveDelay bounds useful time
	retryQueueShare      = 0.2 // share of its queue limit that applies to a client's retry
	// Number of attempts that an endpoint may have in its queue whatever the queue limit. The router has
	// to observe its latency under some load.
	freeAttempts = 2
	// Most such attempts at an endpoint from all routers together.
	freeAttemptsTotal = 3
)

// admits reports whether a command may be sent to endpoint i now. It sheds load by value: a group may
// join only queues short enough to leave capacity to groups with more value for their service time.
// Nothing is sent that would be answered too late. A client's retry gets a shorter queue, as its
// objective has already passed.
func (r *Router) admits(now float64, c *Command, g *group, i int, queueLimit float64) bool {
	if c.ClientRetry && g.earlyLeaveShare <= earlyLeaveThreshold {
		queueLimit *= retryQueueShare
	}
	e := &r.endpoints[i]
	latency := r.expectedLatency(e, e.queued)
	// A full queue has room again once one of its commands is done: one service time earlier.
	hasCapacity := latency-r.fleetServiceTime <= queueLimit || r.hasFreeAttempt(now, e, latency)
	rested := now-e.lastOverloadAt >= r.fleetServiceTime
	return hasCapacity && rested && now+r.predictedResponse(i, g) <= r.usefulUntil(c, g)
}

// hasFreeAttempt reports whether an endpoint may get one of the few attempts that are sent whatever its
// queue limit. Many routers take turns with these: each pauses for as long as the others need.
func (r *Router) hasFreeAttempt(now float64, e *endpoint, latency float64) bool {
	rest := latency * (float64(r.config.RouterCount)/freeAttemptsTotal - 1)
	few := e.queued < freeAttempts && e.queued*r.config.RouterCount < freeAttemptsTotal
	return few && now-e.lastAnswerAt >= rest
}

// usefulUntil returns until when an answer has a value, in seconds. If late answers keep a share of their
// value, the time after the objective counts by that share.
func (r *Router) usefulUntil(c *Command, g *group) float64 {
	if g.earlyLeaveShare > earlyLeaveThreshold && !c.patient {
		return min(c.ArrivedAt+min(g.LatencyObjective, g.earlyLeaveDelay), c.ClientDeadline)
	}
	objectiveEnd := c.ArrivedAt + g.LatencyObjective
	return min(objectiveEnd+g.LateValue*max(0, c.ClientDeadline-objectiveEnd), c.ClientDeadline)
}

// samplesPatience reports whether a new command is sent as if no client of its group left early. One such
// command in each service time shows whether clients still do; if all were rejected, no answer would.
func (r *Router) samplesPatience(now float64, g *group) bool {
	if g.earlyLeaveShare <= earlyLeaveThreshold || now-g.patienceSampledAt < g.serviceTime {
		return false
	}
	g.patienceSampledAt = now
	return true
}

// giveUp returns the final decision on a command without an answer: Reject if a retry by the client does
// no harm, otherwise Fail.
func (r *Router) giveUp(now float64, c *Command, g *group) Decision {
	harmless := g.Idempotency == Idempotent || g.Idempotency == IdempotentWithKey && g.KeyScope == GlobalScope
	if c.uncertainRuns > 0 && !harmless {
		return Decision{Action: Fail, CancelAttempt: noIndex}
	}
	d := Decision{Action: Reject, CancelAttempt: noIndex}
	// If the client's retry cannot meet the objective any more, the client is asked to send it as late as
	// possible. A retry that still can may come immediately.
	if r.config.RetryAfterAllowed && now+2*g.serviceTime*(1-latencySlack) > c.ArrivedAt+g.LatencyObjective {
		d.RetryAfter = r.config.MaxRetryAfter
	}
	return d
}

// favourWorstGroup raises the fairness weight of the worst-served group by the weight configured for it,
// if it gets a smaller share of answers in time than all groups together, weighted by value.
func (r *Router) favourWorstGroup() {
	worst, worstServed := noIndex, math.Inf(1)
	var earned, possible float64
	for i := range r.groups {
		g := &r.groups[i]
		g.fairnessWeight = 1
		earned += g.inTimeAnswerCount * g.PriorityWeight
		possible += g.arrivalCount * g.PriorityWeight
		served := (g.inTimeAnswerCount + priorWeight) / (g.arrivalCount + priorWeight)
		if served < worstServed {
			worst, worstServed = i, served
		}
	}
	if worst >= 0 && worstServed < earned/math.Max(possible, 1) && r.config.TotalWeight > 0 {
		g := &r.groups[worst]
		total := r.config.TotalWeight * g.arrivalCount * g.PriorityWeight
		g.fairnessWeight += r.config.WorstGroupWeight * possible / total
	}
}

// valueDensity returns the value of a group's answer for each second of its service time.
func (r *Router) valueDensity(g *group) float64 {
	return g.fairnessWeight * g.PriorityWeight / math.Max(g.serviceTime, r.config.BatchInterval+roundOff)
}

// queueLimitOf returns the longest queueing time, in seconds, that commands of a group may join. It is a
// share of the shortest queueing time that any group of at least its value density can accept, and
// smaller for a lower density. PrimaryOnly groups are considered only at a primary.
func (r *Router) queueLimitOf(g *group, atPrimary bool) float64 {
	ownDensity := r.valueDensity(g)
	acceptable, highest := math.Inf(1), roundOff
	for k := range r.groups {
		other := &r.groups[k]
		if other.Consistency == PrimaryOnly && !atPrimary {
			continue
		}
		density := r.valueDensity(other)
		highest = math.Max(highest, density)
		if density >= ownDensity {
			acceptable = math.Min(acceptable, math.Max(0, other.LatencyObjective-other.serviceTime))
		}
	}
	share := queueShare +
		lowTrafficQueueShare*math.Max(0, 1-r.warmAttemptRate*r.longestObjective/lowTrafficAttempts)
	return share * acceptable * (lowestQueueShare + (1-lowestQueueShare)*math.Min(1, ownDensity/highest))
}
