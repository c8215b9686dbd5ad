// Package front serves clients over PostgreSQL's wire protocol. It takes commands in for the core and
// gives their answers back in the order of the commands; it decides nothing.
package front

import (
	"container/list"
	"fmt"
	"math"
	"net/netip"
	"strconv"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/core"
	"stoatdale.example/stoatdale/internal/count"
	"stoatdale.example/stoatdale/internal/loop"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/site"
)

// Front is a listener and its clients.
type Front struct {
	At     netip.AddrPort // where it listens
	loop   *loop.Loop
	limits *site.Limits
	blocks *buffer.Pool
	core   *core.Core
	count  *count.Counters
	log    zerolog.Logger
	groups map[string]int

	listener int // -1: closed
	resume   *loop.Timer
	conns    map[*conn]bool
	idle     list.List // conns between commands, the longest idle first
	waiting  []*conn   // not read for want of buffers
	ending   bool
}

// Listen opens a front on one address.
func Listen(at netip.AddrPort, l *loop.Loop, limits *site.Limits, blocks *buffer.Pool, o *core.Core,
	groups []string, c *count.Counters, log zerolog.Logger) (*Front, error) {
	f := &Front{loop: l, limits: limits, blocks: blocks, core: o, count: c, log: log, groups: map[string]int{},
		conns: map[*conn]bool{}}
	for i, name := range groups {
		f.groups[name] = i
	}
	f.resume = loop.NewTimer(func() { f.listen(true) })
	var err error
	if f.listener, err = loop.Listen(at, limits.Backlog); err != nil {
		return nil, err
	}
	if f.At, err = loop.Bound(f.listener); err != nil {
		return nil, err
	}
	return f, l.Add(f.listener, f, true, false)
}

// Open is the number of client connections.
func (f *Front) Open() int { return len(f.conns) }

// Closed says that the front has ended: it takes no new clients in.
func (f *Front) Closed() bool { return f.ending }

func (f *Front) listen(on bool) {
	if f.listener >= 0 {
		f.loop.Want(f.listener, on, false)
	}
}

// Ready implements loop.Handler for the listener.
func (f *Front) Ready(bool, bool) { f.accept(f.limits.Accepts) }

// accept takes connections in. Where descriptors run out the longest idle client makes room; with none
// idle the listener rests, since it would stay ready and spin the loop.
func (f *Front) accept(most int) {
	for range most {
		full := len(f.conns) >= f.limits.Clients ||
			f.loop.Open() >= f.limits.Shared && !f.core.MakeRoom()
		if full && !f.shed() {
			f.rest()
			return
		}
		fd, ok, err := loop.Accept(f.listener)
		if err != nil {
			f.log.Warn().Err(err).Msg("a client could not be taken in")
			f.shed()
			f.rest()
			return
		}
		if !ok {
			return
		}
		c := &conn{f: f, fd: fd, in: f.blocks.New(), out: f.blocks.New()}
		c.timer = loop.NewTimer(c.due)
		if err := f.loop.Add(fd, c, true, false); err != nil {
			loop.Discard(fd)
			return
		}
		f.count.Accepted++
		f.conns[c] = true
		f.loop.Set(c.timer, f.loop.Now()+f.limits.Stall)
		c.read()
	}
}

func (f *Front) rest() {
	f.listen(false)
	f.loop.Set(f.resume, f.loop.Now()+f.limits.Pause)
}

// shed closes the connection that has been between commands for the longest. One that has sent something
// that was not read yet is spared.
func (f *Front) shed() bool {
	for e := f.idle.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); loop.Quiet(c.fd) {
			f.count.Shed++
			c.close()
			return true
		}
	}
	return false
}

// Refresh reads on where buffers were scarce.
func (f *Front) Refresh() {
	if len(f.waiting) == 0 || f.blocks.Scarce() {
		return
	}
	again := f.waiting
	f.waiting = nil
	for _, c := range again {
		if c.state != closed {
			c.paused = false
			c.step()
		}
	}
}

// End stops listening once what waits to be accepted is taken in, and ends connections between commands.
func (f *Front) End() {
	if f.ending {
		return
	}
	f.accept(f.limits.Backlog)
	f.ending = true
	f.loop.Unset(f.resume)
	f.loop.Close(f.listener)
	f.listener = -1
	for c := range f.conns {
		c.step()
	}
}

type state int

const (
	starting state = iota
	open
	skipping // past an error in extended queries, until Sync
	parting  // no more is sent; what comes is read away until the client closes
	closed
)

// slot is an answer that the connection owes.
type slot struct {
	cmd *core.Command // nil: answered by the front
	out buffer.Chain
	own bool // its answer is whole
}

// conn is one client.
type conn struct {
	f       *Front
	fd      int
	state   state
	in, out buffer.Chain
	slots   []*slot
	last    bool          // end after the answers that are owed
	place   *list.Element // among the idle
	paused  bool
	held    bool    // not read at present
	since   float64 // the earliest time at which what was read last may have come
	timer   *loop.Timer
}

// Ready implements loop.Handler.
func (c *conn) Ready(readable, writable bool) {
	if writable && c.out.Len() > 0 {
		c.flush()
		if c.state != closed && !readable {
			c.step()
		}
	}
	if readable && c.state != closed {
		c.read()
	}
}

func (c *conn) read() {
	most := c.f.limits.Read
	if c.f.blocks.Scarce() && c.state != parting {
		if most = c.f.limits.Block; c.in.Len() >= most { // short commands are taken all the same
			c.pause()
			return
		}
	}
	if !c.held { // what comes after it was left unread has waited since then
		c.since = c.f.loop.Since()
	}
	c.held = false
	got, err := loop.Read(c.fd, &c.in, most)
	c.progress(got > 0)
	if c.state == parting {
		c.in.Free()
	}
	c.step()
	if err != nil && c.state != closed {
		c.close()
	}
}

// step does what can be done now: takes messages, and sets what is waited for.
func (c *conn) step() {
	for c.state != parting && c.state != closed && !c.last && !c.full() {
		if more := c.message(); !more {
			break
		}
	}
	if c.state == closed {
		return
	}
	if len(c.slots) == 0 && c.out.Len() == 0 && c.state != parting &&
		(c.last || c.f.ending && c.in.Len() == 0) {
		c.part()
	}
	c.watch()
}

// full says that the connection owes so much that no more is taken from it.
func (c *conn) full() bool {
	return len(c.slots) >= c.f.limits.Pipeline || c.out.Len() > c.f.limits.Unsent
}

// watch sets the descriptor, the timer and the place among the idle by what the connection does.
func (c *conn) watch() {
	reads := !c.paused && !c.last && !c.full() || c.state == parting
	if !reads && !c.held {
		c.held, c.since = true, c.f.loop.Now()
	}
	c.f.loop.Want(c.fd, reads, c.out.Len() > 0)
	between := (c.state == open || c.state == skipping) && c.in.Len() == 0 && c.out.Len() == 0 && len(c.slots) == 0
	switch {
	case between && c.place == nil:
		c.place = c.f.idle.PushBack(c)
	case !between && c.place != nil:
		c.f.idle.Remove(c.place)
		c.place = nil
	}
	// In the middle of a message or an answer a client may not stay for long.
	stuck := c.in.Len() > 0 || c.out.Len() > 0 || c.state == starting
	switch {
	case c.state == parting:
	case stuck && !c.timer.IsSet():
		c.f.loop.Set(c.timer, c.f.loop.Now()+c.f.limits.Stall)
	case !stuck:
		c.f.loop.Unset(c.timer)
	}
}

// pause leaves the client unread until buffers are free.
func (c *conn) pause() {
	if !c.paused {
		c.paused = true
		c.f.waiting = append(c.f.waiting, c)
		c.watch()
	}
}

// progress starts a stalling client's time anew.
func (c *conn) progress(made bool) {
	if made && c.state != parting && c.timer.IsSet() {
		c.f.loop.Set(c.timer, c.f.loop.Now()+c.f.limits.Stall)
	}
}

// due ends a client that stalls.
func (c *conn) due() { c.close() }

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
	kind, size, ok, err := pg.Next(&c.in, c.f.limits.Message)
	if err != nil {
		c.fatal(pg.CodeProtocol, err.Error())
		return false
	}
	if !ok {
		return false
	}
	switch {
	case kind == 'X':
		c.in.Skip(size)
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
	kind, ok, err := pg.ReadStart(&c.in, c.f.limits.Packet)
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
	c.f.loop.Unset(c.timer)
	c.say(pg.Welcome(nil))
	return true
}

// query takes a simple query: a command for the core, or something that the front answers itself.
func (c *conn) query(size int) {
	const head = 5
	st, err := pg.Parse(&c.in, head, size-head, c.f.limits.Comment)
	if err != nil {
		c.bad(pg.CodeSyntax, err.Error())
		return
	}
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
	cmd := &core.Command{Group: group, Set: set, Session: st.Session, Repeat: st.Repeat,
		GiveUp: c.since + st.Wait - c.f.limits.Way, Text: c.f.blocks.New(), From: st.From, To: st.To, Front: c.f}
	if st.WriteAt > 0 {
		cmd.WriteAge = math.Max(0, c.f.core.Age(st.WriteAt))
	}
	c.in.CopyTo(&cmd.Text, head, size-head)
	s := &slot{cmd: cmd, out: c.f.blocks.New()}
	c.slots = append(c.slots, s)
	cmd.Owner = owner{c, s}
	c.f.core.Take(cmd)
}

// owner is where a command's answer goes.
type owner struct {
	c *conn
	s *slot
}

// bad answers a query that is no command.
func (c *conn) bad(code, message string) {
	c.f.count.BadInput++
	c.say(pg.Ready(pg.Error(nil, false, code, message, "")))
}

// fatal says what is wrong and ends the connection after the answers that are owed.
func (c *conn) fatal(code, message string) {
	c.f.count.BadInput++
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
	if err := loop.Write(c.fd, &c.out); err != nil {
		c.close()
		return
	}
	c.progress(c.out.Len() < owed)
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

// part ends the connection between commands: closing on unread bytes would reset an answer just written,
// so the client is left to close.
func (c *conn) part() {
	c.state = parting
	c.in.Free()
	loop.EndSending(c.fd)
	c.f.loop.Set(c.timer, c.f.loop.Now()+c.f.limits.Farewell)
}

// close ends the connection; the commands in hand have lost their client.
func (c *conn) close() {
	if c.state == closed {
		return
	}
	c.state = closed
	if c.place != nil {
		c.f.idle.Remove(c.place)
		c.place = nil
	}
	delete(c.f.conns, c)
	c.f.loop.Unset(c.timer)
	c.f.loop.Close(c.fd)
	c.in.Free()
	c.out.Free()
	for _, s := range c.slots {
		if s.cmd != nil && !s.own {
			c.f.core.Left(s.cmd)
		}
		s.out.Free()
	}
	c.slots = nil
}
