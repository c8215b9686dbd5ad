package front

import (
	"container/list"
	"math"

	"stoatdale.example/stoatdale/internal/pg"
)

// phase is what a connection's time is counted for.
type phase int

const (
	phaseUnset              phase = iota
	phaseCommandsInFlight         // only the commands' own time counts
	phaseAwaitingFirstQuery       // it has not asked for anything yet
	phaseReadingMessage           // it is in the middle of a message
	phaseWritingAnswer            // it has an answer to take
	phaseIdle                     // it has nothing in hand
	phaseClosing
)

// currentPhase is the phase that the connection is in.
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

// enterPhase begins a phase: each has its time and its place among those that may make room. What comes meanwhile
// renews no time, or a client that drips its bytes would stay for good; only answers may be taken slowly.
func (c *conn) enterPhase(p phase) {
	if p == c.phase {
		return
	}
	c.phase = p
	l, now := c.server.limits, c.server.loop.Now()
	var queue *list.List
	until := math.Inf(1)
	switch p {
	case phaseAwaitingFirstQuery:
		queue, until = &c.server.silent, c.acceptedAt+l.Durations.FirstQueryTimeout
	case phaseReadingMessage:
		until = now + l.Durations.MessageTimeout
	case phaseWritingAnswer:
		until = now + l.Durations.WriteStallTimeout
	case phaseIdle:
		queue, until = &c.server.idle, now+l.Durations.IdleTimeout
	case phaseClosing:
		queue, until = &c.server.closing, now+l.Durations.CloseLinger
	}
	if queue != c.shedQueue || queue == &c.server.idle {
		c.leaveShedQueue()
		if queue != nil {
			c.shedQueue, c.shedElement, c.queuedAt = queue, queue.PushBack(c), now
		}
	}
	c.server.loop.Unset(c.timer)
	if !math.IsInf(until, 1) {
		c.server.loop.Set(c.timer, until)
	}
	// Clients that ask once and stay use up what their side may hold open long before descriptors run out here.
	if p == phaseIdle && c.server.idle.Len() > l.Counts.IdleClients {
		c.server.shedFirstOf(&c.server.idle)
	}
}

func (c *conn) leaveShedQueue() {
	if c.shedQueue != nil {
		c.shedQueue.Remove(c.shedElement)
		c.shedQueue, c.shedElement = nil, nil
	}
}

// timerExpired ends a client whose time is over: with an error if it began a message and has not finished it.
func (c *conn) timerExpired() {
	switch {
	case (c.phase == phaseAwaitingFirstQuery || c.phase == phaseReadingMessage || c.phase == phaseIdle) && !c.awaitsBuffers && !c.server.loop.Quiet(c.fd):
		c.server.loop.Set(c.timer, c.server.loop.Now()+c.server.limits.Durations.MinBackoff) // it is asking just now
	case (c.phase == phaseAwaitingFirstQuery || c.phase == phaseReadingMessage) && c.input.Len() > 0:
		c.server.counters.MessageTimeouts++
		c.protocolError(pg.CodeProtocol, "a message was not whole in time")
		c.process()
	default:
		switch c.phase {
		case phaseAwaitingFirstQuery:
			c.server.counters.FirstQueryTimeouts++
		case phaseIdle:
			c.server.counters.IdleTimeouts++
		case phaseWritingAnswer:
			c.server.counters.WriteStallTimeouts++
		}
		c.close()
	}
}
