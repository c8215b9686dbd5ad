package router

import (
	"cmp"
	"math"
)

const (
	// An endpoint with n unanswered attempts may be silent for 1 + silenceFactor/n mean answer times.
	silenceFactor = 8.0
	// An endpoint is ejected if its failure share is this far above the fleet's median. A single failure,
	// of 1 + priorWeight results, does not reach it.
	failureMargin = 0.35
	// Share of the longest objective after a failure until an ejected endpoint may be used for lack of
	// healthy ones.
	failOpenShare = 0.25
)

// HealthChecked records the result of a health check: elapsed is in seconds, position in seconds after
// Config.PositionEpoch, negative if there is none. Position and role count only if the check was
// answered. An error does not change the endpoint's health, nor does a check that never left this
// process. Silence is ignored if the endpoint has answered a command meanwhile.
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
	e.idleConnections = max(1, e.idleConnections) // the connection of the health check stays open
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

// ReportReceived records the load report in the answer that ended an attempt at endpoint i, in the same way
// as one in reply to a health check.
func (r *Router) ReportReceived(now float64, i int, result AttemptResult) {
	if r.config.ReportsOnAnswers {
		r.HealthChecked(now, i, result.Result, result.Elapsed, result.Report.Position, result.Report.Primary)
	}
}

// requestCheck has the next Maintain request a health check of endpoint i, if the current settings allow any.
func (r *Router) requestCheck(now float64, i int) {
	if r.current.config.HealthChecks {
		r.endpoints[i].lastCheckAt = now
		r.pendingChecks = append(r.pendingChecks, i)
	}
}

// recordReachable records that an endpoint has answered. If contacts with it failed over more than the
// longest objective before, which takes at least two failures, it may have restarted before any list says
// so. It is then put into slow start.
func (r *Router) recordReachable(now float64, e *endpoint) {
	if e.lastUnreachableAt-e.unreachableSince > r.longestObjective {
		e.startedAt = max(e.startedAt, now)
		e.startFromList = false
	}
	if !math.IsInf(e.unreachableSince, 1) {
		// The attempts sent meanwhile never reached the endpoint. Counted as its silence, they would eject
		// it again immediately.
		e.ejected, e.failureCount = false, 0
		e.unansweredAttempts, e.unreachableSince = 0, math.Inf(1)
	}
}

// recordFailure counts a failure of an endpoint and puts off its next recovery attempt.
func (r *Router) recordFailure(now float64, e *endpoint) {
	r.decay(now, e)
	e.failureCount++
	e.resultCount++
	e.nextRecoveryAt = now + r.longestObjective
}

// failureShare returns the share of failures in an endpoint's results, lowered while there are few results.
func (e *endpoint) failureShare() float64 { return e.failureCount / (e.resultCount + priorWeight) }

// updateEjection ejects endpoint i if it takes commands and answers none, or fails more than the fleet
// does, and reports whether it is ejected. An ejected endpoint gets one recovery attempt at a time until
// it answers. If it is unreachable, it gets health checks instead.
func (r *Router) updateEjection(now float64, i int) bool {
	e := &r.endpoints[i]
	r.decay(now, e)
	// A single unanswered attempt that has ended shows little. When that was enough, hundreds of routers
	// ejected a seventh of a healthy fleet.
	silent := e.unansweredAttempts > 1 || e.inFlight > 0 && e.unansweredAttempts > 0
	overdue := silent && now-e.unansweredSince > r.silenceTimeout(e)
	if overdue || e.failureShare() > r.medianFailureShare+failureMargin {
		e.ejected = true
	}
	return e.ejected
}

// silenceTimeout returns how many seconds an endpoint may be silent after an attempt. It leaves room for
// single lost answers. Its least value is a small share of the objective: where answers are quick, one
// slow answer means nothing. Of an ejected endpoint, whose own mean is an estimate from attempts without an
// answer, as quick an answer is expected as of the fleet.
func (r *Router) silenceTimeout(e *endpoint) float64 {
	unanswered := float64(max(1, e.unansweredAttempts))
	mean := r.meanLatency(e)
	if e.ejected {
		mean = min(mean, r.fleetLatency)
	}
	mean = cmp.Or(mean, assumedServiceShare*r.longestObjective)
	// A command that takes a second is not silent among answers of a tenth of a second.
	mean += max(0, e.unansweredWorkSum/unanswered-cmp.Or(r.fleetServiceTime, mean))
	return max(latencySlack*r.longestObjective, mean*(1+silenceFactor/unanswered))
}

// recoveryDue reports whether ejected endpoint i gets a recovery attempt. If no replica is healthy, one
// endpoint is used all the same (fail open); otherwise the router would never learn that one has
// recovered. Unreachable endpoints are left to health checks.
func (r *Router) recoveryDue(now float64, c *Command, g *group, i int) bool {
	e := &r.endpoints[i]
	reachable := math.IsInf(e.unreachableSince, 1) || !r.config.HealthChecks
	timely := now-c.ArrivedAt < latencySlack*g.LatencyObjective
	if reachable && timely && now >= e.nextRecoveryAt && now-r.lastRecoveryAt >= r.recoveryInterval {
		return true
	}
	return r.healthyReplicas == 0 && r.mayFailOpen(now, e)
}

// mayFailOpen reports whether an ejected endpoint may be used if no healthy one is available.
func (r *Router) mayFailOpen(now float64, e *endpoint) bool {
	settled := now >= e.nextRecoveryAt-(1-failOpenShare)*r.longestObjective
	return e.queued == 0 && math.IsInf(e.unreachableSince, 1) && settled
}
