// Package backend manages the connections to the database servers (backends). It sends attempts and health checks over
// them and reports the result of each. It sends each attempt and each health check only once, and takes no routing
// decisions.
//
// A Pool belongs to one event loop; none of its methods may be called from another goroutine.
package backend

import (
	"net/netip"
	"slices"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/metrics"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// ResultHandler receives the result of every attempt and health check exactly once. Its methods must not call the Pool.
// Elapsed times are in seconds.
type ResultHandler interface {
	// AttemptEnded receives the result of an attempt. The answer is nil unless the backend sent a complete one; the
	// handler must free the answer's Row.
	AttemptEnded(attempt *Attempt, result router.Result, elapsed float64, answer *pg.Answer)
	// MaySend reports whether the attempt may still be sent. The Pool calls it just before it writes the attempt's
	// statement or the rest of it, and otherwise ends the attempt as router.NeverSent.
	MaySend(attempt *Attempt) bool
	// HealthChecked receives the result of a health check. The report is empty unless the result is router.Answered.
	HealthChecked(endpoint int, result router.Result, elapsed float64, report string)
}

// Pool holds all connections to backends. Its methods identify an endpoint by its index in the router.
type Pool struct {
	loop        eventloop.Network
	limits      *config.Limits
	blocks      *buffer.Pool
	results     ResultHandler
	counters    *metrics.Counters
	endpoints   []endpoint // by index
	connections int        // number of open connections, including those being established
	suspended   []*conn    // connections that are not read because the buffers are exhausted
}

// endpoint is one row of the endpoint list.
type endpoint struct {
	address    netip.AddrPort // invalid while the address is unknown
	idle       []*conn        // ordered by time of last use; the most recently used connection is last
	connecting []*conn        // connections being opened, each for one attempt or health check
	generation int            // number of times that the row was released for reuse by another endpoint

	connections int // number of open connections, including those being established
}

// New returns a Pool without connections that reports results to the given handler.
func New(l eventloop.Network, limits *config.Limits, blocks *buffer.Pool, results ResultHandler, counters *metrics.Counters) *Pool {
	return &Pool{loop: l, limits: limits, blocks: blocks, results: results, counters: counters}
}

// ConnectionCount returns the number of connections, including those that are being opened.
func (p *Pool) ConnectionCount() int { return p.connections }

// EndpointRows returns the number of endpoint rows, including released ones.
func (p *Pool) EndpointRows() int { return len(p.endpoints) }

// SetAddress sets the address of an endpoint, adding a row for it if needed. An invalid address leaves the known one in
// place. If the address differs from the known one or the endpoint is gone, SetAddress closes the idle connections. Busy
// connections to an earlier address are closed once they have finished their query.
func (p *Pool) SetAddress(index int, address netip.AddrPort, gone bool) {
	for len(p.endpoints) <= index {
		p.endpoints = append(p.endpoints, endpoint{})
	}
	e := &p.endpoints[index]
	if gone || e.address != address {
		e.closeIdle()
	}
	if address.IsValid() {
		e.address = address
	}
}

// AbortConnecting closes the connections to an endpoint that are still being opened, because the endpoint must not receive
// anything new. Their attempts and health checks end as router.NeverSent.
func (p *Pool) AbortConnecting(index int) {
	for _, c := range slices.Clone(p.endpoints[index].connecting) {
		c.fail(router.NeverSent)
	}
}

// Release clears an endpoint's row so that another endpoint can use it. It closes idle connections; busy ones finish their
// query and are closed then.
func (p *Pool) Release(index int) {
	e := &p.endpoints[index]
	e.closeIdle()
	*e = endpoint{generation: e.generation + 1, connecting: e.connecting, connections: e.connections}
}

// ResumeReading reads again from the connections that are not read because the buffers were exhausted, if they are not any
// more. It must be called once per turn.
func (p *Pool) ResumeReading() {
	if len(p.suspended) == 0 || p.blocks.Exhausted() {
		return
	}
	suspended := p.suspended
	p.suspended = nil
	for _, c := range suspended {
		c.readSuspended = false
		if c.state != stateClosed {
			c.updateInterest()
		}
	}
}

// CloseSurplus closes the connection that has been idle longest if there are more connections to backends than descriptors
// reserved for them. It reports whether it closed one.
func (p *Pool) CloseSurplus() bool {
	return p.connections > p.limits.Counts.BackendConnections && p.closeLongestIdle()
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	for i := range p.endpoints {
		p.endpoints[i].closeIdle()
	}
}

// closeIdle closes the endpoint's idle connections. Closing a connection removes it from the idle list.
func (e *endpoint) closeIdle() {
	for len(e.idle) > 0 {
		e.idle[len(e.idle)-1].close()
	}
}

// removeIdle removes a connection from the list of idle ones.
func (e *endpoint) removeIdle(c *conn) { e.idle = without(e.idle, c) }

// removeConnecting removes a connection from the list of those being opened.
func (e *endpoint) removeConnecting(c *conn) { e.connecting = without(e.connecting, c) }

// without removes c from the list, if it is there, and returns the list.
func without(list []*conn, c *conn) []*conn {
	if i := slices.Index(list, c); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// acquire returns the most recently used connection that has been idle for at least the reuse delay, or else a new one.
// If it cannot open one, it returns nil and the result to report: router.ConnectFailed, or router.NeverSent if the cause
// has nothing to do with the endpoint.
//
// acquire closes an idle connection that the backend has closed or has sent data on. A statement written to such a
// connection could count as possibly run although it was never received, or could be answered with the data, which belong
// to an earlier command. Just after an answer, such data or the end of the connection may still be on their way; the
// reuse delay leaves time for them to arrive.
func (p *Pool) acquire(index int) (*conn, router.Result) {
	e := &p.endpoints[index]
	now := p.loop.Now()
	for i := len(e.idle) - 1; i >= 0; i-- {
		c := e.idle[i]
		if now-c.idleSince < p.limits.Durations.ReuseDelay {
			continue
		}
		if p.loop.NothingToRead(c.fd) {
			e.removeIdle(c)
			return c, router.NeverSent
		}
		c.closeUnsolicited()
	}
	return p.dial(index)
}

// dial starts to open a connection. It returns nil and the result to report if the endpoint has no address, no descriptor
// is free, or a system call fails.
func (p *Pool) dial(index int) (*conn, router.Result) {
	e := &p.endpoints[index]
	if !e.address.IsValid() {
		return nil, router.ConnectFailed
	}
	if !p.hasDescriptor(e) {
		return nil, router.NeverSent
	}
	p.counters.BackendConnects++
	fd, err := p.loop.Dial(e.address)
	if err != nil {
		p.counters.BackendConnectFailures++
		if eventloop.IsLocalFailure(err) {
			return nil, router.NeverSent
		}
		return nil, router.ConnectFailed
	}
	c := newConn(p, index, fd)
	if err := p.loop.Add(fd, c, true, true); err != nil {
		p.loop.CloseUnwatched(fd)
		return nil, router.NeverSent
	}
	p.connections++
	e.connections++
	e.connecting = append(e.connecting, c)
	return c, router.NeverSent
}

// hasDescriptor reports whether a descriptor is free for a new connection to an endpoint: one of those reserved for backends
// or of those shared with clients. If there is none, it closes the connection that has been idle longest to free its
// descriptor. An endpoint that has most of the connections leaves some descriptors, and the idle connections, to the others:
// if it hangs, attempts to it would otherwise take all.
func (p *Pool) hasDescriptor(e *endpoint) bool {
	if e.connections > p.connections/2 {
		spare := p.limits.Counts.SpareConnections
		return p.connections < p.limits.Counts.BackendConnections-spare ||
			p.loop.OpenDescriptors() < p.limits.Counts.SharedDescriptors-spare
	}
	return p.connections < p.limits.Counts.BackendConnections ||
		p.loop.OpenDescriptors() < p.limits.Counts.SharedDescriptors ||
		p.closeLongestIdle()
}

// closeLongestIdle closes the connection that has been idle longest, and reports whether there was an idle one.
func (p *Pool) closeLongestIdle() bool {
	var oldest *conn
	for i := range p.endpoints {
		idle := p.endpoints[i].idle
		if len(idle) > 0 && (oldest == nil || idle[0].idleSince < oldest.idleSince) {
			oldest = idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close()
	return true
}
