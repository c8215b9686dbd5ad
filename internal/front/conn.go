package front

import (
	"container/list"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/core"
	"stoatdale.example/stoatdale/internal/loop"
	"stoatdale.example/stoatdale/internal/pg"
)

type state int

const (
	starting state = iota
	open
	skipping // past an error in extended queries, until Sync
	parting  // no more is sent; what comes is read away until the client closes
	closed
)

// conn is one client.
type conn struct {
	f        *Front
	fd       int
	state    state
	in, out  buffer.Chain
	slots    []*slot
	last     bool // end after the answers that are owed
	asked    bool // a whole query came
	faults   int  // queries that were no command
	away     int  // bytes that were read away
	queue    *list.List
	place    *list.Element // in the queue of those that may make room
	queuedAt float64
	paused   bool
	left     bool    // has messages left for the next turn
	held     bool    // not read at present
	since    float64 // the earliest time at which what was read last may have come
	born     float64
	phase    phase
	timer    *loop.Timer
}

// Left implements loop.Leaver. What the client asked for and has not heard, or what was not read of it, nobody waits for.
func (c *conn) Left() { c.close() }

// Ready implements loop.Handler.
func (c *conn) Ready(readable, writable bool) {
	if writable && c.out.Len() > 0 {
		c.flush()
		if c.state != closed && !readable {
			c.step()
		}
	}
	if readable && c.state != closed {
		c.read()
	}
}

func (c *conn) read() {
	most := c.f.limits.Sizes.ReadPerTurn
	if c.f.blocks.Scarce() && c.state != parting {
		if most = c.f.limits.Sizes.BufferBlock; c.in.Len() >= most { // short commands are taken all the same
			c.pause()
			return
		}
	}
	if !c.held { // what comes after it was left unread has waited since then
		c.since = c.f.loop.Since()
	}
	c.held = false
	got, err := c.f.loop.Read(c.fd, &c.in, most)
	if c.state == parting {
		c.in.Free()
		if c.away += got; c.away > c.f.limits.Sizes.DiscardedInput {
			c.close()
			return
		}
	}
	c.step()
	if err != nil && c.state != closed {
		c.close()
	}
}

// pause leaves the client unread until buffers are free.
func (c *conn) pause() {
	if !c.paused {
		c.paused = true
		c.f.waiting = append(c.f.waiting, c)
		c.watch()
	}
}

// step does what can be done now: takes messages, so many in a turn that others' turns come, and sets what is
// waited for.
func (c *conn) step() {
	for n := 0; c.state != parting && c.state != closed && !c.last && !c.left && !c.full(); n++ {
		if n == c.f.limits.Counts.MessagesPerTurn {
			c.left = true
			c.f.more = append(c.f.more, c)
			break
		}
		if more := c.message(); !more {
			break
		}
		c.phase = unset // the next message has its own time
	}
	if c.state == closed {
		return
	}
	if len(c.slots) == 0 && c.out.Len() == 0 && c.state != parting {
		switch {
		case c.last:
			c.part()
		case c.f.over && !c.left && (!c.asked || c.in.Len() > 0): // it was about to ask: elsewhere it may
			c.farewell(pg.CodeEnding, "the router is ending")
			c.step()
			return
		case c.f.over && !c.left,
			// What waits to be read was asked in time: it is read next.
			c.f.ending && c.asked && c.in.Len() == 0 && c.f.loop.Quiet(c.fd):
			c.part()
		}
	}
	c.watch()
}

// full says that the connection owes so much that no more is taken from it.
func (c *conn) full() bool {
	return len(c.slots) >= c.f.limits.Counts.PipelinedCommands || c.out.Len() > c.f.limits.Sizes.UnsentAnswers
}

// watch sets the descriptor, the timer and the place among those that may make room by what the connection
// does.
func (c *conn) watch() {
	reads := !c.paused && !c.left && !c.last && !c.full() && !c.f.over || c.state == parting
	if !reads && !c.held {
		c.held, c.since = true, c.f.loop.Now()
	}
	c.f.loop.Want(c.fd, reads, c.out.Len() > 0)
	c.enter(c.doing())
}

// part ends the connection between commands: closing on unread bytes would reset an answer just written,
// so the client is left to close, and what it still sends is read away for a while.
func (c *conn) part() {
	c.state = parting
	c.in.Free()
	c.f.loop.EndSending(c.fd)
}

// close ends the connection; the commands in hand have lost their client.
func (c *conn) close() {
	if c.state == closed {
		return
	}
	c.state = closed
	c.unqueue()
	if delete(c.f.conns, c); c.f.ending && len(c.f.conns) == 0 {
		c.f.loop.Unset(c.f.end)
	}
	c.f.loop.Unset(c.timer)
	c.f.loop.Close(c.fd)
	c.in.Free()
	c.out.Free()
	var left []*core.Command
	for _, s := range c.slots {
		if s.cmd != nil && !s.own {
			left = append(left, s.cmd)
		}
		s.out.Free()
	}
	if len(left) > 0 {
		c.f.core.Left(left)
	}
	c.slots = nil
}
