package backend

import (
	"net/netip"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// state is the state of a connection.
type state int

const (
	stateConnecting     state = iota // the TCP connection is being established
	stateStartup                     // the start-up packet is queued or sent and not yet answered
	stateIdle                        // ready for an attempt or a health check
	stateSending                     // a query is being written
	stateAwaitingAnswer              // the query is written completely and not yet answered
	stateClosed
)

// conn is a connection to a backend. It is dialed for one attempt or health check, which it carries from then on, and can
// be reused for others, one at a time. Times are in seconds on the event loop's clock.
type conn struct {
	pool               *Pool
	endpoint           int
	generation         int            // generation of the endpoint's row when the connection was dialed
	address            netip.AddrPort // address of the endpoint when the connection was dialed
	fd                 int
	state              state
	input, output      buffer.Chain
	answer             pg.Answer // the part of the answer received so far
	attempt            *Attempt  // nil if the connection carries no attempt
	carriesHealthCheck bool      // true while the connection carries a health check
	checkStartedAt     float64   // time at which the health check was requested
	idleSince          float64   // time at which the connection last became idle
	writeDeadline      float64   // time by which the query must be written completely
	readSuspended      bool      // the connection is in Pool.suspended and not read
	timer              *eventloop.Timer
}

// newConn returns a connection to an endpoint that uses fd, a socket whose connect has been started.
func newConn(p *Pool, index, fd int) *conn {
	e := &p.endpoints[index]
	c := &conn{
		pool:       p,
		endpoint:   index,
		generation: e.generation,
		address:    e.address,
		fd:         fd,
		input:      p.blocks.NewChain(),
		output:     p.blocks.NewChain(),
		answer:     pg.Answer{Row: p.blocks.NewChain()},
	}
	c.timer = eventloop.NewTimer(c.timerExpired)
	return c
}

// sendWhenReady sends the attempt or health check that the connection carries if the connection is idle. Otherwise it sets
// the timer for the connect timeout; handleStartupAnswer calls sendWhenReady again once the connection is idle.
func (c *conn) sendWhenReady() {
	now := c.pool.loop.Clock()
	deadline := c.deadline()
	if c.state != stateIdle {
		c.pool.loop.SetTimer(c.timer, min(deadline, now+c.pool.limits.Durations.ConnectTimeout))
		return
	}
	if !c.shouldWrite() || c.attempt != nil && c.pool.blocks.Exhausted() {
		c.reportNeverSent()
		return
	}
	// The statement contains its client's remaining waiting time, so it must not be delayed for long.
	c.pool.loop.SetTimer(c.timer, min(deadline, now+c.pool.limits.Durations.StatementWriteTimeout))
	c.state = stateSending
	if c.carriesHealthCheck {
		c.output.Write(pg.AppendQuery(nil, healthQuery))
	} else {
		c.writeStatement(now)
	}
	c.writeDeadline = now + c.pool.limits.Durations.StatementWriteTimeout
	c.flush()
}

// shouldWrite reports whether the query should still be written. It returns true for a health check, and for an attempt
// whose deadline has not passed and which may still be sent.
func (c *conn) shouldWrite() bool {
	return c.attempt == nil || c.pool.loop.Clock() < c.attempt.Deadline && c.pool.results.MaySend(c.attempt)
}

// reportNeverSent reports the attempt as router.NeverSent before any of it was written, and keeps the connection.
func (c *conn) reportNeverSent() {
	now := c.pool.loop.Now()
	attempt := c.attempt
	c.attempt = nil
	attempt.conn = nil
	c.returnToPool(now)
	c.pool.results.AttemptEnded(attempt, router.NeverSent, now-attempt.sentAt, nil)
}

// deadline returns the time at which the attempt or health check that the connection carries times out.
func (c *conn) deadline() float64 {
	if c.attempt != nil {
		return c.attempt.Deadline
	}
	return c.checkStartedAt + c.pool.limits.Durations.HealthCheckTimeout
}

// flush writes as much of the output as the socket accepts. Once the last byte of a query is written, the backend may run
// it.
func (c *conn) flush() {
	if err := c.pool.loop.Write(c.fd, &c.output); err != nil {
		c.fail(router.ConnectionLost)
		return
	}
	if c.output.Len() == 0 && c.state == stateSending {
		c.state = stateAwaitingAnswer
		if c.attempt != nil {
			c.attempt.written = true
		}
		c.pool.loop.SetTimer(c.timer, c.deadline())
	}
	c.updateInterest()
}

// updateInterest sets the events that the descriptor is watched for.
func (c *conn) updateInterest() { c.pool.loop.SetInterest(c.fd, !c.readSuspended, c.output.Len() > 0) }

// Ready implements eventloop.Handler.
func (c *conn) Ready(readable, writable bool) {
	if c.state == stateConnecting {
		if err := c.pool.loop.ConnectError(c.fd); err != nil {
			c.fail(router.ConnectFailed)
			return
		}
		c.state = stateStartup
		c.output.Write(pg.AppendStartupMessage(nil))
	}
	if c.state == stateIdle { // no answer is due, so the backend has closed the connection or sent unrequested data
		c.closeUnsolicited()
		return
	}
	if writable && c.output.Len() > 0 {
		c.continueWriting()
	}
	if readable && c.state != stateClosed {
		c.read()
	}
}

// continueWriting writes more of an output that the socket accepted only in part. It does not write the rest of a
// statement that may no longer be sent, whose deadline has passed or whose write timeout is over: the waiting time in the
// statement would be wrong by then. The attempt ends as never sent, because the backend cannot run a part of a statement.
func (c *conn) continueWriting() {
	if c.state == stateSending && (!c.shouldWrite() || c.pool.loop.Clock() >= c.writeDeadline) {
		c.fail(router.NeverSent)
		return
	}
	c.flush()
}

// timerExpired closes a connection that has been idle for too long. On a busy connection, it ends the attempt or health
// check as timed out, unless an answer that was left in the socket for want of buffers is there.
func (c *conn) timerExpired() {
	if c.state == stateIdle {
		c.pool.counters.BackendIdleClosed++
		c.close()
		return
	}
	if c.readSuspended {
		attempt := c.attempt
		c.readAnswer()
		if c.attempt != attempt {
			return
		}
	}
	c.fail(router.TimedOut)
}

// suspendReading leaves what the backend sends in the socket until Pool.ResumeReading is called.
func (c *conn) suspendReading() {
	if !c.readSuspended {
		c.readSuspended = true
		c.pool.suspended = append(c.pool.suspended, c)
		c.updateInterest()
	}
}

// read reads an answer. If the buffers are exhausted, it leaves the answer to an attempt in the socket. Answers to start-up
// packets and health checks are short and are read all the same, so that the endpoint does not seem to be silent.
func (c *conn) read() {
	if c.pool.blocks.Exhausted() && c.attempt != nil && c.state == stateAwaitingAnswer {
		c.suspendReading()
		return
	}
	c.readAnswer()
}

// readAnswer parses the bytes of an answer that have arrived.
func (c *conn) readAnswer() {
	sizes := &c.pool.limits.Sizes
	_, readErr := c.pool.loop.Read(c.fd, &c.input, sizes.ReadPerTurn)
	complete, err := c.answer.Take(&c.input, sizes.BackendMessage, sizes.InspectedMessage)
	switch {
	case err != nil:
		c.pool.counters.BackendInvalidAnswers++
		c.fail(router.Errored)
	case complete:
		c.handleAnswer(readErr != nil)
	case readErr != nil:
		c.fail(router.ConnectionLost)
	}
}

// closeUnsolicited closes an idle connection that the backend has closed or sent unrequested data on.
func (c *conn) closeUnsolicited() {
	c.pool.counters.BackendUnsolicited++
	c.close()
}

// handleAnswer handles a complete answer. connectionEnded is true if the backend has closed the connection after the
// answer, or if reading from it failed.
func (c *conn) handleAnswer(connectionEnded bool) {
	answer := c.answer
	c.answer = pg.Answer{Row: c.pool.blocks.NewChain()}
	reusable := !connectionEnded && !answer.Fatal && c.input.Len() == 0 && c.output.Len() == 0
	switch c.state {
	case stateStartup:
		c.handleStartupAnswer(&answer, reusable)
	case stateAwaitingAnswer:
		c.handleQueryAnswer(&answer, reusable)
	default: // the answer came before the query was written completely
		answer.Row.Free()
		c.fail(router.ConnectionLost)
	}
}

// handleStartupAnswer makes the connection idle and sends the query that it was dialed for, if the backend accepted the
// start-up packet.
func (c *conn) handleStartupAnswer(answer *pg.Answer, reusable bool) {
	hasRow := answer.Row.Len() > 0
	answer.Row.Free()
	switch {
	case answer.ErrorCode == pg.CodeTooManyConnections:
		c.fail(router.Overloaded)
	case answer.ErrorCode != "" || hasRow || !reusable:
		c.fail(router.ConnectFailed)
	default:
		c.state = stateIdle
		c.pool.endpoints[c.endpoint].removeConnecting(c)
		c.sendWhenReady()
	}
}

// handleQueryAnswer makes the connection available for the next query, or closes it if it cannot be reused, and reports
// the answer.
func (c *conn) handleQueryAnswer(answer *pg.Answer, reusable bool) {
	now := c.pool.loop.Now()
	attempt, carriesHealthCheck := c.attempt, c.carriesHealthCheck
	c.attempt, c.carriesHealthCheck = nil, false
	if reusable {
		c.returnToPool(now)
	} else {
		c.close()
	}
	if carriesHealthCheck {
		c.handleHealthCheckAnswer(answer, now-c.checkStartedAt)
		return
	}
	attempt.conn = nil
	c.pool.results.AttemptEnded(attempt, resultOf(answer), now-attempt.sentAt, answer)
}

// returnToPool makes the connection idle. It closes the connection instead if the endpoint's address has changed or its
// row was released since the connection was dialed.
func (c *conn) returnToPool(now float64) {
	e := &c.pool.endpoints[c.endpoint]
	if c.address != e.address || c.generation != e.generation {
		c.close()
		return
	}
	c.state = stateIdle
	c.idleSince = now
	e.idle = append(e.idle, c)
	c.pool.loop.SetTimer(c.timer, now+c.pool.limits.Durations.BackendIdleTimeout)
}

// fail closes the connection and reports a result for the attempt or health check that it carried. If the last byte of
// the query was not written, the backend has not run it; fail then reports the result that unsentResult returns.
func (c *conn) fail(result router.Result) {
	if c.state != stateAwaitingAnswer {
		result = unsentResult(result)
	}
	opening := c.state == stateConnecting || c.state == stateStartup
	if opening && result != router.NeverSent {
		c.pool.counters.BackendConnectFailures++
	}
	now := c.pool.loop.Now()
	attempt, carriesHealthCheck := c.attempt, c.carriesHealthCheck
	c.attempt, c.carriesHealthCheck = nil, false
	c.close()
	if carriesHealthCheck {
		c.reportHealthCheck(result, now-c.checkStartedAt, "")
	}
	if attempt != nil {
		attempt.conn = nil
		c.pool.results.AttemptEnded(attempt, result, now-attempt.sentAt, nil)
	}
}

// unsentResult converts the result of a query whose last byte was not written: to NeverSent if this router canceled it,
// and to ConnectFailed for any failure other than Overloaded.
func unsentResult(result router.Result) router.Result {
	switch result {
	case router.Overloaded, router.NeverSent:
		return result
	case router.Canceled:
		return router.NeverSent
	default:
		return router.ConnectFailed
	}
}

// close closes the connection without reporting anything.
func (c *conn) close() {
	switch c.state {
	case stateClosed:
		return
	case stateIdle:
		c.pool.endpoints[c.endpoint].removeIdle(c)
	case stateConnecting, stateStartup:
		c.pool.endpoints[c.endpoint].removeConnecting(c)
	case stateSending, stateAwaitingAnswer:
	}
	c.state = stateClosed
	c.pool.connections--
	c.pool.endpoints[c.endpoint].connections--
	c.pool.loop.StopTimer(c.timer)
	c.pool.loop.Close(c.fd)
	c.input.Free()
	c.output.Free()
	c.answer.Row.Free()
	if c.readSuspended {
		c.pool.suspended = without(c.pool.suspended, c)
	}
}
