package frontend

import (
	"container/list"

	"stoatdale.example/stoatdale/internal/eventloop"
)

// noDescriptor stands for the descriptor of a closed listener.
const noDescriptor = -1

// Ready implements eventloop.Handler for the listener.
func (s *Server) Ready(bool, bool) { s.accept(s.limits.Counts.AcceptsPerTurn) }

// accept accepts waiting connections, so many at the most.
func (s *Server) accept(limit int) {
	for range limit {
		if !s.reserveDescriptor() || !s.acceptOne() {
			return
		}
	}
}

// reserveDescriptor makes sure that one more connection may be accepted, and closes a spare connection for it if need
// be. Where there is none to spare accepting pauses, since the listener would stay ready and spin the event loop.
func (s *Server) reserveDescriptor() bool {
	clientsFull := len(s.conns) >= s.limits.Counts.ClientConnections
	descriptorsFull := s.loop.OpenDescriptors() >= s.limits.Counts.SharedDescriptors
	if !clientsFull && !descriptorsFull {
		return true
	}
	if !s.loop.HasBacklog(s.listener) {
		return false
	}
	backendClosed := !clientsFull && s.dispatcher.CloseIdleBackend()
	if backendClosed || s.shedOne() {
		return true
	}
	s.pauseAccepting()
	return false
}

// acceptOne accepts and reads one connection. It reports whether another may follow.
func (s *Server) acceptOne() bool {
	fd, ok, err := s.loop.Accept(s.listener)
	if err != nil {
		s.log.Warn().Err(err).Msg("client not accepted")
		if eventloop.IsOutOfDescriptors(err) {
			s.shedOne()
		}
		s.pauseAccepting()
		return false
	}
	if !ok {
		return false
	}
	c := newConn(s, fd)
	if err := s.loop.Add(fd, c, true, false); err != nil {
		s.loop.CloseUnwatched(fd)
		return false
	}
	s.counters.ClientsAccepted++
	s.conns[c] = true
	if s.loop.PeerClosed(fd) { // it left while it waited to be accepted: what it sent is not read
		c.close()
		return true
	}
	c.read()
	return true
}

// setAccepting watches the listener for new connections, or stops doing so.
func (s *Server) setAccepting(on bool) {
	if s.listener != noDescriptor {
		s.loop.SetInterest(s.listener, on, false)
	}
}

// pauseAccepting leaves new connections in the backlog for a moment.
func (s *Server) pauseAccepting() {
	s.setAccepting(false)
	s.loop.SetTimer(s.resumeTimer, s.loop.Now()+s.limits.Durations.ShedGrace)
}

// shedOne closes one connection to free its descriptor, and reports whether there was one: one that is closing anyway,
// else one that has not sent a query, else the one that has been idle for the longest.
func (s *Server) shedOne() bool {
	if oldest := s.closing.Front(); oldest != nil {
		oldest.Value.(*conn).close()
		return true
	}
	return s.shedFirstOf(&s.silent) || s.shedFirstOf(&s.idle)
}

// shedFirstOf closes the first connection of a queue that is past its grace period and has sent nothing that is not read
// yet. It reports whether there was one.
func (s *Server) shedFirstOf(queue *list.List) bool {
	for e := queue.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if s.loop.Now()-c.queuedAt < s.limits.Durations.ShedGrace {
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
