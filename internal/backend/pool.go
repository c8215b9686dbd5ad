// Package backend keeps the connections to the database servers (backends). It sends attempts and health checks over
// them and reports how each ended. It never sends anything twice and takes no routing decision.
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

// ResultHandler receives the results of attempts and health checks, each exactly once. Its methods must not call the
// Pool. Elapsed times are in seconds.
type ResultHandler interface {
	// AttemptEnded reports the result of an attempt. The answer is nil unless the backend sent a complete one; its Row
	// is the receiver's to free.
	AttemptEnded(attempt *Attempt, result router.Result, elapsed float64, answer *pg.Answer)
	// Wanted is asked just before an attempt's statement is written, or the rest of it: it reports whether the command
	// still has its client.
	Wanted(attempt *Attempt) bool
	// HealthChecked reports the result of a health check; report is empty unless the result is router.Answered.
	HealthChecked(endpoint int, result router.Result, elapsed float64, report string)
}

// Pool holds all connections to backends. Endpoints are named by the router's small indices.
type Pool struct {
	loop        eventloop.Network
	limits      *config.Limits
	blocks      *buffer.Pool
	results     ResultHandler
	counters    *metrics.Counters
	endpoints   []endpoint // by index
	connections int
}

// endpoint is one row of the endpoint list.
type endpoint struct {
	address    netip.AddrPort // invalid: not known
	idle       []*conn        // the one used last comes last
	opening    []*conn        // are being made for an attempt or a health check
	generation int            // how often the row was released to be used for another endpoint
}

// New returns an empty Pool that reports to results.
func New(l eventloop.Network, limits *config.Limits, blocks *buffer.Pool, results ResultHandler, counters *metrics.Counters) *Pool {
	return &Pool{loop: l, limits: limits, blocks: blocks, results: results, counters: counters}
}

// ConnectionCount returns the number of connections, those that are still being made included.
func (p *Pool) ConnectionCount() int { return p.connections }

// EndpointRows returns the number of endpoint rows, released ones included.
func (p *Pool) EndpointRows() int { return len(p.endpoints) }

// SetAddress sets an endpoint's address. Connections to its earlier address take nothing new, and no idle connection is
// kept to an endpoint that is gone.
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

// StopOpening ends the connections to an endpoint that are still being made: it takes nothing new any more. What they
// were made for is reported as router.NeverSent.
func (p *Pool) StopOpening(index int) {
	for _, c := range slices.Clone(p.endpoints[index].opening) {
		c.fail(router.NeverSent)
	}
}

// Release empties an endpoint's row, which another endpoint may get. Connections that are busy finish what they carry
// and are closed then.
func (p *Pool) Release(index int) {
	e := &p.endpoints[index]
	e.closeIdle()
	*e = endpoint{generation: e.generation + 1, opening: e.opening}
}

// CloseSurplus closes the connection that has been idle longest if backends hold more descriptors than are reserved for
// them, and reports whether it closed one.
func (p *Pool) CloseSurplus() bool {
	return p.connections > p.limits.Counts.BackendConnections && p.closeLongestIdle()
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	for i := range p.endpoints {
		p.endpoints[i].closeIdle()
	}
}

// closeIdle closes the endpoint's idle connections. Each removes itself from the list.
func (e *endpoint) closeIdle() {
	for len(e.idle) > 0 {
		e.idle[len(e.idle)-1].close()
	}
}

// remove takes a connection off the idle list.
func (e *endpoint) remove(c *conn) { e.idle = without(e.idle, c) }

// opened takes a connection off the list of those that are being made.
func (e *endpoint) opened(c *conn) { e.opening = without(e.opening, c) }

// without returns a list without one of its connections.
func without(list []*conn, c *conn) []*conn {
	if i := slices.Index(list, c); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// acquire returns the idle connection that was used last and has been idle for the reuse delay, or a new one; nil if
// none can be made, and why: router.ConnectFailed, or router.NeverSent if that says nothing of the endpoint. Idle connections that the backend has closed or sent data on are dropped: what is written to such a
// connection may count as run, or be answered with what belongs to the command before. Either may be under way just
// after an answer, which is why there is a reuse delay.
func (p *Pool) acquire(index int) (*conn, router.Result) {
	e := &p.endpoints[index]
	now := p.loop.Now()
	for i := len(e.idle) - 1; i >= 0; i-- {
		c := e.idle[i]
		if now-c.idleSince < p.limits.Durations.ReuseDelay {
			continue
		}
		if p.loop.NothingToRead(c.fd) {
			e.remove(c)
			return c, router.NeverSent
		}
		c.closeUnsolicited()
	}
	return p.dial(index)
}

// dial begins a connection; nil if the endpoint has no address, no descriptor is free, or the system refuses one.
func (p *Pool) dial(index int) (*conn, router.Result) {
	e := &p.endpoints[index]
	if !e.address.IsValid() {
		return nil, router.ConnectFailed
	}
	if !p.hasDescriptor() {
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
	e.opening = append(e.opening, c)
	return c, router.NeverSent
}

// hasDescriptor reports whether a connection may be opened: within the descriptors reserved for backends, within those
// shared with clients, or in place of an idle connection, which it closes.
func (p *Pool) hasDescriptor() bool {
	return p.connections < p.limits.Counts.BackendConnections ||
		p.loop.OpenDescriptors() < p.limits.Counts.SharedDescriptors ||
		p.closeLongestIdle()
}

// closeLongestIdle closes the connection that has been idle longest and reports whether there was one.
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
