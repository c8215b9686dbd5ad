package front

import (
	"math"
	"strconv"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/core"
	"stoatdale.example/stoatdale/internal/pg"
)

// slot is an answer that the connection owes.
type slot struct {
	cmd *core.Command // nil: answered by the front
	out buffer.Chain
	own bool // its answer is whole
}

// owner is where a command's answer goes.
type owner struct {
	c *conn
	s *slot
}

// farewell is the last that is said, behind the answers that are owed.
func (c *conn) farewell(code, message string) {
	c.last = true
	c.in.Free()
	c.say(pg.Error(nil, true, code, message, ""))
}

// say gives the front's own answer, behind those that are owed.
func (c *conn) say(b []byte) {
	if len(c.slots) == 0 {
		c.out.Write(b)
		c.flush()
		return
	}
	s := &slot{out: c.f.blocks.New(), own: true}
	s.out.Write(b)
	c.slots = append(c.slots, s)
}

// flush writes on.
func (c *conn) flush() {
	owed := c.out.Len()
	if err := c.f.loop.Write(c.fd, &c.out); err != nil {
		c.close()
		return
	}
	if c.phase == taking && c.out.Len() < owed { // an answer may be taken slowly, but it must be taken
		c.phase = unset
	}
}

// answer completes a command's slot and writes what is in order by now.
func (f *Front) answer(cmd *core.Command, b []byte) {
	o := cmd.Owner.(owner)
	c, s := o.c, o.s
	if c.state == closed {
		return
	}
	s.out.Write(b)
	s.own = true
	if c.slots[0] != s {
		return
	}
	for len(c.slots) > 0 && c.slots[0].own {
		s := c.slots[0]
		c.slots[0] = nil
		c.slots = c.slots[1:]
		s.out.MoveTo(&c.out)
	}
	c.flush()
	if c.state != closed {
		c.step()
	}
}

// Answered implements core.Front.
func (f *Front) Answered(cmd *core.Command, row *buffer.Chain) {
	if o := cmd.Owner.(owner); o.c.state != closed {
		row.MoveTo(&o.s.out)
	}
	row.Free()
	f.answer(cmd, pg.Ready(nil))
}

// Throttled implements core.Front.
func (f *Front) Throttled(cmd *core.Command, comeBack float64) {
	detail := ""
	if comeBack > 0 {
		detail = strconv.Itoa(int(math.Ceil(comeBack * 1000)))
	}
	f.answer(cmd, pg.Ready(pg.Error(nil, false, pg.CodeFull, "throttled: trying again does no harm", detail)))
}

// Failed implements core.Front.
func (f *Front) Failed(cmd *core.Command) {
	f.answer(cmd, pg.Ready(pg.Error(nil, false, pg.CodeFailed, "failed: it is not known whether the command ran", "")))
}
