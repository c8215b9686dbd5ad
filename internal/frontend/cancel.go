package frontend

import (
	"stoatdale.example/stoatdale/internal/dispatcher"
	"stoatdale.example/stoatdale/internal/pg"
)

// takeWaiting reads what the client has sent before its cancel request, which came on another connection and may have
// overtaken it.
func (c *conn) takeWaiting() {
	if c.wantsInput() && !c.server.loop.NothingToRead(c.fd) && !c.server.loop.PeerClosed(c.fd) {
		c.read()
	}
}

// newCancelKey gives a connection the key by which its client may cancel its commands.
func (s *Server) newCancelKey(c *conn) pg.CancelKey {
	for {
		key := s.drawCancelKey()
		if _, taken := s.cancelable[key]; !taken {
			s.cancelable[key] = c
			return key
		}
	}
}

// cancelCommands cancels all commands in flight of the connection that a key names, if there is one. Nothing new is sent
// for them, and each gets its final answer at once: whether it has run is not known. The connection stays open.
func (s *Server) cancelCommands(key pg.CancelKey) {
	c := s.cancelable[key]
	if c == nil {
		return
	}
	c.takeWaiting()
	var canceled []*dispatcher.Command
	for _, r := range c.replies {
		if r.command == nil || r.complete {
			continue
		}
		canceled = append(canceled, r.command)
		message := pg.AppendErrorResponse(nil, false, pg.CodeQueryCanceled, "canceled by its client", "")
		r.data.Write(pg.AppendReadyForQuery(message))
		r.complete = true
	}
	if len(canceled) == 0 {
		return
	}
	s.dispatcher.ClientGone(canceled)
	c.sendCompleted()
}
