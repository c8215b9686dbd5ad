package backend

import (
	"net/netip"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// state is what a connection is doing.
type state int

const (
	stateConnecting     state = iota // the TCP connection is being made
	stateStartup                     // the start-up packet is queued or sent; its answer is awaited
	stateIdle                        // ready for an attempt or a health check
	stateSending                     // a query is being written
	stateAwaitingAnswer              // the query's last byte is written
	stateClosed
)

// conn is one connection. It carries one attempt or health check at a time, from the moment it is dialed for it.
type conn struct {
	pool           *Pool
	endpoint       int
	generation     int            // the endpoint row's when the connection was dialed
	address        netip.AddrPort // the endpoint's when the connection was dialed
	fd             int
	state          state
	input, output  buffer.Chain
	answer         pg.Answer // the answer as far as it has come
	attempt        *Attempt  // nil: it carries none
	checking       bool      // it carries a health check
	checkStartedAt float64
	idleSince      float64
	writeDeadline  float64 // when the statement that is being written must be complete
	timer          *eventloop.Timer
}

// newConn returns a connection to an endpoint over a descriptor that is being connected.
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

// start sends what the connection carries if it is ready. Otherwise it limits the time for becoming ready, after which
// start is called again.
func (c *conn) start() {
	now := c.pool.loop.Clock()
	deadline := c.deadline()
	if c.state != stateIdle {
		c.pool.loop.SetTimer(c.timer, min(deadline, now+c.pool.limits.Durations.ConnectTimeout))
		return
	}
	if !c.isWanted() {
		c.endUnsent()
		return
	}
	// The statement says how long its client waits, so it must not be held back for long.
	c.pool.loop.SetTimer(c.timer, min(deadline, now+c.pool.limits.Durations.StatementWriteTimeout))
	c.state = stateSending
	if c.checking {
		c.output.Write(pg.AppendQuery(nil, healthQuery))
	} else {
		c.writeStatement(now)
	}
	c.writeDeadline = now + c.pool.limits.Durations.StatementWriteTimeout
	c.flush()
}

// isWanted reports whether what the connection carries is still to be written: a health check, or an attempt whose time
// has not run out and whose client is there.
func (c *conn) isWanted() bool {
	return c.attempt == nil || c.pool.loop.Clock() < c.attempt.Deadline && c.pool.results.Wanted(c.attempt)
}

// endUnsent ends an attempt before anything of it was written, and keeps the connection.
func (c *conn) endUnsent() {
	now := c.pool.loop.Now()
	attempt := c.attempt
	c.attempt = nil
	attempt.conn = nil
	c.returnToPool(now)
	c.pool.results.AttemptEnded(attempt, router.NeverSent, now-attempt.sentAt, nil)
}

// deadline is when what the connection carries times out.
func (c *conn) deadline() float64 {
	if c.attempt != nil {
		return c.attempt.Deadline
	}
	return c.checkStartedAt + c.pool.limits.Durations.HealthCheckTimeout
}

// flush writes what the socket takes. A query counts as sent, and perhaps run, once its last byte is written.
func (c *conn) flush() {
	if err := c.pool.loop.Write(c.fd, &c.output); err != nil {
		c.fail(router.ConnectionLost)
		return
	}
	if c.output.Len() == 0 && c.state == stateSending {
		c.state = stateAwaitingAnswer
		c.pool.loop.SetTimer(c.timer, c.deadline())
	}
	c.pool.loop.SetInterest(c.fd, true, c.output.Len() > 0)
}

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
	if c.state == stateIdle { // the backend has nothing to say now but that it closes the connection
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

// continueWriting writes more of what the socket did not take at once. The rest of a statement whose client has left, or
// that says a time which is over by now, is never written: it has not run.
func (c *conn) continueWriting() {
	if c.state == stateSending && (!c.isWanted() || c.pool.loop.Clock() >= c.writeDeadline) {
		c.fail(router.NeverSent)
		return
	}
	c.flush()
}

// read takes in what has come of an answer.
func (c *conn) read() {
	sizes := &c.pool.limits.Sizes
	_, readErr := c.pool.loop.Read(c.fd, &c.input, sizes.ReadPerTurn)
	complete, err := c.answer.Take(&c.input, sizes.BackendMessage, sizes.InspectedMessage)
	switch {
	case err != nil:
		c.pool.counters.BackendInvalidAnswers++
		c.fail(router.Errored)
	case complete:
		c.answerComplete(readErr != nil)
	case readErr != nil:
		c.fail(router.ConnectionLost)
	}
}

// closeUnsolicited closes an idle connection that the backend has closed, or on which it sent data unasked.
func (c *conn) closeUnsolicited() {
	c.pool.counters.BackendUnsolicited++
	c.close()
}

// answerComplete takes in a complete answer. ended says that the backend has closed the connection behind it.
func (c *conn) answerComplete(ended bool) {
	answer := c.answer
	c.answer = pg.Answer{Row: c.pool.blocks.NewChain()}
	reusable := !ended && !answer.Fatal && c.input.Len() == 0 && c.output.Len() == 0
	switch c.state {
	case stateStartup:
		c.startupAnswered(&answer, reusable)
	case stateAwaitingAnswer:
		c.queryAnswered(&answer, reusable)
	default: // an answer to a query that was not yet sent
		answer.Row.Free()
		c.fail(router.ConnectionLost)
	}
}

// startupAnswered sends what the connection was dialed for, if the backend accepted the start-up packet.
func (c *conn) startupAnswered(answer *pg.Answer, reusable bool) {
	hasRow := answer.Row.Len() > 0
	answer.Row.Free()
	switch {
	case answer.ErrorCode == pg.CodeTooManyConnections:
		c.fail(router.Overloaded)
	case answer.ErrorCode != "" || hasRow || !reusable:
		c.fail(router.ConnectFailed)
	default:
		c.state = stateIdle
		c.pool.endpoints[c.endpoint].opened(c)
		c.start()
	}
}

// queryAnswered frees the connection for the next query and reports the answer to the one before.
func (c *conn) queryAnswered(answer *pg.Answer, reusable bool) {
	now := c.pool.loop.Now()
	attempt, checking := c.attempt, c.checking
	c.attempt, c.checking = nil, false
	if reusable {
		c.returnToPool(now)
	} else {
		c.close()
	}
	if checking {
		c.healthCheckAnswered(answer, now-c.checkStartedAt)
		return
	}
	attempt.conn = nil
	c.pool.results.AttemptEnded(attempt, resultOf(answer), now-attempt.sentAt, answer)
}

// returnToPool keeps the connection for the next query, unless its endpoint has another address by now or left its row.
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

// timerExpired is called when the time for what the connection does has run out.
func (c *conn) timerExpired() {
	if c.state == stateIdle {
		c.pool.counters.BackendIdleClosed++
		c.close()
		return
	}
	c.fail(router.TimedOut)
}

// fail closes the connection and reports a result for what it carried. Whatever the reason, a query whose last byte was
// not written has not run: it is reported as ConnectFailed here, or as NeverSent if that was this router's own doing.
func (c *conn) fail(result router.Result) {
	if c.state != stateAwaitingAnswer {
		result = unsentResult(result)
	}
	opening := c.state == stateConnecting || c.state == stateStartup
	if opening && result != router.NeverSent {
		c.pool.counters.BackendConnectFailures++
	}
	now := c.pool.loop.Now()
	attempt, checking := c.attempt, c.checking
	c.attempt, c.checking = nil, false
	c.close()
	if checking {
		c.reportHealthCheck(result, now-c.checkStartedAt, "")
	}
	if attempt != nil {
		attempt.conn = nil
		c.pool.results.AttemptEnded(attempt, result, now-attempt.sentAt, nil)
	}
}

// unsentResult is the result of a query whose last byte was not written, which would else have had the given one.
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
		c.pool.endpoints[c.endpoint].remove(c)
	case stateConnecting, stateStartup:
		c.pool.endpoints[c.endpoint].opened(c)
	case stateSending, stateAwaitingAnswer:
	}
	c.state = stateClosed
	c.pool.connections--
	c.pool.loop.StopTimer(c.timer)
	c.pool.loop.Close(c.fd)
	c.input.Free()
	c.output.Free()
	c.answer.Row.Free()
}
