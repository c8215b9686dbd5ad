package member

import (
	"strconv"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// Attempt is one sending of a command to a member.
type Attempt struct {
	CommandID          uint32
	Index              int
	Endpoint           int
	Statement          *buffer.Chain // the statement, final zero included
	WaitStart, WaitEnd int           // where the digits of the time to wait stand in it
	Deadline           float64       // when the router stops waiting

	conn   *conn
	sentAt float64
}

// Send carries a dispatch out: over a standing connection, or a new one.
func (m *Pool) Send(d *Attempt) {
	m.counters.Attempts++
	d.sentAt = m.loop.Now()
	c := m.acquire(d.Endpoint)
	if c == nil {
		m.results.AttemptEnded(d, router.ConnectFailed, 0, nil)
		return
	}
	d.conn, c.attempt = c, d
	c.start()
}

// Cancel gives a dispatch up: its connection is closed at once.
func (m *Pool) Cancel(d *Attempt) {
	if d.conn != nil {
		m.counters.AttemptsCanceled++
		d.conn.fail(router.Canceled)
	}
}

// Unsent says that a dispatch's last byte has not been written.
func (d *Attempt) Unsent() bool { return d.conn == nil || d.conn.state != stateAwaitingAnswer }

// writeStatement puts the statement out as it came but for the time to wait, which is what is left of it.
func (c *conn) writeStatement(now float64) {
	d := c.attempt
	left := strconv.Itoa(max(1, int((d.Deadline-now)*1000)))
	n := d.Statement.Len()
	c.output.Write(pg.QueryHead(nil, n-(d.WaitEnd-d.WaitStart)+len(left)))
	d.Statement.CopyTo(&c.output, 0, d.WaitStart)
	c.output.Write([]byte(left))
	d.Statement.CopyTo(&c.output, d.WaitEnd, n-d.WaitEnd)
}

// resultOf reads the outcome off a whole answer.
func resultOf(a *pg.Answer) router.Result {
	switch {
	case a.Served():
		return router.Answered
	case a.Refused(pg.CodeFull):
		return router.Overloaded
	case a.Refused(pg.CodeNotPrimary), a.Refused(pg.CodeBehind):
		return router.NotServed
	}
	return router.Errored
}
