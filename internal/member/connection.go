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
	dialling state = iota
	greeting       // the start-up packet is sent
	idle
	sending
	waiting // the last byte is written
	closed
)

// conn is one connection: it carries one dispatch or probe at a time.
type conn struct {
	m        *Pool
	node     int
	life     int // the row's when it was dialled
	at       netip.AddrPort
	fd       int
	state    state
	in, out  buffer.Chain
	answer   pg.Answer
	dispatch *Attempt
	probe    bool
	since    float64 // when the probe was asked for
	timer    *loop.Timer
}

// begin sends what a connection was taken for, or sees that it comes up first.
func (c *conn) begin() {
	now, l := c.m.loop.Now(), c.m.limits
	until := c.since + l.Durations.HealthCheckTimeout
	if c.dispatch != nil {
		until = c.dispatch.Deadline
	}
	if c.state != idle {
		c.m.loop.Set(c.timer, min(until, now+l.Durations.ConnectTimeout))
		return
	}
	c.m.loop.Set(c.timer, until)
	c.state = sending
	if c.probe {
		c.out.Write(pg.Query(nil, "SHOW health"))
	} else {
		c.write(now)
	}
	c.flush()
}

// flush writes on. Whether a dispatch may have run goes by its last byte.
func (c *conn) flush() {
	if err := c.m.loop.Write(c.fd, &c.out); err != nil {
		c.end(router.ConnectionLost)
		return
	}
	if c.out.Len() == 0 && c.state == sending {
		c.state = waiting
	}
	c.m.loop.Want(c.fd, true, c.out.Len() > 0)
}

// Ready implements loop.Handler.
func (c *conn) Ready(readable, writable bool) {
	if c.state == dialling {
		if err := c.m.loop.Dialled(c.fd); err != nil {
			c.end(router.ConnectFailed)
			return
		}
		c.state = greeting
		c.out.Write(pg.Hello(nil))
	}
	if c.state == idle { // an idle member says nothing but that it ends the connection
		c.unasked()
		return
	}
	if writable && c.out.Len() > 0 {
		c.flush()
	}
	if readable && c.state != closed {
		c.read()
	}
}

func (c *conn) read() {
	_, err := c.m.loop.Read(c.fd, &c.in, c.m.limits.Sizes.ReadPerTurn)
	done, bad := c.answer.Take(&c.in, c.m.limits.Sizes.BackendMessage, c.m.limits.Sizes.InspectedMessage)
	switch {
	case bad != nil:
		c.m.count.BackendInvalidAnswers++
		c.end(router.Errored)
	case done:
		c.answered(err != nil)
	case err != nil:
		c.end(router.ConnectionLost)
	}
}

// unasked closes an idle connection that has ended or brings what belongs to no command.
func (c *conn) unasked() {
	c.m.count.BackendUnsolicited++
	c.close()
}

// answered takes a whole answer in.
func (c *conn) answered(ended bool) {
	now, a := c.m.loop.Now(), c.answer
	c.answer = pg.Answer{Row: c.m.blocks.New()}
	again := !ended && !a.Fatal && c.in.Len() == 0 && c.out.Len() == 0
	if c.state == greeting {
		rows := a.Row.Len() > 0
		a.Row.Free()
		switch {
		case a.Code == pg.CodeFull:
			c.end(router.Overloaded)
		case a.Code != "" || rows || !again:
			c.end(router.ConnectFailed)
		default:
			c.state = idle
			c.begin()
		}
		return
	}
	if c.state != waiting { // an answer to a question that was not yet put
		a.Row.Free()
		c.end(router.ConnectionLost)
		return
	}
	d, probe, since := c.dispatch, c.probe, c.since
	c.dispatch, c.probe = nil, false
	if again {
		c.rest(now)
	} else {
		c.close()
	}
	if probe {
		e, report := ending(&a), ""
		if e == router.Answered { // a row that an error followed is none
			report = a.Report()
		}
		a.Row.Free()
		c.probed(e, now-since, report)
		return
	}
	d.conn = nil
	c.m.sink.AttemptEnded(d, ending(&a), now-d.sent, &a)
}

// rest keeps a connection for the next dispatch.
func (c *conn) rest(now float64) {
	h := &c.m.hosts[c.node]
	if c.at != h.at || c.life != h.life {
		c.close()
		return
	}
	c.state, c.since = idle, now
	h.idle = append(h.idle, c)
	c.m.loop.Set(c.timer, now+c.m.limits.Durations.BackendIdleTimeout)
}

// due is called when the time of what the connection does has run out.
func (c *conn) due() {
	if c.state == idle {
		c.m.count.BackendIdleClosed++
		c.close()
		return
	}
	c.end(router.TimedOut)
}

// end closes the connection with an outcome for what it carried. Whatever ended it, nothing has run whose
// last byte was not written: only here is one told from the other.
func (c *conn) end(e router.Result) {
	if c.state != waiting && e != router.Overloaded {
		e = router.ConnectFailed
	}
	if c.state == dialling || c.state == greeting {
		c.m.count.BackendConnectFailures++
	}
	d, probe, now := c.dispatch, c.probe, c.m.loop.Now()
	c.dispatch, c.probe = nil, false
	c.close()
	if probe {
		c.probed(e, now-c.since, "")
	}
	if d != nil {
		d.conn = nil
		c.m.sink.AttemptEnded(d, e, now-d.sent, nil)
	}
}

// close ends a connection that carries nothing.
func (c *conn) close() {
	if c.state == closed {
		return
	}
	if c.state == idle {
		h := &c.m.hosts[c.node]
		for i, other := range h.idle {
			if other == c {
				h.idle = append(h.idle[:i], h.idle[i+1:]...)
				break
			}
		}
	}
	c.state = closed
	c.m.open--
	c.m.loop.Unset(c.timer)
	c.m.loop.Close(c.fd)
	c.in.Free()
	c.out.Free()
	c.answer.Row.Free()
}
