package front

import (
	"math"
	"strconv"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/core"
	"stoatdale.example/stoatdale/internal/pg"
)

// reply is an answer that the connection owes.
type reply struct {
	command  *core.Command // nil: answered by the front
	data     buffer.Chain
	complete bool // its answer is whole
}

// owner is where a command's answer goes.
type owner struct {
	conn  *conn
	reply *reply
}

// finalError is the last that is said, behind the answers that are owed.
func (c *conn) finalError(code, message string) {
	c.closeAfterReplies = true
	c.input.Free()
	c.send(pg.Error(nil, true, code, message, ""))
}

// send gives the front's own answer, behind those that are owed.
func (c *conn) send(b []byte) {
	if len(c.replies) == 0 {
		c.output.Write(b)
		c.flush()
		return
	}
	s := &reply{data: c.server.buffers.New(), complete: true}
	s.data.Write(b)
	c.replies = append(c.replies, s)
}

// flush writes on.
func (c *conn) flush() {
	owed := c.output.Len()
	if err := c.server.loop.Write(c.fd, &c.output); err != nil {
		c.close()
		return
	}
	if c.phase == phaseWritingAnswer && c.output.Len() < owed { // an answer may be taken slowly, but it must be taken
		c.phase = phaseUnset
	}
}

// complete completes a command's slot and writes what is in order by now.
func (f *Server) complete(cmd *core.Command, b []byte) {
	o := cmd.Owner.(owner)
	c, s := o.conn, o.reply
	if c.state == stateClosed {
		return
	}
	s.data.Write(b)
	s.complete = true
	if c.replies[0] != s {
		return
	}
	for len(c.replies) > 0 && c.replies[0].complete {
		s := c.replies[0]
		c.replies[0] = nil
		c.replies = c.replies[1:]
		s.data.MoveTo(&c.output)
	}
	c.flush()
	if c.state != stateClosed {
		c.process()
	}
}

// Answered implements core.Front.
func (f *Server) Answered(cmd *core.Command, row *buffer.Chain) {
	if o := cmd.Owner.(owner); o.conn.state != stateClosed {
		row.MoveTo(&o.reply.data)
	}
	row.Free()
	f.complete(cmd, pg.Ready(nil))
}

// Throttled implements core.Front.
func (f *Server) Throttled(cmd *core.Command, comeBack float64) {
	detail := ""
	if comeBack > 0 {
		detail = strconv.Itoa(int(math.Ceil(comeBack * 1000)))
	}
	f.complete(cmd, pg.Ready(pg.Error(nil, false, pg.CodeFull, "throttled: trying again does no harm", detail)))
}

// Failed implements core.Front.
func (f *Server) Failed(cmd *core.Command) {
	f.complete(cmd, pg.Ready(pg.Error(nil, false, pg.CodeFailed, "failed: it is not known whether the command ran", "")))
}
