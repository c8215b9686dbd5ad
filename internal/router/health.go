package router

import (
	"cmp"
	"math"
)

const (
	silenceFactor = 8.0  // mean answer times, shared by the unanswered attempts, of silence beyond one
	failureMargin = 0.35 // beyond the fleet's median of failures, an endpoint is ejected: not for one
	failOpenShare = 0.25 // share of the longest objective after a failure until an ejected endpoint may be used
)

// HealthChecked takes in the result of a health check. Only its report speaks for the endpoint's data. An
// error says nothing, nor does a check that did not leave this process, and silence says less than an
// answer to a command meanwhile.
func (r *Router) HealthChecked(now float64, i int, result Result, elapsed, position float64, primary bool) {
	e := &r.endpoints[i]
	if result == NeverSent {
		return
	}
	if !result.fromEndpoint() && e.lastAnswerAt < now-elapsed {
		e.recordUnreachable(now)
	}
	if result != Answered {
		return
	}
	r.recordReachable(now, e)
	e.idleConnections = max(1, e.idleConnections) // the health check's connection stands
	if position < 0 || !r.config.LoadReports {
		return
	}
	position *= 1 - roundOff
	role, reportedAt := RoleReplica, now-elapsed
	if primary {
		role, reportedAt = RolePrimary, r.config.PositionEpoch+position
	}
	e.recordReport(reportedAt, r.config.PositionEpoch, position, role)
}

// requestCheck asks for a health check with the next maintenance.
func (r *Router) requestCheck(now float64, i int) {
	if r.config.HealthChecks {
		r.endpoints[i].lastCheckAt = now
		r.pendingChecks = append(r.pendingChecks, i)
	}
}

// recordReachable notes that an endpoint has answered. One that was unreachable for longer than by chance, by
// two failed contacts, may have started anew before any list says so, and is taken to be in slow start.
func (r *Router) recordReachable(now float64, e *endpoint) {
	if e.lastUnreachableAt-e.unreachableSince > r.longestObjective {
		e.startedAt = max(e.startedAt, now)
		e.startFromList = false
	}
	if !math.IsInf(e.unreachableSince, 1) {
		// What was sent meanwhile never reached it, and its silence would eject it again at once.
		e.ejected, e.failureCount = false, 0
		e.unansweredAttempts, e.unreachableSince = 0, math.Inf(1)
	}
}

func (r *Router) recordFailure(now float64, e *endpoint) {
	r.decay(now, e)
	e.failureCount++
	e.resultCount++
	e.nextRecoveryAt = now + r.longestObjective
}

func (e *endpoint) failureShare() float64 { return e.failureCount / (e.resultCount + priorWeight) }

// updateEjection says that an endpoint takes commands and answers none, or fails more than the fleet does, and
// ejects it: until it answers it gets one recovery attempt at a time, or health checks if it was unreachable.
func (r *Router) updateEjection(now float64, i int) bool {
	e := &r.endpoints[i]
	r.decay(now, e)
	// One attempt that is over says little: on it hundreds of routers ejected a seventh of a healthy fleet.
	silent := e.unansweredAttempts > 1 || e.inFlight > 0 && e.unansweredAttempts > 0
	overdue := silent && now-e.unansweredSince > r.silenceTimeout(e)
	if overdue || e.failureShare() > r.medianFailureShare+failureMargin {
		e.ejected = true
	}
	return e.ejected
}

// silenceTimeout is how long an endpoint may be silent after an attempt. Lone lost answers do not count, nor
// does silence that costs little of the objective: where answers are quick, one long one says nothing.
func (r *Router) silenceTimeout(e *endpoint) float64 {
	unanswered := float64(max(1, e.unansweredAttempts))
	mean := cmp.Or(r.meanLatency(e), assumedServiceShare*r.longestObjective)
	// A command of a second is no silence among answers of a tenth.
	mean += max(0, e.unansweredWorkSum/unanswered-cmp.Or(r.fleetServiceTime, mean))
	return max(latencySlack*r.longestObjective, mean*(1+silenceFactor/unanswered))
}

// recoveryDue says whether an ejected endpoint gets a recovery attempt. Where all are ejected one fails open,
// or there would be nobody to learn from; an unreachable one is left to health checks.
func (r *Router) recoveryDue(now float64, c *Command, g *group, i int) bool {
	e := &r.endpoints[i]
	reachable := math.IsInf(e.unreachableSince, 1) || !r.config.HealthChecks
	timely := now-c.ArrivedAt < latencySlack*g.LatencyObjective
	if reachable && timely && now >= e.nextRecoveryAt && now-r.lastRecoveryAt >= r.recoveryInterval {
		return true
	}
	return r.healthyReplicas == 0 && r.mayFailOpen(now, e)
}

// mayFailOpen says that an ejected endpoint may be used for want of a better one.
func (r *Router) mayFailOpen(now float64, e *endpoint) bool {
	settled := now >= e.nextRecoveryAt-(1-failOpenShare)*r.longestObjective
	return e.queued == 0 && math.IsInf(e.unreachableSince, 1) && settled
}
