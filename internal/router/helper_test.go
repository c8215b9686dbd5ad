package router

import (
	"math"
	"testing"

	"stoatdale.example/stoatdale/internal/router/rolling"
)

// Command groups of the test site, one a need.
const (
	gWrite = iota
	gCurrent
	gSession
	gBound
	gAny
)

// testSite states figures of its own; no deployment has them.
func testSite() Config {
	row := func(need Consistency) CommandGroup {
		return CommandGroup{Consistency: need, LatencyObjective: 0.5, ClientTimeout: 2, PriorityWeight: 1, IdempotencyWindow: 2}
	}
	s := Config{
		RouterCount: 1, BatchInterval: 0.005, LoadReports: true, CanCancel: true,
		HealthChecks: true, MaxAttempts: 6, ConnectTimeout: 0.25, SlowStartFloor: 0.2, SlowStart: 10, OverloadFactor: 2, OverloadWindow: 2,
		PollWindow: 8, CommandGroups: []CommandGroup{row(PrimaryOnly), row(Linearizable), row(SessionConsistent), row(BoundedStaleness), row(Eventual)},
	}
	s.CommandGroups[gWrite].Idempotency = NonIdempotent
	s.CommandGroups[gWrite].PriorityWeight = 3
	s.CommandGroups[gBound].MaxStaleness = 0.4
	return s
}

// listed is one warm, ready node of set 0.
func listed(node int) EndpointInfo {
	return EndpointInfo{Index: node, State: Ready, StartedAt: math.Inf(-1)}
}

// testRouter knows a set of three: node 0 is the primary, 1 and 2 are replicas, all heard at time 10.
func testRouter(t *testing.T, s Config) *Router {
	t.Helper()
	r := New(s, 7)
	r.UpdateEndpoints(10, []EndpointInfo{listed(0), listed(1), listed(2)}, true, true)
	for i := range r.endpoints {
		r.endpoints[i].recordReport(10, r.config.PositionEpoch, 10, RoleReplica)
	}
	r.endpoints[0].role = RolePrimary
	return r
}

func command(group int) *Command {
	return &Command{Group: group, Session: 9, ArrivedAt: 10, ClientDeadline: 12}
}

// uncovered is a bounded read at 10.2 that no replica is known to cover, but may.
func uncovered(r *Router) *Command {
	for i := range r.endpoints {
		r.endpoints[i].position = 9.5
	}
	c := command(gBound)
	c.ArrivedAt, c.ClientDeadline = 10.2, 12.2
	return c
}

// chances is the seed of one of many routers. Small seeds leave the generator's half that draw reads the same.
func chances(i int) uint64 { return uint64(i+1) * 0x9e3779b97f4a7c15 }

// count adds so many events at a time.
func count(c *rolling.Counter, now float64, events int) {
	for range events {
		c.Add(now)
	}
}
