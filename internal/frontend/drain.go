package frontend

import (
	"math"

	"stoatdale.example/stoatdale/internal/pg"
)

// Shutdown begins a graceful shutdown: the listener is closed once the waiting connections are accepted, and connections
// are closed between commands. Clients that have not sent a query yet, or are in the middle of a message, have until the
// drain deadline. Calling it again changes nothing. The shutdown is complete once ListenerClosed reports true and
// OpenConnections returns 0.
func (s *Server) Shutdown() {
	if s.drainDeadline > 0 {
		return
	}
	s.drainDeadline = s.loop.Now() + s.limits.Durations.DrainDeadline
	s.continueDrain()
}

// continueDrain does the part of the shutdown that is due.
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

// closeListener accepts the waiting connections and closes the listener. It reports whether it is closed now: a listener
// that is closed resets whom it has not accepted, so where descriptors are lacking it stays open until one is free, at
// the latest until the drain deadline.
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

// closeIfDue ends the connection if a shutdown or an error asks for it and the client is owed nothing any more. A client
// that the drain deadline finds about to send a query is told so first.
func (c *conn) closeIfDue() {
	if c.isCutOff() {
		c.finalError(pg.CodeCannotConnectNow, "the router is ending")
	}
	if c.state != stateClosed && c.mayClose() {
		c.beginClosing()
	}
}

// isCutOff reports whether the drain deadline finds the client about to send a query, which it may send elsewhere.
func (c *conn) isCutOff() bool {
	if !c.server.deadlinePassed || c.hasPending {
		return false
	}
	if c.closeAfterReplies || c.owesReplies() {
		return false
	}
	return !c.hasQueried || c.input.Len() > 0
}

// mayClose reports whether the connection has to end and the client is owed nothing any more.
func (c *conn) mayClose() bool {
	switch {
	case c.owesReplies():
		return false
	case c.closeAfterReplies:
		return true
	case c.server.deadlinePassed && !c.hasPending:
		return true
	case c.server.listenerClosed:
		// What waits in the socket was sent in time: it is read next.
		return c.hasQueried && c.input.Len() == 0 && c.server.loop.NothingToRead(c.fd)
	}
	return false
}
