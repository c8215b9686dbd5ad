package router

import "math"

const (
	checksPerCommand     = 0.25   // health checks per command for positions, and as many for signs of life, unasked
	pollRetryShare = 0.0625 // share of the poll window before a failed poll of the list is repeated
)

// EndpointListFailed takes in that a poll of the endpoint list failed, and backs off exponentially.
func (r *Router) EndpointListFailed(now float64) {
	r.subscribed = false
	backoff := min(pollRetryShare*r.config.PollWindow*math.Exp2(r.pollFailures), r.config.PollWindow/2)
	r.pollFailures++
	r.nextPollAt = now + backoff*(1+r.random.Float64())/2
}

// Maintain returns the seconds until it is to be called again at the latest, and what is due now.
func (r *Router) Maintain(now float64) (float64, Maintenance) {
	var due Maintenance
	if r.config.PollList && !r.subscribed && now >= r.nextPollAt {
		due.Subscribe = true
		r.nextPollAt = now + r.config.PollWindow/2
	}
	if now-r.lastReviewAt >= r.reviewInterval/2 {
		r.decayCounts(now)
		r.updateFleet(now)
		r.expireSessions(now)
		due.Release = r.reviewEndpoints(now)
	}
	due.HealthCheck, r.pendingChecks = append(due.HealthCheck, r.pendingChecks...), r.pendingChecks[:0]
	next := r.lastReviewAt + r.reviewInterval/2
	if r.config.PollList && !r.subscribed { // a list that was missed binds however rarely the fleet is reviewed
		return max(0, min(next, r.nextPollAt)-now), due
	}
	return next - now, due
}

// decayCounts lets counts decay. Leaving clients must be seen anew: rejected commands say nothing of them.
func (r *Router) decayCounts(now float64) {
	factor := math.Exp((r.lastReviewAt - now) / r.decayTime)
	for i := range r.groups {
		r.groups[i].earlyLeaveShare *= factor
	}
	r.connectCost *= factor
	r.commandCount *= factor
	r.lastReviewAt = now
}

// reviewEndpoints asks for the health checks that are due, and returns the endpoints that it has forgotten.
func (r *Router) reviewEndpoints(now float64) (released []int) {
	for i := range r.endpoints {
		e := &r.endpoints[i]
		if e.shard < 0 {
			continue
		}
		ejected := r.updateEjection(now, i)
		// By then a flapping list, a slow start and what is in flight are over; the index may become another's.
		unused := now - max(e.removedAt, e.lastAnswerAt)
		if e.inFlight == 0 && unused > r.config.SlowStart+retentionTimeouts*r.longestTimeout {
			r.removeFromShard(i)
			*e = unknownEndpoint
			released = append(released, i)
		}
		if r.eligible(e) && r.checkDue(now, e, ejected) {
			r.requestCheck(now, i)
		}
	}
	return released
}

// checkDue says that an endpoint's position was not reported lately, or that a sign of life is due from a
// suspected one that is unreachable. Of a suspected one that is reached, only a recovery attempt says more.
func (r *Router) checkDue(now float64, e *endpoint, ejected bool) bool {
	unreachable := !math.IsInf(e.unreachableSince, 1)
	if ejected && unreachable && now-e.lastCheckAt >= r.ejectedCheckInterval {
		return true
	}
	interval := r.checkInterval
	if ejected {
		interval = max(interval, r.ejectedCheckInterval)
	}
	sinceReport := now - max(e.positionReportedAt, e.lastCheckAt)
	return r.config.LoadReports && !math.IsInf(r.checkInterval, 1) && sinceReport >= interval
}

// updateFleet brings up to date what is known of the fleet as a whole, and the queue limits.
func (r *Router) updateFleet(now float64) {
	var failureShares []float64
	var rate, throughput, warm, ejected float64
	for i := range r.endpoints {
		e := &r.endpoints[i]
		if !r.eligible(e) {
			continue
		}
		r.decay(now, e)
		failureShares = append(failureShares, e.failureShare())
		if e.ejected {
			ejected++
		} else if now-e.startedAt >= r.config.SlowStart {
			rate += e.attemptCount / r.decayTime
			throughput += e.answeredWorkSum / r.decayTime
			warm++
		}
	}
	if len(failureShares) > 0 {
		r.medianFailureShare = median(failureShares)
	}
	if warm > 0 { // it falls no faster than an endpoint warms up: where most are ejected little is sent
		kept := 1 - r.reviewInterval/r.config.SlowStart
		r.warmAttemptRate = max(rate/warm, r.warmAttemptRate*kept)
		r.warmThroughput = max(throughput/warm, r.warmThroughput*kept)
	}
	r.updateIntervals(float64(len(failureShares)), ejected)
	r.favourWorstGroup()
	for i := range r.groups {
		g := &r.groups[i]
		g.queueLimit = r.queueLimitOf(g, false)
		g.primaryQueueLimit = r.queueLimitOf(g, true)
	}
}

// updateIntervals fits the intervals of checks and recovery attempts to this router's traffic.
func (r *Router) updateIntervals(eligible, ejected float64) {
	commandInterval := 1 / max(r.commandCount/r.decayTime, 1/r.longestTimeout)
	r.checkInterval = max(r.reviewInterval, eligible*commandInterval/checksPerCommand)
	// A position is checked unasked only where each endpoint gets a command while the position is good. Hundreds
	// of routers with low traffic each checked every endpoint in the first second, and used few of the answers.
	if eligible*commandInterval > r.reviewInterval {
		r.checkInterval = math.Inf(1)
	}
	r.ejectedCheckInterval = max(r.longestObjective/2, ejected*commandInterval/checksPerCommand)
	r.recoveryInterval = commandInterval / recoveryShare
	r.decayTime = decayObjectives * max(r.longestObjective, min(decayAttempts/r.warmAttemptRate, r.longestTimeout))
}
