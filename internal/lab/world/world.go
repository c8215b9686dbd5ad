package world

import (
	"cmp"
	"container/heap"
	"hash/fnv"
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

// event is something at a time; what comes at one time comes in the order in which it was asked for.
type event struct {
	at  float64
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// command is one, and each time that its client comes again is another.
type command struct {
	verdict.Command
	id      uint32
	router  *instance
	group   int
	session uint64
	set     int
	arrived float64
	first   float64 // when its client asked first
	tries   int     // that its client has made
	over    bool
	legs    []*leg
}

// session is a client's: where its last write and its furthest read were.
type session struct{ wrote, seen float64 }

// instance is one router: its policy and the sessions whose clients use it.
type instance struct {
	w        *World
	me       int
	policy   Policy
	boots    int
	commands map[uint32]*command
	last     uint32
	sessions map[uint64]*session
	due      float64 // when it is to settle
}

// Policy decides where commands go. It is told what a router is told and nothing else, but for the one that sees all.
type Policy interface {
	Add(now float64, id uint32, c router.Command)
	ClientGone(now float64, id uint32)
	AttemptEnded(now float64, id uint32, o router.AttemptResult)
	ReviewDue(now float64) (next float64, probes []int)
	UpdateEndpoints(now float64, l []router.EndpointInfo)
	HealthChecked(now float64, node int, ok bool, took, position float64, primary bool)
}

// Tally is what a run came to.
type Tally struct {
	Asked      int     `json:"asked"`    // by clients, their repeats not counted
	Answered   int     `json:"answered"` // of them, in the end
	InTarget   int     `json:"in_target"`
	Dispatches int     `json:"dispatches"`
	Primary    int     `json:"reads_on_primary"`
	Reads      int     `json:"reads_dispatched"`
	Throttled  int     `json:"throttled"`
	Failed     int     `json:"failed"`
	Probes     int     `json:"probes"`
	Benefit    float64 `json:"benefit"` // that was asked for
	Earned     float64 `json:"earned"`
	Events     int     `json:"events"`
	// Series is by the second in which clients first asked.
	Series []Second `json:"series"`
	// Times of answers from the first asking on, by group, in the order in which they came.
	Times [][]float64 `json:"-"`
}

// Second is what was asked for in one, and how much of that was earned, then or later.
type Second struct {
	Benefit float64 `json:"benefit"`
	Earned  float64 `json:"earned"`
}

// Service is the share of the benefit that was earned.
func (t *Tally) Service() float64 { return t.Earned / math.Max(t.Benefit, math.SmallestNonzeroFloat64) }

// frontMargin is how much before its client's timeout a router gives a command up, so that the answer still gets there.
const frontMargin = 0.005

// clientTries is how often a client asks in all.
const clientTries = 3

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

func name(part string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(part))
	return h.Sum64()
}

// stream is a part's own chance.
func stream(seed int, part string) *rand.Rand { return rand.New(rand.NewPCG(uint64(seed), name(part))) }

func (w *World) way() float64 { return float64(w.spec.Fleet.Way) }

func (w *World) work(group int) float64 {
	if w.works[group].Sigma == 0 {
		return float64(w.spec.Groups[group].Work)
	}
	return w.works[group].Rand()
}

func (w *World) at(t float64, do func()) {
	w.seq++
	heap.Push(&w.events, event{t, w.seq, do})
}

func (w *World) after(d float64, do func()) { w.at(w.now+d, do) }

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

// nextArrival has a client ask: load does not wait for answers.
func (w *World) nextArrival(group int) {
	g := &w.spec.Groups[group]
	if g.Rate == 0 {
		return
	}
	at := w.now + w.arrive[group].ExpFloat64()/g.Rate
	if at >= float64(w.spec.Seconds) {
		return
	}
	w.at(at, func() {
		n := w.who.IntN(w.spec.Fleet.Sessions)
		w.tally.Asked++
		w.tally.Benefit += g.Benefit
		for len(w.tally.Series) <= int(w.now) {
			w.tally.Series = append(w.tally.Series, Second{})
		}
		w.tally.Series[int(w.now)].Benefit += g.Benefit
		w.ask(group, uint64(n)+1, w.now, 1)
		w.nextArrival(group)
	})
}

// ask has a client send a command to the router that its session uses.
func (w *World) ask(group int, id uint64, first float64, tries int) {
	r := w.routers[id%uint64(len(w.routers))]
	g := &w.spec.Groups[group]
	s := r.sessions[id]
	if s == nil {
		s = &session{wrote: math.Inf(-1), seen: math.Inf(-1)}
		r.sessions[id] = s
	}
	r.last++
	c := &command{id: r.last, router: r, group: group, session: id, set: int(id % uint64(len(w.sets))), arrived: w.now, first: first, tries: tries}
	c.Effect, c.GiveUp, c.Memory = verdict.Effect(effects[g.Effect]), w.now+float64(g.Timeout), float64(g.Memory)
	c.Needs, c.Seen = math.Inf(-1), math.Inf(-1)
	in := router.Command{Group: group, Session: id, Shard: c.set, ArrivedAt: w.now, ClientDeadline: c.GiveUp - frontMargin, ClientRetry: tries > 1}
	switch needs[g.Need] {
	case router.SessionConsistent:
		c.Needs, c.Seen = s.wrote, s.seen
		if !math.IsInf(s.wrote, -1) {
			in.LastWriteAge = cmp.Or(w.now-s.wrote, -math.SmallestNonzeroFloat64)
		}
	case router.Linearizable:
		c.Needs = w.lastCommit(c.set)
	case router.BoundedStaleness:
		c.Needs = w.now - float64(g.Bound)
	}
	r.commands[c.id] = c
	w.at(c.GiveUp, func() {
		if !c.over {
			w.check.Overdue(w.now+1e-9, "a command of "+g.Name, &c.Command)
			c.over = true
			w.check.Ended(&c.Command)
			r.policy.ClientGone(w.now, c.id)
			r.wake()
			r.release(c)
		}
	})
	r.policy.Add(w.now, c.id, in)
	r.wake()
}

// lastCommit is the position that a read which needs the current state must cover.
func (w *World) lastCommit(set int) float64 {
	last := math.Inf(-1)
	for _, m := range w.sets[set] {
		last = math.Max(last, m.applied)
	}
	return last
}

// commit notes a write of the primary and ships it.
func (w *World) commit(m *member) float64 {
	f := &w.spec.Fleet
	apply := float64(f.Apply)
	if w.applies.Float64() < f.Heavy {
		apply = float64(f.HeavyApply)
	}
	m.applied = w.now
	for _, x := range w.sets[m.set] {
		if x != m && !x.primary {
			x.ship(w.now, apply)
		}
	}
	return w.now
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

// schedule has a fault begin and end.
func (w *World) schedule(x Fault, policy string) {
	begin, end := func() {}, func() {}
	if x.Kind == "restart" {
		r := w.routers[x.Router]
		begin = func() { r.restart(policy) }
	} else {
		m := w.sets[x.Set][x.Member]
		switch x.Kind {
		case "crash":
			begin, end = m.crash, m.start
		case "hang":
			begin, end = func() { m.hung = true; w.befell(m) }, m.wake
		case "cut":
			begin, end = func() { m.cut = true; w.befell(m) }, func() { m.cut = false }
		case "slow":
			begin, end = func() { m.slow *= x.Times }, func() { m.slow /= x.Times }
		case "drain":
			begin = func() { w.drain(m, true) }
			end = func() { w.drain(m, false) }
		case "elect":
			begin = func() { w.elect(m) }
		}
	}
	w.at(float64(x.At), begin)
	if lasting[x.Kind] {
		w.at(float64(x.At+x.For), end)
	}
}

func (w *World) befell(m *member) {
	for _, r := range w.routers {
		if b, simple := r.policy.(*simple); simple {
			b.befell(m.node)
		}
	}
}

func (w *World) drain(m *member, drains bool) {
	m.drains = drains
	w.listed()
}

// elect makes a replica the primary. What it has not applied yet it applies first, so that no commit is lost.
func (w *World) elect(m *member) {
	if m.primary || m.down {
		return
	}
	for _, x := range w.sets[m.set] {
		if x.primary {
			m.applied = math.Max(m.applied, x.applied)
			x.primary = false
		}
	}
	m.primary, m.log = true, nil
	w.listed()
}

func sorted(l []*leg) []*leg {
	slices.SortFunc(l, func(a, b *leg) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.cmd.router.me, b.cmd.router.me), cmp.Compare(a.cmd.id, b.cmd.id), cmp.Compare(a.number, b.number))
	})
	return l
}
