package frontend

import (
	"stoatdale.example/stoatdale/internal/dispatcher"
	"stoatdale.example/stoatdale/internal/pg"
)

// readWaitingInput reads the input that waits in the socket, before a cancel request is carried out. The request arrives on
// another connection and may overtake a query that the client sent earlier.
func (c *conn) readWaitingInput() {
	if c.wantsInput() && !c.server.loop.NothingToRead(c.fd) && !c.server.loop.PeerClosed(c.fd) {
		c.read()
	}
}

// newCancelKey returns a new key with which the client of c can cancel its commands, and registers c under it.
func (s *Server) newCancelKey(c *conn) pg.CancelKey {
	for {
		key := s.drawCancelKey()
		if _, taken := s.connsByCancelKey[key]; !taken {
			s.connsByCancelKey[key] = c
			return key
		}
	}
}

// cancelCommands cancels all commands in flight on the connection that has the key, if there is one. The router begins no
// further attempt for them, and answers each immediately with an error that leaves open whether the command ran. The
// connection stays open.
func (s *Server) cancelCommands(key pg.CancelKey) {
	c := s.connsByCancelKey[key]
	if c == nil {
		return
	}
	c.readWaitingInput()
	var canceled []*dispatcher.Command
	for _, r := range c.replies {
		if r.command == nil || r.complete {
			continue
		}
		canceled = append(canceled, r.command)
		message := pg.AppendErrorResponse(nil, false, pg.CodeQueryCanceled, "canceled by its client", "")
		r.data.Write(pg.AppendReadyForQuery(message))
		s.markComplete(r)
	}
	if len(canceled) == 0 {
		return
	}
	s.dispatcher.ClientGone(canceled)
	c.sendCompleted()
}
