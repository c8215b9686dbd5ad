package router

import "math"

const (
	lowestQueueShare     = 0.4 // of the queue limit that the least valuable group has
	queueShare           = 0.4 // of the tightest bearable queueing time; the rest waits at the router
	lowTrafficQueueShare = 0.3 // more of it for a router with low traffic
	earlyLeaveThreshold      = 0.5 // if more of a group's clients leave early, only their stay counts
	retryQueueShare      = 0.2 // of its queue limit that a client's retry has
	freeAttempts         = 2   // attempts at an endpoint beside its queue limit: it must show at some load,
	freeAttemptsTotal    = 3   // as long as all routers' attempts do not add up to more than this
)

// admits sheds load by value: a group joins only queues that leave capacity to what is worth more for its
// service time, and nothing is sent too late. A client's retry has spent its objective already.
func (r *Router) admits(now float64, c *Command, g *group, i int, queueLimit float64) bool {
	if c.ClientRetry && g.earlyLeaveShare <= earlyLeaveThreshold {
		queueLimit *= retryQueueShare
	}
	e := &r.endpoints[i]
	latency := r.expectedLatency(e, e.queued)
	// A queue that was full has a free place when one command of it is done.
	hasCapacity := latency-r.fleetServiceTime <= queueLimit || r.hasFreeAttempt(now, e, latency)
	rested := now-e.lastOverloadAt >= r.fleetServiceTime
	return hasCapacity && rested && now+r.predictedResponse(i, g) <= r.usefulUntil(c, g)
}

// hasFreeAttempt says whether an endpoint may get one of the few attempts that are sent whatever its queue.
// Many routers take turns at these: each rests for as long as the others need.
func (r *Router) hasFreeAttempt(now float64, e *endpoint, latency float64) bool {
	rest := latency * (float64(r.config.RouterCount)/freeAttemptsTotal - 1)
	few := e.queued < freeAttempts && e.queued*r.config.RouterCount < freeAttemptsTotal
	return few && now-e.lastAnswerAt >= rest
}

// usefulUntil is how long an answer has a value; the value of a late one counts as a share of that time.
func (r *Router) usefulUntil(c *Command, g *group) float64 {
	if g.earlyLeaveShare > earlyLeaveThreshold {
		return min(c.ArrivedAt+min(g.LatencyObjective, g.earlyLeaveDelay), c.ClientDeadline)
	}
	objectiveEnd := c.ArrivedAt + g.LatencyObjective
	return min(objectiveEnd+g.LateValue*max(0, c.ClientDeadline-objectiveEnd), c.ClientDeadline)
}

// giveUp is the final decision on a command without an answer: Reject where a client's retry does no harm.
func (r *Router) giveUp(now float64, c *Command, g *group) Decision {
	retryHarmless := g.Idempotency == Idempotent || g.Idempotency == IdempotentWithKey && g.KeyScope == GlobalScope
	if c.uncertainRuns > 0 && !retryHarmless {
		return Decision{Action: Fail, CancelAttempt: noIndex}
	}
	d := Decision{Action: Reject, CancelAttempt: noIndex}
	// A retry that comes too late for the objective should come late; one in time may come at once.
	if r.config.RetryAfterAllowed && now+2*g.serviceTime*(1-latencySlack) > c.ArrivedAt+g.LatencyObjective {
		d.RetryAfter = r.config.MaxRetryAfter
	}
	return d
}

// favourWorstGroup gives the worst-served group the weight that the configured objective gives it.
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

// valueDensity is a group's value for its service time.
func (r *Router) valueDensity(g *group) float64 {
	return g.fairnessWeight * g.PriorityWeight / math.Max(g.serviceTime, r.config.BatchInterval+roundOff)
}

// queueLimitOf is the queueing time that a group may join: what the groups of at least its density can bear,
// and less the lower its own density is. Groups that run on the primary only count at a primary.
func (r *Router) queueLimitOf(g *group, atPrimary bool) float64 {
	own := r.valueDensity(g)
	acceptable, highest := math.Inf(1), roundOff
	for k := range r.groups {
		other := &r.groups[k]
		if other.Consistency == PrimaryOnly && !atPrimary {
			continue
		}
		density := r.valueDensity(other)
		highest = math.Max(highest, density)
		if density >= own {
			acceptable = math.Min(acceptable, math.Max(0, other.LatencyObjective-other.serviceTime))
		}
	}
	share := queueShare + lowTrafficQueueShare*math.Max(0, 1-r.warmAttemptRate*r.longestObjective/lowTrafficAttempts)
	return share * acceptable * (lowestQueueShare + (1-lowestQueueShare)*math.Min(1, own/highest))
}
