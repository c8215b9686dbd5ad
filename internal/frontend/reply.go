package frontend

import (
	"math"
	"strconv"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/dispatcher"
	"stoatdale.example/stoatdale/internal/pg"
)

// reply is one that a connection owes to its client.
type reply struct {
	command  *dispatcher.Command // nil: the reply to a message that is no command
	data     buffer.Chain
	complete bool
}

// owner is a command's dispatcher.Command.Owner: where its result goes.
type owner struct {
	conn  *conn
	reply *reply
}

// finalError sends an error behind the replies that are owed; the connection ends after it.
func (c *conn) finalError(code, message string) {
	c.closeAfterReplies = true
	c.input.Free()
	c.send(pg.AppendErrorResponse(nil, true, code, message, ""))
}

// send sends a complete reply behind those that are owed.
func (c *conn) send(message []byte) {
	if len(c.replies) == 0 {
		c.output.Write(message)
		c.flush()
		return
	}
	r := &reply{data: c.server.buffers.NewChain(), complete: true}
	r.data.Write(message)
	c.replies = append(c.replies, r)
}

// flush writes as much of the output as the socket takes.
func (c *conn) flush() {
	unsent := c.output.Len()
	if err := c.server.loop.Write(c.fd, &c.output); err != nil {
		c.close()
		return
	}
	progressed := c.output.Len() < unsent
	if c.phase == phaseWritingAnswer && progressed { // a reply may be taken slowly: each part renews the timeout
		c.phase = phaseUnset
	}
}

// Answer implements dispatcher.Responder: it sends a row and frees it.
func (s *Server) Answer(command *dispatcher.Command, row *buffer.Chain) {
	if to := command.Owner.(owner); to.conn.state != stateClosed && !to.reply.complete {
		row.MoveTo(&to.reply.data)
	}
	row.Free()
	s.complete(command, pg.AppendReadyForQuery(nil))
}

// Reject implements dispatcher.Responder: it sends an error upon which the client may retry, after so many seconds if it is
// above 0.
func (s *Server) Reject(command *dispatcher.Command, retryAfter float64) {
	const millisecondsPerSecond = 1000
	detail := ""
	if retryAfter > 0 {
		detail = strconv.Itoa(int(math.Ceil(retryAfter * millisecondsPerSecond)))
	}
	message := pg.AppendErrorResponse(nil, false, pg.CodeTooManyConnections, "throttled: trying again does no harm", detail)
	s.complete(command, pg.AppendReadyForQuery(message))
}

// Fail implements dispatcher.Responder: it sends an error upon which the client cannot know whether the command ran.
func (s *Server) Fail(command *dispatcher.Command) {
	message := pg.AppendErrorResponse(nil, false, pg.CodeSystemError, "failed: it is not known whether the command ran", "")
	s.complete(command, pg.AppendReadyForQuery(message))
}

// ClientPresent implements dispatcher.Responder.
func (s *Server) ClientPresent(command *dispatcher.Command) bool {
	to := command.Owner.(owner)
	return to.conn.state != stateClosed && !s.loop.PeerClosed(to.conn.fd)
}

// complete appends the last part of a command's reply, and sends the replies that are due by now.
func (s *Server) complete(command *dispatcher.Command, last []byte) {
	to := command.Owner.(owner)
	if to.conn.state == stateClosed || to.reply.complete { // its client has left or canceled it
		return
	}
	to.reply.data.Write(last)
	to.reply.complete = true
	if to.conn.replies[0] == to.reply {
		to.conn.sendCompleted()
	}
}

// sendCompleted sends the complete replies up to the first that is not, and goes on with the input.
func (c *conn) sendCompleted() {
	for len(c.replies) > 0 && c.replies[0].complete {
		first := c.replies[0]
		c.replies[0] = nil
		c.replies = c.replies[1:]
		first.data.MoveTo(&c.output)
	}
	c.flush()
	c.processUnlessClosed()
}
