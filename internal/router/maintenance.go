package router

import "math"

const (
	// Number of health checks per command that learn positions, and also of those that find out whether
	// ejected endpoints are back. Checks requested for a certain read come on top.
	checksPerCommand = 0.25
	// Share of the poll window until a failed poll of the endpoint list is first repeated.
	pollRetryShare = 0.0625
)

// EndpointListFailed records that a poll of the endpoint list has failed. The next polls back off
// exponentially.
func (r *Router) EndpointListFailed(now float64) {
	r.subscribed = false
	backoff := min(pollRetryShare*r.config.PollWindow*math.Exp2(r.pollFailures), r.config.PollWindow/2)
	r.pollFailures++
	r.nextPollAt = now + backoff*(1+r.random.Float64())/2
}

// Maintain returns the number of seconds within which it must be called again, and the work that is due now.
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
	// A change of the list binds this router even if it has missed it, so the next poll must not wait for
	// the next review.
	if r.config.PollList && !r.subscribed {
		return max(0, min(next, r.nextPollAt)-now), due
	}
	return next - now, due
}

// decayCounts decays counts by their age. Without decay, a high share of leaving clients would last:
// rejected commands do not show whether clients still leave early.
func (r *Router) decayCounts(now float64) {
	factor := math.Exp((r.lastReviewAt - now) / r.decayTime)
	for i := range r.groups {
		r.groups[i].earlyLeaveShare *= factor
	}
	r.commandCount *= factor
	r.lastReviewAt = now
	r.connectCost *= math.Exp((r.connectCostDecayedAt - now) / r.decayTime)
	r.connectCostDecayedAt = now
}

// reviewEndpoints requests the health checks that are due. It forgets endpoints that were removed long ago
// and returns their indexes.
func (r *Router) reviewEndpoints(now float64) (released []int) {
	for i := range r.endpoints {
		e := &r.endpoints[i]
		if e.shard < 0 {
			continue
		}
		ejected := r.updateEjection(now, i)
		// After this time the list has settled, slow start is over and nothing is in flight, so the index
		// may be given to another endpoint.
		unused := now - max(e.removedAt, e.lastAnswerAt)
		if e.inFlight == 0 && unused > r.config.SlowStart+retentionTimeouts*r.longestTimeout {
			r.removeFromShard(i)
			*e = unknownEndpoint(i)
			*r.trafficAt(e) = traffic{}
			released = append(released, i)
		}
		if r.eligible(e) && r.checkDue(now, e, ejected) {
			r.requestCheck(now, i)
		}
	}
	return released
}

// checkDue reports whether an endpoint has to be checked: its position has not been reported lately, or
// it is ejected and unreachable. An ejected endpoint that is reachable can only show by a recovery
// attempt that it has recovered.
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

// updateFleet updates the statistics of the fleet as a whole and the queue limits of the groups.
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
			t := r.trafficAt(e)
			rate += t.attemptCount / r.decayTime
			throughput += t.answeredWorkSum / r.decayTime
			warm++
		}
	}
	if len(failureShares) > 0 {
		r.medianFailureShare = median(failureShares)
	}
	if warm > 0 {
		// The rates fall no faster than an endpoint warms up. Otherwise they would fall while most
		// endpoints are ejected and little is sent.
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

// updateIntervals adapts the intervals of health checks and recovery attempts to this router's traffic.
func (r *Router) updateIntervals(eligible, ejected float64) {
	commandInterval := 1 / max(r.commandCount/r.decayTime, 1/r.longestTimeout)
	r.checkInterval = max(r.reviewInterval, eligible*commandInterval/checksPerCommand)
	// Positions are checked in advance only if each endpoint gets a command while its position is still
	// usable. Hundreds of routers with low traffic each checked every endpoint in their first second, and
	// used few of the positions.
	if eligible*commandInterval > r.reviewInterval {
		r.checkInterval = math.Inf(1)
	}
	r.ejectedCheckInterval = max(r.longestObjective/2, ejected*commandInterval/checksPerCommand)
	r.recoveryInterval = commandInterval / recoveryShare
	r.decayTime = decayObjectives *
		max(r.longestObjective, min(decayAttempts/r.warmAttemptRate, r.longestTimeout))
}
