package frontend

import "stoatdale.example/stoatdale/internal/dispatcher"

const (
	// maxTurnAge is the age of a turn, in seconds, up to which the turn's poll is recent enough to tell whether a client has
	// closed its connection.
	maxTurnAge = 0.01
	// leastReceiveWindow is the least number of bytes that the system takes in for a connection that is not read. With fewer
	// bytes unread, nothing keeps the client's system from sending the rest, a close included.
	leastReceiveWindow = 4 << 10
	// refillTime is the time in seconds in which more bytes of the client arrive after some were read that had filled the
	// receive window.
	refillTime = 0.005
)

// hiddenClose tracks whether a client may have closed its connection without a sign of it. The system delivers a close only
// after all bytes that the client sent before, and those wait until earlier ones are read.
type hiddenClose struct {
	// possibleSince is the latest time at which the client is known to have been connected, or 0 if a close of it would show
	// at once.
	possibleSince float64
	largeReadAt   float64 // when so many bytes were last read that more may have waited for them
}

// notePossible records that a close may be hidden from now on.
func (h *hiddenClose) notePossible(now float64) {
	if h.possibleSince == 0 {
		h.possibleSince = now
	}
}

// noteRead records a read that began at the given time and took all bytes that were there, or up to its limit.
func (h *hiddenClose) noteRead(now float64, received, limit int) {
	switch {
	case received >= min(limit, leastReceiveWindow):
		h.notePossible(now)
		h.largeReadAt = now
	case now-h.largeReadAt >= refillTime:
		h.possibleSince = 0
	}
}

// ClientPresence implements dispatcher.Responder: it reports whether the command's client is known to be still connected.
func (s *Server) ClientPresence(command *dispatcher.Command) dispatcher.Presence {
	c := command.Owner.(owner).conn
	turnIsRecent := s.loop.Clock()-s.loop.Now() < maxTurnAge
	switch {
	case c.state == stateClosed, !turnIsRecent && s.loop.PeerClosed(c.fd):
		return dispatcher.ClientAbsent
	case !c.mayHideClose():
		return dispatcher.ClientPresent
	case c.wantsInput():
		return dispatcher.ClientAbsent
	}
	return dispatcher.ClientUndecided
}

// mayHideClose reports whether the client may have closed the connection longer ago than HiddenCloseGrace without a sign of it.
func (c *conn) mayHideClose() bool {
	now := c.server.loop.Clock()
	since := c.hiddenClose.possibleSince
	if since == 0 || now-since <= c.server.limits.Durations.HiddenCloseGrace {
		return false
	}
	if c.server.loop.UnreadBytes(c.fd) < leastReceiveWindow && now-c.hiddenClose.largeReadAt >= refillTime {
		c.hiddenClose.possibleSince = now
		return false
	}
	return true
}

// mayReadAhead reports whether the connection may read input that it may not process yet, so that a close of its client
// behind that input is seen.
func (c *conn) mayReadAhead() bool {
	if c.state == stateClosing || c.state == stateClosed || c.closeAfterReplies {
		return false
	}
	return c.input.Len() < c.server.limits.Sizes.ReadAhead && c.server.mayPipeline()
}

// noteUnread records that input may wait in the socket, and that all input before the given time has been read.
func (c *conn) noteUnread(since float64) {
	if !c.hasUnread {
		c.hasUnread = true
		c.unreadSince = since
	}
}

// readSocket reads about limit bytes from the socket into the input, and records when they may have arrived.
func (c *conn) readSocket(limit int) error {
	network := c.server.loop
	unprocessed := c.input.Len()
	readAt := network.Clock()
	received, err := network.Read(c.fd, &c.input, limit)
	arrivedAt := network.ReadySince()
	if c.hasUnread && c.arrivals.received > 0 {
		arrivedAt = c.unreadSince
	}
	c.arrivals.add(received, arrivedAt, unprocessed)
	c.hiddenClose.noteRead(readAt, received, limit)
	if received < limit {
		c.hasUnread = false
	} else {
		c.noteUnread(readAt)
	}
	return err
}
