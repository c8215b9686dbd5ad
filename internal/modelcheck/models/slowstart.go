package models

import (
	"fmt"
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/inflight"
	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/modelcheck"
	"stoatdale.example/stoatdale/internal/router"
)

var slowStartKind = Kind{
	Name: "cold", Description: "several routers and one backend in slow start, to which all of them send",
	Faults: map[string]Fault{
		"alone":     {"each router takes itself for the only one", Bounds{Routers: 2, Ticks: 5}},
		"unstarted": {"the endpoint list does not hold the backend's start time", Bounds{Routers: 2, Ticks: 1}},
	},
	New: func(b Bounds, fault string) func() modelcheck.System {
		return func() modelcheck.System { return newSlowStartSystem(b, fault) }
	},
}

const (
	slowStartTickSeconds    = 0.5   // length of one time step
	slowStartServiceSeconds = 0.05  // time that a backend works on a command; it serves one at a time
	slowStartWaitSeconds    = 0.125 // time from the start of a time step until clients of waiting commands leave
	slowStartBurstReads     = 10    // reads in a time step, over all routers: what a warm backend can serve, so its rate shows its capacity
	slowStartWarmReads      = 16    // reads of each router that are answered before the backend starts
)

// slowStartSystem is the system "cold": routers that do not know of each other, and a shard with a warm primary (endpoint 0)
// and a replica (endpoint 1) that starts while they serve. In each time step the adversary may send a burst of reads to each
// router. Attempts are answered immediately; clients of waiting commands leave after slowStartWaitSeconds.
type slowStartSystem struct {
	bounds         Bounds
	fault          string
	now            float64
	ticks          int
	faults         int
	startedAt      float64 // when the starting backend started; -Inf before
	routers        []*slowStartRouter
	checker        invariant.SlowStartChecker
	settleAttempts []int // attempts sent to the starting backend by each router; counted only during Settle
}

// slowStartRouter is a router with its commands.
type slowStartRouter struct {
	system      *slowStartSystem
	index       int
	starts      int
	router      *router.Router
	tracker     *inflight.Tracker
	inFlight    []slowStartAttempt
	lastCommand uint32 // id of the newest command
	hadBurst    bool   // the router has had its burst of reads in this time step
}

// slowStartAttempt is an attempt in flight.
type slowStartAttempt struct {
	command          uint32
	number, endpoint int
}

func newSlowStartSystem(b Bounds, fault string) *slowStartSystem {
	c := &slowStartSystem{bounds: b, fault: fault, now: 10, startedAt: math.Inf(-1), checker: invariant.SlowStartChecker{
		Capacity: 1 / slowStartServiceSeconds, SlowStartFloor: 0.2, SlowStart: 8,
		OverloadFactor: 2, OverloadWindow: 2,
	}}
	for i := range b.Routers {
		r := &slowStartRouter{system: c, index: i}
		c.routers = append(c.routers, r)
		r.start()
	}
	for range slowStartWarmReads { // all routers have answered commands and know their service time
		for _, r := range c.routers {
			r.submitReads(1)
		}
		c.now += slowStartTickSeconds / 4
	}
	c.startedAt = c.now
	for _, r := range c.routers {
		r.sendList()
	}
	return c
}

// start starts the router, or restarts it with the endpoint list.
func (r *slowStartRouter) start() {
	system := r.system
	r.starts++
	config := router.Config{
		RouterCount: system.bounds.Routers, Instance: r.index, TotalWeight: 1, BatchInterval: 0.005, ClientTokens: true,
		LoadReports: true, CanCancel: true, MaxAttempts: 3,
		ConnectTimeout: slowStartServiceSeconds, SlowStartFloor: system.checker.SlowStartFloor, SlowStart: system.checker.SlowStart,
		OverloadFactor: system.checker.OverloadFactor, OverloadWindow: system.checker.OverloadWindow,
		CommandGroups: []router.CommandGroup{{
			Consistency: router.Eventual, Idempotency: router.Idempotent,
			LatencyObjective: 0.5, ClientTimeout: 1, PriorityWeight: 1, LateValue: 0.5,
		}},
	}
	if system.fault == "alone" {
		config.RouterCount = 1
	}
	seed := uint64(r.index)<<8 + uint64(r.starts)
	r.router = router.New(config, seed*0x9e3779b97f4a7c15) // spreads the seeds: small seeds draw similar numbers
	r.tracker = inflight.New(r.router, r)
	r.sendList()
}

func (r *slowStartRouter) sendList() {
	startedAt := r.system.startedAt
	if r.system.fault == "unstarted" {
		startedAt = math.Inf(-1)
	}
	r.router.UpdateEndpoints(r.system.now, []router.EndpointInfo{
		{Index: 0, State: router.Ready, StartedAt: math.Inf(-1), Primary: true},
		{Index: 1, State: router.Ready, StartedAt: startedAt},
	}, true, false)
	r.tracker.ReviewDue(r.system.now)
}

// Forward implements inflight.Executor.
func (r *slowStartRouter) Forward(id uint32, number, endpoint int, _ float64) {
	if system := r.system; endpoint == 1 && !math.IsInf(system.startedAt, -1) {
		system.checker.AttemptSent(system.now, system.startedAt)
		if system.settleAttempts != nil {
			system.settleAttempts[r.index]++
		}
	}
	r.inFlight = append(r.inFlight, slowStartAttempt{id, number, endpoint})
}

// Cancel implements inflight.Executor. It does nothing, since attempts are answered before they could be canceled.
func (r *slowStartRouter) Cancel(uint32, int) {}

// Reject implements inflight.Executor.
func (r *slowStartRouter) Reject(uint32, float64) {}

// Fail implements inflight.Executor.
func (r *slowStartRouter) Fail(uint32) {}

// submitReads submits reads one after another. Those that the router does not send yet wait in its tracker.
func (r *slowStartRouter) submitReads(reads int) {
	now := r.system.now
	for range reads {
		r.lastCommand++
		r.tracker.Add(now, r.lastCommand, router.Command{ArrivedAt: now, ClientDeadline: now + 2*slowStartTickSeconds})
		r.answerAttempts()
	}
}

// answerAttempts runs the reviews that are due and answers attempts until none is in flight.
func (r *slowStartRouter) answerAttempts() {
	now := r.system.now
	for r.tracker.ReviewDue(now); len(r.inFlight) > 0; r.tracker.ReviewDue(now) {
		attempts := r.inFlight
		r.inFlight = nil
		for _, attempt := range attempts {
			r.tracker.AttemptEnded(now, attempt.command, router.AttemptResult{
				Attempt: attempt.number, Result: router.Answered, Elapsed: slowStartServiceSeconds, Final: true, Position: -1,
			})
		}
	}
}

// abandonCommands lets the clients of all commands that still wait leave.
func (r *slowStartRouter) abandonCommands() {
	for id := r.lastCommand; r.tracker.Len() > 0; id-- {
		r.tracker.ClientGone(r.system.now, id)
		r.answerAttempts()
	}
}

// Steps implements modelcheck.System.
func (c *slowStartSystem) Steps() (steps []string) {
	for i, r := range c.routers {
		if !r.hadBurst {
			steps = append(steps, fmt.Sprintf("burst %d", i))
		}
		if c.bounds.mayInject("restart", c.faults) {
			steps = append(steps, fmt.Sprintf("restart %d", i))
		}
	}
	if c.ticks < c.bounds.Ticks {
		steps = append(steps, "tick")
	}
	return steps
}

// Commute implements modelcheck.Commuter. Routers do not know of each other, and the checker counts attempts from any of them.
func (c *slowStartSystem) Commute(a, b string) bool {
	return modelcheck.Kind(a) == "burst" && modelcheck.Kind(b) == "burst" && a != b
}

// Take implements modelcheck.System.
func (c *slowStartSystem) Take(step string) {
	var n int
	kind := modelcheck.Kind(step)
	_, _ = fmt.Sscanf(step[len(kind):], "%d", &n)
	switch kind {
	case "burst":
		c.routers[n].hadBurst = true
		c.routers[n].submitReads(slowStartBurstReads / len(c.routers))
	case "restart":
		c.faults++
		c.routers[n].start()
	case "tick":
		c.ticks++
		c.now += slowStartWaitSeconds
		for _, r := range c.routers {
			r.answerAttempts()
			r.abandonCommands()
		}
		c.now += slowStartTickSeconds - slowStartWaitSeconds
		for _, r := range c.routers {
			r.hadBurst = false
			r.answerAttempts()
		}
	}
}

var slowStartRules = &modelcheck.Rules{FloatGrain: 1e-9, Ignored: commandRules.Ignored}

// Fingerprint implements modelcheck.System.
func (c *slowStartSystem) Fingerprint(h *modelcheck.Hash) {
	h.Rules = slowStartRules
	h.Float(c.now)
	h.Uint(uint64(c.faults))
	for _, r := range c.routers {
		h.Value(r.tracker)
		h.Value(r.hadBurst)
		h.Uint(uint64(r.starts))
	}
	h.Value(&c.checker)
}

// Broken implements modelcheck.System.
func (c *slowStartSystem) Broken() (string, string) { return c.checker.Broken() }

// Ended implements modelcheck.System: some router has had a burst in this time step.
func (c *slowStartSystem) Ended() bool {
	return slices.ContainsFunc(c.routers, func(r *slowStartRouter) bool { return r.hadBurst })
}
