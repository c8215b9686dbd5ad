package frontend

import (
	"slices"

	"stoatdale.example/stoatdale/internal/buffer"
)

// answerDecay is the share by which the estimate of a large answer's size falls with each smaller answer.
const answerDecay = 1.0 / 64

// mayPipeline reports whether one more command may be accepted whose reply will wait for earlier replies on its connection.
// Its answer and those of all such commands in flight have to fit into the buffers, since nothing bounds the time for which
// an earlier command holds them back but that command's own deadline.
func (s *Server) mayPipeline() bool {
	expected := float64(s.pipelinedInFlight+1) * max(1, s.answerBlocks)
	return s.buffers.MayHold(int(expected))
}

// observeAnswer updates the estimate of an answer's size.
func (s *Server) observeAnswer(row *buffer.Chain) {
	s.answerBlocks = max(float64(s.buffers.BlocksFor(row.Len())), s.answerBlocks*(1-answerDecay))
}

// lacksRoom reports whether the connection accepts no further message because the reply would have to wait and the buffers
// have no room for it. A message whose reply can be sent as soon as it is complete is always accepted.
func (c *conn) lacksRoom() bool { return c.hasOutstandingReplies() && !c.server.mayPipeline() }

// awaitRoom has the connection process its input again once the buffers have room for pipelined commands.
func (c *conn) awaitRoom() {
	if !c.awaitsRoom {
		c.awaitsRoom = true
		c.server.awaitingRoom = append(c.server.awaitingRoom, c)
	}
}

// isNext reports whether the reply can be sent as soon as it is complete: no other reply is before it and the client has
// read all earlier ones.
func (o owner) isNext() bool {
	return o.conn.replies[0] == o.reply && o.conn.output.Len() == 0
}

// relieveBuffers closes stalled connections if buffers are scarce. Connections that waited for buffers resume in the next turn.
func (s *Server) relieveBuffers() {
	s.shedStalled()
	if !s.buffers.Scarce() {
		waiting := s.awaitingBuffers
		s.awaitingBuffers = nil
		for _, c := range waiting {
			c.awaitsBuffers = false
			c.awaitTurn()
		}
	}
	if s.mayPipeline() {
		waiting := s.awaitingRoom
		s.awaitingRoom = nil
		for _, c := range waiting {
			c.awaitsRoom = false
			c.awaitTurn() // it waits again if those before it have taken the room
		}
	}
}

// stopWaiting removes a connection that is closed from those that wait for buffers.
func (s *Server) stopWaiting(c *conn) {
	isClosed := func(other *conn) bool { return other == c }
	if c.awaitsBuffers {
		s.awaitingBuffers = slices.DeleteFunc(s.awaitingBuffers, isClosed)
	}
	if c.awaitsRoom {
		s.awaitingRoom = slices.DeleteFunc(s.awaitingRoom, isClosed)
	}
}

// shedStalled closes connections whose clients have read nothing for ScarceStallTimeout, the longest first, until buffers are
// no longer scarce.
func (s *Server) shedStalled() {
	for s.buffers.Scarce() && s.stalled.Len() > 0 {
		longest := s.stalled.Front().Value.(*conn)
		if s.loop.Now()-longest.queuedAt < s.limits.Durations.ScarceStallTimeout {
			return
		}
		s.counters.StalledShed++
		longest.close()
	}
}
