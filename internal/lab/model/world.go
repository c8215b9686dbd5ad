package model

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"

	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/router"
)

// World is the state of one run of an experiment, of one policy with one seed. It is not safe for concurrent use.
type World struct {
	spec           *Spec
	now            float64 // virtual time in seconds
	seq            uint64  // sequence number of the event scheduled last
	events         events
	shards         [][]*backend
	backends       []*backend
	knownEndpoints []router.EndpointInfo // list that routers received last; a restarted router begins with it
	routers        []*instance
	checker        invariant.CommandChecker
	violations     map[string]string // violated properties, each with its first violation
	seed           uint64
	arrivalStreams []*rand.Rand       // by command group
	workTimes      []distuv.LogNormal // by command group
	applyStream    *rand.Rand         // draws which records are heavy
	sessionStream  *rand.Rand         // draws the sessions of commands
	tally          Tally
}

// New prepares a run of an experiment that Load has checked, with the named policy. Run performs it.
func New(spec *Spec, policy string, seed int) *World {
	w := &World{
		spec: spec, seed: uint64(seed), violations: map[string]string{},
		applyStream: newStream(seed, "apply"), sessionStream: newStream(seed, "sessions"),
	}
	for range spec.Fleet.Shards {
		w.addShard()
	}
	w.knownEndpoints = w.endpoints()
	for range spec.Fleet.Routers {
		w.addRouter(policy)
	}
	w.tally.Times = make([][]float64, len(spec.Groups))
	for i := range spec.Groups {
		w.addLoad(i, seed)
	}
	for _, fault := range spec.Faults {
		w.scheduleFault(fault, policy)
	}
	return w
}

// addShard adds a shard of a primary and its replicas.
func (w *World) addShard() {
	var shard []*backend
	for i := range w.spec.Fleet.Replicas + 1 {
		b := &backend{
			world: w, index: len(w.backends), shard: len(w.shards), primary: i == 0, listedState: router.Ready,
			slowdown: 1, startedAt: math.Inf(-1), applied: math.Inf(-1), executing: map[*attempt]bool{}, coldCheck: w.newColdCheck(),
		}
		shard = append(shard, b)
		w.backends = append(w.backends, b)
	}
	w.shards = append(w.shards, shard)
}

// addRouter adds and starts a router.
func (w *World) addRouter(policy string) {
	r := &instance{
		world: w, index: len(w.routers),
		commands: map[uint32]*command{}, sessions: map[uint64]*session{}, nextReview: math.Inf(1),
	}
	w.routers = append(w.routers, r)
	r.start(policy)
}

// addLoad creates the random streams of a command group and schedules its first command.
func (w *World) addLoad(group, seed int) {
	g := &w.spec.Groups[group]
	w.arrivalStreams = append(w.arrivalStreams, newStream(seed, "arrive "+g.Name))
	w.workTimes = append(w.workTimes, distuv.LogNormal{
		Mu: math.Log(float64(g.WorkTime)) - g.Spread*g.Spread/2, Sigma: g.Spread,
		Src: rand.NewPCG(uint64(seed), hashName("work "+g.Name)),
	})
	w.scheduleArrival(group)
}

func (w *World) networkDelay() float64 { return float64(w.spec.Fleet.NetworkDelay) }

// newColdCheck returns the check that a backend is not overloaded while it warms up. Its full capacity is the number of
// commands per second that its slots execute at the mean execution time of the load.
func (w *World) newColdCheck() invariant.SlowStartChecker {
	f := &w.spec.Fleet
	rate, work := 0.0, 0.0
	for _, g := range w.spec.Groups {
		rate, work = rate+g.Rate, work+g.Rate*float64(g.WorkTime)
	}
	return invariant.SlowStartChecker{
		Capacity: float64(f.Slots) * rate / math.Max(work, math.SmallestNonzeroFloat64), SlowStartFloor: f.ColdShare,
		SlowStart: float64(f.WarmUp), OverloadFactor: f.OverloadFactor, OverloadWindow: float64(f.OverloadWindow),
	}
}

// recordViolation records the first violation of a property. It ignores an empty property.
func (w *World) recordViolation(property, detail string) {
	if _, recorded := w.violations[property]; !recorded && property != "" {
		w.violations[property] = detail
	}
}

// Run performs the run. It returns the counts, and the violated properties with the first violation of each. Commands in
// flight at the end are simulated up to their timeout. Run may be called only once.
func (w *World) Run() (Tally, map[string]string) {
	end := float64(w.spec.Seconds)
	maxTimeout := 0.0
	for _, g := range w.spec.Groups {
		maxTimeout = math.Max(maxTimeout, float64(g.Timeout))
	}
	for w.events.Len() > 0 && w.events[0].at <= end+maxTimeout*maxClientAttempts+1 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		w.tally.Events++
		e.do()
	}
	for _, r := range w.routers {
		for id := uint32(1); id <= r.lastID; id++ { // by ascending ID, so that the same violation is always the first
			if c := r.commands[id]; c != nil {
				w.checker.CheckDeadline(w.now, "a command", &c.Command)
			}
		}
	}
	w.recordViolation(w.checker.Broken())
	return w.tally, w.violations
}

// deliverResult delivers the result of an attempt to its router after a delay in seconds.
func (w *World) deliverResult(a *attempt, result router.Result, after float64) {
	primary, position := a.backend.primary, a.position
	w.after(after, func() { a.command.router.attemptEnded(a, result, primary, position) })
}

// publishEndpoints sends the current endpoint list to all routers. They receive it after the delay of the list.
func (w *World) publishEndpoints() {
	endpoints := w.endpoints()
	w.after(float64(w.spec.Fleet.ListDelay), func() {
		w.knownEndpoints = endpoints
		for _, r := range w.routers {
			r.policy.UpdateEndpoints(w.now, endpoints)
			r.review()
		}
		for _, b := range w.backends {
			if s := endpoints[b.index].State; s != b.listedState {
				b.listedState, b.listedSince = s, w.now
			}
		}
	})
}

// endpoints returns the endpoint list as of now.
func (w *World) endpoints() []router.EndpointInfo {
	var endpoints []router.EndpointInfo
	for _, b := range w.backends {
		endpoint := router.EndpointInfo{Index: b.index, Shard: b.shard, State: router.Ready, StartedAt: b.startedAt, Primary: b.primary}
		if b.draining {
			endpoint.State = router.Draining
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// sortAttempts sorts attempts in place by the time at which they were sent. Callers collect them from a map, whose order
// is random, and the same seed must give the same run.
func sortAttempts(attempts []*attempt) []*attempt {
	slices.SortFunc(attempts, func(a, b *attempt) int {
		return cmp.Or(
			cmp.Compare(a.sentAt, b.sentAt),
			cmp.Compare(a.command.router.index, b.command.router.index),
			cmp.Compare(a.command.id, b.command.id),
			cmp.Compare(a.number, b.number),
		)
	})
	return attempts
}
