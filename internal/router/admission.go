package router

import (
	"math"
)

// fits sheds by benefit: a group joins only queues that leave room for what carries more benefit for its
// work, and nothing is sent too late. A client's repeat has spent its target on the first try.
func (r *Router) admits(now float64, c *Command, g *groupState, at int, room float64) bool {
	if c.ClientRetry && g.leaverShare <= leaverThreshold {
		room *= retryQueueShare
	}
	n := &r.endpoints[at]
	pace := r.expectedLatency(n, n.queued)
	// Many routers' free places are taken in turn: each rests for as long as the others need.
	rest := pace * (float64(r.config.RouterCount)/freeAttemptsTotal - 1)
	free := n.queued < freeAttempts && n.queued*r.config.RouterCount < freeAttemptsTotal && now-n.answeredAt >= rest
	// A queue that was full has a place again when some of it is done.
	return (pace-r.serviceTime <= room || free) && now-n.overloadedAt >= r.serviceTime && now+r.predictedResponse(at, g) <= r.usefulUntil(c, g)
}

// horizon is how long a command is worth having: its target, and with late benefit a part of
// the time after it.
func (r *Router) usefulUntil(c *Command, g *groupState) float64 {
	if g.leaverShare > leaverThreshold {
		return math.Min(c.ArrivedAt+math.Min(g.LatencyObjective, g.leaverStay), c.ClientDeadline)
	}
	end := c.ArrivedAt + g.LatencyObjective
	return math.Min(end+g.LateValue*math.Max(0, c.ClientDeadline-end), c.ClientDeadline)
}

// never is the final answer of a command given up: throttled where a retry does no harm.
func (r *Router) giveUp(now float64, c *Command, g *groupState) Decision {
	if c.uncertainRuns > 0 && (g.Idempotency == NonIdempotent || g.Idempotency == IdempotentWithKey && g.KeyScope != GlobalScope) {
		return Decision{Action: Fail, CancelAttempt: -1}
	}
	a := Decision{Action: Reject, CancelAttempt: -1}
	// A try that comes too late for the target should come late; one in time may come at once.
	if r.config.RetryAfterAllowed && now+2*g.serviceTime*(1-latencySlack) > c.ArrivedAt+g.LatencyObjective {
		a.RetryAfter = r.config.MaxRetryAfter
	}
	return a
}

// favour gives the worst-served group the weight that the site's goal gives it beside the whole.
func (r *Router) favourWorstGroup() {
	worst, least, sum, benefit := -1, math.Inf(1), 0.0, 0.0
	for i := range r.groups {
		g := &r.groups[i]
		g.fairnessWeight = 1
		served := (g.answeredInTime + priorWeight) / (g.arrivals + priorWeight)
		sum += g.answeredInTime * g.PriorityWeight
		benefit += g.arrivals * g.PriorityWeight
		if served < least {
			worst, least = i, served
		}
	}
	if worst >= 0 && least < sum/math.Max(benefit, 1) && r.config.TotalWeight > 0 {
		g := &r.groups[worst]
		g.fairnessWeight += r.config.WorstGroupWeight * benefit / (r.config.TotalWeight * g.arrivals * g.PriorityWeight)
	}
}

// density is a command group's benefit for its work.
func (r *Router) valueDensity(g *groupState) float64 {
	return g.fairnessWeight * g.PriorityWeight / math.Max(g.serviceTime, r.config.BatchInterval+roundOff)
}

// roomOf is the queueing time that a group may meet: what the groups of at least its density
// can bear, and less the less its own is. Writes count where the queue is a primary's.
func (r *Router) queueLimitOf(i int, primary bool) float64 {
	g := &r.groups[i]
	room, top, own := math.Inf(1), roundOff, r.valueDensity(g)
	for k := range r.groups {
		h := &r.groups[k]
		if h.Consistency == PrimaryOnly && !primary {
			continue
		}
		d := r.valueDensity(h)
		top = math.Max(top, d)
		if d >= own {
			room = math.Min(room, math.Max(0, h.LatencyObjective-h.serviceTime))
		}
	}
	share := queueShare + lowTrafficQueueShare*math.Max(0, 1-r.warmRate*r.longestObjective/lowTrafficAttempts)
	return share * room * (lowestQueueShare + (1-lowestQueueShare)*math.Min(1, own/top))
}
