package frontend

import (
	"container/list"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/dispatcher"
	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/pg"
)

// connState is what a connection does with what its client sends.
type connState int

const (
	stateStartup        connState = iota // waits for the start-up packet
	stateOpen                            // takes queries
	stateSkippingToSync                  // ignores messages of a failed extended query, until Sync or a simple query
	stateClosing                         // sends nothing more, and is not read, until the client closes
	stateClosed
)

// conn is one client connection.
type conn struct {
	server *Server
	fd     int
	state  connState
	phase  phase
	timer  *eventloop.Timer // ends the phase; internal/modelcheck/models finds it by this name

	input   buffer.Chain // read, and not yet processed
	output  buffer.Chain // to be written
	replies []*reply     // owed, in the order of the queries

	key               pg.CancelKey // names it in a request to cancel its commands; zero before its start-up
	hasQueried        bool         // a complete query came
	closeAfterReplies bool         // it ends once the replies that are owed are written
	rejectedQueries   int

	// Why it is not read, and when its input may have come.
	awaitsBuffers   bool    // it is in Server.awaitingBuffers
	hasPending      bool    // it is in Server.pending
	readSuspended   bool    // not watched for input at present
	earliestArrival float64 // the earliest time at which what was read last may have come
	messageSince    float64 // when the first part of the message that is not complete yet was there; 0: there is none
	acceptedAt      float64

	// Its place among the connections that may be closed to free a descriptor.
	shedQueue   *list.List    // nil: it is in none
	shedElement *list.Element // in shedQueue
	queuedAt    float64       // when it entered shedQueue
}

var _ eventloop.HangupHandler = (*conn)(nil)

// newConn returns the state of a connection that has just been accepted.
func newConn(s *Server, fd int) *conn {
	c := &conn{
		server:     s,
		fd:         fd,
		input:      s.buffers.NewChain(),
		output:     s.buffers.NewChain(),
		acceptedAt: s.loop.Now(),
	}
	c.timer = eventloop.NewTimer(c.timerExpired)
	return c
}

// HungUp implements eventloop.HangupHandler. Nobody waits any more for what the client has asked for, so nothing is read before the
// connection is closed.
func (c *conn) HungUp() { c.close() }

// Ready implements eventloop.Handler.
func (c *conn) Ready(readable, writable bool) {
	if writable && c.output.Len() > 0 {
		c.flush()
		if !readable {
			c.processUnlessClosed()
		}
	}
	if readable && c.state != stateClosed && c.state != stateClosing {
		c.read()
	}
}

// read reads what the socket holds, up to the limit of a turn, and processes it.
func (c *conn) read() {
	limit := c.server.limits.Sizes.ReadPerTurn
	if c.server.buffers.Scarce() {
		limit = c.server.limits.Sizes.BufferBlock
		if c.input.Len() >= limit { // short commands are taken all the same
			c.awaitBuffers()
			return
		}
	}
	if !c.readSuspended { // otherwise the input has waited since reading was suspended
		c.earliestArrival = c.server.loop.ReadySince()
	}
	c.readSuspended = false
	_, err := c.server.loop.Read(c.fd, &c.input, limit)
	c.process()
	if err != nil && c.state != stateClosed {
		c.close()
	}
}

// awaitBuffers suspends reading until buffers are free.
func (c *conn) awaitBuffers() {
	if !c.awaitsBuffers {
		c.awaitsBuffers = true
		c.server.awaitingBuffers = append(c.server.awaitingBuffers, c)
		c.updateWatch()
	}
}

func (c *conn) processUnlessClosed() {
	if c.state != stateClosed {
		c.process()
	}
}

// process does all that can be done now: processes messages, ends the connection if that is due, and sets what is waited
// for next.
func (c *conn) process() {
	c.processMessages()
	c.noteIncompleteMessage()
	if c.state != stateClosed && c.state != stateClosing {
		c.closeIfDue()
	}
	if c.state != stateClosed {
		c.updateWatch()
	}
}

// processMessages processes the messages of the input, so many at the most that other clients have their turn.
func (c *conn) processMessages() {
	for n := 0; c.takesMessages(); n++ {
		if n == c.server.limits.Counts.MessagesPerTurn {
			c.hasPending = true
			c.server.pending = append(c.server.pending, c)
			return
		}
		if more := c.processMessage(); !more {
			return
		}
		c.phase = phaseUnset // the next message has a timeout of its own
		c.messageSince = 0
	}
}

// noteIncompleteMessage notes since when a message has been incomplete. Its time runs also while the answers to the
// commands before it are owed.
func (c *conn) noteIncompleteMessage() {
	switch {
	case c.input.Len() == 0 || !c.takesMessages():
		c.messageSince = 0
	case c.messageSince == 0:
		c.messageSince = c.server.loop.Now()
	}
}

// takesMessages reports whether another message may be processed now.
func (c *conn) takesMessages() bool {
	if c.state == stateClosing || c.state == stateClosed {
		return false
	}
	return !c.closeAfterReplies && !c.hasPending && !c.atCapacity()
}

// atCapacity reports whether the connection owes so much that no more is taken from it.
func (c *conn) atCapacity() bool {
	return len(c.replies) >= c.server.limits.Counts.PipelinedCommands ||
		c.output.Len() > c.server.limits.Sizes.UnsentAnswers
}

// owesReplies reports whether the client has a reply to get or to take.
func (c *conn) owesReplies() bool { return len(c.replies) > 0 || c.output.Len() > 0 }

// updateWatch sets what the descriptor is watched for, the phase and its timer by the state of the connection.
func (c *conn) updateWatch() {
	reads := c.wantsInput()
	if !reads && !c.readSuspended {
		c.readSuspended = true
		c.earliestArrival = c.server.loop.Now()
	}
	c.server.loop.SetInterest(c.fd, reads, c.output.Len() > 0)
	c.enterPhase(c.currentPhase())
}

// wantsInput reports whether the client is read at present.
func (c *conn) wantsInput() bool {
	if c.awaitsBuffers || c.server.deadlinePassed {
		return false
	}
	return c.takesMessages()
}

// beginClosing ends the connection between commands. Closing with unread input would reset the connection under a reply
// just written, so only sending ends until the client closes. What it still sends is left unread: a command that crosses
// the end was not taken, and its client sends it elsewhere.
func (c *conn) beginClosing() {
	c.state = stateClosing
	c.input.Free()
	c.server.loop.CloseWrite(c.fd)
}

// close closes the connection and notifies the dispatcher that the commands in flight have lost their client.
func (c *conn) close() {
	if c.state == stateClosed {
		return
	}
	c.state = stateClosed
	c.leaveShedQueue()
	delete(c.server.conns, c)
	delete(c.server.cancelable, c.key)
	if c.server.listenerClosed && len(c.server.conns) == 0 {
		c.server.loop.StopTimer(c.server.drainTimer)
	}
	c.server.loop.StopTimer(c.timer)
	c.server.loop.Close(c.fd)
	c.input.Free()
	c.output.Free()
	c.abandonReplies()
}

// abandonReplies frees the replies that are owed and hands their commands back to the dispatcher.
func (c *conn) abandonReplies() {
	var abandoned []*dispatcher.Command
	for _, r := range c.replies {
		if r.command != nil && !r.complete {
			abandoned = append(abandoned, r.command)
		}
		r.data.Free()
	}
	if len(abandoned) > 0 {
		c.server.dispatcher.ClientGone(abandoned)
	}
	c.replies = nil
}
