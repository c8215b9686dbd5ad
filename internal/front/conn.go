package front

import (
	"container/list"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/core"
	"stoatdale.example/stoatdale/internal/loop"
	"stoatdale.example/stoatdale/internal/pg"
)

type connState int

const (
	stateStartup connState = iota
	stateOpen
	stateSkippingToSync // past an error in extended queries, until Sync
	stateClosing        // no more is sent; what comes is read away until the client closes
	stateClosed
)

// conn is one client.
type conn struct {
	server            *Server
	fd                int
	state             connState
	input, output     buffer.Chain
	replies           []*reply
	closeAfterReplies bool // end after the answers that are owed
	hasQueried        bool // a whole query came
	rejectedQueries   int  // queries that were no command
	discardedBytes    int  // bytes that were read away
	shedQueue         *list.List
	shedElement       *list.Element // in the queue of those that may make room
	queuedAt          float64
	awaitsBuffers     bool
	hasPending        bool    // has messages left for the next turn
	readSuspended     bool    // not read at present
	earliestArrival   float64 // the earliest time at which what was read last may have come
	acceptedAt        float64
	phase             phase
	timer             *loop.Timer
}

// Left implements loop.Leaver. What the client asked for and has not heard, or what was not read of it, nobody waits for.
func (c *conn) Left() { c.close() }

// Ready implements loop.Handler.
func (c *conn) Ready(readable, writable bool) {
	if writable && c.output.Len() > 0 {
		c.flush()
		if c.state != stateClosed && !readable {
			c.process()
		}
	}
	if readable && c.state != stateClosed {
		c.read()
	}
}

func (c *conn) read() {
	most := c.server.limits.Sizes.ReadPerTurn
	if c.server.buffers.Scarce() && c.state != stateClosing {
		if most = c.server.limits.Sizes.BufferBlock; c.input.Len() >= most { // short commands are taken all the same
			c.awaitBuffers()
			return
		}
	}
	if !c.readSuspended { // what comes after it was left unread has waited since then
		c.earliestArrival = c.server.loop.Since()
	}
	c.readSuspended = false
	got, err := c.server.loop.Read(c.fd, &c.input, most)
	if c.state == stateClosing {
		c.input.Free()
		if c.discardedBytes += got; c.discardedBytes > c.server.limits.Sizes.DiscardedInput {
			c.close()
			return
		}
	}
	c.process()
	if err != nil && c.state != stateClosed {
		c.close()
	}
}

// awaitBuffers leaves the client unread until buffers are free.
func (c *conn) awaitBuffers() {
	if !c.awaitsBuffers {
		c.awaitsBuffers = true
		c.server.awaitingBuffers = append(c.server.awaitingBuffers, c)
		c.updateWatch()
	}
}

// process does what can be done now: takes messages, so many in a turn that others' turns come, and sets what is
// waited for.
func (c *conn) process() {
	for n := 0; c.state != stateClosing && c.state != stateClosed && !c.closeAfterReplies && !c.hasPending && !c.atCapacity(); n++ {
		if n == c.server.limits.Counts.MessagesPerTurn {
			c.hasPending = true
			c.server.pending = append(c.server.pending, c)
			break
		}
		if more := c.processMessage(); !more {
			break
		}
		c.phase = phaseUnset // the next message has its own time
	}
	if c.state == stateClosed {
		return
	}
	if len(c.replies) == 0 && c.output.Len() == 0 && c.state != stateClosing {
		switch {
		case c.closeAfterReplies:
			c.beginClosing()
		case c.server.deadlinePassed && !c.hasPending && (!c.hasQueried || c.input.Len() > 0): // it was about to ask: elsewhere it may
			c.finalError(pg.CodeEnding, "the router is ending")
			c.process()
			return
		case c.server.deadlinePassed && !c.hasPending,
			// What waits to be read was asked in time: it is read next.
			c.server.listenerClosed && c.hasQueried && c.input.Len() == 0 && c.server.loop.Quiet(c.fd):
			c.beginClosing()
		}
	}
	c.updateWatch()
}

// atCapacity says that the connection owes so much that no more is taken from it.
func (c *conn) atCapacity() bool {
	return len(c.replies) >= c.server.limits.Counts.PipelinedCommands || c.output.Len() > c.server.limits.Sizes.UnsentAnswers
}

// updateWatch sets the descriptor, the timer and the place among those that may make room by what the connection
// does.
func (c *conn) updateWatch() {
	reads := !c.awaitsBuffers && !c.hasPending && !c.closeAfterReplies && !c.atCapacity() && !c.server.deadlinePassed || c.state == stateClosing
	if !reads && !c.readSuspended {
		c.readSuspended, c.earliestArrival = true, c.server.loop.Now()
	}
	c.server.loop.Want(c.fd, reads, c.output.Len() > 0)
	c.enterPhase(c.currentPhase())
}

// beginClosing ends the connection between commands: closing on unread bytes would reset an answer just written,
// so the client is left to close, and what it still sends is read away for a while.
func (c *conn) beginClosing() {
	c.state = stateClosing
	c.input.Free()
	c.server.loop.EndSending(c.fd)
}

// close ends the connection; the commands in hand have lost their client.
func (c *conn) close() {
	if c.state == stateClosed {
		return
	}
	c.state = stateClosed
	c.leaveShedQueue()
	if delete(c.server.conns, c); c.server.listenerClosed && len(c.server.conns) == 0 {
		c.server.loop.Unset(c.server.drainTimer)
	}
	c.server.loop.Unset(c.timer)
	c.server.loop.Close(c.fd)
	c.input.Free()
	c.output.Free()
	var left []*core.Command
	for _, s := range c.replies {
		if s.command != nil && !s.complete {
			left = append(left, s.command)
		}
		s.data.Free()
	}
	if len(left) > 0 {
		c.server.dispatcher.Left(left)
	}
	c.replies = nil
}
