package backend

import (
	"strconv"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

const millisecondsPerSecond = 1000

// Attempt sends a command to one backend. The caller fills the exported fields and must not change them until the
// attempt has ended. Times are in seconds on the event loop's clock.
type Attempt struct {
	CommandID uint32
	Index     int           // number of the attempt among those of its command, from 0
	Endpoint  int           // index of the endpoint that receives the attempt
	Statement *buffer.Chain // text of the statement with its terminating zero byte; the caller frees it
	WaitStart int           // offset in Statement of the first digit of the client's waiting time
	WaitEnd   int           // offset in Statement after the last digit of the waiting time
	Deadline  float64       // time at which the attempt times out

	conn    *conn   // the connection that carries the attempt; nil before Send and after the attempt has ended
	sentAt  float64 // time of the call to Send
	written bool    // the last byte of the statement is written
}

// Send sends an attempt over an idle connection or a new one. The Pool reports the result to its ResultHandler, possibly
// before Send returns.
func (p *Pool) Send(attempt *Attempt) {
	p.counters.Attempts++
	attempt.sentAt = p.loop.Now()
	c, failure := p.acquire(attempt.Endpoint)
	if c == nil {
		p.results.AttemptEnded(attempt, failure, 0, nil)
		return
	}
	attempt.conn = c
	c.attempt = attempt
	c.sendWhenReady()
}

// Cancel ends an attempt by closing its connection, and reports its result before it returns. It does nothing if the
// attempt has ended already.
func (p *Pool) Cancel(attempt *Attempt) {
	if attempt.conn != nil {
		p.counters.AttemptsCanceled++
		attempt.conn.fail(router.Canceled)
	}
}

// Unsent reports whether the last byte of the statement is not yet written. In that case the backend cannot have run it.
func (a *Attempt) Unsent() bool { return !a.written }

// BufferBlocks returns the number of buffer blocks that the attempt's connection holds. It does not count the statement that
// the caller keeps.
func (a *Attempt) BufferBlocks() int {
	if a.conn == nil {
		return 0
	}
	return a.conn.input.Blocks() + a.conn.output.Blocks() + a.conn.answer.Row.Blocks()
}

// writeStatement appends the attempt's statement to the output. It replaces the client's waiting time by the time that
// remains until the deadline, in milliseconds and at least 1.
func (c *conn) writeStatement(now float64) {
	a := c.attempt
	length := a.Statement.Len()
	remaining := a.Deadline - now
	if length > c.pool.limits.Sizes.BufferBlock { // writing may take up to the timeout, because the socket may accept only parts
		remaining -= c.pool.limits.Durations.StatementWriteTimeout
	}
	waitMs := strconv.Itoa(max(1, int(remaining*millisecondsPerSecond)))
	c.output.Write(pg.AppendQueryHeader(nil, length-(a.WaitEnd-a.WaitStart)+len(waitMs)))
	a.Statement.CopyTo(&c.output, 0, a.WaitStart)
	c.output.Write([]byte(waitMs))
	a.Statement.CopyTo(&c.output, a.WaitEnd, length-a.WaitEnd)
}

// resultOf returns the result of an attempt or health check that got a complete answer.
func resultOf(answer *pg.Answer) router.Result {
	switch {
	case answer.HasRow():
		return router.Answered
	case answer.RejectedWith(pg.CodeTooManyConnections):
		return router.Overloaded
	case answer.RejectedWith(pg.CodeReadOnlyTransaction), answer.RejectedWith(pg.CodeSnapshotTooOld):
		return router.NotServed
	}
	return router.Errored
}
