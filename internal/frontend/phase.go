package frontend

import (
	"container/list"
	"math"

	"stoatdale.example/stoatdale/internal/pg"
)

// phase is what a connection waits for. Most phases have a timeout of their own, see phaseEnd.
type phase int

const (
	phaseUnset phase = iota // the next call of enterPhase restarts the timeout, whatever the phase
	phaseCommandsInFlight
	phaseAwaitingFirstQuery
	phaseReadingMessage // part of a message has arrived
	phaseWritingAnswer  // the socket has not accepted all of the output
	phaseIdle           // between commands
	phaseClosing
)

// noTimeout is the result of phaseEnd for a phase without a timeout.
var noTimeout = math.Inf(1)

// currentPhase returns the phase that follows from the state of the connection.
func (c *conn) currentPhase() phase {
	switch {
	case c.state == stateClosing:
		return phaseClosing
	case c.output.Len() > 0:
		return phaseWritingAnswer
	case len(c.replies) > 0 || c.awaitsTurn || c.closeAfterReplies:
		return phaseCommandsInFlight
	case !c.hasQueried:
		return phaseAwaitingFirstQuery
	case c.input.Len() > 0:
		return phaseReadingMessage
	}
	return phaseIdle
}

// enterPhase begins a phase and its timeout, unless the connection is in that phase already. So input does not renew a
// timeout. Otherwise a client that sends a byte now and then could keep its connection for ever.
func (c *conn) enterPhase(p phase) {
	if p == c.phase {
		return
	}
	c.phase = p
	c.moveToShedQueue(c.shedQueueFor(p))
	c.server.loop.StopTimer(c.timer)
	if end := c.phaseEnd(p); end != noTimeout {
		c.server.loop.SetTimer(c.timer, end)
	}
	// Without this limit, clients that send one query and keep their connection open would exhaust the descriptors of the
	// client machine long before those of the router.
	if p == phaseIdle && c.server.idle.Len() > c.server.limits.Counts.IdleClients {
		c.server.shedFirstOf(&c.server.idle, c.server.limits.Durations.ShedGrace)
	}
}

// phaseEnd returns the time at which a phase that begins now times out, or noTimeout.
func (c *conn) phaseEnd(p phase) float64 {
	durations := &c.server.limits.Durations
	now := c.server.loop.Now()
	switch p {
	case phaseAwaitingFirstQuery:
		return c.acceptedAt + durations.FirstQueryTimeout
	case phaseReadingMessage:
		return max(now, c.incompleteSince+durations.MessageTimeout)
	case phaseWritingAnswer:
		return now + durations.WriteStallTimeout
	case phaseIdle:
		return now + durations.IdleTimeout
	case phaseClosing:
		return now + durations.CloseLinger
	case phaseCommandsInFlight, phaseUnset: // commands have their own timeouts
	}
	return noTimeout
}

// shedQueueFor returns the queue for connections in a phase that may be closed to free a descriptor or buffers, or nil if
// they must not be closed for that.
func (c *conn) shedQueueFor(p phase) *list.List {
	switch p {
	case phaseAwaitingFirstQuery:
		return &c.server.silent
	case phaseIdle:
		return &c.server.idle
	case phaseClosing:
		return &c.server.closing
	case phaseWritingAnswer:
		return &c.server.stalled
	case phaseReadingMessage:
		return &c.server.partial
	case phaseUnset, phaseCommandsInFlight:
	}
	return nil
}

// moveToShedQueue moves the connection to a shed queue, or out of all of them if queue is nil. A connection that is in the
// queue already keeps its place, except in the queues of idle and of stalled connections, where it moves to the end.
func (c *conn) moveToShedQueue(queue *list.List) {
	if queue == c.shedQueue && queue != &c.server.idle && queue != &c.server.stalled {
		return
	}
	c.leaveShedQueue()
	if queue != nil {
		c.shedQueue = queue
		c.shedElement = queue.PushBack(c)
		c.queuedAt = c.server.loop.Now()
	}
}

func (c *conn) leaveShedQueue() {
	if c.shedQueue != nil {
		c.shedQueue.Remove(c.shedElement)
		c.shedQueue = nil
		c.shedElement = nil
	}
}

// timerExpired ends the connection when its phase has timed out. The client gets an error if it has sent part of a message.
func (c *conn) timerExpired() {
	switch {
	case c.expectsInput() && !c.awaitsBuffers && !c.server.loop.NothingToRead(c.fd):
		// Input has arrived in time and is read next.
		c.server.loop.SetTimer(c.timer, c.server.loop.Now()+c.server.limits.Durations.MinBackoff)
	case c.expectsInput() && c.phase != phaseIdle && c.input.Len() > 0:
		c.server.counters.MessageTimeouts++
		c.protocolError(pg.CodeProtocolViolation, "a message was not whole in time")
		c.process()
	default:
		c.countTimeout()
		c.close()
	}
}

// expectsInput reports whether the connection waits for input from the client.
func (c *conn) expectsInput() bool {
	return c.phase == phaseAwaitingFirstQuery || c.phase == phaseReadingMessage || c.phase == phaseIdle
}

// countTimeout increments the timeout counter of the current phase, if it has one.
func (c *conn) countTimeout() {
	switch c.phase {
	case phaseAwaitingFirstQuery:
		c.server.counters.FirstQueryTimeouts++
	case phaseIdle:
		c.server.counters.IdleTimeouts++
	case phaseWritingAnswer:
		c.server.counters.WriteStallTimeouts++
	case phaseUnset, phaseCommandsInFlight, phaseReadingMessage, phaseClosing:
	}
}
