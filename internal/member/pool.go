// Package member keeps the connections to the members: it sends dispatches and probes over them and tells
// how each ended. It sends nothing twice and decides nothing.
package member

import (
	"net/netip"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/count"
	"stoatdale.example/stoatdale/internal/loop"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
	"stoatdale.example/stoatdale/internal/site"
)

// ResultHandler is told how dispatches and probes ended, each once. Its calls must not call back.
type ResultHandler interface {
	// AttemptAttemptEnded gives an attempt's outcome; the answer's row, if it was served, is the receiver's to free.
	AttemptEnded(d *Attempt, ending router.Result, took float64, answer *pg.Answer)
	HealthChecked(node int, ending router.Result, took float64, report string)
}

// Pool is all connections to members. Nodes are the module's small indices.
type Pool struct {
	loop   loop.Wire
	limits *site.Limits
	blocks *buffer.Pool
	sink   ResultHandler
	count  *count.Counters
	hosts  []host
	open   int
}

type host struct {
	at   netip.AddrPort
	idle []*conn // the one used last comes last
	life int     // how many members the row had before
}

// New returns a Pool without any.
func New(l loop.Wire, limits *site.Limits, blocks *buffer.Pool, sink ResultHandler, c *count.Counters) *Pool {
	return &Pool{loop: l, limits: limits, blocks: blocks, sink: sink, count: c}
}

// ConnectionCount is the number of connections.
func (m *Pool) ConnectionCount() int { return m.open }

// EndpointRows is the number of rows, those that were forgotten included.
func (m *Pool) EndpointRows() int { return len(m.hosts) }

// SetAddress sets a member's address. Connections to an earlier one take nothing new; none are kept to a
// member that is gone.
func (m *Pool) SetAddress(node int, at netip.AddrPort, gone bool) {
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

// Release empties a member's row, which another member may get: connections that are still busy end with what
// they carry.
func (m *Pool) Release(node int) {
	m.hosts[node].hangUp()
	m.hosts[node] = host{life: m.hosts[node].life + 1}
}

// hangUp closes the idle connections.
func (h *host) hangUp() {
	for len(h.idle) > 0 {
		h.idle[len(h.idle)-1].close()
	}
}

// take finds the standing connection that was used last and has rested, or dials. Those that have ended or hold
// bytes that nobody asked for are dropped, since what is written to them may count as run, or be answered with
// what belongs to the command before. Either may be on its way when an answer has just come: hence the rest.
func (m *Pool) take(node int) *conn {
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

func (m *Pool) dial(node int) *conn {
	at := m.hosts[node].at
	if !at.IsValid() || m.open >= m.limits.Counts.BackendConnections && m.loop.Open() >= m.limits.Counts.SharedDescriptors && !m.shed() {
		return nil
	}
	m.count.BackendConnects++
	fd, err := m.loop.Dial(at)
	if err != nil {
		m.count.BackendConnectFailures++
		return nil
	}
	c := &conn{
		m: m, node: node, life: m.hosts[node].life, at: at, fd: fd, in: m.blocks.New(), out: m.blocks.New(),
		answer: pg.Answer{Row: m.blocks.New()},
	}
	c.timer = loop.NewTimer(c.due)
	if err := m.loop.Add(fd, c, true, true); err != nil {
		m.loop.Discard(fd)
		return nil
	}
	m.open++
	return c
}

// CloseSurplus closes an idle connection if members hold more than their own descriptors.
func (m *Pool) CloseSurplus() bool { return m.open > m.limits.Counts.BackendConnections && m.shed() }

// shed closes the longest idle connection to make room for a new one, and says whether there was one.
func (m *Pool) shed() bool {
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

// CloseIdle ends all idle connections.
func (m *Pool) CloseIdle() {
	for i := range m.hosts {
		m.hosts[i].hangUp()
	}
}
