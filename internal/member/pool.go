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
	loop        loop.Wire
	limits      *site.Limits
	blocks      *buffer.Pool
	results     ResultHandler
	counters    *count.Counters
	endpoints   []endpoint
	connections int
}

type endpoint struct {
	address    netip.AddrPort
	idle       []*conn // the one used last comes last
	generation int     // how many members the row had before
}

// New returns a Pool without any.
func New(l loop.Wire, limits *site.Limits, blocks *buffer.Pool, sink ResultHandler, c *count.Counters) *Pool {
	return &Pool{loop: l, limits: limits, blocks: blocks, results: sink, counters: c}
}

// ConnectionCount is the number of connections.
func (m *Pool) ConnectionCount() int { return m.connections }

// EndpointRows is the number of rows, those that were forgotten included.
func (m *Pool) EndpointRows() int { return len(m.endpoints) }

// SetAddress sets a member's address. Connections to an earlier one take nothing new; none are kept to a
// member that is gone.
func (m *Pool) SetAddress(node int, at netip.AddrPort, gone bool) {
	for len(m.endpoints) <= node {
		m.endpoints = append(m.endpoints, endpoint{})
	}
	h := &m.endpoints[node]
	if gone || h.address != at {
		h.closeIdle()
	}
	if at.IsValid() {
		h.address = at
	}
}

// Release empties a member's row, which another member may get: connections that are still busy end with what
// they carry.
func (m *Pool) Release(node int) {
	m.endpoints[node].closeIdle()
	m.endpoints[node] = endpoint{generation: m.endpoints[node].generation + 1}
}

// closeIdle closes the idle connections.
func (h *endpoint) closeIdle() {
	for len(h.idle) > 0 {
		h.idle[len(h.idle)-1].close()
	}
}

// acquire finds the standing connection that was used last and has rested, or dials. Those that have ended or hold
// bytes that nobody asked for are dropped, since what is written to them may count as run, or be answered with
// what belongs to the command before. Either may be on its way when an answer has just come: hence the rest.
func (m *Pool) acquire(node int) *conn {
	h, now := &m.endpoints[node], m.loop.Now()
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i]
		if now-c.since < m.limits.Durations.ReuseDelay {
			continue
		}
		if c.pool.loop.Quiet(c.fd) {
			h.idle = append(h.idle[:i], h.idle[i+1:]...)
			return c
		}
		c.closeUnsolicited()
	}
	return m.dial(node)
}

func (m *Pool) dial(node int) *conn {
	at := m.endpoints[node].address
	if !at.IsValid() || m.connections >= m.limits.Counts.BackendConnections && m.loop.Open() >= m.limits.Counts.SharedDescriptors && !m.closeLongestIdle() {
		return nil
	}
	m.counters.BackendConnects++
	fd, err := m.loop.Dial(at)
	if err != nil {
		m.counters.BackendConnectFailures++
		return nil
	}
	c := &conn{
		pool: m, endpoint: node, generation: m.endpoints[node].generation, address: at, fd: fd, input: m.blocks.New(), output: m.blocks.New(),
		answer: pg.Answer{Row: m.blocks.New()},
	}
	c.timer = loop.NewTimer(c.timerExpired)
	if err := m.loop.Add(fd, c, true, true); err != nil {
		m.loop.Discard(fd)
		return nil
	}
	m.connections++
	return c
}

// CloseSurplus closes an idle connection if members hold more than their own descriptors.
func (m *Pool) CloseSurplus() bool {
	return m.connections > m.limits.Counts.BackendConnections && m.closeLongestIdle()
}

// closeLongestIdle closes the longest idle connection to make room for a new one, and says whether there was one.
func (m *Pool) closeLongestIdle() bool {
	var oldest *conn
	for i := range m.endpoints {
		if s := m.endpoints[i].idle; len(s) > 0 && (oldest == nil || s[0].since < oldest.since) {
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
	for i := range m.endpoints {
		m.endpoints[i].closeIdle()
	}
}
