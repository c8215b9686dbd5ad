// Package member keeps the connections to the members: it sends dispatches and probes over them and tells
// how each ended. It sends nothing twice and decides nothing.
package member

import (
	"net/netip"
	"strconv"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/count"
	"stoatdale.example/stoatdale/internal/loop"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
	"stoatdale.example/stoatdale/internal/site"
)

// Dispatch is one sending of a command to a member.
type Dispatch struct {
	ID       uint32
	Leg      int
	Node     int
	Text     *buffer.Chain // the statement, final zero included
	From, To int           // where the digits of the time to wait stand in it
	Until    float64       // when the router stops waiting

	conn *conn
	sent float64
}

// Sink is told how dispatches and probes ended, each once. Its calls must not call back.
type Sink interface {
	// Ended gives a dispatch's outcome; the answer's row, if it was served, is the receiver's to free.
	Ended(d *Dispatch, ending router.Result, took float64, answer *pg.Answer)
	Probed(node int, ending router.Result, took float64, report string)
}

// Members is all connections to members. Nodes are the module's small indices.
type Members struct {
	loop   loop.Wire
	limits *site.Limits
	blocks *buffer.Pool
	sink   Sink
	count  *count.Counters
	hosts  []host
	open   int
}

type host struct {
	at   netip.AddrPort
	idle []*conn // the one used last comes last
	life int     // how many members the row had before
}

// New returns Members without any.
func New(l loop.Wire, limits *site.Limits, blocks *buffer.Pool, sink Sink, c *count.Counters) *Members {
	return &Members{loop: l, limits: limits, blocks: blocks, sink: sink, count: c}
}

// Open is the number of connections.
func (m *Members) Open() int { return m.open }

// Hosts is the number of rows, those that were forgotten included.
func (m *Members) Hosts() int { return len(m.hosts) }

// Forget empties a member's row, which another member may get: connections that are still busy end with what
// they carry.
func (m *Members) Forget(node int) {
	m.hosts[node].hangUp()
	m.hosts[node] = host{life: m.hosts[node].life + 1}
}

// Place sets a member's address. Connections to an earlier one take nothing new; none are kept to a
// member that is gone.
func (m *Members) Place(node int, at netip.AddrPort, gone bool) {
	for len(m.hosts) <= node {
		m.hosts = append(m.hosts, host{})
	}
	h := &m.hosts[node]
	if gone || h.at != at {
		h.hangUp()
	}
	if at.IsValid() {
		h.at = at
	}
}

// hangUp closes the idle connections.
func (h *host) hangUp() {
	for len(h.idle) > 0 {
		h.idle[len(h.idle)-1].close()
	}
}

// states of a connection.
type state int

const (
	dialling state = iota
	greeting       // the start-up packet is sent
	idle
	sending
	waiting // the last byte is written
	closed
)

// conn is one connection: it carries one dispatch or probe at a time.
type conn struct {
	m        *Members
	node     int
	life     int // the row's when it was dialled
	at       netip.AddrPort
	fd       int
	state    state
	in, out  buffer.Chain
	answer   pg.Answer
	dispatch *Dispatch
	probe    bool
	since    float64 // when the probe was asked for
	timer    *loop.Timer
}

// Send carries a dispatch out: over a standing connection, or a new one.
func (m *Members) Send(d *Dispatch) {
	m.count.Dispatches++
	d.sent = m.loop.Now()
	c := m.take(d.Node)
	if c == nil {
		m.sink.Ended(d, router.ConnectFailed, 0, nil)
		return
	}
	d.conn, c.dispatch = c, d
	c.begin()
}

// Probe asks a member for its report.
func (m *Members) Probe(node int) {
	m.count.Probes++
	c := m.take(node)
	if c == nil {
		m.count.ProbesFailed++
		m.sink.Probed(node, router.ConnectFailed, 0, "")
		return
	}
	c.probe, c.since = true, m.loop.Now()
	c.begin()
}

// Recall gives a dispatch up: its connection is closed at once.
func (m *Members) Recall(d *Dispatch) {
	if d.conn != nil {
		m.count.Recalls++
		d.conn.end(router.Canceled)
	}
}

// Unsent says that a dispatch's last byte has not been written.
func (d *Dispatch) Unsent() bool { return d.conn == nil || d.conn.state != waiting }

// take finds the standing connection that was used last and has rested, or dials. Those that have ended or hold
// bytes that nobody asked for are dropped, since what is written to them may count as run, or be answered with
// what belongs to the command before. Either may be on its way when an answer has just come: hence the rest.
func (m *Members) take(node int) *conn {
	h, now := &m.hosts[node], m.loop.Now()
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i]
		if now-c.since < m.limits.Durations.ReuseDelay {
			continue
		}
		if c.m.loop.Quiet(c.fd) {
			h.idle = append(h.idle[:i], h.idle[i+1:]...)
			return c
		}
		c.unasked()
	}
	return m.dial(node)
}

func (m *Members) dial(node int) *conn {
	at := m.hosts[node].at
	if !at.IsValid() || m.open >= m.limits.Counts.BackendConnections && m.loop.Open() >= m.limits.Counts.SharedDescriptors && !m.shed() {
		return nil
	}
	m.count.Dialled++
	fd, err := m.loop.Dial(at)
	if err != nil {
		m.count.DialsFailed++
		return nil
	}
	c := &conn{m: m, node: node, life: m.hosts[node].life, at: at, fd: fd, in: m.blocks.New(), out: m.blocks.New(),
		answer: pg.Answer{Row: m.blocks.New()}}
	c.timer = loop.NewTimer(c.due)
	if err := m.loop.Add(fd, c, true, true); err != nil {
		m.loop.Discard(fd)
		return nil
	}
	m.open++
	return c
}

// MakeRoom closes an idle connection if members hold more than their own descriptors.
func (m *Members) MakeRoom() bool { return m.open > m.limits.Counts.BackendConnections && m.shed() }

// shed closes the longest idle connection to make room for a new one, and says whether there was one.
func (m *Members) shed() bool {
	var oldest *conn
	for i := range m.hosts {
		if s := m.hosts[i].idle; len(s) > 0 && (oldest == nil || s[0].since < oldest.since) {
			oldest = s[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close()
	return true
}

// begin sends what a connection was taken for, or sees that it comes up first.
func (c *conn) begin() {
	now, l := c.m.loop.Now(), c.m.limits
	until := c.since + l.Durations.HealthCheckTimeout
	if c.dispatch != nil {
		until = c.dispatch.Until
	}
	if c.state != idle {
		c.m.loop.Set(c.timer, min(until, now+l.Durations.ConnectTimeout))
		return
	}
	c.m.loop.Set(c.timer, until)
	c.state = sending
	if c.probe {
		c.out.Write(pg.Query(nil, "SHOW health"))
	} else {
		c.write(now)
	}
	c.flush()
}

// write puts the statement out as it came but for the time to wait, which is what is left of it.
func (c *conn) write(now float64) {
	d := c.dispatch
	left := strconv.Itoa(max(1, int((d.Until-now)*1000)))
	n := d.Text.Len()
	c.out.Write(pg.QueryHead(nil, n-(d.To-d.From)+len(left)))
	d.Text.CopyTo(&c.out, 0, d.From)
	c.out.Write([]byte(left))
	d.Text.CopyTo(&c.out, d.To, n-d.To)
}

// flush writes on. Whether a dispatch may have run goes by its last byte.
func (c *conn) flush() {
	if err := c.m.loop.Write(c.fd, &c.out); err != nil {
		c.end(router.ConnectionLost)
		return
	}
	if c.out.Len() == 0 && c.state == sending {
		c.state = waiting
	}
	c.m.loop.Want(c.fd, true, c.out.Len() > 0)
}

// Ready implements loop.Handler.
func (c *conn) Ready(readable, writable bool) {
	if c.state == dialling {
		if err := c.m.loop.Dialled(c.fd); err != nil {
			c.end(router.ConnectFailed)
			return
		}
		c.state = greeting
		c.out.Write(pg.Hello(nil))
	}
	if c.state == idle { // an idle member says nothing but that it ends the connection
		c.unasked()
		return
	}
	if writable && c.out.Len() > 0 {
		c.flush()
	}
	if readable && c.state != closed {
		c.read()
	}
}

func (c *conn) read() {
	_, err := c.m.loop.Read(c.fd, &c.in, c.m.limits.Sizes.ReadPerTurn)
	done, bad := c.answer.Take(&c.in, c.m.limits.Sizes.BackendMessage, c.m.limits.Sizes.InspectedMessage)
	switch {
	case bad != nil:
		c.m.count.Spoilt++
		c.end(router.Errored)
	case done:
		c.answered(err != nil)
	case err != nil:
		c.end(router.ConnectionLost)
	}
}

// unasked closes an idle connection that has ended or brings what belongs to no command.
func (c *conn) unasked() {
	c.m.count.Unasked++
	c.close()
}

// answered takes a whole answer in.
func (c *conn) answered(ended bool) {
	now, a := c.m.loop.Now(), c.answer
	c.answer = pg.Answer{Row: c.m.blocks.New()}
	again := !ended && !a.Fatal && c.in.Len() == 0 && c.out.Len() == 0
	if c.state == greeting {
		rows := a.Row.Len() > 0
		a.Row.Free()
		switch {
		case a.Code == pg.CodeFull:
			c.end(router.Overloaded)
		case a.Code != "" || rows || !again:
			c.end(router.ConnectFailed)
		default:
			c.state = idle
			c.begin()
		}
		return
	}
	if c.state != waiting { // an answer to a question that was not yet put
		a.Row.Free()
		c.end(router.ConnectionLost)
		return
	}
	d, probe, since := c.dispatch, c.probe, c.since
	c.dispatch, c.probe = nil, false
	if again {
		c.rest(now)
	} else {
		c.close()
	}
	if probe {
		e, report := ending(&a), ""
		if e == router.Answered { // a row that an error followed is none
			report = a.Report()
		}
		a.Row.Free()
		c.probed(e, now-since, report)
		return
	}
	d.conn = nil
	c.m.sink.Ended(d, ending(&a), now-d.sent, &a)
}

// ending reads the outcome off a whole answer.
func ending(a *pg.Answer) router.Result {
	switch {
	case a.Served():
		return router.Answered
	case a.Refused(pg.CodeFull):
		return router.Overloaded
	case a.Refused(pg.CodeNotPrimary), a.Refused(pg.CodeBehind):
		return router.NotServed
	}
	return router.Errored
}

// rest keeps a connection for the next dispatch.
func (c *conn) rest(now float64) {
	h := &c.m.hosts[c.node]
	if c.at != h.at || c.life != h.life {
		c.close()
		return
	}
	c.state, c.since = idle, now
	h.idle = append(h.idle, c)
	c.m.loop.Set(c.timer, now+c.m.limits.Durations.BackendIdleTimeout)
}

// due is called when the time of what the connection does has run out.
func (c *conn) due() {
	if c.state == idle {
		c.m.count.IdleClosed++
		c.close()
		return
	}
	c.end(router.TimedOut)
}

// end closes the connection with an outcome for what it carried. Whatever ended it, nothing has run whose
// last byte was not written: only here is one told from the other.
func (c *conn) end(e router.Result) {
	if c.state != waiting && e != router.Overloaded {
		e = router.ConnectFailed
	}
	if c.state == dialling || c.state == greeting {
		c.m.count.DialsFailed++
	}
	d, probe, now := c.dispatch, c.probe, c.m.loop.Now()
	c.dispatch, c.probe = nil, false
	c.close()
	if probe {
		c.probed(e, now-c.since, "")
	}
	if d != nil {
		d.conn = nil
		c.m.sink.Ended(d, e, now-d.sent, nil)
	}
}

func (c *conn) probed(e router.Result, took float64, report string) {
	if e != router.Answered {
		c.m.count.ProbesFailed++
	}
	if c.life != c.m.hosts[c.node].life { // it speaks for nobody who is known
		return
	}
	c.m.sink.Probed(c.node, e, took, report)
}

// close ends a connection that carries nothing.
func (c *conn) close() {
	if c.state == closed {
		return
	}
	if c.state == idle {
		h := &c.m.hosts[c.node]
		for i, other := range h.idle {
			if other == c {
				h.idle = append(h.idle[:i], h.idle[i+1:]...)
				break
			}
		}
	}
	c.state = closed
	c.m.open--
	c.m.loop.Unset(c.timer)
	c.m.loop.Close(c.fd)
	c.in.Free()
	c.out.Free()
	c.answer.Row.Free()
}

// Close ends all idle connections.
func (m *Members) Close() {
	for i := range m.hosts {
		m.hosts[i].hangUp()
	}
}
