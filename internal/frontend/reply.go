package frontend

import (
	"math"
	"strconv"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/dispatcher"
	"stoatdale.example/stoatdale/internal/pg"
)

// reply is an outstanding reply to a client.
type reply struct {
	command  *dispatcher.Command // nil if the reply is to a message that is not a command
	data     buffer.Chain        // encoded messages that are not in the connection's output yet
	complete bool                // data holds the whole reply
}

// owner is the value of dispatcher.Command.Owner. It identifies the reply to which the command's result is written.
type owner struct {
	conn  *conn
	reply *reply
}

// finalError sends an error after the outstanding replies, and then ends the connection.
func (c *conn) finalError(code, message string) {
	c.closeAfterReplies = true
	c.input.Free()
	c.send(pg.AppendErrorResponse(nil, true, code, message, ""))
}

// send sends a complete reply after the outstanding ones.
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

// flush writes as much of the output as the socket accepts.
func (c *conn) flush() {
	unsent := c.output.Len()
	if err := c.server.loop.Write(c.fd, &c.output); err != nil {
		c.close()
		return
	}
	progressed := c.output.Len() < unsent
	if c.phase == phaseWritingAnswer && progressed { // a client may read a reply slowly: each part that it reads renews the timeout
		c.phase = phaseUnset
	}
}

// Answer implements dispatcher.Responder: it sends the row of an answer and frees it.
func (s *Server) Answer(command *dispatcher.Command, row *buffer.Chain) {
	if target := command.Owner.(owner); target.conn.state != stateClosed && !target.reply.complete {
		row.MoveTo(&target.reply.data)
	}
	row.Free()
	s.complete(command, pg.AppendReadyForQuery(nil))
}

// Reject implements dispatcher.Responder: it sends an error after which the client may retry. If retryAfter is above 0, the
// error asks the client to wait that many seconds first.
func (s *Server) Reject(command *dispatcher.Command, retryAfter float64) {
	const millisecondsPerSecond = 1000
	detail := ""
	if retryAfter > 0 {
		detail = strconv.Itoa(int(math.Ceil(retryAfter * millisecondsPerSecond)))
	}
	message := pg.AppendErrorResponse(nil, false, pg.CodeTooManyConnections, "throttled: trying again does no harm", detail)
	s.complete(command, pg.AppendReadyForQuery(message))
}

// Fail implements dispatcher.Responder: it sends an error that leaves open whether the command ran.
func (s *Server) Fail(command *dispatcher.Command) {
	message := pg.AppendErrorResponse(nil, false, pg.CodeSystemError, "failed: it is not known whether the command ran", "")
	s.complete(command, pg.AppendReadyForQuery(message))
}

// ClientPresent implements dispatcher.Responder: it reports whether the command's client is still connected.
func (s *Server) ClientPresent(command *dispatcher.Command) bool {
	target := command.Owner.(owner)
	return target.conn.state != stateClosed && !s.loop.PeerClosed(target.conn.fd)
}

// complete appends the last part of a command's reply, and sends all replies that can now be sent in order.
func (s *Server) complete(command *dispatcher.Command, last []byte) {
	target := command.Owner.(owner)
	if target.conn.state == stateClosed || target.reply.complete { // the client has left or canceled the command
		return
	}
	target.reply.data.Write(last)
	target.reply.complete = true
	if target.conn.replies[0] == target.reply {
		target.conn.sendCompleted()
	}
}

// sendCompleted sends the replies up to the first that is incomplete, and then processes the input that may have waited.
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
