package frontend

import (
	"math"

	"stoatdale.example/stoatdale/internal/pg"
)

// Shutdown begins a graceful shutdown: the listener is closed once the connections in its backlog are accepted, and client
// connections are closed between commands. Clients that have not sent a query yet, or have sent part of a message, have
// until the drain deadline to send it. Calling Shutdown again has no effect. The shutdown is complete once ListenerClosed
// returns true and OpenConnections returns 0.
func (s *Server) Shutdown() {
	if s.drainDeadline > 0 {
		return
	}
	s.drainDeadline = s.loop.Now() + s.limits.Durations.DrainDeadline
	s.continueDrain()
}

// continueDrain carries out the steps of the shutdown that are due.
func (s *Server) continueDrain() {
	now := s.loop.Now()
	if !s.listenerClosed && !s.closeListener(now) {
		return
	}
	s.deadlinePassed = now >= s.drainDeadline
	if !s.deadlinePassed && len(s.conns) > 0 {
		s.loop.SetTimer(s.drainTimer, s.drainDeadline)
	}
	for c := range s.conns {
		c.process()
	}
}

// closeListener accepts the connections in the backlog, closes the listener and reports whether it did. Closing a listener
// resets the connections that it has not accepted. If there are no descriptors for them, the listener stays open until one
// is free, but not beyond the drain deadline.
func (s *Server) closeListener(now float64) bool {
	s.accept(s.limits.Counts.ListenBacklog)
	if s.loop.HasBacklog(s.listener) && now < s.drainDeadline {
		s.loop.SetTimer(s.drainTimer, math.Min(now+s.limits.Durations.ShedGrace, s.drainDeadline))
		return false
	}
	s.listenerClosed = true
	s.loop.StopTimer(s.resumeTimer)
	s.loop.Close(s.listener)
	s.listener = noDescriptor
	return true
}

// closeIfDue ends the connection if a shutdown or an error requires it and no reply is outstanding. A client that is still
// to send a query when the drain deadline passes gets an error first.
func (c *conn) closeIfDue() {
	if c.isCutOffByDeadline() {
		c.finalError(pg.CodeCannotConnectNow, "the router is ending")
	}
	if c.state != stateClosed && c.mayClose() {
		c.beginClosing()
	}
}

// isCutOffByDeadline reports whether the drain deadline has passed while the client has yet to send its first query or
// the rest of a message. It may send that query to another router.
func (c *conn) isCutOffByDeadline() bool {
	if !c.server.deadlinePassed || c.awaitsTurn {
		return false
	}
	if c.closeAfterReplies || c.hasOutstandingReplies() {
		return false
	}
	return !c.hasQueried || c.input.Len() > 0
}

// mayClose reports whether the connection has to end and no reply is outstanding.
func (c *conn) mayClose() bool {
	switch {
	case c.hasOutstandingReplies():
		return false
	case c.closeAfterReplies:
		return true
	case c.server.deadlinePassed && !c.awaitsTurn:
		return true
	case c.server.listenerClosed:
		// Input that waits in the socket was sent in time, and is read next.
		return c.hasQueried && c.input.Len() == 0 && c.server.loop.NothingToRead(c.fd)
	}
	return false
}
