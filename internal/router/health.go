package router

import (
	"cmp"
	"math"
)

// HealthChecked takes in a probe's result. Only its report speaks for the node's data. An error tells nothing, and
// silence less than an answer meanwhile: hosts that served while probes failed counted as started anew.
func (r *Router) HealthChecked(now float64, at int, ending Result, took, position float64, primary bool) {
	n := &r.endpoints[at]
	switch ending {
	case Answered:
	case Errored, Overloaded, NotServed:
		return
	default:
		if n.answeredAt < now-took {
			n.recordUnreachable(now)
		}
		return
	}
	r.recordReachable(now, n)
	n.idleConnections = max(1, n.idleConnections) // the probe's connection stands
	if position < 0 || !r.config.LoadReports {
		return
	}
	position *= 1 - roundOff
	role, seenAt := RoleReplica, now-took
	if primary {
		role, seenAt = RolePrimary, r.config.PositionEpoch+position
	}
	r.recordReport(n, seenAt, position, role)
}

func (n *endpoint) recordUnreachable(now float64) {
	n.unreachableSince, n.unreachableAt = math.Min(n.unreachableSince, now), now
}

// revive sees a node answer that was out of reach for longer than chance, by two failed contacts: it may have
// started anew before any list says so, and counts as cold. Harm: one behind a broken link does too.
func (r *Router) recordReachable(now float64, n *endpoint) {
	if n.unreachableAt-n.unreachableSince > r.longestObjective {
		n.startedAt = math.Max(n.startedAt, now)
	}
	if !math.IsInf(n.unreachableSince, 1) {
		// What was sent to it meanwhile never reached it, and its silence would shun it again at once.
		n.ejected, n.failureSum, n.unanswered, n.unreachableSince = false, 0, 0, math.Inf(1)
	}
}

// failing is a node's share of failures.
func (n *endpoint) failureShare() float64 { return n.failureSum / (n.resultSum + priorWeight) }

// doubted says that a node takes work and answers none, or fails more than the fleet does; if hung it keeps
// its position. It stays so until it answers: a trial at a time, or a probe where it could not be reached.
func (r *Router) suspected(now float64, at int) bool {
	n := &r.endpoints[at]
	r.decay(now, n)
	// One that is not out any more tells little: hundreds of routers that each hear a node every few seconds
	// shut out a seventh of a healthy fleet on it.
	silent := n.unanswered > 1 || n.inFlight > 0 && n.unanswered > 0
	if silent && now-n.unansweredSince > r.silenceTimeout(n) || n.failureShare() > r.medianFailureShare+failureMargin {
		n.ejected = true
	}
	return n.ejected
}

// patience is how long a node may stay silent after a dispatch; lone lost answers do not count, nor silence
// that costs little of the target: where answers are quick a long one among them doubted healthy nodes.
func (r *Router) silenceTimeout(n *endpoint) float64 {
	mean, unheard := cmp.Or(r.meanLatency(n), assumedServiceShare*r.longestObjective), float64(max(1, n.unanswered))
	// A record of a second is no silence among answers of a tenth.
	mean += math.Max(0, n.unansweredWork/unheard-cmp.Or(r.serviceTime, mean))
	return math.Max(latencySlack*r.longestObjective, mean*(1+silenceFactor/unheard))
}

func (r *Router) recordFailure(now float64, n *endpoint) {
	r.decay(now, n)
	n.failureSum++
	n.resultSum++
	n.recoveryAt = now + r.longestObjective
}

// lastHope says that a doubted node may be asked for want of a better one.
func (r *Router) mayFailOpen(now float64, n *endpoint) bool {
	return n.queued == 0 && math.IsInf(n.unreachableSince, 1) && now >= n.recoveryAt-(1-failOpenShare)*r.longestObjective
}

// probe notes a probe for the upkeep that is due next.
func (r *Router) requestCheck(now float64, at int) {
	if r.config.HealthChecks {
		r.endpoints[at].checkedAt = now
		r.pendingChecks = append(r.pendingChecks, at)
	}
}
