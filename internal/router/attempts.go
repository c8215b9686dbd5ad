package router

import (
	"cmp"
	"math"
	"slices"
)

const (
	lostFactor       = 5.0 // predicted response times after which an answer that others overtook is lost
	firstUnsentPauseShare = 0.1 // of catchUpWait, after a command's first attempt that did not leave this process
	maxUncertainRuns = 2   // attempts that may have run, after which a command is itself at fault
)

// mayRetry allows a retry only of what is known not to have run, or within the bounds of its idempotency.
func (r *Router) mayRetry(now float64, c *Command, g *group) bool {
	if c.uncertainRuns == 0 || g.Idempotency == Idempotent {
		return true
	}
	// A connection may still have to be made, so a retry by key must leave by that much earlier.
	arrival := now + r.config.ConnectTimeout + r.config.BatchInterval
	return g.Idempotency == IdempotentWithKey && arrival < c.firstUncertainAt+g.IdempotencyWindow
}

// inKeyScope says whether an endpoint would recognize the key of a command that may have run elsewhere.
func (r *Router) inKeyScope(c *Command, g *group, i int) bool {
	if c.uncertainRuns == 0 || g.Idempotency != IdempotentWithKey || g.KeyScope != ZoneScope {
		return true
	}
	return r.endpoints[i].zone == r.endpoints[c.firstUncertainEndpoint].zone
}

// forward sends an attempt and books it.
func (r *Router) forward(now float64, c *Command, g *group, i int, fallback bool) Decision {
	e := &r.endpoints[i]
	r.decay(now, e)
	c.Attempts = append(c.Attempts, e.startAttempt(now, i, r.expectedWork(g)))
	r.chargeSlowStart(now, e, g)
	r.recordSession(c, g, 1, math.Inf(-1))
	r.countRead(now, c, g, fallback)
	overdue := min(r.silenceTimeout(e), lostFactor*r.predictedResponse(i, g))
	return Decision{
		Action: Forward, Endpoint: i, AttemptDeadline: r.attemptDeadline(c, g),
		ReviewAt: now + overdue + r.config.BatchInterval, CancelAttempt: noIndex,
	}
}

// attemptDeadline is when an attempt that is sent now times out.
func (r *Router) attemptDeadline(c *Command, g *group) float64 {
	deadline := c.ClientDeadline
	if c.uncertainRuns > 0 && g.Idempotency == IdempotentWithKey {
		// What is not complete at the endpoint by then must not run any more.
		deadline = min(deadline, c.firstUncertainAt+g.IdempotencyWindow)
	}
	if g.Idempotency == Idempotent && g.LateValue == 0 && !r.connectionsCostly() {
		deadline = min(deadline, c.ArrivedAt+g.LatencyObjective)
	}
	return deadline
}

// reviewAttempt looks at an attempt in flight. One that is overdue counts as a failure of its endpoint, or a
// hang would never be seen; one that is lost or at an ejected endpoint is canceled where a retry is allowed.
func (r *Router) reviewAttempt(now float64, c *Command, g *group, k int) Decision {
	a := &c.Attempts[k]
	e := &r.endpoints[a.Endpoint]
	timeout := r.silenceTimeout(e)
	d := Decision{Action: Wait, ReviewAt: now + timeout/2, CancelAttempt: noIndex}
	silent := e.unansweredAttempts > 0 && now-e.unansweredSince > timeout
	if silent && !a.overdue && now-a.SentAt > timeout {
		a.overdue = true
		r.recordFailure(now, e)
	}
	// Its endpoint has answered others since: the answer is lost, or the command very costly.
	if lostAt := a.SentAt + lostFactor*r.predictedResponse(a.Endpoint, g); now < lostAt {
		d.ReviewAt = min(d.ReviewAt, lostAt+r.config.BatchInterval)
	} else if !a.lost && e.lastAnswerAt > a.SentAt {
		a.lost = true
		e.queued--
	}
	if r.mayCancel(c, g, a) && r.worthRetry(now, c, g, a) {
		a.cancelRequested = true
		d.CancelAttempt = k
	}
	return d
}

func (r *Router) mayCancel(c *Command, g *group, a *Attempt) bool {
	retryable := g.Idempotency != NonIdempotent && r.remainingAttempts(c) > 0
	return r.config.CanCancel && !a.cancelRequested && !r.connectionsCostly() && retryable
}

// worthRetry says that another attempt will do better than one in flight. A lost answer is worth one at the
// same endpoint too, as its connection fell silent, if there is as much time left as it was given.
func (r *Router) worthRetry(now float64, c *Command, g *group, a *Attempt) bool {
	if a.lost && now+lostFactor*r.predictedResponse(a.Endpoint, g) < r.usefulUntil(c, g) {
		return true
	}
	return a.overdue && r.updateEjection(now, a.Endpoint) && r.anotherEndpointAvailable(now, c, g, a.Endpoint)
}

// anotherEndpointAvailable says whether another endpoint may take a command.
func (r *Router) anotherEndpointAvailable(now float64, c *Command, g *group, i int) bool {
	primary := r.primary(c.Shard)
	return slices.ContainsFunc(r.shards[c.Shard].endpoints, func(k int) bool {
		serves := g.Consistency != PrimaryOnly || k == primary
		return k != i && serves && r.eligible(&r.endpoints[k]) && !r.updateEjection(now, k)
	})
}

// ClientGone takes in that the client of an unfinished command has gone, and returns an attempt to cancel, or
// -1. Where many clients leave before their time, only what can be answered before then is worth sending.
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

// cancelUnneeded returns an attempt that nobody waits for any more, or none.
func (r *Router) cancelUnneeded(c *Command) int {
	for k := range c.Attempts {
		if a := &c.Attempts[k]; a.InFlight && !a.cancelRequested && r.config.CanCancel {
			a.cancelRequested = true
			return k
		}
	}
	return noIndex
}

// AttemptEnded takes in how an attempt ended and says what to do with its command.
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
	if result.Result.mayHaveRun() {
		c.recordUncertainRun(a)
		r.recordSession(c, g, 0, now) // it may have been answered: a connection can break under its answer
	}
	if result.Final {
		return Decision{Action: None, CancelAttempt: r.cancelUnneeded(c)}
	}
	if result.Result == NeverSent {
		c.unsentAttempts++
		if !r.shouldGiveUp(now, c, g) {
			return Decision{Action: Wait, ReviewAt: now + unsentPause(c), CancelAttempt: noIndex}
		}
	}
	return r.Route(now, c)
}

// unsentPause is how long a command waits whose attempt did not leave this process: what this machine
// lacked for it, a descriptor or a port, it will lack in the next moment too.
func unsentPause(c *Command) float64 {
	return catchUpWait * min(1, firstUnsentPauseShare*math.Exp2(float64(c.unsentAttempts-1)))
}

// remainingAttempts is how many attempts a command may still have. What did not leave this process is none.
func (r *Router) remainingAttempts(c *Command) int {
	return r.config.MaxAttempts - (len(c.Attempts) - c.unsentAttempts)
}

// recordContact notes that an endpoint has answered in some way, and what it said of itself.
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
		position = -1 // the commit's, not the endpoint's
	}
	e.recordReport(now, r.config.PositionEpoch, position, result.Role)
}

// recordConnectCost learns what new connections cost: where that is much, open ones are worth keeping.
func (r *Router) recordConnectCost(now float64, e *endpoint, a *Attempt, result AttemptResult) {
	if a.newConnection && result.Result == Answered {
		r.connectCost += averageWeight * (result.Elapsed - r.meanLatency(e) - r.connectCost)
	} else if result.Result == ConnectFailed && now-e.lastAnswerAt < r.decayTime/decayObjectives {
		r.connectCost += connectFailureWeight * (result.Elapsed - r.connectCost)
	}
}

// recordResult notes what a result says of an endpoint's health and latency.
func (r *Router) recordResult(now float64, c *Command, g *group, e *endpoint, a *Attempt, result AttemptResult) {
	switch result.Result {
	case Answered:
		r.recordAnswer(now, c, g, e, a, result)
	case Errored, ConnectionLost, TimedOut, ConnectFailed:
		if !a.overdue {
			r.recordFailure(now, e)
		}
		if result.Result == ConnectFailed {
			e.recordUnreachable(now)
		}
	case Overloaded: // a failure too: an endpoint that rejects all at once would look idle and draw more
		r.recordFailure(now, e)
		e.lastOverloadAt = now
		r.recordLatency(g, e, a, max(result.Elapsed, g.LatencyObjective))
	case NotServed:
		e.resultCount++
		c.tooStale = c.tooStale || g.Consistency != PrimaryOnly
	case Canceled, NeverSent:
	}
	if result.Result == TimedOut || result.Result == Canceled {
		// It would have taken as much again in the mean: what clients left counted as quick, and drew more.
		r.recordLatency(g, e, a, result.Elapsed+r.expectedLatency(e, a.queuePosition))
	}
}

// recordAnswer takes in an answer: its endpoint's health, latencies, and its session's position.
func (r *Router) recordAnswer(now float64, c *Command, g *group, e *endpoint, a *Attempt, result AttemptResult) {
	g.earlyLeaveShare -= averageWeight * g.earlyLeaveShare
	if now <= c.ArrivedAt+g.LatencyObjective {
		g.inTimeAnswerCount++
	}
	e.resultCount++
	e.lastAnswerAt = now
	e.answeredWorkSum += r.relativeWork(g)
	r.recordServiceTime(now, g, result.Elapsed)
	if !r.isHeavy(g) {
		r.recordFleetLatency(g, a, result.Elapsed)
	}
	r.recordLatency(g, e, a, result.Elapsed)
	if result.Position >= 0 {
		r.recordSession(c, g, 0, r.config.PositionEpoch+result.Position)
	} else if g.Consistency == PrimaryOnly {
		r.recordSession(c, g, 0, now)
	}
}
