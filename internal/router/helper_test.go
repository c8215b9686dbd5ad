package router

import (
	"math"
	"testing"

	"stoatdale.example/stoatdale/internal/router/rolling"
)

// Command groups of the test configuration, one for each consistency class.
const (
	writes = iota
	linearizableReads
	sessionReads
	boundedReads
	eventualReads
)

// testConfig returns a configuration with values that no deployment uses.
func testConfig() Config {
	group := func(consistency Consistency) CommandGroup {
		return CommandGroup{
			Consistency: consistency, LatencyObjective: 0.5, ClientTimeout: 2,
			PriorityWeight: 1, IdempotencyWindow: 2,
		}
	}
	config := Config{
		RouterCount: 1, BatchInterval: 0.005, LoadReports: true, CanCancel: true,
		HealthChecks: true, MaxAttempts: 6, ConnectTimeout: 0.25, SlowStartFloor: 0.2, SlowStart: 10,
		OverloadFactor: 2, OverloadWindow: 2,
		PollWindow: 8, CommandGroups: []CommandGroup{
			group(PrimaryOnly), group(Linearizable),
			group(SessionConsistent), group(BoundedStaleness), group(Eventual),
		},
	}
	config.CommandGroups[writes].Idempotency = NonIdempotent
	config.CommandGroups[writes].PriorityWeight = 3
	config.CommandGroups[boundedReads].MaxStaleness = 0.4
	return config
}

// warmEndpoint returns the row of a warm, ready endpoint of shard 0.
func warmEndpoint(index int) EndpointInfo {
	return EndpointInfo{Index: index, State: Ready, StartedAt: math.Inf(-1)}
}

// testRouter returns a router for a shard of three endpoints: 0 is the primary, 1 and 2 are replicas. All
// have reported position 10 at time 10.
func testRouter(t *testing.T, config Config) *Router {
	t.Helper()
	r := New(config, 7)
	r.UpdateEndpoints(10, []EndpointInfo{warmEndpoint(0), warmEndpoint(1), warmEndpoint(2)}, true, true)
	for i := range r.endpoints {
		r.endpoints[i].recordReport(10, r.config.PositionEpoch, 10, RoleReplica)
	}
	r.endpoints[0].role = RolePrimary
	return r
}

func newCommand(group int) *Command {
	return &Command{Group: group, Session: 9, ArrivedAt: 10, ClientDeadline: 12}
}

// uncoveredRead returns a bounded read that arrived at 10.2. No replica is known to cover it, but each may.
func uncoveredRead(r *Router) *Command {
	for i := range r.endpoints {
		r.endpoints[i].position = 9.5
	}
	c := newCommand(boundedReads)
	c.ArrivedAt, c.ClientDeadline = 10.2, 12.2
	return c
}

// routerSeed returns the seed of router i. With small seeds, the half of the generator's state that
// decides a draw would be the same for all routers.
func routerSeed(i int) uint64 { return uint64(i+1) * 0x9e3779b97f4a7c15 }

// addReads counts reads at a time. Either all of them fell back to a primary, or none did.
func addReads(c *rolling.Counter, now float64, reads int, fallbacks bool) {
	for range reads {
		c.Add(now, fallbacks)
	}
}
