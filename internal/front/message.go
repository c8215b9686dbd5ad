package front

import (
	"cmp"
	"fmt"
	"math"

	"stoatdale.example/stoatdale/internal/core"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// processMessage takes one processMessage off the input, and says whether there may be another.
func (c *conn) processMessage() bool {
	if c.state == stateStartup {
		return c.processStartup()
	}
	if c.input.Len() == 0 {
		return false
	}
	if kind := c.input.First()[0]; kind != 'Q' && kind != 'X' && !isExtendedQuery(kind) {
		c.protocolError(pg.CodeProtocol, fmt.Sprintf("unknown message type %q", kind))
		return false
	}
	kind, size, ok, err := pg.Next(&c.input, c.server.limits.Sizes.ClientMessage)
	if err != nil {
		c.protocolError(pg.CodeProtocol, err.Error())
		return false
	}
	if !ok {
		return false
	}
	switch {
	case kind == 'X':
		c.close()
		return false
	case c.state == stateSkippingToSync && kind != 'S' && kind != 'Q':
	case kind == 'Q':
		c.state = stateOpen
		c.processQuery(size)
	case kind == 'S':
		c.state = stateOpen
		c.send(pg.Ready(nil))
	default:
		c.state = stateSkippingToSync
		c.server.counters.InvalidQueries++
		c.send(pg.Error(nil, false, pg.CodeUnsupported, "only simple queries are served", ""))
	}
	c.input.Skip(size)
	return true
}

// isExtendedQuery says whether a message belongs to the isExtendedQuery queries, which are not served.
func isExtendedQuery(kind byte) bool {
	switch kind {
	case 'P', 'B', 'E', 'D', 'C', 'H', 'S':
		return true
	}
	return false
}

func (c *conn) processStartup() bool {
	kind, ok, err := pg.ReadStart(&c.input, c.server.limits.Sizes.StartupPacket)
	switch {
	case err != nil:
		c.protocolError(pg.CodeProtocol, err.Error())
		return false
	case !ok:
		return false
	case kind == pg.Encrypt:
		c.send([]byte{'N'})
		return true
	case kind == pg.Cancel:
		c.close()
		return false
	}
	c.state = stateOpen
	c.send(pg.Welcome(nil))
	return true
}

// processQuery takes a simple processQuery: a command for the core, or something that the front answers itself.
func (c *conn) processQuery(size int) {
	const head = 5
	st, err := pg.Parse(&c.input, head, size-head, c.server.limits.Sizes.StatementComment)
	if err != nil {
		c.rejectQuery(pg.CodeSyntax, err.Error())
		return
	}
	c.hasQueried = true
	if st.Empty {
		c.send(pg.Ready(pg.Empty(nil)))
		return
	}
	group, ok := c.server.groups[st.Group]
	if !ok {
		c.rejectQuery(pg.CodeValue, fmt.Sprintf("c=%.40q: unknown command group", st.Group))
		return
	}
	set, ok := c.server.dispatcher.Set(st.Cluster)
	if !ok {
		c.rejectQuery(pg.CodeValue, fmt.Sprintf("cluster=%d: unknown cluster", st.Cluster))
		return
	}
	switch {
	case st.Wait > c.server.limits.Durations.MaxClientTimeout:
		c.rejectQuery(pg.CodeValue, fmt.Sprintf("d=%.0f: longer than any client waits", st.Wait*1000))
		return
	case c.server.settings.CommandGroups[group].Idempotency == router.IdempotentWithKey && !st.Keyed:
		c.rejectQuery(pg.CodeValue, fmt.Sprintf("c=%.40q: commands of this group bear a key, k", st.Group))
		return
	case c.server.dispatcher.Open(st.ID):
		c.rejectQuery(pg.CodeValue, fmt.Sprintf("id=%s: a command of this id is in hand", st.ID))
		return
	}
	cmd := &core.Command{
		Name: st.ID, Group: group, Set: set, Session: st.Session, Repeat: st.Repeat,
		GiveUp: c.earliestArrival + st.Wait - c.server.limits.Durations.AnswerMargin, Text: c.server.buffers.New(), From: st.From, To: st.To, Front: c.server,
	}
	if st.WriteAt > 0 {
		// A write of this very moment, or by a clock that is ahead, must not look like none.
		cmd.WriteAge = cmp.Or(c.server.dispatcher.Age(st.WriteAt), -math.SmallestNonzeroFloat64)
	}
	c.input.CopyTo(&cmd.Text, head, size-head)
	s := &reply{command: cmd, data: c.server.buffers.New()}
	c.replies = append(c.replies, s)
	cmd.Owner = owner{c, s}
	c.server.dispatcher.Take(cmd)
}

// rejectQuery answers a query that is no command. After some the connection is ended: a client that repeats what was
// turned away as soon as it hears so would keep the router busy.
func (c *conn) rejectQuery(code, message string) {
	if c.rejectedQueries++; c.rejectedQueries >= c.server.limits.Counts.InvalidQueries {
		c.protocolError(code, message)
		return
	}
	c.server.counters.InvalidQueries++
	c.send(pg.Ready(pg.Error(nil, false, code, message, "")))
}

// protocolError says what is wrong and ends the connection after the answers that are owed.
func (c *conn) protocolError(code, message string) {
	c.server.counters.InvalidQueries++
	c.finalError(code, message)
}
