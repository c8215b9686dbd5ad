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
	spec    *Spec
	now     float64
	seq     uint64
	events  events
	sets    [][]*member
	members []*member
	told    []router.EndpointInfo // the list that routers heard last; one that starts anew knows no more
	routers []*instance
	check   verdict.Commands
	broken  map[string]string // properties that were broken, with the first way
	seed    uint64
	arrive  []*rand.Rand // by group
	works   []distuv.LogNormal
	applies *rand.Rand
	who     *rand.Rand
	tally   Tally
}

// New is a run that has not begun.
func New(s *Spec, policy string, seed int) *World {
	w := &World{spec: s, seed: uint64(seed), broken: map[string]string{}, applies: stream(seed, "apply"), who: stream(seed, "sessions")}
	f := &s.Fleet
	for set := range f.Sets {
		var ms []*member
		for i := range f.Replicas + 1 {
			m := &member{
				w: w, node: len(w.members), set: set, primary: i == 0, slow: 1, started: math.Inf(-1), told: router.Ready,
				applied: math.Inf(-1), working: map[*leg]bool{}, cold: w.budget(),
			}
			ms = append(ms, m)
			w.members = append(w.members, m)
		}
		w.sets = append(w.sets, ms)
	}
	w.told = w.list()
	for i := range f.Routers {
		r := &instance{w: w, me: i, commands: map[uint32]*command{}, sessions: map[uint64]*session{}, due: math.Inf(1)}
		w.routers = append(w.routers, r)
		r.boot(policy)
	}
	w.tally.Times = make([][]float64, len(s.Groups))
	for i := range s.Groups {
		g := &s.Groups[i]
		w.arrive = append(w.arrive, stream(seed, "arrive "+g.Name))
		w.works = append(w.works, distuv.LogNormal{
			Mu: math.Log(float64(g.Work)) - g.Spread*g.Spread/2, Sigma: g.Spread,
			Src: rand.NewPCG(uint64(seed), name("work "+g.Name)),
		})
		w.nextArrival(i)
	}
	for _, x := range s.Faults {
		w.schedule(x, policy)
	}
	return w
}

func (w *World) way() float64 { return float64(w.spec.Fleet.Way) }

// budget is what a member bears while it is cold: as many commands as its slots get through.
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

func (w *World) breaks(property, how string) {
	if _, told := w.broken[property]; !told && property != "" {
		w.broken[property] = how
	}
}

// Run plays it to its end. Commands that are out by then have until their timeout.
func (w *World) Run() (Tally, map[string]string) {
	end := float64(w.spec.Seconds)
	most := 0.0
	for _, g := range w.spec.Groups {
		most = math.Max(most, float64(g.Timeout))
	}
	for w.events.Len() > 0 && w.events[0].at <= end+most*clientTries+1 {
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
	w.breaks(w.check.Broken())
	return w.tally, w.broken
}

// outcome has a dispatch's end come to its router after a while.
func (w *World) outcome(l *leg, e router.Result, after float64) {
	primary, position := l.at.primary, l.position
	w.after(after, func() { l.cmd.router.ended(l, e, primary, position) })
}

// listed has every router hear of the list as it is now, late.
func (w *World) listed() {
	l := w.list()
	w.after(float64(w.spec.Fleet.List), func() {
		w.told = l
		for _, r := range w.routers {
			r.policy.UpdateEndpoints(w.now, l)
			r.wake()
		}
		for _, m := range w.members {
			if s := l[m.node].State; s != m.told {
				m.told, m.toldAt = s, w.now
			}
		}
	})
}

func (w *World) list() []router.EndpointInfo {
	var l []router.EndpointInfo
	for _, m := range w.members {
		x := router.EndpointInfo{Index: m.node, Shard: m.set, State: router.Ready, StartedAt: m.started, Primary: m.primary}
		if m.drains {
			x.State = router.Draining
		}
		l = append(l, x)
	}
	return l
}

func sorted(l []*leg) []*leg {
	slices.SortFunc(l, func(a, b *leg) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.cmd.router.me, b.cmd.router.me), cmp.Compare(a.cmd.id, b.cmd.id), cmp.Compare(a.number, b.number))
	})
	return l
}
