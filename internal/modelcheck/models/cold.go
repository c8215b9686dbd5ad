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

var coldKind = Kind{
	Name: "cold", Words: "several routers' modules and one member that has just started, which all of them send to",
	Faults: map[string]Fault{
		"alone":     {"each router takes itself for the only one", Bounds{Routers: 2, Ticks: 5}},
		"unstarted": {"a member's start is not told with the list", Bounds{Routers: 2, Ticks: 1}},
	},
	New: func(b Bounds, fault string) func() modelcheck.System {
		return func() modelcheck.System { return newCold(b, fault) }
	},
}

const (
	coldTick  = 0.5   // seconds of a step of time
	coldWork  = 0.05  // seconds that a command takes a member, one at a time
	coldWait  = 0.125 // of it until the clients of what is held leave
	coldReads = 10    // that come in it: what a warm member can serve, or its own rate would be no measure
	coldAsked = 16    // commands that a router has had answered before
)

// cold is the system: routers that know nothing of each other, a set with a warm primary and a replica that starts
// while they serve. A burst of reads comes at a router, once in a step of time, if the adversary likes: what the
// router sends is answered at once, what it holds its clients give up after a while.
type cold struct {
	bounds  Bounds
	fault   string
	now     float64
	ticks   int
	faults  int
	started float64
	routers []*coldRouter
	check   invariant.SlowStartChecker
	served  []int // dispatches to the cold member by each router, while nobody is against it
}

type coldRouter struct {
	world  *cold
	me     int
	boots  int
	module *router.Router
	hand   *inflight.Tracker
	out    []coldLeg
	last   uint32 // command
	burst  bool   // had one in this step of time
}

type coldLeg struct {
	id           uint32
	number, node int
}

func newCold(b Bounds, fault string) *cold {
	c := &cold{bounds: b, fault: fault, now: 10, started: math.Inf(-1), check: invariant.SlowStartChecker{
		Capacity: 1 / coldWork, SlowStartFloor: 0.2, SlowStart: 8,
		OverloadFactor: 2, OverloadWindow: 2,
	}}
	for i := range b.Routers {
		r := &coldRouter{world: c, me: i}
		c.routers = append(c.routers, r)
		r.boot()
	}
	for range coldAsked { // all have served a while, and know what a command costs
		for _, r := range c.routers {
			r.ask(1)
		}
		c.now += coldTick / 4
	}
	c.started = c.now
	for _, r := range c.routers {
		r.list()
	}
	return c
}

// boot starts a router, for the first time or anew. It knows the list.
func (r *coldRouter) boot() {
	c := r.world
	r.boots++
	s := router.Config{
		RouterCount: c.bounds.Routers, Instance: r.me, TotalWeight: 1, BatchInterval: 0.005, ClientTokens: true, LoadReports: true, CanCancel: true, MaxAttempts: 3,
		ConnectTimeout: coldWork, SlowStartFloor: c.check.SlowStartFloor, SlowStart: c.check.SlowStart, OverloadFactor: c.check.OverloadFactor, OverloadWindow: c.check.OverloadWindow,
		CommandGroups: []router.CommandGroup{{Consistency: router.Eventual, Idempotency: router.Idempotent, LatencyObjective: 0.5, ClientTimeout: 1, PriorityWeight: 1, LateValue: 0.5}},
	}
	if c.fault == "alone" {
		s.RouterCount = 1
	}
	draws := uint64(r.me)<<8 + uint64(r.boots)
	r.module = router.New(s, draws*0x9e3779b97f4a7c15) // far apart: small seeds draw alike
	r.hand = inflight.New(r.module, r)
	r.list()
}

func (r *coldRouter) list() {
	started := r.world.started
	if r.world.fault == "unstarted" {
		started = math.Inf(-1)
	}
	r.module.UpdateEndpoints(r.world.now, []router.EndpointInfo{
		{Index: 0, State: router.Ready, StartedAt: math.Inf(-1), Primary: true},
		{Index: 1, State: router.Ready, StartedAt: started},
	}, true, false)
	r.hand.ReviewDue(r.world.now)
}

// Forward implements inflight.Executor.
func (r *coldRouter) Forward(id uint32, number, node int, _ float64) {
	if c := r.world; node == 1 && !math.IsInf(c.started, -1) {
		c.check.AttemptSent(c.now, c.started)
		if c.served != nil {
			c.served[r.me]++
		}
	}
	r.out = append(r.out, coldLeg{id, number, node})
}

// Cancel implements inflight.Executor: an answer is quicker.
func (r *coldRouter) Cancel(uint32, int) {}

// Reject implements inflight.Executor.
func (r *coldRouter) Reject(uint32, float64) {}

// Fail implements inflight.Executor.
func (r *coldRouter) Fail(uint32) {}

// ask has reads come, one after another. What the router holds waits in hand.
func (r *coldRouter) ask(reads int) {
	now := r.world.now
	for range reads {
		r.last++
		r.hand.Add(now, r.last, router.Command{ArrivedAt: now, ClientDeadline: now + 2*coldTick})
		r.settle()
	}
}

// settle lets the module go on, and members answer, until nothing is out.
func (r *coldRouter) settle() {
	now := r.world.now
	for r.hand.ReviewDue(now); len(r.out) > 0; r.hand.ReviewDue(now) {
		out := r.out
		r.out = nil
		for _, l := range out {
			r.hand.AttemptEnded(now, l.id, router.AttemptResult{Attempt: l.number, Result: router.Answered, Elapsed: coldWork, Final: true, Position: -1})
		}
	}
}

// leave has the clients of what is still in hand give it up.
func (r *coldRouter) leave() {
	for id := r.last; r.hand.Len() > 0; id-- {
		r.hand.ClientGone(r.world.now, id)
		r.settle()
	}
}

// Steps implements modelcheck.System.
func (c *cold) Steps() (s []string) {
	for i, r := range c.routers {
		if !r.burst {
			s = append(s, fmt.Sprintf("burst %d", i))
		}
		if c.bounds.may("restart", c.faults) {
			s = append(s, fmt.Sprintf("restart %d", i))
		}
	}
	if c.ticks < c.bounds.Ticks {
		s = append(s, "tick")
	}
	return s
}

// Commute implements modelcheck.Commuter: routers know nothing of each other, and the member counts what it is sent.
func (c *cold) Commute(a, b string) bool {
	return modelcheck.Kind(a) == "burst" && modelcheck.Kind(b) == "burst" && a != b
}

// Take implements modelcheck.System.
func (c *cold) Take(step string) {
	var n int
	what := modelcheck.Kind(step)
	_, _ = fmt.Sscanf(step[len(what):], "%d", &n)
	switch what {
	case "burst":
		c.routers[n].burst = true
		c.routers[n].ask(coldReads / len(c.routers))
	case "restart":
		c.faults++
		c.routers[n].boot()
	case "tick":
		c.ticks++
		c.now += coldWait
		for _, r := range c.routers {
			r.settle()
			r.leave()
		}
		c.now += coldTick - coldWait
		for _, r := range c.routers {
			r.burst = false
			r.settle()
		}
	}
}

var coldRules = &modelcheck.Rules{FloatGrain: 1e-9, Ignored: commandRules.Ignored}

// Fingerprint implements modelcheck.System.
func (c *cold) Fingerprint(h *modelcheck.Hash) {
	h.Rules = coldRules
	h.Float(c.now)
	h.Uint(uint64(c.faults))
	for _, r := range c.routers {
		h.Value(r.hand)
		h.Value(r.burst)
		h.Uint(uint64(r.boots))
	}
	h.Value(&c.check)
}

// Broken implements modelcheck.System.
func (c *cold) Broken() (string, string) { return c.check.Broken() }

// Ended implements modelcheck.System: the member is sent something, however cold.
func (c *cold) Ended() bool {
	return slices.ContainsFunc(c.routers, func(r *coldRouter) bool { return r.burst })
}
