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

// World is one run of an experiment: one policy with one seed. It is used by one goroutine.
type World struct {
	spec           *Spec
	now            float64
	seq            uint64
	events         events
	shards         [][]*backend
	backends       []*backend
	knownEndpoints []router.EndpointInfo // the list that routers were last told; a restarted one begins with it
	routers        []*instance
	check          invariant.CommandChecker
	violations     map[string]string // properties that were violated, with the first violation
	seed           uint64
	arrive         []*rand.Rand // by group
	workTimes      []distuv.LogNormal
	applyStream    *rand.Rand
	sessionStream  *rand.Rand
	tally          Tally
}

// New sets up a run of a checked experiment under the named policy. Run starts it.
func New(s *Spec, policy string, seed int) *World {
	w := &World{
		spec: s, seed: uint64(seed), violations: map[string]string{},
		applyStream: newStream(seed, "apply"), sessionStream: newStream(seed, "sessions"),
	}
	for range s.Fleet.Sets {
		w.addShard()
	}
	w.knownEndpoints = w.endpoints()
	for range s.Fleet.Routers {
		w.addRouter(policy)
	}
	w.tally.Times = make([][]float64, len(s.Groups))
	for i := range s.Groups {
		w.addLoad(i, seed)
	}
	for _, fault := range s.Faults {
		w.schedule(fault, policy)
	}
	return w
}

// addShard adds a primary and its replicas.
func (w *World) addShard() {
	var shard []*backend
	for i := range w.spec.Fleet.Replicas + 1 {
		b := &backend{
			world: w, node: len(w.backends), shard: len(w.shards), primary: i == 0, listedState: router.Ready,
			slow: 1, started: math.Inf(-1), applied: math.Inf(-1), working: map[*attempt]bool{}, cold: w.coldBudget(),
		}
		shard = append(shard, b)
		w.backends = append(w.backends, b)
	}
	w.shards = append(w.shards, shard)
}

// addRouter adds a router and starts it.
func (w *World) addRouter(policy string) {
	r := &instance{
		world: w, index: len(w.routers),
		commands: map[uint32]*command{}, sessions: map[uint64]*session{}, due: math.Inf(1),
	}
	w.routers = append(w.routers, r)
	r.start(policy)
}

// addLoad starts a group's arrivals.
func (w *World) addLoad(group, seed int) {
	g := &w.spec.Groups[group]
	w.arrive = append(w.arrive, newStream(seed, "arrive "+g.Name))
	w.workTimes = append(w.workTimes, distuv.LogNormal{
		Mu: math.Log(float64(g.Work)) - g.Spread*g.Spread/2, Sigma: g.Spread,
		Src: rand.NewPCG(uint64(seed), hashName("work "+g.Name)),
	})
	w.nextArrival(group)
}

func (w *World) networkDelay() float64 { return float64(w.spec.Fleet.Way) }

// coldBudget is the load that a backend bears while it warms up: as many commands as its slots get through.
func (w *World) coldBudget() invariant.SlowStartChecker {
	f := &w.spec.Fleet
	rate, work := 0.0, 0.0
	for _, g := range w.spec.Groups {
		rate, work = rate+g.Rate, work+g.Rate*float64(g.Work)
	}
	return invariant.SlowStartChecker{
		Capacity: float64(f.Slots) * rate / math.Max(work, math.SmallestNonzeroFloat64), SlowStartFloor: f.ColdShare,
		SlowStart: float64(f.WarmIn), OverloadFactor: f.Overload, OverloadWindow: float64(f.FallSpan),
	}
}

func (w *World) recordViolation(property, how string) {
	if _, told := w.violations[property]; !told && property != "" {
		w.violations[property] = how
	}
}

// Run plays the run to its end and returns the counts and the violated properties, each with its first violation. Commands
// that are in flight at the end have until their timeout. It may be called once.
func (w *World) Run() (Tally, map[string]string) {
	end := float64(w.spec.Seconds)
	most := 0.0
	for _, g := range w.spec.Groups {
		most = math.Max(most, float64(g.Timeout))
	}
	for w.events.Len() > 0 && w.events[0].at <= end+most*maxClientAttempts+1 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		w.tally.Events++
		e.do()
	}
	for _, r := range w.routers {
		for id := uint32(1); id <= r.last; id++ { // in order: the first that is found is told
			if c := r.commands[id]; c != nil {
				w.check.CheckDeadline(w.now, "a command", &c.Command)
			}
		}
	}
	w.recordViolation(w.check.Broken())
	return w.tally, w.violations
}

// deliverResult delivers an attempt's result to its router after a delay in seconds.
func (w *World) deliverResult(l *attempt, e router.Result, after float64) {
	primary, position := l.at.primary, l.position
	w.after(after, func() { l.command.router.attemptEnded(l, e, primary, position) })
}

// publishEndpoints sends the present endpoint list to every router. It arrives after the delay of the list.
func (w *World) publishEndpoints() {
	l := w.endpoints()
	w.after(float64(w.spec.Fleet.List), func() {
		w.knownEndpoints = l
		for _, r := range w.routers {
			r.policy.UpdateEndpoints(w.now, l)
			r.review()
		}
		for _, b := range w.backends {
			if s := l[b.node].State; s != b.listedState {
				b.listedState, b.listedSince = s, w.now
			}
		}
	})
}

func (w *World) endpoints() []router.EndpointInfo {
	var l []router.EndpointInfo
	for _, b := range w.backends {
		x := router.EndpointInfo{Index: b.node, Shard: b.shard, State: router.Ready, StartedAt: b.started, Primary: b.primary}
		if b.drains {
			x.State = router.Draining
		}
		l = append(l, x)
	}
	return l
}

// sortAttempts sorts attempts by the time at which they were sent, in place: maps have no order of their own, and the
// same seed must give the same run.
func sortAttempts(attempts []*attempt) []*attempt {
	slices.SortFunc(attempts, func(a, b *attempt) int {
		return cmp.Or(
			cmp.Compare(a.sent, b.sent),
			cmp.Compare(a.command.router.index, b.command.router.index),
			cmp.Compare(a.command.id, b.command.id),
			cmp.Compare(a.number, b.number),
		)
	})
	return attempts
}
