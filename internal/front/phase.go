package front

import (
	"container/list"
	"math"

	"stoatdale.example/stoatdale/internal/pg"
)

// phase is what a connection's time is counted for.
type phase int

const (
	unset   phase = iota
	busy          // only the commands' own time counts
	asking        // it has not asked for anything yet
	amid          // it is in the middle of a message
	taking        // it has an answer to take
	between       // it has nothing in hand
	leaving
)

// doing is the phase that the connection is in.
func (c *conn) doing() phase {
	switch {
	case c.state == parting:
		return leaving
	case c.out.Len() > 0:
		return taking
	case len(c.slots) > 0 || c.left || c.last:
		return busy
	case !c.asked:
		return asking
	case c.in.Len() > 0:
		return amid
	}
	return between
}

// enter begins a phase: each has its time and its place among those that may make room. What comes meanwhile
// renews no time, or a client that drips its bytes would stay for good; only answers may be taken slowly.
func (c *conn) enter(p phase) {
	if p == c.phase {
		return
	}
	c.phase = p
	l, now := c.f.limits, c.f.loop.Now()
	var queue *list.List
	until := math.Inf(1)
	switch p {
	case asking:
		queue, until = &c.f.mute, c.born+l.Durations.FirstQueryTimeout
	case amid:
		until = now + l.Durations.MessageTimeout
	case taking:
		until = now + l.Durations.WriteStallTimeout
	case between:
		queue, until = &c.f.idle, now+l.Durations.IdleTimeout
	case leaving:
		queue, until = &c.f.parting, now+l.Durations.CloseLinger
	}
	if queue != c.queue || queue == &c.f.idle {
		c.unqueue()
		if queue != nil {
			c.queue, c.place, c.queuedAt = queue, queue.PushBack(c), now
		}
	}
	c.f.loop.Unset(c.timer)
	if !math.IsInf(until, 1) {
		c.f.loop.Set(c.timer, until)
	}
	// Clients that ask once and stay use up what their side may hold open long before descriptors run out here.
	if p == between && c.f.idle.Len() > l.Counts.IdleClients {
		c.f.shedFrom(&c.f.idle)
	}
}

func (c *conn) unqueue() {
	if c.queue != nil {
		c.queue.Remove(c.place)
		c.queue, c.place = nil, nil
	}
}

// due ends a client whose time is over: with an error if it began a message and has not finished it.
func (c *conn) due() {
	switch {
	case (c.phase == asking || c.phase == amid || c.phase == between) && !c.paused && !c.f.loop.Quiet(c.fd):
		c.f.loop.Set(c.timer, c.f.loop.Now()+c.f.limits.Durations.MinBackoff) // it is asking just now
	case (c.phase == asking || c.phase == amid) && c.in.Len() > 0:
		c.f.count.CutShort++
		c.fatal(pg.CodeProtocol, "a message was not whole in time")
		c.step()
	default:
		switch c.phase {
		case asking:
			c.f.count.NeverAsked++
		case between:
			c.f.count.LongIdle++
		case taking:
			c.f.count.Stalled++
		}
		c.close()
	}
}
