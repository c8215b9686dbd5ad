package drill

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/roll"
	"stoatdale.example/stoatdale/internal/fleet/tend"
)

// Claims is what the drill of claims is played with. Each round is a world of its own in virtual time: a few
// agents, operators whose tools die and start again, and a network that loses, delays, repeats and reorders.
type Claims struct {
	Operators int
	Rounds    int
	Seed      uint64
	Break     string // "", or a fault that the checkers must tell: see ClaimFaults
}

// ClaimFaults are the faults that can be put in, each with what it does.
var ClaimFaults = map[string]string{
	"unfenced": "agents carry out a step whoever asks for it, under any epoch",
	"forget":   "agents that start again have forgotten what they promised",
	"unkept":   "agents say that they keep records, and do not",
}

// ClaimsReport is how it went.
type ClaimsReport struct {
	Report
	Operators int `json:"operators"`
	Rounds    int `json:"rounds"`
	Claims    int `json:"claims"`  // won
	Denied    int `json:"denied"`  // drivers that were told who holds the claim, or were fenced
	Steps     int `json:"steps"`   // begun by agents
	Undone    int `json:"undone"`  // of them that came to nothing
	Ended     int `json:"ended"`   // rollouts
	Deaths    int `json:"deaths"`  // of tools and agents
	Late      int `json:"late"`    // steps refused since they came under an older epoch or a claim that ran out
	Lost      int `json:"lost"`    // messages
	Doubled   int `json:"doubled"` // messages
	Unchecked int `json:"unchecked"`
}

const (
	roundLasts = 90.0 // virtual seconds
	lossy      = 0.08
	doubling   = 0.08
	slow       = 0.06
)

// RunClaims plays the drill.
func RunClaims(ctx context.Context, c Claims) ClaimsReport {
	began := time.Now()
	r := ClaimsReport{Report: Report{Drill: "claims", Seed: c.Seed, OK: true}, Operators: c.Operators, Rounds: c.Rounds}
	for n := range c.Rounds {
		if ctx.Err() != nil {
			r.Break("interrupted in round %d", n)
			break
		}
		w := newTheatre(c, n, &r)
		w.play()
		w.judge()
		if !r.OK {
			break
		}
	}
	r.Seconds = time.Since(began).Seconds()
	return r
}

// theatre is one round.
type theatre struct {
	Claims
	n      int
	report *ClaimsReport
	rng    *rand.Rand
	now    float64
	events queue
	order  uint64
	fleet  *plan.Fleet
	names  []string
	limits tend.Limits
	agents []*actor
	tools  []*console
	spoken int           // holders so far
	kept   claim.Version // newest record that a majority was said to keep
	ops    []porcupine.Operation
	acts   map[string]int64 // when the record of a step began to be kept, by holder and number
}

// actor is an agent and its one router.
type actor struct {
	w      *theatre
	i      int
	desk   tend.RequestHandler
	claims claim.PersistentState
	record tend.Record
	alive  bool
	life   int // which; events of an earlier one are lost
	born   float64
	drift  float64 // its clock's rate
	leap   float64
	alarm  float64
	router struct {
		runs bool
		mark uint64
	}
	open string // the step that is open
}

type console struct {
	w       *theatre
	i       int
	driver  *roll.Coordinator
	holder  string
	life    int
	bidding int64         // when it first bid
	found   claim.Version // kept by then
	last    form.Rollout
	alarm   float64
}

type event struct {
	at    float64
	order uint64
	do    func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newTheatre(c Claims, n int, r *ClaimsReport) *theatre {
	w := &theatre{
		Claims: c, n: n, report: r, rng: rand.New(rand.NewPCG(c.Seed, uint64(n))), acts: map[string]int64{},
		limits: tend.DefaultLimits(),
	}
	w.limits.HealthCheckSeconds, w.limits.CounterReadSeconds, w.limits.TerminationGraceSeconds = 0.2, 5, 1
	count := 3 + w.rng.IntN(3)
	w.fleet = &plan.Fleet{ZoneMinAvailable: []int{0}, MinAvailable: 1, Timing: plan.Timing{SoakSeconds: 0.3, StaleAfterSeconds: 1.5, ContactTimeoutSeconds: 6, StepTimeoutSeconds: 20}}
	for i := range count {
		w.fleet.Instances = append(w.fleet.Instances, plan.Instance{Agent: i})
		w.names = append(w.names, fmt.Sprint("n", i))
		a := &actor{w: w, i: i, drift: 0.9 + 0.2*w.rng.Float64()}
		a.record = tend.Record{ShouldRun: true, Revision: "a", Incarnation: 1}
		a.router.runs, a.router.mark = true, 1
		w.agents = append(w.agents, a)
		a.birth()
	}
	for i := range c.Operators {
		t := &console{w: w, i: i}
		w.tools = append(w.tools, t)
		w.at(w.rng.Float64()*0.002, t.start) // within two milliseconds
	}
	for range 4 {
		w.at(w.rng.Float64()*roundLasts, w.mishap)
	}
	return w
}

func (w *theatre) at(in float64, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + in, w.order, do})
}

func (w *theatre) play() {
	for len(w.events) > 0 && w.report.OK {
		e := heap.Pop(&w.events).(event)
		if e.at > roundLasts {
			return
		}
		w.now = e.at
		e.do()
	}
}

// mishap ends an agent, or has its clock leap.
func (w *theatre) mishap() {
	a := w.agents[w.rng.IntN(len(w.agents))]
	if w.rng.IntN(4) == 0 {
		a.leap += 60 * (w.rng.Float64() - 0.3)
		return
	}
	a.die(0.1 + w.rng.ExpFloat64()*5)
}

func (a *actor) die(away float64) {
	if !a.alive {
		return
	}
	a.w.report.Deaths++
	a.alive = false
	a.life++
	a.w.at(away, a.birth)
}

func (a *actor) now() float64 { return (a.w.now-a.born)*a.drift + a.leap }

func (a *actor) birth() {
	a.alive, a.born, a.leap = true, a.w.now, 0
	a.life++
	if a.w.Break == "forget" {
		a.claims = claim.PersistentState{}
	}
	a.desk = tend.RequestHandler{Agent: fmt.Sprint("a", a.i), InstanceNames: []string{a.w.names[a.i]}, Lease: claim.Restore(a.claims, 5, 0)}
	x, out := tend.NewSupervisor(a.record, &a.w.limits)
	a.desk.Supervisors = []tend.Supervisor{x}
	a.carry(out.Actions)
	a.tick()
}

// later is something that this life of the agent hears of after a while.
func (a *actor) later(in float64, do func(x *tend.Supervisor) tend.Transition) {
	life := a.life
	a.w.at(in, func() {
		if a.life == life {
			a.event(do)
		}
	})
}

func (a *actor) event(do func(x *tend.Supervisor) tend.Transition) {
	out := do(&a.desk.Supervisors[0])
	if out.Store {
		a.store()
	}
	a.carry(out.Actions)
	a.tick()
}

// store makes the record durable; now and then the agent dies right after it.
func (a *actor) store() {
	x := &a.desk.Supervisors[0]
	a.record = x.Record
	a.saw()
	if a.w.rng.IntN(40) == 0 {
		a.die(0.1 + a.w.rng.ExpFloat64()*4)
	}
}

func (a *actor) carry(do []tend.Action) {
	w := a.w
	for _, e := range do {
		if !a.alive {
			return
		}
		switch e.Kind {
		case tend.ActionFindProcess:
			running := a.router.runs && a.router.mark == e.Incarnation
			a.later(0.01, func(x *tend.Supervisor) tend.Transition { return x.ProcessFound(a.now(), running) })
		case tend.ActionPrepareRevision:
			reload := w.rng.IntN(3) == 0
			a.later(0.02, func(x *tend.Supervisor) tend.Transition {
				return x.RevisionPrepared(a.now(), tend.Preparation{ReloadSuffices: reload, DrainSeconds: 3}, nil)
			})
		case tend.ActionInstallRevision:
			a.later(0.02, func(x *tend.Supervisor) tend.Transition { return x.RevisionInstalled(a.now(), nil) })
		case tend.ActionStart:
			if a.router.runs {
				w.report.Break("round %d, seed %d: a second router was started by agent %d at %.3f", w.n, w.Seed, a.i, w.now)
			}
			a.router.runs, a.router.mark = true, e.Incarnation
			a.later(0.02, func(x *tend.Supervisor) tend.Transition { return x.ProcessStarted(a.now(), e.Incarnation, nil) })
		case tend.ActionHealthCheck:
			ok := a.router.runs
			a.later(0.02, func(x *tend.Supervisor) tend.Transition { return x.HealthChecked(a.now(), ok) })
		case tend.ActionTerminate, tend.ActionKill:
			mark := a.router.mark
			w.at(0.05+w.rng.ExpFloat64()*0.3, func() {
				if a.router.runs && a.router.mark == mark {
					a.router.runs = false
					a.later(0, func(x *tend.Supervisor) tend.Transition { return x.ProcessExited(a.now(), "ended") })
				}
			})
		case tend.ActionReload:
			a.later(0.05, func(x *tend.Supervisor) tend.Transition { return x.ReloadReported(a.now(), "") })
		}
	}
}

func (a *actor) tick() {
	wake := a.desk.Supervisors[0].NextTick()
	if !a.alive || wake > 1e9 {
		return
	}
	in := max(0.01, (wake-a.now())/a.drift)
	a.alarm = a.w.now + in
	alarm := a.alarm
	life := a.life
	a.w.at(in, func() {
		if a.life == life && a.alarm == alarm {
			a.event(func(x *tend.Supervisor) tend.Transition { return x.Tick(a.now()) })
		}
	})
}

// saw notes a step that began or ended, and checks that no other is open.
func (a *actor) saw() {
	w := a.w
	r := &a.record
	name := ""
	if r.Step.Number != 0 && r.Result == plan.StepPending {
		name = fmt.Sprint(r.Step.RolloutID, "/", r.Step.Number, "/", a.i)
	}
	if name == a.open {
		return
	}
	if a.open != "" {
		w.ops = append(w.ops, porcupine.Operation{
			ClientId: 100 + a.i, Input: deed{end: true, step: a.open},
			Call: w.stamp(), Return: w.stamp(),
		})
		if r.Result == plan.StepNotApplied {
			w.report.Undone++
		}
	}
	if a.open = name; name == "" {
		return
	}
	w.report.Steps++
	for _, b := range w.agents {
		if b != a && b.open != "" {
			w.report.Break("round %d, seed %d: at %.3f step %s begins while %s is open", w.n, w.Seed, w.now, name, b.open)
		}
	}
	d := a.desk.Lease
	call, known := w.acts[fmt.Sprint(d.Epoch, r.Step.RolloutID, r.Step.Number)]
	if !known {
		call = w.stamp() // a step that nobody had kept: the history will tell
	}
	w.ops = append(w.ops, porcupine.Operation{
		ClientId: 200 + len(w.ops), Input: deed{epoch: d.Epoch, holder: d.Holder, step: name},
		Call: call, Return: w.stamp(),
	})
}

// stamp is a time for the history: all that happens is in one order.
func (w *theatre) stamp() int64 {
	w.order++
	return int64(w.order)
}

// start has an operator's tool start: it begins a rollout, or goes on with the one there is.
func (t *console) start() {
	w := t.w
	t.life++
	w.spoken++
	t.holder = fmt.Sprint("operator ", t.i, ".", w.spoken)
	task := roll.Task{
		Operation: roll.OperationBegin, Operator: t.holder, Takeover: w.rng.IntN(4) == 0,
		Rollout: form.Rollout{Rollout: plan.Rollout{ID: t.holder, Revision: fmt.Sprint("r", w.spoken)}},
	}
	if t.last.ID != "" && !t.last.State.Terminal() {
		task.Operation = []roll.Operation{roll.OperationResume, roll.OperationResume, roll.OperationRollback, roll.OperationAbort}[w.rng.IntN(4)]
	}
	t.driver = roll.New(roll.Config{
		Fleet: w.fleet, InstanceNames: w.names, Agents: len(w.agents), Holder: t.holder,
		Timing: roll.Timing{PollSeconds: 0.3, MajorityTimeoutSeconds: 4}, Task: task, Random: w.rng.Float64,
	})
	t.bidding, t.found = w.stamp(), w.kept
	t.turn()
	if w.rng.IntN(2) == 0 {
		life := t.life
		w.at(w.rng.ExpFloat64()*8, func() {
			if t.life == life && t.driver != nil {
				w.report.Deaths++
				t.end(w.rng.ExpFloat64() * 10)
			}
		})
	}
}

// end has the tool gone, and started again later.
func (t *console) end(pause float64) {
	t.driver = nil
	t.life++
	t.w.at(0.001+pause, t.start)
}

func (t *console) turn() {
	w := t.w
	sends, wake := t.driver.Tick(w.now)
	for _, e := range t.driver.TakeEvents() {
		if e.AcquiredEpoch == 0 && w.kept.Before(e.RecordVersion) {
			w.kept = e.RecordVersion
		}
		if e.AcquiredEpoch != 0 {
			if e.RecordVersion.Before(t.found) {
				w.report.Break("round %d, seed %d: %s found record %v, but %v had been kept before it bid", w.n, w.Seed,
					t.holder, e.RecordVersion, t.found)
			}
			w.report.Claims++
			w.ops = append(w.ops, porcupine.Operation{
				ClientId: t.i, Input: deed{claim: true, epoch: e.AcquiredEpoch, holder: t.holder},
				Call: t.bidding, Return: w.stamp(),
			})
		}
	}
	for _, s := range sends {
		if s.Request.Verb == form.StoreRecordVerb {
			t.noted(s.Request)
		}
		t.post(s)
	}
	if o, over := t.driver.Outcome(); over {
		t.last = o.Rollout
		switch o.Kind {
		case roll.OutcomeEnded:
			w.report.Ended++
			t.last = o.Rollout
		case roll.OutcomeLeaseHeld, roll.OutcomeFenced:
			w.report.Denied++
		}
		t.end(w.rng.ExpFloat64() * 2)
		return
	}
	life := t.life
	t.alarm = wake
	w.at(wake-w.now, func() {
		if t.life == life && t.alarm == wake {
			t.turn()
		}
	})
}

// noted keeps when the record of a step was first sent to be kept.
func (t *console) noted(c form.Request) {
	var r form.Rollout
	if form.Decode("record", c.Record.Body, &r) == nil && r.CurrentStep.Number != 0 {
		key := fmt.Sprint(c.Epoch, r.ID, r.CurrentStep.Number)
		if _, had := t.w.acts[key]; !had {
			t.w.acts[key] = t.w.stamp()
		}
	}
}

// way is how long a message takes, or that it is lost.
func (w *theatre) way() (float64, bool) {
	if w.rng.Float64() < lossy {
		w.report.Lost++
		return 0, false
	}
	d := 0.001 + w.rng.ExpFloat64()*0.01
	if w.rng.Float64() < slow {
		d += w.rng.ExpFloat64() * 4
	}
	return d, true
}

// post sends a call. Its answer counts within a second; the call may arrive later, and more than once.
func (t *console) post(s roll.OutgoingCall) {
	w, life := t.w, t.life
	answered := false
	copies := 1
	if w.rng.Float64() < doubling {
		copies = 2
		w.report.Doubled++
	}
	for range copies {
		d, ok := w.way()
		if !ok {
			continue
		}
		w.at(d, func() {
			r, ok := w.agents[s.Agent].answer(s.Request)
			back, came := w.way()
			if !ok || !came {
				return
			}
			w.at(back, func() {
				if t.life == life && !answered {
					answered = true
					t.driver.HandleReply(w.now, s.ID, r)
					t.turn()
				}
			})
		})
	}
	w.at(1, func() {
		if t.life == life && !answered {
			answered = true
			t.driver.HandleFailure(w.now, s.ID, "no answer")
			t.turn()
		}
	})
}

func (a *actor) answer(c form.Request) (form.Reply, bool) {
	if !a.alive {
		return form.Reply{}, false
	}
	if a.w.Break == "unfenced" && c.Verb == form.BeginStepVerb {
		c.Epoch, c.Holder = a.desk.Lease.Epoch, a.desk.Lease.Holder
		a.desk.Lease.Acquire(a.now(), claim.Request{Epoch: c.Epoch, Holder: c.Holder})
	}
	if a.w.Break == "unkept" && c.Verb == form.StoreRecordVerb {
		return form.Reply{LeaseState: a.desk.Lease.State(a.now())}, true
	}
	r, s := a.desk.Handle(a.now(), c)
	if c.Verb == form.BeginStepVerb && (r.Denial == claim.StaleEpoch || r.Denial == claim.Expired) {
		a.w.report.Late++
	}
	if s.Lease {
		a.claims = a.desk.Lease.PersistentState
	}
	if s.ChangedInstance >= 0 {
		a.store()
		if !a.alive { // it was stored, and not answered
			return form.Reply{}, false
		}
	}
	a.carry(s.Actions)
	a.tick()
	return r, true
}

// deed is one operation of the history.
type deed struct {
	claim, end bool
	epoch      uint64
	holder     string
	step       string
}

type standing struct {
	epoch  uint64
	holder string
	open   string
}

// oneAtATime is what a claim promises: the epoch grows, only its holder acts, and nobody begins a step while
// another is open.
var oneAtATime = porcupine.Model{
	Init: func() any { return standing{} },
	Step: func(state, input, _ any) (bool, any) {
		s, d := state.(standing), input.(deed)
		switch {
		case d.claim:
			return d.epoch > s.epoch, standing{d.epoch, d.holder, s.open}
		case d.end:
			return s.open == d.step, standing{s.epoch, s.holder, ""}
		}
		return s.open == "" && s.epoch == d.epoch && s.holder == d.holder, standing{s.epoch, s.holder, d.step}
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// judge checks the round's history.
func (w *theatre) judge() {
	holders := map[uint64]string{}
	for _, o := range w.ops {
		if d := o.Input.(deed); !d.end {
			if h, taken := holders[d.epoch]; taken && h != d.holder {
				w.report.Break("round %d, seed %d: epoch %d was %s's and %s's", w.n, w.Seed, d.epoch, h, d.holder)
			}
			holders[d.epoch] = d.holder
		}
	}
	switch porcupine.CheckOperationsTimeout(oneAtATime, w.ops, 5*time.Second) {
	case porcupine.Illegal:
		w.report.Break("round %d, seed %d: the history of claims and steps is in no possible order", w.n, w.Seed)
	case porcupine.Unknown:
		w.report.Unchecked++
	}
}
