package front

import (
	"cmp"
	"fmt"
	"math"

	"stoatdale.example/stoatdale/internal/core"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// message takes one message off the input, and says whether there may be another.
func (c *conn) message() bool {
	if c.state == starting {
		return c.start()
	}
	if c.in.Len() == 0 {
		return false
	}
	if kind := c.in.First()[0]; kind != 'Q' && kind != 'X' && !extended(kind) {
		c.fatal(pg.CodeProtocol, fmt.Sprintf("unknown message type %q", kind))
		return false
	}
	kind, size, ok, err := pg.Next(&c.in, c.f.limits.Sizes.ClientMessage)
	if err != nil {
		c.fatal(pg.CodeProtocol, err.Error())
		return false
	}
	if !ok {
		return false
	}
	switch {
	case kind == 'X':
		c.close()
		return false
	case c.state == skipping && kind != 'S' && kind != 'Q':
	case kind == 'Q':
		c.state = open
		c.query(size)
	case kind == 'S':
		c.state = open
		c.say(pg.Ready(nil))
	default:
		c.state = skipping
		c.f.count.BadInput++
		c.say(pg.Error(nil, false, pg.CodeUnsupported, "only simple queries are served", ""))
	}
	c.in.Skip(size)
	return true
}

// extended says whether a message belongs to the extended queries, which are not served.
func extended(kind byte) bool {
	switch kind {
	case 'P', 'B', 'E', 'D', 'C', 'H', 'S':
		return true
	}
	return false
}

func (c *conn) start() bool {
	kind, ok, err := pg.ReadStart(&c.in, c.f.limits.Sizes.StartupPacket)
	switch {
	case err != nil:
		c.fatal(pg.CodeProtocol, err.Error())
		return false
	case !ok:
		return false
	case kind == pg.Encrypt:
		c.say([]byte{'N'})
		return true
	case kind == pg.Cancel:
		c.close()
		return false
	}
	c.state = open
	c.say(pg.Welcome(nil))
	return true
}

// query takes a simple query: a command for the core, or something that the front answers itself.
func (c *conn) query(size int) {
	const head = 5
	st, err := pg.Parse(&c.in, head, size-head, c.f.limits.Sizes.StatementComment)
	if err != nil {
		c.bad(pg.CodeSyntax, err.Error())
		return
	}
	c.asked = true
	if st.Empty {
		c.say(pg.Ready(pg.Empty(nil)))
		return
	}
	group, ok := c.f.groups[st.Group]
	if !ok {
		c.bad(pg.CodeValue, fmt.Sprintf("c=%.40q: unknown command group", st.Group))
		return
	}
	set, ok := c.f.core.Set(st.Cluster)
	if !ok {
		c.bad(pg.CodeValue, fmt.Sprintf("cluster=%d: unknown cluster", st.Cluster))
		return
	}
	switch {
	case st.Wait > c.f.limits.Durations.MaxClientTimeout:
		c.bad(pg.CodeValue, fmt.Sprintf("d=%.0f: longer than any client waits", st.Wait*1000))
		return
	case c.f.told.CommandGroups[group].Idempotency == router.IdempotentWithKey && !st.Keyed:
		c.bad(pg.CodeValue, fmt.Sprintf("c=%.40q: commands of this group bear a key, k", st.Group))
		return
	case c.f.core.Open(st.ID):
		c.bad(pg.CodeValue, fmt.Sprintf("id=%s: a command of this id is in hand", st.ID))
		return
	}
	cmd := &core.Command{Name: st.ID, Group: group, Set: set, Session: st.Session, Repeat: st.Repeat,
		GiveUp: c.since + st.Wait - c.f.limits.Durations.AnswerMargin, Text: c.f.blocks.New(), From: st.From, To: st.To, Front: c.f}
	if st.WriteAt > 0 {
		// A write of this very moment, or by a clock that is ahead, must not look like none.
		cmd.WriteAge = cmp.Or(c.f.core.Age(st.WriteAt), -math.SmallestNonzeroFloat64)
	}
	c.in.CopyTo(&cmd.Text, head, size-head)
	s := &slot{cmd: cmd, out: c.f.blocks.New()}
	c.slots = append(c.slots, s)
	cmd.Owner = owner{c, s}
	c.f.core.Take(cmd)
}

// bad answers a query that is no command. After some the connection is ended: a client that repeats what was
// turned away as soon as it hears so would keep the router busy.
func (c *conn) bad(code, message string) {
	if c.faults++; c.faults >= c.f.limits.Counts.InvalidQueries {
		c.fatal(code, message)
		return
	}
	c.f.count.BadInput++
	c.say(pg.Ready(pg.Error(nil, false, code, message, "")))
}

// fatal says what is wrong and ends the connection after the answers that are owed.
func (c *conn) fatal(code, message string) {
	c.f.count.BadInput++
	c.farewell(code, message)
}
