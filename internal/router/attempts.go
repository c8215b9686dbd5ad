package router

import (
	"cmp"
	"math"
	"slices"
)

const (
	// After this many predicted response times, an attempt without an answer counts as lost if its endpoint
	// has answered others since it was sent.
	lostFactor = 5.0
	// Share of catchUpWait to wait after a command's first attempt that did not leave this process.
	firstUnsentPauseShare = 0.1
	// After this many attempts that may have run, the command itself is taken for the cause.
	maxUncertainRuns = 2
)

// mayRetry reports whether another attempt is allowed: no attempt may have run, or the command may run
// twice, or it has an idempotency key that the endpoints will still remember.
func (r *Router) mayRetry(now float64, c *Command, g *group) bool {
	if c.uncertainRuns == 0 || g.Idempotency == Idempotent {
		return true
	}
	// A connection may have to be made first, so a retry by key has to leave that much earlier.
	arrival := now + r.config.ConnectTimeout + r.config.BatchInterval
	return g.Idempotency == IdempotentWithKey && arrival < c.firstUncertainAt+g.IdempotencyWindow
}

// inKeyScope reports whether the scope of a command's idempotency key allows its next attempt at endpoint
// i, which is of the command's shard. If an attempt may have run and the scope is a zone, only endpoints
// in the zone of the first such attempt know the key.
func (r *Router) inKeyScope(c *Command, g *group, i int) bool {
	if c.uncertainRuns == 0 || g.Idempotency != IdempotentWithKey || g.KeyScope != ZoneScope {
		return true
	}
	return r.endpoints[i].zone == r.endpoints[c.firstUncertainEndpoint].zone
}

// forward decides to send an attempt to endpoint i and records it.
func (r *Router) forward(now float64, c *Command, g *group, i int, fallback bool) Decision {
	e := &r.endpoints[i]
	r.decay(now, e)
	c.Attempts = append(c.Attempts, e.startAttempt(now, i, r.expectedWork(g)))
	r.trafficAt(e).attemptCount++
	r.chargeSlowStart(now, e, g)
	r.recordSession(c, g, 1, math.Inf(-1))
	r.countRead(now, c, g, fallback)
	overdue := min(r.silenceTimeout(e), lostFactor*r.predictedResponse(i, g))
	return Decision{
		Action: Forward, Endpoint: i, AttemptDeadline: r.attemptDeadline(c, g),
		ReviewAt: now + overdue + r.config.BatchInterval, CancelAttempt: noIndex,
	}
}

// attemptDeadline returns when an attempt that is sent now times out, in seconds.
func (r *Router) attemptDeadline(c *Command, g *group) float64 {
	deadline := c.ClientDeadline
	if c.uncertainRuns > 0 && g.Idempotency == IdempotentWithKey {
		// Endpoints forget the key then. An attempt that is not complete at its endpoint by that time must
		// not run any more.
		deadline = min(deadline, c.firstUncertainAt+g.IdempotencyWindow)
	}
	if g.Idempotency == Idempotent && g.LateValue == 0 && !r.connectionsCostly() {
		deadline = min(deadline, c.ArrivedAt+g.LatencyObjective)
	}
	return deadline
}

// reviewAttempt reviews attempt k, which is in flight. An overdue attempt counts as a failure of its
// endpoint; otherwise a hang would go unnoticed. If a retry is allowed, an attempt that is lost or at an
// ejected endpoint is canceled.
func (r *Router) reviewAttempt(now float64, c *Command, g *group, k int) Decision {
	a := &c.Attempts[k]
	e := &r.endpoints[a.Endpoint]
	timeout := r.silenceTimeout(e)
	decision := Decision{Action: Wait, ReviewAt: now + timeout/2, CancelAttempt: noIndex}
	silent := e.unansweredAttempts > 0 && now-e.unansweredSince > timeout
	if silent && !a.overdue && now-a.SentAt > timeout {
		a.overdue = true
		r.recordFailure(now, e)
	}
	// If the endpoint has answered other attempts since, the answer is lost or the command very expensive.
	if lostAt := a.SentAt + lostFactor*r.predictedResponse(a.Endpoint, g); now < lostAt {
		decision.ReviewAt = min(decision.ReviewAt, lostAt+r.config.BatchInterval)
	} else if !a.lost && e.lastAnswerAt > a.SentAt {
		a.lost = true
		e.queued--
	}
	if r.mayCancel(c, g, a) && r.worthRetry(now, c, g, a) {
		a.cancelRequested = true
		decision.CancelAttempt = k
	}
	return decision
}

// mayCancel reports whether attempt a may be canceled so that the command can be retried.
func (r *Router) mayCancel(c *Command, g *group, a *Attempt) bool {
	retryable := g.Idempotency != NonIdempotent && r.remainingAttempts(c) > 0
	return r.config.CanCancel && !a.cancelRequested && !r.connectionsCostly() && retryable
}

// worthRetry reports whether another attempt would do better than attempt a, which is in flight. A lost
// answer is worth a retry even at the same endpoint, as only its connection is silent, if there is as
// much time left as the lost attempt was given.
func (r *Router) worthRetry(now float64, c *Command, g *group, a *Attempt) bool {
	if a.lost && now+lostFactor*r.predictedResponse(a.Endpoint, g) < r.usefulUntil(c, g) {
		return true
	}
	return a.overdue && r.updateEjection(now, a.Endpoint) && r.anotherEndpointAvailable(now, c, g, a.Endpoint)
}

// anotherEndpointAvailable reports whether an endpoint other than i may get a command.
func (r *Router) anotherEndpointAvailable(now float64, c *Command, g *group, i int) bool {
	primary := r.primary(c.Shard)
	return slices.ContainsFunc(r.shards[c.Shard].endpoints, func(k int) bool {
		serves := g.Consistency != PrimaryOnly || k == primary
		return k != i && serves && r.eligible(&r.endpoints[k]) && !r.updateEjection(now, k)
	})
}

// ClientGone records that the client of an unfinished command has disconnected. It returns the index of
// an attempt to cancel, or -1. Where many clients disconnect before their timeout, usefulUntil ends at
// their usual time.
func (r *Router) ClientGone(now float64, c *Command) int {
	g := &r.groups[c.Group]
	sinceArrival := now - c.ArrivedAt
	if now < c.ClientDeadline-r.config.BatchInterval && sinceArrival > r.config.BatchInterval {
		g.earlyLeaveDelay = cmp.Or(g.earlyLeaveDelay, sinceArrival)
		g.earlyLeaveShare += averageWeight * (1 - g.earlyLeaveShare)
		g.earlyLeaveDelay += averageWeight * (sinceArrival - g.earlyLeaveDelay)
	}
	return r.cancelUnneeded(c)
}

// CommandAbandoned does the same for a further command of a client and group that ClientGone was called for.
// One client that leaves with many commands in flight counts once: its leaving tells no more of the others.
func (r *Router) CommandAbandoned(c *Command) int { return r.cancelUnneeded(c) }

// cancelUnneeded returns the index of an attempt in flight for which no client waits, or noIndex.
func (r *Router) cancelUnneeded(c *Command) int {
	for k := range c.Attempts {
		if a := &c.Attempts[k]; a.InFlight && !a.cancelRequested && r.config.CanCancel {
			a.cancelRequested = true
			return k
		}
	}
	return noIndex
}

// AttemptEnded records how an attempt ended and decides what to do next with its command.
func (r *Router) AttemptEnded(now float64, c *Command, result AttemptResult) Decision {
	g := &r.groups[c.Group]
	a := &c.Attempts[result.Attempt]
	e := &r.endpoints[a.Endpoint]
	e.endAttempt(a)
	r.recordSession(c, g, -1, math.Inf(-1))
	c.delivered = c.delivered || result.Result != ConnectFailed && result.Result != NeverSent
	r.decay(now, e)
	r.recordContact(now, g, e, result)
	r.recordConnectCost(now, e, a, result)
	r.recordResult(now, c, g, e, a, result)
	if result.Result.mayHaveRunUnanswered() {
		c.recordUncertainRun(a)
		// The command may have been answered: a connection can break while its answer is under way.
		r.recordSession(c, g, 0, now)
	}
	if result.Final {
		return Decision{Action: None, CancelAttempt: r.cancelUnneeded(c)}
	}
	if result.Result == NeverSent {
		c.unsentAttempts++
		c.clientUnknown = result.ClientUnknown
		if !r.shouldGiveUp(now, c, g) {
			return Decision{Action: Wait, ReviewAt: now + unsentPause(c), CancelAttempt: noIndex}
		}
	}
	return r.Route(now, c)
}

// unsentPause returns how many seconds a command waits after an attempt that did not leave this process.
// What this machine lacked, a file descriptor or a port, will not be free again immediately.
func unsentPause(c *Command) float64 {
	return catchUpWait * min(1, firstUnsentPauseShare*math.Exp2(float64(c.unsentAttempts-1)))
}

// remainingAttempts returns how many attempts a command may still have. Those that never left this
// process are not counted.
func (r *Router) remainingAttempts(c *Command) int {
	return r.config.MaxAttempts - (len(c.Attempts) - c.unsentAttempts)
}

// recordContact records that an endpoint has answered in some way, and the position and role in the answer.
func (r *Router) recordContact(now float64, g *group, e *endpoint, result AttemptResult) {
	if !result.Result.fromEndpoint() {
		return
	}
	e.idleConnections++
	if e.ejected && result.Result != Overloaded {
		e.ejected, e.failureCount = false, e.failureCount/2
	}
	e.unansweredAttempts = 0
	r.recordReachable(now, e)
	position := result.Position
	if g.Consistency == PrimaryOnly && result.Result == Answered {
		position = -1 // it is the position of the commit, not of the endpoint's data
	}
	e.recordReport(now, r.config.PositionEpoch, position, result.Role)
}

// recordConnectCost updates the estimated cost of a new connection. If it is high, open ones are worth
// keeping.
func (r *Router) recordConnectCost(now float64, e *endpoint, a *Attempt, result AttemptResult) {
	if a.newConnection && result.Result == Answered {
		r.connectCost += averageWeight * (result.Elapsed - r.meanLatency(e) - r.connectCost)
	} else if result.Result == ConnectFailed && now-e.lastAnswerAt < r.decayTime/decayObjectives {
		r.connectCost += connectFailureWeight * (result.Elapsed - r.connectCost)
	}
}

// recordResult updates an endpoint's health and latency by the result of an attempt.
func (r *Router) recordResult(now float64, c *Command, g *group, e *endpoint, a *Attempt, end AttemptResult) {
	switch end.Result {
	case Answered:
		r.recordAnswer(now, c, g, e, a, end)
	case Errored, ConnectionLost, TimedOut, ConnectFailed:
		if !a.overdue {
			r.recordFailure(now, e)
		}
		if end.Result == ConnectFailed {
			e.recordUnreachable(now)
		}
	case Overloaded:
		// This is a failure too: an endpoint that rejects everything quickly looks idle and attracts more.
		r.recordFailure(now, e)
		e.lastOverloadAt = now
		r.recordLatency(now, g, e, a, max(end.Elapsed, g.LatencyObjective))
	case NotServed:
		e.resultCount++
		c.tooStale = c.tooStale || g.Consistency != PrimaryOnly
	case Canceled, NeverSent:
	}
	if end.Result == TimedOut || end.Result == Canceled {
		// On average the answer would have taken the expected latency longer. Attempts abandoned by
		// clients once counted as quick answers, which attracted more commands.
		r.recordLatency(now, g, e, a, end.Elapsed+r.expectedLatency(e, a.queuePosition))
	}
}

// recordAnswer updates the statistics of the group, endpoint and fleet, and the session's position, by an
// answer.
func (r *Router) recordAnswer(now float64, c *Command, g *group, e *endpoint, a *Attempt, end AttemptResult) {
	g.earlyLeaveShare -= averageWeight * g.earlyLeaveShare
	if now <= c.ArrivedAt+g.LatencyObjective {
		g.inTimeAnswerCount++
	}
	e.resultCount++
	e.lastAnswerAt = now
	r.trafficAt(e).answeredWorkSum += r.relativeWork(g)
	r.recordServiceTime(now, g, end.Elapsed)
	if !r.isHeavy(g) {
		r.recordFleetLatency(g, a, end.Elapsed)
	}
	r.recordLatency(now, g, e, a, end.Elapsed)
	if end.Position >= 0 {
		r.recordSession(c, g, 0, r.config.PositionEpoch+end.Position)
	} else if g.Consistency == PrimaryOnly {
		r.recordSession(c, g, 0, now)
	}
}
