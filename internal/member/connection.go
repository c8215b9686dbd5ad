package member

import (
	"net/netip"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/loop"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// states of a connection.
type state int

const (
	stateConnecting state = iota
	stateStartup          // the start-up packet is sent
	stateIdle
	stateSending
	stateAwaitingAnswer // the last byte is written
	stateClosed
)

// conn is one connection: it carries one dispatch or probe at a time.
type conn struct {
	pool          *Pool
	endpoint      int
	generation    int // the row's when it was dialled
	address       netip.AddrPort
	fd            int
	state         state
	input, output buffer.Chain
	answer        pg.Answer
	attempt       *Attempt
	checking      bool
	since         float64 // when the probe was asked for
	timer         *loop.Timer
}

// start sends what a connection was taken for, or sees that it comes up first.
func (c *conn) start() {
	now, l := c.pool.loop.Now(), c.pool.limits
	until := c.since + l.Durations.HealthCheckTimeout
	if c.attempt != nil {
		until = c.attempt.Deadline
	}
	if c.state != stateIdle {
		c.pool.loop.Set(c.timer, min(until, now+l.Durations.ConnectTimeout))
		return
	}
	c.pool.loop.Set(c.timer, until)
	c.state = stateSending
	if c.checking {
		c.output.Write(pg.Query(nil, "SHOW health"))
	} else {
		c.writeStatement(now)
	}
	c.flush()
}

// flush writes on. Whether a dispatch may have run goes by its last byte.
func (c *conn) flush() {
	if err := c.pool.loop.Write(c.fd, &c.output); err != nil {
		c.fail(router.ConnectionLost)
		return
	}
	if c.output.Len() == 0 && c.state == stateSending {
		c.state = stateAwaitingAnswer
	}
	c.pool.loop.Want(c.fd, true, c.output.Len() > 0)
}

// Ready implements loop.Handler.
func (c *conn) Ready(readable, writable bool) {
	if c.state == stateConnecting {
		if err := c.pool.loop.Dialled(c.fd); err != nil {
			c.fail(router.ConnectFailed)
			return
		}
		c.state = stateStartup
		c.output.Write(pg.Hello(nil))
	}
	if c.state == stateIdle { // an idle member says nothing but that it ends the connection
		c.closeUnsolicited()
		return
	}
	if writable && c.output.Len() > 0 {
		c.flush()
	}
	if readable && c.state != stateClosed {
		c.read()
	}
}

func (c *conn) read() {
	_, err := c.pool.loop.Read(c.fd, &c.input, c.pool.limits.Sizes.ReadPerTurn)
	done, bad := c.answer.Take(&c.input, c.pool.limits.Sizes.BackendMessage, c.pool.limits.Sizes.InspectedMessage)
	switch {
	case bad != nil:
		c.pool.counters.BackendInvalidAnswers++
		c.fail(router.Errored)
	case done:
		c.answerComplete(err != nil)
	case err != nil:
		c.fail(router.ConnectionLost)
	}
}

// closeUnsolicited closes an idle connection that has ended or brings what belongs to no command.
func (c *conn) closeUnsolicited() {
	c.pool.counters.BackendUnsolicited++
	c.close()
}

// answerComplete takes a whole answer in.
func (c *conn) answerComplete(ended bool) {
	now, a := c.pool.loop.Now(), c.answer
	c.answer = pg.Answer{Row: c.pool.blocks.New()}
	again := !ended && !a.Fatal && c.input.Len() == 0 && c.output.Len() == 0
	if c.state == stateStartup {
		rows := a.Row.Len() > 0
		a.Row.Free()
		switch {
		case a.Code == pg.CodeFull:
			c.fail(router.Overloaded)
		case a.Code != "" || rows || !again:
			c.fail(router.ConnectFailed)
		default:
			c.state = stateIdle
			c.start()
		}
		return
	}
	if c.state != stateAwaitingAnswer { // an answer to a question that was not yet put
		a.Row.Free()
		c.fail(router.ConnectionLost)
		return
	}
	d, probe, since := c.attempt, c.checking, c.since
	c.attempt, c.checking = nil, false
	if again {
		c.returnToPool(now)
	} else {
		c.close()
	}
	if probe {
		e, report := resultOf(&a), ""
		if e == router.Answered { // a row that an error followed is none
			report = a.Report()
		}
		a.Row.Free()
		c.reportHealthCheck(e, now-since, report)
		return
	}
	d.conn = nil
	c.pool.results.AttemptEnded(d, resultOf(&a), now-d.sentAt, &a)
}

// returnToPool keeps a connection for the next dispatch.
func (c *conn) returnToPool(now float64) {
	h := &c.pool.endpoints[c.endpoint]
	if c.address != h.address || c.generation != h.generation {
		c.close()
		return
	}
	c.state, c.since = stateIdle, now
	h.idle = append(h.idle, c)
	c.pool.loop.Set(c.timer, now+c.pool.limits.Durations.BackendIdleTimeout)
}

// timerExpired is called when the time of what the connection does has run out.
func (c *conn) timerExpired() {
	if c.state == stateIdle {
		c.pool.counters.BackendIdleClosed++
		c.close()
		return
	}
	c.fail(router.TimedOut)
}

// fail closes the connection with an outcome for what it carried. Whatever ended it, nothing has run whose
// last byte was not written: only here is one told from the other.
func (c *conn) fail(e router.Result) {
	if c.state != stateAwaitingAnswer && e != router.Overloaded {
		e = router.ConnectFailed
	}
	if c.state == stateConnecting || c.state == stateStartup {
		c.pool.counters.BackendConnectFailures++
	}
	d, probe, now := c.attempt, c.checking, c.pool.loop.Now()
	c.attempt, c.checking = nil, false
	c.close()
	if probe {
		c.reportHealthCheck(e, now-c.since, "")
	}
	if d != nil {
		d.conn = nil
		c.pool.results.AttemptEnded(d, e, now-d.sentAt, nil)
	}
}

// close ends a connection that carries nothing.
func (c *conn) close() {
	if c.state == stateClosed {
		return
	}
	if c.state == stateIdle {
		h := &c.pool.endpoints[c.endpoint]
		for i, other := range h.idle {
			if other == c {
				h.idle = append(h.idle[:i], h.idle[i+1:]...)
				break
			}
		}
	}
	c.state = stateClosed
	c.pool.connections--
	c.pool.loop.Unset(c.timer)
	c.pool.loop.Close(c.fd)
	c.input.Free()
	c.output.Free()
	c.answer.Row.Free()
}
