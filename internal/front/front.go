// Package front serves clients over PostgreSQL's wire protocol. It takes commands in for the core and
// gives their answers back in the order of the commands; it decides nothing.
package front

import (
	"cmp"
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
	"stoatdale.example/stoatdale/internal/router"
	"stoatdale.example/stoatdale/internal/site"
)

// Core is what a front needs of the core.
type Core interface {
	Set(cluster int) (int, bool)
	Open(name string) bool
	Take(c *core.Command)
	Left(cs []*core.Command) // the client of these has gone
	MakeRoom() bool
	Age(unix float64) float64
}

// Front is a listener and its clients.
type Front struct {
	At     netip.AddrPort // where it listens
	loop   loop.ListenWire
	limits *site.Limits
	blocks *buffer.Pool
	core   Core
	count  *count.Counters
	log    zerolog.Logger
	groups map[string]int
	told   *site.Settings

	listener int // -1: closed
	resume   *loop.Timer
	conns    map[*conn]bool
	// Conns that may make room, in the order in which they do, and in each list the one that is there for the
	// longest first: ended ones, those that never asked, those between commands.
	parting, mute, idle list.List
	waiting             []*conn // not read for want of buffers
	more                []*conn // with messages left for the next turn
	// The end: it stops listening, and when the last call is over nothing more is read.
	ending, over bool
	lastCall     float64 // when that is; 0: not told to end
	end          *loop.Timer
}

// Listen opens a front on one address.
func Listen(at netip.AddrPort, l loop.ListenWire, limits *site.Limits, blocks *buffer.Pool, o Core,
	told *site.Settings, c *count.Counters, log zerolog.Logger) (*Front, error) {
	f := &Front{loop: l, limits: limits, blocks: blocks, core: o, count: c, log: log, groups: map[string]int{},
		told: told, conns: map[*conn]bool{}}
	f.Regroup()
	f.resume = loop.NewTimer(func() { f.listen(true) })
	f.end = loop.NewTimer(f.endOn)
	var err error
	if f.listener, err = l.Listen(at, limits.Counts.ListenBacklog); err != nil {
		return nil, err
	}
	if f.At, err = l.Bound(f.listener); err != nil {
		return nil, err
	}
	return f, l.Add(f.listener, f, true, false)
}

// Regroup takes the command groups' names from the settings as they are now.
func (f *Front) Regroup() {
	clear(f.groups)
	for i, name := range f.told.GroupNames {
		f.groups[name] = i
	}
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
func (f *Front) Ready(bool, bool) { f.accept(f.limits.Counts.AcceptsPerTurn) }

// accept takes connections in. Where descriptors run out a client that has nothing in hand makes room; with
// none the listener rests, since it would stay ready and spin the loop.
func (f *Front) accept(most int) {
	for range most {
		many, all := len(f.conns) >= f.limits.Counts.ClientConnections, f.loop.Open() >= f.limits.Counts.SharedDescriptors
		if (many || all) && !f.loop.Waiting(f.listener) {
			return
		}
		if (many || all && !f.core.MakeRoom()) && !f.shed() {
			f.rest()
			return
		}
		fd, ok, err := f.loop.Accept(f.listener)
		if err != nil {
			f.log.Warn().Err(err).Msg("a client could not be taken in")
			f.shed()
			f.rest()
			return
		}
		if !ok {
			return
		}
		c := &conn{f: f, fd: fd, in: f.blocks.New(), out: f.blocks.New(), born: f.loop.Now()}
		c.timer = loop.NewTimer(c.due)
		if err := f.loop.Add(fd, c, true, false); err != nil {
			f.loop.Discard(fd)
			return
		}
		f.count.Accepted++
		f.conns[c] = true
		if f.loop.Left(fd) { // it waited to be accepted for longer than it waits for an answer: what it asked is not read
			c.close()
			continue
		}
		c.read()
	}
}

func (f *Front) rest() {
	f.listen(false)
	f.loop.Set(f.resume, f.loop.Now()+f.limits.Durations.ShedGrace)
}

// shed makes room by one connection: one that was ended, or has not asked for anything since it came, before one
// that has been between commands for the longest. Each is spared for a moment, and so is one that has sent
// something that was not read yet.
func (f *Front) shed() bool {
	if e := f.parting.Front(); e != nil {
		e.Value.(*conn).close()
		return true
	}
	return f.shedFrom(&f.mute) || f.shedFrom(&f.idle)
}

func (f *Front) shedFrom(l *list.List) bool {
	for e := l.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if f.loop.Now()-c.queuedAt < f.limits.Durations.ShedGrace {
			return false
		}
		if f.loop.Quiet(c.fd) {
			f.count.Shed++
			c.close()
			return true
		}
	}
	return false
}

// Refresh goes on with messages that were left over, and reads on where buffers were scarce. It says whether
// messages are left again, so that the loop should not wait.
func (f *Front) Refresh() bool {
	again := f.more
	f.more = nil
	for _, c := range again {
		c.left = false
		if c.state != closed {
			c.step()
		}
	}
	if len(f.waiting) > 0 && !f.blocks.Scarce() {
		again, f.waiting = f.waiting, nil
		for _, c := range again {
			c.paused = false
			if c.state != closed {
				c.step()
			}
		}
	}
	return len(f.more) > 0
}

// End stops listening once what waits to be accepted is taken in, and ends connections between commands. Who came
// late, or is in the middle of a message, has until the last call to say what it came for.
func (f *Front) End() {
	if f.lastCall > 0 {
		return
	}
	f.lastCall = f.loop.Now() + f.limits.Durations.DrainDeadline
	f.endOn()
}

// endOn goes on with the end. Where all descriptors are taken those that are spared make room in a moment: a
// listener that is closed resets whom it has not accepted.
func (f *Front) endOn() {
	now := f.loop.Now()
	if !f.ending {
		f.accept(f.limits.Counts.ListenBacklog)
		if f.loop.Waiting(f.listener) && now < f.lastCall {
			f.loop.Set(f.end, math.Min(now+f.limits.Durations.ShedGrace, f.lastCall))
			return
		}
		f.ending = true
		f.loop.Unset(f.resume)
		f.loop.Close(f.listener)
		f.listener = -1
	}
	if f.over = now >= f.lastCall; !f.over && len(f.conns) > 0 {
		f.loop.Set(f.end, f.lastCall)
	}
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

// phase is what a connection's time is counted for.
type phase int

const (
	unset   phase = iota
	busy          // only the commands' own time counts
	asking        // it has not asked for anything yet
	amid          // it is in the middle of a message
	taking        // it has an answer to take
	between       // it has nothing in hand
	leaving
)

// conn is one client.
type conn struct {
	f        *Front
	fd       int
	state    state
	in, out  buffer.Chain
	slots    []*slot
	last     bool // end after the answers that are owed
	asked    bool // a whole query came
	faults   int  // queries that were no command
	away     int  // bytes that were read away
	queue    *list.List
	place    *list.Element // in the queue of those that may make room
	queuedAt float64
	paused   bool
	left     bool    // has messages left for the next turn
	held     bool    // not read at present
	since    float64 // the earliest time at which what was read last may have come
	born     float64
	phase    phase
	timer    *loop.Timer
}

// Left implements loop.Leaver. What the client asked for and has not heard, or what was not read of it, nobody waits for.
func (c *conn) Left() { c.close() }

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
	most := c.f.limits.Sizes.ReadPerTurn
	if c.f.blocks.Scarce() && c.state != parting {
		if most = c.f.limits.Sizes.BufferBlock; c.in.Len() >= most { // short commands are taken all the same
			c.pause()
			return
		}
	}
	if !c.held { // what comes after it was left unread has waited since then
		c.since = c.f.loop.Since()
	}
	c.held = false
	got, err := c.f.loop.Read(c.fd, &c.in, most)
	if c.state == parting {
		c.in.Free()
		if c.away += got; c.away > c.f.limits.Sizes.DiscardedInput {
			c.close()
			return
		}
	}
	c.step()
	if err != nil && c.state != closed {
		c.close()
	}
}

// step does what can be done now: takes messages, so many in a turn that others' turns come, and sets what is
// waited for.
func (c *conn) step() {
	for n := 0; c.state != parting && c.state != closed && !c.last && !c.left && !c.full(); n++ {
		if n == c.f.limits.Counts.MessagesPerTurn {
			c.left = true
			c.f.more = append(c.f.more, c)
			break
		}
		if more := c.message(); !more {
			break
		}
		c.phase = unset // the next message has its own time
	}
	if c.state == closed {
		return
	}
	if len(c.slots) == 0 && c.out.Len() == 0 && c.state != parting {
		switch {
		case c.last:
			c.part()
		case c.f.over && !c.left && (!c.asked || c.in.Len() > 0): // it was about to ask: elsewhere it may
			c.farewell(pg.CodeEnding, "the router is ending")
			c.step()
			return
		case c.f.over && !c.left,
			// What waits to be read was asked in time: it is read next.
			c.f.ending && c.asked && c.in.Len() == 0 && c.f.loop.Quiet(c.fd):
			c.part()
		}
	}
	c.watch()
}

// full says that the connection owes so much that no more is taken from it.
func (c *conn) full() bool {
	return len(c.slots) >= c.f.limits.Counts.PipelinedCommands || c.out.Len() > c.f.limits.Sizes.UnsentAnswers
}

// watch sets the descriptor, the timer and the place among those that may make room by what the connection
// does.
func (c *conn) watch() {
	reads := !c.paused && !c.left && !c.last && !c.full() && !c.f.over || c.state == parting
	if !reads && !c.held {
		c.held, c.since = true, c.f.loop.Now()
	}
	c.f.loop.Want(c.fd, reads, c.out.Len() > 0)
	c.enter(c.doing())
}

// doing is the phase that the connection is in.
func (c *conn) doing() phase {
	switch {
	case c.state == parting:
		return leaving
	case c.out.Len() > 0:
		return taking
	case len(c.slots) > 0 || c.left || c.last:
		return busy
	case !c.asked:
		return asking
	case c.in.Len() > 0:
		return amid
	}
	return between
}

// enter begins a phase: each has its time and its place among those that may make room. What comes meanwhile
// renews no time, or a client that drips its bytes would stay for good; only answers may be taken slowly.
func (c *conn) enter(p phase) {
	if p == c.phase {
		return
	}
	c.phase = p
	l, now := c.f.limits, c.f.loop.Now()
	var queue *list.List
	until := math.Inf(1)
	switch p {
	case asking:
		queue, until = &c.f.mute, c.born+l.Durations.FirstQueryTimeout
	case amid:
		until = now + l.Durations.MessageTimeout
	case taking:
		until = now + l.Durations.WriteStallTimeout
	case between:
		queue, until = &c.f.idle, now+l.Durations.IdleTimeout
	case leaving:
		queue, until = &c.f.parting, now+l.Durations.CloseLinger
	}
	if queue != c.queue || queue == &c.f.idle {
		c.unqueue()
		if queue != nil {
			c.queue, c.place, c.queuedAt = queue, queue.PushBack(c), now
		}
	}
	c.f.loop.Unset(c.timer)
	if !math.IsInf(until, 1) {
		c.f.loop.Set(c.timer, until)
	}
	// Clients that ask once and stay use up what their side may hold open long before descriptors run out here.
	if p == between && c.f.idle.Len() > l.Counts.IdleClients {
		c.f.shedFrom(&c.f.idle)
	}
}

func (c *conn) unqueue() {
	if c.queue != nil {
		c.queue.Remove(c.place)
		c.queue, c.place = nil, nil
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

// due ends a client whose time is over: with an error if it began a message and has not finished it.
func (c *conn) due() {
	switch {
	case (c.phase == asking || c.phase == amid || c.phase == between) && !c.paused && !c.f.loop.Quiet(c.fd):
		c.f.loop.Set(c.timer, c.f.loop.Now()+c.f.limits.Durations.MinBackoff) // it is asking just now
	case (c.phase == asking || c.phase == amid) && c.in.Len() > 0:
		c.f.count.CutShort++
		c.fatal(pg.CodeProtocol, "a message was not whole in time")
		c.step()
	default:
		switch c.phase {
		case asking:
			c.f.count.NeverAsked++
		case between:
			c.f.count.LongIdle++
		case taking:
			c.f.count.Stalled++
		}
		c.close()
	}
}

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

// owner is where a command's answer goes.
type owner struct {
	c *conn
	s *slot
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

// part ends the connection between commands: closing on unread bytes would reset an answer just written,
// so the client is left to close, and what it still sends is read away for a while.
func (c *conn) part() {
	c.state = parting
	c.in.Free()
	c.f.loop.EndSending(c.fd)
}

// close ends the connection; the commands in hand have lost their client.
func (c *conn) close() {
	if c.state == closed {
		return
	}
	c.state = closed
	c.unqueue()
	if delete(c.f.conns, c); c.f.ending && len(c.f.conns) == 0 {
		c.f.loop.Unset(c.f.end)
	}
	c.f.loop.Unset(c.timer)
	c.f.loop.Close(c.fd)
	c.in.Free()
	c.out.Free()
	var left []*core.Command
	for _, s := range c.slots {
		if s.cmd != nil && !s.own {
			left = append(left, s.cmd)
		}
		s.out.Free()
	}
	if len(left) > 0 {
		c.f.core.Left(left)
	}
	c.slots = nil
}
