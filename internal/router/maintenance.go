package router

import (
	"math"
	"slices"
)

// EndpointListFailed says that a list call failed. The next waits, twice as long each time, so that the
// list service is not flooded when it can least bear it.
func (r *Router) EndpointListFailed(now float64) {
	r.subscribed = false
	gap := math.Min(pollRetryShare*r.config.PollWindow*math.Exp2(r.pollFailures), r.config.PollWindow/2)
	r.pollFailures++
	r.pollAt = now + gap*(1+r.random.Float64())/2
}

// Maintain says how long until the next look, and what upkeep is due now.
func (r *Router) Maintain(now float64) (float64, Maintenance) {
	var up Maintenance
	if r.config.PollList && !r.subscribed && now >= r.pollAt {
		up.Subscribe = true
		r.pollAt = now + r.config.PollWindow/2
	}
	if now-r.maintainedAt >= r.reviewInterval/2 {
		// What clients left must be seen again and again: commands throttled before then tell nothing.
		f := math.Exp((r.maintainedAt - now) / r.decayTime)
		for i := range r.groups {
			r.groups[i].leaverShare *= f
		}
		r.connectCost, r.commands, r.maintainedAt = r.connectCost*f, r.commands*f, now
		r.updateFleet(now)
		r.expireSessions(now)
		for i := range r.endpoints {
			n := &r.endpoints[i]
			if n.shard < 0 {
				continue
			}
			doubted := r.suspected(now, i)
			// A flapping list, a cold start and what is still out are over by then; the row may be another's.
			if n.inFlight == 0 && now-math.Max(n.removedAt, n.answeredAt) > r.config.SlowStart+retentionTimeouts*r.longestTimeout {
				r.removeFromShard(i)
				*n = unknownEndpoint
				up.Release = append(up.Release, i)
			}
			// A position that was not told lately, or a sign of life from a doubted node. It tells nothing of one that
			// was reached and is silent or failing: a trial does.
			away, due := !math.IsInf(n.unreachableSince, 1), r.checkInterval
			if doubted {
				due = math.Max(r.checkInterval, r.recheckInterval)
			}
			if r.eligible(n) && (doubted && away && now-n.checkedAt >= r.recheckInterval || r.config.LoadReports &&
				!math.IsInf(r.checkInterval, 1) && now-math.Max(n.reportedAt, n.checkedAt) >= due) {
				r.requestCheck(now, i)
			}
		}
	}
	up.HealthCheck, r.pendingChecks = append(up.HealthCheck, r.pendingChecks...), r.pendingChecks[:0]
	if r.config.PollList && !r.subscribed { // a list that was missed binds, however rarely members are looked at
		return math.Max(0, math.Min(r.maintainedAt+r.reviewInterval/2, r.pollAt)-now), up
	}
	return r.maintainedAt + r.reviewInterval/2 - now, up
}

// weigh brings the fleet's figures up to date: the median share of failures, a warm node's
// rate, and each command group's share of its target by benefit for work.
func (r *Router) updateFleet(now float64) {
	var shares []float64
	var rate, warm, shunned float64
	for i := range r.endpoints {
		n := &r.endpoints[i]
		if !r.eligible(n) {
			continue
		}
		r.decay(now, n)
		shares = append(shares, n.failureShare())
		if n.ejected {
			shunned++
		} else if now-n.startedAt >= r.config.SlowStart {
			rate += n.attemptSum / r.decayTime
			warm++
		}
	}
	if len(shares) > 0 {
		slices.Sort(shares)
		r.medianFailureShare = shares[(len(shares)-1)/2]
	}
	if warm > 0 { // it falls no faster than a node warms: where most is doubted little is sent
		r.warmRate = math.Max(rate/warm, r.warmRate*(1-r.reviewInterval/r.config.SlowStart))
	}
	every := 1 / math.Max(r.commands/r.decayTime, 1/r.longestTimeout)
	// A position is looked up unasked only where each member gets a command while it is good. Hundreds of
	// routers with little traffic each asked every host in the first second, and few of the answers were used.
	if r.checkInterval = math.Max(r.reviewInterval, float64(len(shares))*every/checkShare); float64(len(shares))*every > r.reviewInterval {
		r.checkInterval = math.Inf(1)
	}
	r.recheckInterval = math.Max(r.longestObjective/2, shunned*every/checkShare)
	r.recoveryInterval = every / recoveryShare
	r.decayTime = decayObjectives * math.Max(r.longestObjective, math.Min(decayAttempts/r.warmRate, r.longestTimeout))
	r.favourWorstGroup()
	for i := range r.groups {
		r.groups[i].queueLimit = r.queueLimitOf(i, false)
		r.groups[i].primaryQueueLimit = r.queueLimitOf(i, true)
	}
}
