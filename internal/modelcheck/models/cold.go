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
	Name: "cold", Words: "several routers' modules and one member that has just started, which all of them send to",
	Faults: map[string]Fault{
		"alone":     {"each router takes itself for the only one", Bounds{Routers: 2, Ticks: 5}},
		"unstarted": {"a member's start is not told with the list", Bounds{Routers: 2, Ticks: 1}},
	},
	New: func(b Bounds, fault string) func() modelcheck.System {
		return func() modelcheck.System { return newSlowStartSystem(b, fault) }
	},
}

const (
	slowStartTickSeconds    = 0.5   // seconds of a step of time
	slowStartServiceSeconds = 0.05  // seconds that a command takes a member, one at a time
	slowStartWaitSeconds    = 0.125 // of it until the clients of what is held leave
	slowStartBurstReads     = 10    // that come in it: what a warm member can serve, or its own rate would be no measure
	slowStartWarmReads      = 16    // commands that a router has had answered before
)

// slowStartSystem is the system: routers that know nothing of each other, a set with a warm primary and a replica that starts
// while they serve. A burst of reads comes at a router, once in a step of time, if the adversary likes: what the
// router sends is answered at once, what it holds its clients give up after a while.
type slowStartSystem struct {
	bounds         Bounds
	fault          string
	now            float64
	ticks          int
	faults         int
	startedAt      float64
	routers        []*slowStartRouter
	checker        invariant.Cold
	settleAttempts []int // dispatches to the cold member by each router, while nobody is against it
}

type slowStartRouter struct {
	system      *slowStartSystem
	index       int
	starts      int
	router      *router.Router
	tracker     *inflight.Tracker
	inFlight    []slowStartAttempt
	lastCommand uint32 // command
	hadBurst    bool   // had one in this step of time
}

type slowStartAttempt struct {
	command          uint32
	number, endpoint int
}

func newSlowStartSystem(b Bounds, fault string) *slowStartSystem {
	c := &slowStartSystem{bounds: b, fault: fault, now: 10, startedAt: math.Inf(-1), checker: invariant.Cold{
		Capacity: 1 / slowStartServiceSeconds, Share: 0.2, WarmIn: 8,
		Overload: 2, FallSpan: 2,
	}}
	for i := range b.Routers {
		r := &slowStartRouter{system: c, index: i}
		c.routers = append(c.routers, r)
		r.start()
	}
	for range slowStartWarmReads { // all have served a while, and know what a command costs
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

// start starts a router, for the first time or anew. It knows the list.
func (r *slowStartRouter) start() {
	c := r.system
	r.starts++
	s := router.Config{
		RouterCount: c.bounds.Routers, Instance: r.index, TotalWeight: 1, BatchInterval: 0.005, ClientTokens: true, LoadReports: true, CanCancel: true, MaxAttempts: 3,
		ConnectTimeout: slowStartServiceSeconds, SlowStartFloor: c.checker.Share, SlowStart: c.checker.WarmIn, OverloadFactor: c.checker.Overload, OverloadWindow: c.checker.FallSpan,
		CommandGroups: []router.CommandGroup{{Consistency: router.Eventual, Idempotency: router.Idempotent, LatencyObjective: 0.5, ClientTimeout: 1, PriorityWeight: 1, LateValue: 0.5}},
	}
	if c.fault == "alone" {
		s.RouterCount = 1
	}
	draws := uint64(r.index)<<8 + uint64(r.starts)
	r.router = router.New(s, draws*0x9e3779b97f4a7c15) // far apart: small seeds draw alike
	r.tracker = inflight.New(r.router, r)
	r.sendList()
}

func (r *slowStartRouter) sendList() {
	started := r.system.startedAt
	if r.system.fault == "unstarted" {
		started = math.Inf(-1)
	}
	r.router.UpdateEndpoints(r.system.now, []router.EndpointInfo{
		{Index: 0, State: router.Ready, StartedAt: math.Inf(-1), Primary: true},
		{Index: 1, State: router.Ready, StartedAt: started},
	}, true, false)
	r.tracker.ReviewDue(r.system.now)
}

// Forward implements inflight.Executor.
func (r *slowStartRouter) Forward(id uint32, number, node int, _ float64) {
	if c := r.system; node == 1 && !math.IsInf(c.startedAt, -1) {
		c.checker.Sent(c.now, c.startedAt)
		if c.settleAttempts != nil {
			c.settleAttempts[r.index]++
		}
	}
	r.inFlight = append(r.inFlight, slowStartAttempt{id, number, node})
}

// Cancel implements inflight.Executor: an answer is quicker.
func (r *slowStartRouter) Cancel(uint32, int) {}

// Reject implements inflight.Executor.
func (r *slowStartRouter) Reject(uint32, float64) {}

// Fail implements inflight.Executor.
func (r *slowStartRouter) Fail(uint32) {}

// submitReads has reads come, one after another. What the router holds waits in hand.
func (r *slowStartRouter) submitReads(reads int) {
	now := r.system.now
	for range reads {
		r.lastCommand++
		r.tracker.Add(now, r.lastCommand, router.Command{ArrivedAt: now, ClientDeadline: now + 2*slowStartTickSeconds})
		r.answerAttempts()
	}
}

// answerAttempts lets the module go on, and members answer, until nothing is out.
func (r *slowStartRouter) answerAttempts() {
	now := r.system.now
	for r.tracker.ReviewDue(now); len(r.inFlight) > 0; r.tracker.ReviewDue(now) {
		out := r.inFlight
		r.inFlight = nil
		for _, l := range out {
			r.tracker.AttemptEnded(now, l.command, router.AttemptResult{Attempt: l.number, Result: router.Answered, Elapsed: slowStartServiceSeconds, Final: true, Position: -1})
		}
	}
}

// abandonCommands has the clients of what is still in hand give it up.
func (r *slowStartRouter) abandonCommands() {
	for id := r.lastCommand; r.tracker.Len() > 0; id-- {
		r.tracker.ClientGone(r.system.now, id)
		r.answerAttempts()
	}
}

// Steps implements modelcheck.System.
func (c *slowStartSystem) Steps() (s []string) {
	for i, r := range c.routers {
		if !r.hadBurst {
			s = append(s, fmt.Sprintf("burst %d", i))
		}
		if c.bounds.mayInject("restart", c.faults) {
			s = append(s, fmt.Sprintf("restart %d", i))
		}
	}
	if c.ticks < c.bounds.Ticks {
		s = append(s, "tick")
	}
	return s
}

// Commute implements modelcheck.Commuter: routers know nothing of each other, and the member counts what it is sent.
func (c *slowStartSystem) Commute(a, b string) bool {
	return modelcheck.Kind(a) == "burst" && modelcheck.Kind(b) == "burst" && a != b
}

// Take implements modelcheck.System.
func (c *slowStartSystem) Take(step string) {
	var n int
	what := modelcheck.Kind(step)
	_, _ = fmt.Sscanf(step[len(what):], "%d", &n)
	switch what {
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

// Ended implements modelcheck.System: the member is sent something, however cold.
func (c *slowStartSystem) Ended() bool {
	return slices.ContainsFunc(c.routers, func(r *slowStartRouter) bool { return r.hadBurst })
}
