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
	complete bool                // data holds the whole reply, or the connection is closed
	// pipelined is true if earlier replies or unread output were outstanding when the command arrived. Such replies are counted
	// in Server.pipelinedInFlight until they are complete.
	pipelined bool
}

// owner is the value of dispatcher.Command.Owner. It identifies the reply to which the command's result is written.
type owner struct {
	conn  *conn
	reply *reply
}

// expectsResult reports whether the reply is still incomplete. It is not if the client has left or canceled the command.
func (o owner) expectsResult() bool { return o.conn.state != stateClosed && !o.reply.complete }

// markComplete records that an incomplete reply is complete.
func (s *Server) markComplete(r *reply) {
	r.complete = true
	if r.pipelined {
		s.pipelinedInFlight--
	}
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

// Answer implements dispatcher.Responder: it sends the row of an answer and frees it. If buffers are scarce and the row could
// not be sent now, the client gets an error in its place.
func (s *Server) Answer(command *dispatcher.Command, row *buffer.Chain) {
	s.observeAnswer(row)
	target := command.Owner.(owner)
	if s.buffers.Scarce() {
		target.conn.flushDeferred()
	}
	if !target.expectsResult() {
		row.Free()
		return
	}
	if s.buffers.Scarce() && !target.isNext() {
		row.Free()
		s.counters.AnswersDropped++
		s.completeWithError(command, "failed: the command ran, but there is no memory to keep its answer")
		return
	}
	row.MoveTo(&target.reply.data)
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
	s.completeWithError(command, "failed: it is not known whether the command ran")
}

// completeWithError completes a command's reply with an error that asks for no retry.
func (s *Server) completeWithError(command *dispatcher.Command, text string) {
	message := pg.AppendErrorResponse(nil, false, pg.CodeSystemError, text, "")
	s.complete(command, pg.AppendReadyForQuery(message))
}

// complete appends the last part of a command's reply, and sends all replies that can now be sent in order.
func (s *Server) complete(command *dispatcher.Command, last []byte) {
	target := command.Owner.(owner)
	if !target.expectsResult() {
		return
	}
	target.reply.data.Write(last)
	s.markComplete(target.reply)
	if target.conn.replies[0] == target.reply {
		target.conn.sendCompleted()
	}
}

// sendCompleted sends the replies up to the first that is incomplete, or leaves them to the next turn if this one has gone on
// for long. Input that waited for that is processed in the next turn.
func (c *conn) sendCompleted() {
	for len(c.replies) > 0 && c.replies[0].complete {
		first := c.replies[0]
		c.replies[0] = nil
		c.replies = c.replies[1:]
		first.data.MoveTo(&c.output)
	}
	if c.server.turnIsLong() && !c.server.buffers.Scarce() {
		c.awaitTurn()
		return
	}
	c.flush()
	c.deferInput()
	c.processUnlessClosed()
}

// deferInput leaves messages that waited for a reply to the next turn. Otherwise a turn in which commands are rejected would go
// on until clients have no more input, since each rejection makes room for the next command.
func (c *conn) deferInput() {
	mayHoldMessage := c.input.Len() > 0 && c.incompleteSince == 0
	if mayHoldMessage && c.mayProcessMessage() {
		c.awaitTurn()
	}
}
