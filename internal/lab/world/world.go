package world

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"

	"stoatdale.example/stoatdale/internal/lab/verdict"
	"stoatdale.example/stoatdale/internal/router"
)

// World is one run.
type World struct {
	spec           *Spec
	now            float64
	seq            uint64
	events         events
	shards         [][]*backend
	backends       []*backend
	knownEndpoints []router.EndpointInfo // the list that routers heard last; one that starts anew knows no more
	routers        []*instance
	check          verdict.Commands
	violations     map[string]string // properties that were broken, with the first way
	seed           uint64
	arrive         []*rand.Rand // by group
	workTimes      []distuv.LogNormal
	applyStream    *rand.Rand
	sessionStream  *rand.Rand
	tally          Tally
}

// New is a run that has not begun.
func New(s *Spec, policy string, seed int) *World {
	w := &World{spec: s, seed: uint64(seed), violations: map[string]string{}, applyStream: newStream(seed, "apply"), sessionStream: newStream(seed, "sessions")}
	f := &s.Fleet
	for shard := range f.Sets {
		var ms []*backend
		for i := range f.Replicas + 1 {
			m := &backend{
				world: w, node: len(w.backends), shard: shard, primary: i == 0, slow: 1, started: math.Inf(-1), listedState: router.Ready,
				applied: math.Inf(-1), working: map[*attempt]bool{}, cold: w.budget(),
			}
			ms = append(ms, m)
			w.backends = append(w.backends, m)
		}
		w.shards = append(w.shards, ms)
	}
	w.knownEndpoints = w.list()
	for i := range f.Routers {
		r := &instance{world: w, index: i, commands: map[uint32]*command{}, sessions: map[uint64]*session{}, due: math.Inf(1)}
		w.routers = append(w.routers, r)
		r.boot(policy)
	}
	w.tally.Times = make([][]float64, len(s.Groups))
	for i := range s.Groups {
		g := &s.Groups[i]
		w.arrive = append(w.arrive, newStream(seed, "arrive "+g.Name))
		w.workTimes = append(w.workTimes, distuv.LogNormal{
			Mu: math.Log(float64(g.Work)) - g.Spread*g.Spread/2, Sigma: g.Spread,
			Src: rand.NewPCG(uint64(seed), hashName("work "+g.Name)),
		})
		w.nextArrival(i)
	}
	for _, x := range s.Faults {
		w.schedule(x, policy)
	}
	return w
}

func (w *World) networkDelay() float64 { return float64(w.spec.Fleet.Way) }

// budget is what a backend bears while it is cold: as many commands as its slots get through.
func (w *World) budget() verdict.Cold {
	f := &w.spec.Fleet
	rate, work := 0.0, 0.0
	for _, g := range w.spec.Groups {
		rate, work = rate+g.Rate, work+g.Rate*float64(g.Work)
	}
	return verdict.Cold{
		Capacity: float64(f.Slots) * rate / math.Max(work, math.SmallestNonzeroFloat64), Share: f.ColdShare,
		WarmIn: float64(f.WarmIn), Overload: f.Overload, FallSpan: float64(f.FallSpan),
	}
}

func (w *World) recordViolation(property, how string) {
	if _, told := w.violations[property]; !told && property != "" {
		w.violations[property] = how
	}
}

// Run plays it to its end. Commands that are out by then have until their timeout.
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
				w.check.Overdue(w.now, "a command", &c.Command)
			}
		}
	}
	w.recordViolation(w.check.Broken())
	return w.tally, w.violations
}

// deliverResult has a attempt's end come to its router after a while.
func (w *World) deliverResult(l *attempt, e router.Result, after float64) {
	primary, position := l.at.primary, l.position
	w.after(after, func() { l.cmd.router.ended(l, e, primary, position) })
}

// publishEndpoints has every router hear of the list as it is now, late.
func (w *World) publishEndpoints() {
	l := w.list()
	w.after(float64(w.spec.Fleet.List), func() {
		w.knownEndpoints = l
		for _, r := range w.routers {
			r.policy.UpdateEndpoints(w.now, l)
			r.wake()
		}
		for _, m := range w.backends {
			if s := l[m.node].State; s != m.listedState {
				m.listedState, m.listedSince = s, w.now
			}
		}
	})
}

func (w *World) list() []router.EndpointInfo {
	var l []router.EndpointInfo
	for _, m := range w.backends {
		x := router.EndpointInfo{Index: m.node, Shard: m.shard, State: router.Ready, StartedAt: m.started, Primary: m.primary}
		if m.drains {
			x.State = router.Draining
		}
		l = append(l, x)
	}
	return l
}

func sorted(l []*attempt) []*attempt {
	slices.SortFunc(l, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.cmd.router.index, b.cmd.router.index), cmp.Compare(a.cmd.id, b.cmd.id), cmp.Compare(a.number, b.number))
	})
	return l
}
