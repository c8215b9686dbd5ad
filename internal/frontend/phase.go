package frontend

import (
	"container/list"
	"math"

	"stoatdale.example/stoatdale/internal/pg"
)

// phase is what a connection waits for. Each phase has a timeout of its own.
type phase int

const (
	phaseUnset phase = iota // the next call of enterPhase begins a phase anew
	phaseCommandsInFlight
	phaseAwaitingFirstQuery
	phaseReadingMessage // the first part of a message has come
	phaseWritingAnswer  // the client has a reply to take
	phaseIdle           // between commands
	phaseClosing
)

// noTimeout is the end of a phase without a timeout.
var noTimeout = math.Inf(1)

// currentPhase returns the phase that the state of the connection amounts to.
func (c *conn) currentPhase() phase {
	switch {
	case c.state == stateClosing:
		return phaseClosing
	case c.output.Len() > 0:
		return phaseWritingAnswer
	case len(c.replies) > 0 || c.hasPending || c.closeAfterReplies:
		return phaseCommandsInFlight
	case !c.hasQueried:
		return phaseAwaitingFirstQuery
	case c.input.Len() > 0:
		return phaseReadingMessage
	}
	return phaseIdle
}

// enterPhase begins a phase, unless the connection is in it already: input does not renew a timeout, or a client that
// drips its bytes would stay for good.
func (c *conn) enterPhase(p phase) {
	if p == c.phase {
		return
	}
	c.phase = p
	c.moveToShedQueue(c.shedQueueFor(p))
	c.server.loop.StopTimer(c.timer)
	if timeout := c.phaseEnd(p); timeout != noTimeout {
		c.server.loop.SetTimer(c.timer, timeout)
	}
	// Clients that send one query and stay exhaust the descriptors of their own side long before those of this one.
	if p == phaseIdle && c.server.idle.Len() > c.server.limits.Counts.IdleClients {
		c.server.shedFirstOf(&c.server.idle)
	}
}

// phaseEnd returns when a phase that begins now times out.
func (c *conn) phaseEnd(p phase) float64 {
	durations := &c.server.limits.Durations
	now := c.server.loop.Now()
	switch p {
	case phaseAwaitingFirstQuery:
		return c.acceptedAt + durations.FirstQueryTimeout
	case phaseReadingMessage:
		return max(now, c.messageSince+durations.MessageTimeout)
	case phaseWritingAnswer:
		return now + durations.WriteStallTimeout
	case phaseIdle:
		return now + durations.IdleTimeout
	case phaseClosing:
		return now + durations.CloseLinger
	case phaseCommandsInFlight, phaseUnset: // the commands have timeouts of their own
	}
	return noTimeout
}

// shedQueueFor returns the queue of connections that may be closed in a phase, or nil.
func (c *conn) shedQueueFor(p phase) *list.List {
	switch p {
	case phaseAwaitingFirstQuery:
		return &c.server.silent
	case phaseIdle:
		return &c.server.idle
	case phaseClosing:
		return &c.server.closing
	case phaseUnset, phaseCommandsInFlight, phaseReadingMessage, phaseWritingAnswer:
	}
	return nil
}

// moveToShedQueue puts the connection into a queue, or into none. It keeps its place if it is there already, except
// among the idle ones, where it goes to the end.
func (c *conn) moveToShedQueue(queue *list.List) {
	if queue == c.shedQueue && queue != &c.server.idle {
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

// timerExpired ends the connection of a client that has exceeded the timeout of its phase, with an error if it has begun
// a message and not completed it.
func (c *conn) timerExpired() {
	switch {
	case c.expectsInput() && !c.awaitsBuffers && !c.server.loop.NothingToRead(c.fd):
		// Its input has come and is read next.
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

// expectsInput reports whether the connection is in a phase that input of the client ends.
func (c *conn) expectsInput() bool {
	return c.phase == phaseAwaitingFirstQuery || c.phase == phaseReadingMessage || c.phase == phaseIdle
}

// countTimeout counts a timeout by the phase that it ends.
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
