package frontend

import (
	"container/list"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/dispatcher"
	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/pg"
)

// connState determines how a connection handles the input of its client.
type connState int

const (
	stateStartup        connState = iota // expects the start-up packet
	stateOpen                            // accepts queries
	stateSkippingToSync                  // ignores the messages of a rejected extended query, until Sync or a simple query
	stateClosing                         // sends and reads nothing, and waits for the client to close
	stateClosed
)

// conn is one client connection.
type conn struct {
	server *Server
	fd     int
	state  connState
	phase  phase
	timer  *eventloop.Timer // the phase's timeout; internal/modelcheck/models finds the field by this name

	input   buffer.Chain // bytes read from the client and not processed yet
	output  buffer.Chain // bytes to be written to the client
	replies []*reply     // outstanding replies, in the order of the queries

	cancelKey         pg.CancelKey // identifies the connection in a cancel request; zero before start-up
	hasQueried        bool         // the client has sent a query that is empty or has a valid routing comment
	closeAfterReplies bool         // the connection ends once the outstanding replies are written
	rejectedQueries   int          // number of queries rejected so far
	readsNoMore       bool         // the connection ends once the messages in the input are answered

	// Reasons for which the connection is not read, and the times of its input.
	awaitsBuffers   bool // the connection is in Server.awaitingBuffers
	awaitsRoom      bool // the connection is in Server.awaitingRoom
	awaitsTurn      bool // the connection is in Server.pending
	arrivals        arrivalLog
	hiddenClose     hiddenClose
	hasUnread       bool    // input may wait in the socket
	unreadSince     float64 // since when hasUnread has been true; until then all input had been read
	incompleteSince float64 // since when the first message in the input has been incomplete; 0 if none is incomplete
	acceptedAt      float64

	// The queue of connections that may be closed to free a descriptor, and the place in it.
	shedQueue   *list.List    // nil if the connection is in no queue
	shedElement *list.Element // the connection's element of shedQueue
	queuedAt    float64       // when the connection entered shedQueue
}

var _ eventloop.HangupHandler = (*conn)(nil)

// newConn returns a conn for a descriptor that has just been accepted.
func newConn(s *Server, fd int) *conn {
	c := &conn{
		server:     s,
		fd:         fd,
		input:      s.buffers.NewChain(),
		output:     s.buffers.NewChain(),
		acceptedAt: s.loop.Now(),

		hasUnread:   true, // what the client has sent while the connection was in the backlog
		unreadSince: s.backlogSince(),
		hiddenClose: hiddenClose{possibleSince: s.backlogSince()},
	}
	c.timer = eventloop.NewTimer(c.timerExpired)
	return c
}

// HungUp implements eventloop.HangupHandler. The client is gone and expects no more replies, so the connection is closed
// without reading the input that waits in the socket.
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

// read reads input from the socket, up to the limit per turn, and processes it.
func (c *conn) read() {
	limit := c.server.limits.Sizes.ReadPerTurn
	if c.server.buffers.Scarce() {
		limit = c.server.limits.Sizes.BufferBlock
		if c.input.Len() >= limit { // short commands are still read
			c.awaitBuffers()
			return
		}
	}
	if !c.mayProcessMessage() {
		limit = min(limit, c.server.limits.Sizes.ReadAhead-c.input.Len())
	}
	err := c.readSocket(limit)
	c.process()
	if err != nil && c.state != stateClosed {
		c.close()
	}
}

// awaitBuffers suspends reading until buffers are no longer scarce.
func (c *conn) awaitBuffers() {
	if !c.awaitsBuffers {
		c.awaitsBuffers = true
		c.server.awaitingBuffers = append(c.server.awaitingBuffers, c)
		c.updateWatch()
	}
}

// awaitTurn leaves the rest of the output and of the messages in the input to the next turn.
func (c *conn) awaitTurn() {
	if !c.awaitsTurn {
		c.awaitsTurn = true
		c.server.pending = append(c.server.pending, c)
	}
}

// resume writes and processes what awaitTurn has left.
func (c *conn) resume() {
	c.flushDeferred()
	c.awaitsTurn = false
	c.processUnlessClosed()
}

// flushDeferred writes output that awaitTurn has left.
func (c *conn) flushDeferred() {
	if c.awaitsTurn && c.state != stateClosed && c.output.Len() > 0 {
		c.flush()
	}
}

func (c *conn) processUnlessClosed() {
	if c.state != stateClosed {
		c.process()
	}
}

// process processes the messages in the input, ends the connection if that is due, and otherwise updates the events and
// the timeout that the connection waits for.
func (c *conn) process() {
	c.processMessages()
	if c.state != stateClosed && c.lacksRoom() {
		c.awaitRoom()
	}
	c.trackIncompleteMessage()
	if c.state != stateClosed && c.state != stateClosing {
		c.closeIfDue()
	}
	if c.state != stateClosed {
		c.updateWatch()
	}
}

// processMessages processes the complete messages in the input, at most MessagesPerTurn of them and one if the turn is long, so
// that other clients are served in the same turn.
func (c *conn) processMessages() {
	for n := 0; c.mayProcessMessage(); n++ {
		if n == c.server.limits.Counts.MessagesPerTurn || n > 0 && c.server.turnIsLong() {
			c.awaitTurn()
			return
		}
		if more := c.processMessage(); !more {
			c.endInput()
			return
		}
		c.phase = phaseUnset // so that the next message gets its own timeout
		c.incompleteSince = 0
	}
}

// endInput ends the connection after the outstanding replies if nothing more is read from it. All complete messages must have
// been processed.
func (c *conn) endInput() {
	if c.readsNoMore && c.state != stateClosed {
		c.closeAfterReplies = true
		c.input.Free()
	}
}

// trackIncompleteMessage records since when the first message in the input has been incomplete. Its timeout also runs
// while replies to earlier commands are outstanding.
func (c *conn) trackIncompleteMessage() {
	switch {
	case c.input.Len() == 0 || !c.mayProcessMessage():
		c.incompleteSince = 0
	case c.incompleteSince == 0:
		c.incompleteSince = c.server.loop.Now()
	}
}

// mayProcessMessage reports whether the connection may process another message now.
func (c *conn) mayProcessMessage() bool {
	if c.state == stateClosing || c.state == stateClosed {
		return false
	}
	return !c.closeAfterReplies && !c.awaitsTurn && !c.atCapacity()
}

// atCapacity reports whether the connection has so many outstanding replies or so much unsent output, for itself or for the
// buffers of all connections, that it accepts no further messages.
func (c *conn) atCapacity() bool {
	return len(c.replies) >= c.server.limits.Counts.PipelinedCommands ||
		c.output.Len() > c.server.limits.Sizes.UnsentAnswers || c.lacksRoom()
}

// hasOutstandingReplies reports whether any reply to the client is incomplete or not completely written.
func (c *conn) hasOutstandingReplies() bool { return len(c.replies) > 0 || c.output.Len() > 0 }

// updateWatch sets the events that the descriptor is watched for, the phase and its timer to match the state of the
// connection.
func (c *conn) updateWatch() {
	reads := c.wantsInput()
	if !reads {
		c.noteUnread(c.server.loop.Now())
		c.hiddenClose.notePossible(c.server.loop.Now())
	} else if c.hasUnread && c.server.loop.NothingToRead(c.fd) {
		c.hasUnread = false
	}
	c.server.loop.SetInterest(c.fd, reads, c.output.Len() > 0)
	c.enterPhase(c.currentPhase())
}

// wantsInput reports whether the connection should read input now.
func (c *conn) wantsInput() bool {
	if c.awaitsBuffers || c.readsNoMore || c.server.deadlinePassed {
		return false
	}
	return c.mayProcessMessage() || c.mayReadAhead()
}

// beginClosing ends the connection between commands. Closing the socket while input is unread would reset the connection,
// and the client could lose a reply that was just written. So only the sending side is closed until the client closes.
// Whatever the client still sends stays unread: a command sent at the same moment has not been accepted, and the client
// sends it to another router.
func (c *conn) beginClosing() {
	c.state = stateClosing
	c.input.Free()
	c.server.loop.CloseWrite(c.fd)
}

// close closes the connection and notifies the dispatcher that the client of its commands in flight is gone.
func (c *conn) close() {
	if c.state == stateClosed {
		return
	}
	c.state = stateClosed
	c.leaveShedQueue()
	c.server.stopWaiting(c)
	delete(c.server.conns, c)
	delete(c.server.connsByCancelKey, c.cancelKey)
	if c.server.listenerClosed && len(c.server.conns) == 0 {
		c.server.loop.StopTimer(c.server.drainTimer)
	}
	c.server.loop.StopTimer(c.timer)
	c.server.loop.Close(c.fd)
	c.input.Free()
	c.output.Free()
	c.abandonReplies()
}

// abandonReplies frees the outstanding replies and notifies the dispatcher that nobody waits for their commands.
func (c *conn) abandonReplies() {
	var abandoned []*dispatcher.Command
	for _, r := range c.replies {
		if r.command != nil && !r.complete {
			abandoned = append(abandoned, r.command)
			c.server.markComplete(r)
		}
		r.data.Free()
	}
	if len(abandoned) > 0 {
		c.server.dispatcher.ClientGone(abandoned)
	}
	c.replies = nil
}
