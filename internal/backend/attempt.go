package backend

import (
	"strconv"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

const millisecondsPerSecond = 1000

// Attempt is one sending of a command to one backend. The caller fills the exported fields and must not change them
// until the attempt has ended. Times are in seconds on the event loop's clock.
type Attempt struct {
	CommandID uint32
	Index     int           // index of the attempt among those of its command
	Endpoint  int           // index of the endpoint that it is sent to
	Statement *buffer.Chain // the statement's text, final zero included; it stays the caller's
	WaitStart int           // where the digits of the client's waiting time begin in Statement
	WaitEnd   int           // where they end
	Deadline  float64       // when the attempt ends as timed out

	conn   *conn // nil before it is sent and after it has ended
	sentAt float64
}

// Send sends an attempt over an idle connection or a new one. Its result is reported to the ResultHandler, perhaps
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
	c.start()
}

// Cancel ends an attempt by closing its connection. Its result is reported before Cancel returns. An attempt that has
// ended is left alone.
func (p *Pool) Cancel(attempt *Attempt) {
	if attempt.conn != nil {
		p.counters.AttemptsCanceled++
		attempt.conn.fail(router.Canceled)
	}
}

// Unsent reports whether the attempt's last byte has not been written, so that the backend cannot have run it.
func (a *Attempt) Unsent() bool { return a.conn == nil || a.conn.state != stateAwaitingAnswer }

// writeStatement queues the attempt's statement as it came, but for the waiting time, which is replaced by what is left
// of it: in milliseconds, 1 at the least.
func (c *conn) writeStatement(now float64) {
	a := c.attempt
	length := a.Statement.Len()
	left := a.Deadline - now
	if length > c.pool.limits.Sizes.BufferBlock { // the socket may take it in parts
		left -= c.pool.limits.Durations.StatementWriteTimeout
	}
	waitMs := strconv.Itoa(max(1, int(left*millisecondsPerSecond)))
	c.output.Write(pg.AppendQueryHeader(nil, length-(a.WaitEnd-a.WaitStart)+len(waitMs)))
	a.Statement.CopyTo(&c.output, 0, a.WaitStart)
	c.output.Write([]byte(waitMs))
	a.Statement.CopyTo(&c.output, a.WaitEnd, length-a.WaitEnd)
}

// resultOf returns the result that a complete answer stands for.
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
