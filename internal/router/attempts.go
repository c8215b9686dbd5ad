package router

import (
	"cmp"
	"math"
	"slices"
)

// mayGoAgain keeps rule 2: a repeat only of what is known not to have run, or within bounds.
func (r *Router) mayRetry(now float64, c *Command, g *groupState) bool {
	// A connection may still have to be made, so a keyed repeat must leave by that much earlier.
	return c.uncertainRuns == 0 || g.Idempotency == Idempotent ||
		g.Idempotency == IdempotentWithKey && now+r.config.ConnectTimeout+r.config.BatchInterval < c.uncertainAt+g.IdempotencyWindow
}

// send books a dispatch.
func (r *Router) forward(now float64, c *Command, g *groupState, at int, spilled bool) Decision {
	n := &r.endpoints[at]
	if n.unanswered++; n.unanswered == 1 {
		n.unansweredSince, n.unansweredWork = now, 0
	}
	n.unansweredWork += r.expectedWork(g)
	c.Attempts = append(c.Attempts, Attempt{Endpoint: at, SentAt: now, InFlight: true, queuePosition: n.queued, newConnection: n.idleConnections == 0})
	n.idleConnections = max(0, n.idleConnections-1)
	r.decay(now, n)
	n.queued, n.inFlight, n.attemptSum = n.queued+1, n.inFlight+1, n.attemptSum+1
	n.slowStartBudget = math.Max(0, n.slowStartBudget-1)
	r.recordSession(c, g, 1, math.Inf(-1))
	if g.Consistency != PrimaryOnly && len(c.Attempts) == 1 {
		r.reads.Add(now)
		if spilled {
			r.fallbacks.Add(now)
		}
	}
	until := c.ClientDeadline
	if c.uncertainRuns > 0 && g.Idempotency == IdempotentWithKey {
		until = math.Min(until, c.uncertainAt+g.IdempotencyWindow) // what is not whole there by then must not run any more
	}
	if g.Idempotency == Idempotent && g.LateValue == 0 && !r.connectionsCostly() {
		until = math.Min(until, c.ArrivedAt+g.LatencyObjective)
	}
	return Decision{Action: Forward, Endpoint: at, AttemptDeadline: until, CancelAttempt: -1,
		ReviewAt: now + math.Min(r.silenceTimeout(n), lostFactor*r.predictedResponse(at, g)) + r.config.BatchInterval}
}

// review looks at a dispatch that is still out. One that is overdue counts against its node
// (else a hang is never seen); one at a doubted node is called off where a repeat is allowed.
func (r *Router) reviewAttempt(now float64, c *Command, g *groupState, i int) Decision {
	l := &c.Attempts[i]
	n := &r.endpoints[l.Endpoint]
	wait := r.silenceTimeout(n)
	a := Decision{Action: Wait, ReviewAt: now + wait/2, CancelAttempt: -1}
	if now-l.SentAt > wait && !l.overdue && n.unanswered > 0 && now-n.unansweredSince > wait {
		l.overdue = true
		r.recordFailure(now, n)
	}
	// Its node has answered others since, so this answer is lost, or the command very costly: it
	// holds no place in the foretold queue any more.
	if lost := l.SentAt + lostFactor*r.predictedResponse(l.Endpoint, g); now < lost {
		a.ReviewAt = math.Min(a.ReviewAt, lost+r.config.BatchInterval)
	} else if !l.lost && n.answeredAt > l.SentAt {
		l.lost = true
		n.queued--
	}
	// With as much time left as it was given, a lost answer is worth another try, at the same node too: it
	// is its connection that fell silent. Harm: work done twice.
	lost := l.lost && now+lostFactor*r.predictedResponse(l.Endpoint, g) < r.usefulUntil(c, g)
	if r.config.CanCancel && !l.canceled && !r.connectionsCostly() && g.Idempotency != NonIdempotent && len(c.Attempts) < r.config.MaxAttempts &&
		(lost || l.overdue && r.suspected(now, l.Endpoint) && r.anotherAvailable(now, c, g, l.Endpoint)) {
		l.canceled = true
		a.CancelAttempt = i
	}
	return a
}

// elsewhere says whether another member may take a command that is called off.
func (r *Router) anotherAvailable(now float64, c *Command, g *groupState, at int) bool {
	p := r.primary(c.Shard)
	return slices.ContainsFunc(r.shards[c.Shard].endpoints, func(i int) bool {
		return i != at && (g.Consistency != PrimaryOnly || i == p) && r.eligible(&r.endpoints[i]) && !r.suspected(now, i)
	})
}

// ClientGone takes in that the client of an unfinished command has gone, and calls its dispatch off.
// Where many leave before their time, only what can be answered before then is worth sending.
func (r *Router) ClientGone(now float64, c *Command) int {
	g := &r.groups[c.Group]
	if age := now - c.ArrivedAt; now < c.ClientDeadline-r.config.BatchInterval && age > r.config.BatchInterval {
		g.leaverStay = cmp.Or(g.leaverStay, age)
		g.leaverShare += averageWeight * (1 - g.leaverShare)
		g.leaverStay += averageWeight * (age - g.leaverStay)
	}
	return r.cancelUnneeded(c)
}

// callOff names a dispatch that nobody waits for any more, or -1.
func (r *Router) cancelUnneeded(c *Command) int {
	for i := range c.Attempts {
		if l := &c.Attempts[i]; l.InFlight && !l.canceled && r.config.CanCancel {
			l.canceled = true
			return i
		}
	}
	return -1
}

// AttemptEnded takes in how a dispatch ended and says what to do.
func (r *Router) AttemptEnded(now float64, c *Command, o AttemptResult) Decision {
	g := &r.groups[c.Group]
	l := &c.Attempts[o.Attempt]
	n := &r.endpoints[l.Endpoint]
	l.InFlight, n.inFlight = false, n.inFlight-1
	r.recordSession(c, g, -1, math.Inf(-1))
	c.delivered = c.delivered || o.Result != ConnectFailed && o.Result != NeverSent
	if !l.lost {
		n.queued--
	}
	r.decay(now, n)
	switch o.Result {
	case Answered, Errored, Overloaded, NotServed:
		n.idleConnections++
		if n.ejected && o.Result != Overloaded {
			n.ejected, n.failureSum = false, n.failureSum/2
		}
		n.unanswered = 0
		r.recordReachable(now, n)
		position := o.Position
		if g.Consistency == PrimaryOnly && o.Result == Answered {
			position = -1 // the commit's, not the node's
		}
		r.recordReport(n, now, position, o.Role)
	}
	// Where new connections are slow and costly those that stand are worth more than an even spread;
	// a dispatch that ran out of time or was called off loses its own.
	if l.newConnection && o.Result == Answered {
		r.connectCost += averageWeight * (o.Elapsed - r.meanLatency(n) - r.connectCost)
	} else if o.Result == ConnectFailed && now-n.answeredAt < r.decayTime/decayObjectives {
		r.connectCost += connectFailureWeight * (o.Elapsed - r.connectCost)
	}
	switch o.Result {
	case Answered:
		r.recordAnswer(now, c, g, n, l, o)
	case Errored, ConnectionLost, TimedOut, ConnectFailed:
		if !l.overdue {
			r.recordFailure(now, n)
		}
		if o.Result == ConnectFailed {
			n.recordUnreachable(now)
		}
	case Overloaded: // a failure like others: a host that turns all away at once would look idle and draw more
		r.recordFailure(now, n)
		n.overloadedAt = now
		r.recordLatency(g, n, l, math.Max(o.Elapsed, g.LatencyObjective))
	case NotServed:
		n.resultSum++
		c.tooStale = c.tooStale || g.Consistency != PrimaryOnly
	}
	switch o.Result {
	case TimedOut, Canceled:
		// Its answer would have taken as much again in the mean. Where clients left early what they left had
		// counted as quick, and hundreds of routers went on sending to a primary that answered nobody.
		r.recordLatency(g, n, l, o.Elapsed+r.expectedLatency(n, l.queuePosition))
		fallthrough
	case Errored, ConnectionLost:
		if c.uncertainRuns++; c.uncertainRuns == 1 {
			c.uncertainAt, c.uncertainEndpoint = l.SentAt, l.Endpoint
		}
		r.recordSession(c, g, 0, now) // it may have been answered: a connection can break under its answer
	}
	if o.Final {
		return Decision{Action: None, CancelAttempt: r.cancelUnneeded(c)}
	}
	return r.Route(now, c)
}

// learn takes in an answer: the node's health and pace, the session's positions.
func (r *Router) recordAnswer(now float64, c *Command, g *groupState, n *endpoint, l *Attempt, o AttemptResult) {
	g.leaverShare -= averageWeight * g.leaverShare
	if now <= c.ArrivedAt+g.LatencyObjective {
		g.answeredInTime++
	}
	n.resultSum++
	n.answeredAt = now
	// The least mean time lately is the work: under load every answer holds a queue too.
	g.batchTime += o.Elapsed
	g.batchCount++
	switch mean := g.batchTime / g.batchCount; {
	case g.batchCount >= serviceBatch:
		drift := 1 - math.Exp((g.batchedAt-now)/(serviceObjectives*r.longestObjective))
		g.serviceTime = math.Min(mean, g.serviceTime+drift*(mean-g.serviceTime))
		g.batchTime, g.batchCount, g.batchedAt = 0, 0, now
	case g.batchedAt == 0:
		g.serviceTime = (g.batchTime + priorWeight*assumedServiceShare*g.LatencyObjective) / (g.batchCount + priorWeight)
	}
	if !r.heavy(g) {
		r.answers++ // the first answers count alike, or the first alone would stand for minutes
		w := math.Max(averageWeight, 1/r.answers)
		r.serviceTime += w * (g.serviceTime - r.serviceTime)
		r.latency += w * (math.Min(r.normalizedLatency(g, o.Elapsed), maxTailFactor*r.serviceTime) - r.latency)
		r.queueLength += w * (float64(l.queuePosition+1) - r.queueLength)
	}
	r.recordLatency(g, n, l, o.Elapsed)
	if o.Position >= 0 {
		r.recordSession(c, g, 0, r.config.PositionEpoch+o.Position)
	} else if g.Consistency == PrimaryOnly {
		r.recordSession(c, g, 0, now)
	}
}
