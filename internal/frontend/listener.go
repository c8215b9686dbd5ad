package frontend

import (
	"container/list"

	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/pg"
)

// noDescriptor is the value of Server.listener once the listener is closed.
const noDescriptor = -1

// Ready implements eventloop.Handler for the listener.
func (s *Server) Ready(bool, bool) { s.accept(s.limits.Counts.AcceptsPerTurn) }

// accept accepts at most limit connections from the backlog.
func (s *Server) accept(limit int) {
	for range limit {
		if !s.reserveDescriptor() || !s.acceptOne() {
			return
		}
	}
}

// reserveDescriptor reports whether one more connection may be accepted. At the limit of clients or descriptors it closes a
// connection that can be spared, if another client waits in the backlog. If none can be spared, it pauses accepting;
// otherwise the listener would stay ready and the event loop would spin.
func (s *Server) reserveDescriptor() bool {
	clientsFull := len(s.conns) >= s.limits.Counts.ClientConnections
	descriptorsFull := s.loop.OpenDescriptors() >= s.limits.Counts.SharedDescriptors
	if !clientsFull && !descriptorsFull {
		return true
	}
	if !s.loop.HasBacklog(s.listener) {
		s.backlogPausedAt = 0
		return false
	}
	backendClosed := !clientsFull && s.dispatcher.CloseIdleBackend()
	if backendClosed || s.shedOne() {
		return true
	}
	s.pauseAccepting()
	return false
}

// acceptOne accepts one connection and reads from it. It reports whether the caller may try to accept another.
func (s *Server) acceptOne() bool {
	fd, ok, err := s.loop.Accept(s.listener)
	if err != nil {
		s.log.Warn().Err(err).Msg("accepting a client connection failed")
		if eventloop.IsOutOfDescriptors(err) {
			s.shedOne()
		}
		s.pauseAccepting()
		return false
	}
	if !ok {
		s.backlogPausedAt = 0
		return false
	}
	c := newConn(s, fd)
	if err := s.loop.Add(fd, c, true, false); err != nil {
		s.loop.CloseUnwatched(fd)
		return false
	}
	s.counters.ClientsAccepted++
	s.conns[c] = true
	if s.loop.PeerClosed(fd) { // the client left while it was in the backlog: its input is not read
		c.close()
		return true
	}
	c.read()
	return true
}

// setAccepting sets whether the event loop watches the listener for new connections.
func (s *Server) setAccepting(on bool) {
	if s.listener != noDescriptor {
		s.loop.SetInterest(s.listener, on, false)
	}
}

// pauseAccepting leaves new connections in the backlog for the time of ShedGrace.
func (s *Server) pauseAccepting() {
	if s.backlogPausedAt == 0 {
		s.backlogPausedAt = s.loop.Now()
	}
	s.setAccepting(false)
	s.loop.SetTimer(s.resumeTimer, s.loop.Now()+s.limits.Durations.ShedGrace)
}

// backlogSince returns the earliest time at which a connection that is accepted now can have entered the backlog.
func (s *Server) backlogSince() float64 {
	if s.backlogPausedAt > 0 {
		return min(s.backlogPausedAt, s.loop.ReadySince())
	}
	return s.loop.ReadySince()
}

// shedOne closes one connection to free its descriptor, and reports whether it found one. It takes a connection that is
// closing anyway, else one that has not sent a query, else the one that has been idle the longest, else one that is in the
// middle of a message.
func (s *Server) shedOne() bool {
	if oldest := s.closing.Front(); oldest != nil {
		oldest.Value.(*conn).close()
		return true
	}
	durations := &s.limits.Durations
	return s.shedFirstOf(&s.silent, durations.FirstQueryShedGrace) ||
		s.shedFirstOf(&s.idle, durations.ShedGrace) ||
		s.shedPartial()
}

// shedPartial closes, with an error, a connection whose client has been in the middle of a message for PartialShedGrace. If it
// did not, clients that stop in the middle would keep others from being accepted until MessageTimeout. It reports whether
// there was one.
func (s *Server) shedPartial() bool {
	for e := s.partial.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if s.loop.Now()-c.incompleteSince < s.limits.Durations.PartialShedGrace || !s.loop.NothingToRead(c.fd) {
			continue
		}
		s.counters.ClientsShed++
		c.protocolError(pg.CodeTooManyConnections, "a message was not whole when others waited to connect")
		c.process()
		c.close()
		return true
	}
	return false
}

// shedFirstOf closes the first connection of a queue that has been in it for a grace period and has no unread input in its
// socket. It reports whether there was one.
func (s *Server) shedFirstOf(queue *list.List, grace float64) bool {
	for e := queue.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if s.loop.Now()-c.queuedAt < grace {
			return false
		}
		if s.loop.NothingToRead(c.fd) {
			s.counters.ClientsShed++
			c.close()
			return true
		}
	}
	return false
}
