// Package roll drives a rollout from an operator's side: it joins the claim (package claim) and the decisions
// (package plan) to the messages of package form, without a socket or a clock. What is to be sent comes back
// as values; answers and failures are handed in. It can die at any point: what it was doing is in the record
// that a majority of agents keeps, and another driver goes on from there.
//
// An agent's word counts only once it has granted this driver's epoch, for only then is it sure that no
// earlier holder can still begin anything there.
package roll

import (
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
)

// Operation is what an operator wants of a rollout.
type Operation int

// Verbs.
const (
	OperationBegin    Operation = iota // a new one
	OperationResume                    // the one that paused, or whose tool is gone
	OperationRollback                  // the newest goes back
	OperationPause                     // it pauses
	OperationAbort                     // it is given up as it stands
)

// Task is what a driver is for.
type Task struct {
	Operation         Operation
	Rollout           form.Rollout // for Begin: ID, Revision, Restart, Name, By, Began, Fleet
	Operator          string
	FleetDigest       string // digest of the list of instances
	Takeover          bool   // also from a holder whose claim still runs
	ExcludedInstances []int  // by word; it holds for this run only
}

// Timing are in seconds.
type Timing struct {
	PollSeconds            float64 // between two looks at an agent, and before anything is said again
	MajorityTimeoutSeconds float64 // up on a majority that does not come
}

// OutgoingCall is a call to be made. ID names it in Heard and Failed.
type OutgoingCall struct {
	ID    uint64
	Agent int
	Call  form.Request
}

// OutcomeKind of an outcome.
type OutcomeKind int

// Kinds of outcomes. All but Ended mean that the rollout was not touched, or not any more, by this driver.
const (
	OutcomeEnded             OutcomeKind = iota // Rollout.State says how
	OutcomeLeaseHeld                            // another holds the claim
	OutcomeNoMajority                           // of agents can be heard, or grants
	OutcomeUnfinishedRollout                    // another rollout is under way or paused
	OutcomeInfeasible                           // Reason: floors allow no step
	OutcomeNoRollout                            // no rollout to go on with
	OutcomeOtherFleet                           // the rollout goes over another list of instances
	OutcomeFenced                               // the claim was taken over by Holder
	OutcomeInterrupted                          // the tool was ended by its operator: the rollout waits to be taken up
)

// Outcome is how a driver ended.
type Outcome struct {
	Kind    OutcomeKind
	Rollout form.Rollout
	Holder  claim.State
	Reason  plan.Reason
	Faults  []string // what agents gave as reasons, for people
}

// Event is something that has come about, for a live view and traces.
type Event struct {
	At            float64
	Action        plan.Action
	Rollout       form.Rollout
	Reason        plan.Reason
	Step          plan.Step     // begun or settled
	AcquiredEpoch uint64        // the epoch, when one was won
	RecordVersion claim.Version // of the record that was found then, or that a majority keeps now
	StepRefusal   string        // an agent's words
}

type phase int

const (
	asking phase = iota
	bidding
	resting // after a bid that was lost to nobody
	running
	releasing
	over
)

const (
	bids     = 6 // in a row that may be lost to nobody
	refusals = 3 // of a step by its agent, in a row, before the rollout pauses
)

// agent is what is known of one.
type agent struct {
	heard    bool // in this phase
	granted  bool // the epoch
	standing claim.State
	record   claim.Record
	wish     form.OperatorRequest
	fault    string
	looking  uint64 // call that is out, or 0
	saying   uint64
	next     float64 // look
	again    float64 // say
	kept     bool    // the record that is being kept
	released bool
}

type out struct {
	agent int
	verb  form.Verb
	sent  float64
	epoch uint64
	stamp claim.Version
	step  uint64
}

// Coordinator drives one rollout.
type Coordinator struct {
	fleet  *plan.Fleet
	names  []string
	list   string // digest of the list of agents
	holder string
	times  Timing
	task   Task
	chance func() float64

	phase    phase
	since    float64 // the phase
	tries    int
	campaign *claim.Campaign
	agents   []agent
	byAgent  [][]int // instances
	calls    map[uint64]out
	last     uint64 // ID
	outcome  Outcome

	planner *plan.Planner
	rollout form.Rollout
	sights  []plan.Observation
	told    []form.InstanceStatus
	number  uint64 // of the record kept last, in this epoch
	keeping *keeping
	acting  plan.Step // to be sent
	actAt   float64
	refused int
	majorAt float64 // a majority was last heard of in this epoch
	events  []Event
}

// keeping is a record on its way to a majority.
type keeping struct {
	record  claim.Record
	rollout form.Rollout
	what    plan.Action
	why     plan.Reason
	step    plan.Step
}

// New is a driver that has sent nothing. names are the instances', agents how many there are, list the digest
// of the list of them; holder must be this driver's alone. chance draws from 0 to 1.
func New(f *plan.Fleet, names []string, agents int, list, holder string, t Timing, task Task, chance func() float64) *Coordinator {
	d := &Coordinator{
		fleet: f, names: names, list: list, holder: holder, times: t, task: task, chance: chance,
		agents: make([]agent, agents), byAgent: make([][]int, agents), calls: map[uint64]out{},
		sights: make([]plan.Observation, len(names)), told: make([]form.InstanceStatus, len(names)),
	}
	slices.Sort(d.task.ExcludedInstances)
	for i, x := range f.Instances {
		d.byAgent[x.Agent] = append(d.byAgent[x.Agent], i)
		d.sights[i].SeenAt = math.Inf(-1)
	}
	return d
}

// Outcome tells whether the driver has ended, and how.
func (d *Coordinator) Outcome() (Outcome, bool) { return d.outcome, d.phase == over }

// Quit has the driver give its claim back and end. A step under way goes on by itself.
func (d *Coordinator) Quit(now float64) {
	if d.phase != over && !(d.phase == releasing && d.outcome.Kind != OutcomeNoMajority) {
		d.tries = bids
		d.release(now, Outcome{Kind: OutcomeInterrupted, Rollout: d.rollout})
	}
}

// TakeEvents returns what has come about since the last call.
func (d *Coordinator) TakeEvents() []Event {
	e := d.events
	d.events = nil
	return e
}

// View is how the rollout stands, for people.
type View struct {
	Rollout   form.Rollout
	Finished  int
	Serving   int
	Instances []form.InstanceStatus
	Epoch     uint64
}

// View tells how things stand now.
func (d *Coordinator) View(now float64) View {
	v := View{Rollout: d.rollout, Instances: d.told}
	if d.planner != nil {
		v.Finished, v.Serving = d.planner.FinishedCount(d.sights), d.planner.ServingCount(now, d.sights)
		v.Epoch = d.campaign.Request.Epoch
	}
	return v
}

func (d *Coordinator) send(now float64, a int, c form.Request) OutgoingCall {
	d.last++
	o := out{agent: a, verb: c.Verb, sent: now, stamp: c.Record.Version, step: c.Step.Number, epoch: c.Epoch}
	if c.Verb == form.RequestLeaseVerb {
		o.epoch = c.LeaseRequest.Epoch
	}
	d.calls[d.last] = o
	if c.Verb == form.StatusVerb || c.Verb == form.RequestLeaseVerb {
		d.agents[a].looking = d.last
	} else {
		d.agents[a].saying = d.last
	}
	c.AgentsDigest = d.list
	return OutgoingCall{d.last, a, c}
}

func (d *Coordinator) enter(now float64, p phase) {
	d.phase, d.since = p, now
	for i := range d.agents {
		a := &d.agents[i]
		// What is still out belongs to the phase before, and is not waited for.
		a.heard, a.looking, a.saying, a.next, a.again, a.fault = false, 0, 0, now, now, ""
		if p == bidding {
			a.granted, a.kept = false, false
		}
	}
	clear(d.calls)
}

// Tick returns the calls that are due, and when to ask again at the latest.
func (d *Coordinator) Tick(now float64) ([]OutgoingCall, float64) {
	var sends []OutgoingCall
	wake := now + d.times.PollSeconds
	switch d.phase {
	case asking, bidding:
		d.count(now)
	case resting:
		if now >= d.since {
			d.enter(now, asking)
		}
	case running:
		d.decide(now)
	case releasing:
		d.released(now)
	}
	if d.phase == over || d.phase == resting {
		return nil, wake
	}
	for i := range d.agents {
		if c, due := d.look(now, i); due {
			sends = append(sends, d.send(now, i, c))
		}
		if c, due := d.say(now, i); due {
			sends = append(sends, d.send(now, i, c))
		}
		wake = min(wake, max(d.agents[i].next, now+d.times.PollSeconds/4))
	}
	return sends, wake
}

// look is the call that learns how an agent stands.
func (d *Coordinator) look(now float64, i int) (form.Request, bool) {
	a := &d.agents[i]
	if a.looking != 0 || now < a.next {
		return form.Request{}, false
	}
	switch d.phase {
	case asking:
		if !a.heard {
			return form.Request{Verb: form.StatusVerb}, true
		}
	case bidding:
		if !a.heard {
			return form.Request{Verb: form.RequestLeaseVerb, LeaseRequest: d.campaign.Request}, true
		}
	case running:
		if !a.granted {
			return form.Request{Verb: form.RequestLeaseVerb, LeaseRequest: d.campaign.Request}, true
		}
		return form.Request{Verb: form.StatusVerb, Epoch: d.campaign.Request.Epoch, Holder: d.holder}, true
	}
	return form.Request{}, false
}

// say is the call that changes something.
func (d *Coordinator) say(now float64, i int) (form.Request, bool) {
	a := &d.agents[i]
	if a.saying != 0 || now < a.again {
		return form.Request{}, false
	}
	epoch := uint64(0)
	if d.campaign != nil {
		epoch = d.campaign.Request.Epoch
	}
	switch {
	case d.phase == releasing && !a.released:
		return form.Request{Verb: form.ReleaseLeaseVerb, Epoch: epoch, Holder: d.holder}, true
	case d.phase != running || !a.granted:
	case d.keeping != nil && !a.kept:
		return form.Request{Verb: form.StoreRecordVerb, Epoch: epoch, Holder: d.holder, Record: d.keeping.record}, true
	case d.acting.Number != 0 && d.fleet.Instances[d.acting.Instance].Agent == i && now >= d.actAt:
		step := d.acting
		d.acting, d.actAt = plan.Step{}, now+d.times.PollSeconds
		return form.Request{Verb: form.BeginStepVerb, Epoch: epoch, Holder: d.holder, InstanceName: d.names[step.Instance], Step: step}, true
	}
	return form.Request{}, false
}

// take gives a call's agent free again. A call that is no longer waited for is not known.
func (d *Coordinator) take(now float64, id uint64) (out, *agent, bool) {
	o, ok := d.calls[id]
	if !ok {
		return o, nil, false
	}
	delete(d.calls, id)
	a := &d.agents[o.agent]
	if a.looking == id {
		a.looking, a.next = 0, now+d.times.PollSeconds
	}
	if a.saying == id {
		a.saying = 0
	}
	return o, a, true
}

// HandleFailure tells that a call had no answer. What it asked for may have been done.
func (d *Coordinator) HandleFailure(now float64, id uint64, why string) {
	o, a, ok := d.take(now, id)
	if !ok {
		return
	}
	a.fault = why
	a.again = now + d.times.PollSeconds
	switch {
	case d.phase == asking:
		a.heard = true
	case d.phase == bidding:
		a.heard = true
		d.campaign.AddUnreachable(o.agent)
	case d.phase == releasing:
		a.released = true
	}
}

// HandleReply takes an answer in.
func (d *Coordinator) HandleReply(now float64, id uint64, r form.Reply) {
	o, a, ok := d.take(now, id)
	if !ok {
		return
	}
	a.standing, a.fault = r.LeaseState, r.Failure
	if o.verb == form.StatusVerb {
		a.wish = r.OperatorRequest
		d.see(o, r)
	}
	switch d.phase {
	case asking:
		a.heard, a.record = true, r.Record
	case bidding:
		a.heard = true
		a.granted = r.Denial == claim.Granted
		d.campaign.AddReply(o.agent, r.Denial, r.LeaseState, r.Record)
	case releasing:
		a.released = true
	case running:
		d.answered(now, o, a, r)
	}
}

func (d *Coordinator) answered(now float64, o out, a *agent, r form.Reply) {
	epoch := d.campaign.Request.Epoch
	switch {
	case o.epoch != epoch:
		return
	case r.LeaseState.Epoch > epoch || r.Denial == claim.StaleEpoch:
		// Somebody bid higher: either the claim is theirs, or they failed and this driver must bid again.
		a.granted = false
		d.bid(now, max(r.LeaseState.Epoch, epoch)+1, false)
		return
	case r.Denial != claim.Granted:
		a.granted = false // its claim ran out there, or it was never granted: bid there anew
		a.again = now + d.times.PollSeconds
		if r.Denial == claim.Expired {
			d.bid(now, epoch+1, false)
		}
		return
	}
	switch o.verb {
	case form.RequestLeaseVerb:
		a.granted, a.next = true, now
	case form.StoreRecordVerb:
		if d.keeping != nil && o.stamp == d.keeping.record.Version {
			a.kept = true
			d.commit(now)
		}
	case form.BeginStepVerb:
		if r.Failure == "" {
			d.refused = 0
			a.next = now
			return
		}
		d.events = append(d.events, Event{At: now, StepRefusal: r.Failure, Step: d.rollout.CurrentStep, Rollout: d.rollout})
		if d.refused++; d.refused >= refusals && d.keeping == nil && o.step == d.rollout.CurrentStep.Number {
			d.follow(now, d.planner.StepRefused(r.Failure))
		}
	}
}

// see takes in what an agent tells of its instances. In a run it counts only from an agent that has granted
// the epoch, and it is as old as the call at least.
func (d *Coordinator) see(o out, r form.Reply) {
	if d.phase == running && (r.Denial != claim.Granted || o.epoch != d.campaign.Request.Epoch) {
		return
	}
	for _, i := range d.byAgent[o.agent] {
		for _, t := range r.Instances {
			if t.Name == d.names[i] {
				d.told[i] = t
				d.sights[i] = t.Observation
				d.sights[i].SeenAt = o.sent - t.AgeSeconds
			}
		}
	}
}

func (d *Coordinator) bid(now float64, epoch uint64, takeover bool) {
	d.campaign = claim.NewCampaign(claim.Request{Epoch: epoch, Holder: d.holder, Takeover: takeover}, len(d.agents))
	d.keeping, d.acting = nil, plan.Step{}
	for i := range d.sights {
		d.sights[i].SeenAt = math.Inf(-1) // what was seen under another epoch says nothing of this one
	}
	d.enter(now, bidding)
}

// count looks whether enough was heard in the phases that gather answers. An agent that says nothing is given
// up when its call fails.
func (d *Coordinator) count(now float64) {
	heard, reached := 0, 0
	for i := range d.agents {
		if d.agents[i].heard {
			heard++
			if d.agents[i].fault == "" {
				reached++
			}
		}
	}
	if d.phase == asking {
		if heard < len(d.agents) {
			return
		}
		if reached < claim.Majority(len(d.agents)) {
			d.finish(Outcome{Kind: OutcomeNoMajority})
			return
		}
		top, holder, blocked := d.standings()
		first := d.planner == nil
		if blocked && !(first && d.task.Takeover) {
			kind := OutcomeLeaseHeld
			if !first {
				kind = OutcomeFenced
			}
			d.finish(Outcome{Kind: kind, Holder: holder, Rollout: d.newest()})
			return
		}
		d.bid(now, top+1, first && d.task.Takeover)
		return
	}
	switch d.campaign.Result() {
	case claim.Won:
		if heard == len(d.agents) {
			d.won(now)
		}
	case claim.Lost:
		if heard == len(d.agents) {
			d.lost(now)
		}
	}
}

// standings tells the highest epoch, and who else holds a claim: of a majority, which makes it whole.
func (d *Coordinator) standings() (top uint64, holder claim.State, blocked bool) {
	held := map[string]int{}
	for i := range d.agents {
		s := d.agents[i].standing
		top = max(top, s.Epoch)
		if s.Held && s.Holder != d.holder {
			if held[s.Holder]++; s.RemainingSeconds > holder.RemainingSeconds || holder.Holder == "" {
				holder = s
			}
			blocked = blocked || held[s.Holder] >= claim.Majority(len(d.agents))
		}
	}
	return top, holder, blocked
}

// newest is the newest record that any agent told of, for people: no majority stands behind it.
func (d *Coordinator) newest() form.Rollout {
	var best claim.Record
	for i := range d.agents {
		if best.Version.Before(d.agents[i].record.Version) {
			best = d.agents[i].record
		}
	}
	var r form.Rollout
	if best.Body != nil {
		_ = form.Decode("record", best.Body, &r) // one that cannot be read is shown as none
	}
	return r
}

func (d *Coordinator) lost(now float64) {
	_, holder, blocked := d.standings()
	switch {
	case blocked && d.planner != nil:
		d.release(now, Outcome{Kind: OutcomeFenced, Holder: holder, Rollout: d.rollout})
	case blocked:
		d.release(now, Outcome{Kind: OutcomeLeaseHeld, Holder: holder, Rollout: d.newest()})
	case d.tries >= bids:
		d.release(now, Outcome{Kind: OutcomeNoMajority, Holder: holder, Rollout: d.rollout})
	default: // lost to nobody: two bid at once, or too few can be heard
		d.tries++
		d.release(now, Outcome{Kind: OutcomeNoMajority})
	}
}

// release gives back what was granted, and then the driver ends, or bids again after a while.
func (d *Coordinator) release(now float64, o Outcome) {
	d.outcome = o
	d.enter(now, releasing)
	for i := range d.agents {
		d.agents[i].released = !d.agents[i].granted
	}
	d.released(now)
}

func (d *Coordinator) released(now float64) {
	for i := range d.agents {
		if !d.agents[i].released {
			return
		}
	}
	if d.outcome.Kind == OutcomeNoMajority && d.tries > 0 && d.tries < bids && d.planner == nil {
		d.phase, d.since = resting, now+d.times.PollSeconds*(0.2+d.chance()*float64(int(1)<<d.tries))
		return
	}
	if d.outcome.Kind == OutcomeNoMajority && d.planner != nil && now-d.majorAt < d.times.MajorityTimeoutSeconds {
		d.phase, d.since = resting, now+d.times.PollSeconds*(0.2+d.chance())
		return
	}
	d.finish(d.outcome)
}

func (d *Coordinator) finish(o Outcome) {
	for i := range d.agents {
		if d.agents[i].fault != "" {
			o.Faults = append(o.Faults, d.agents[i].fault)
		}
	}
	slices.Sort(o.Faults)
	o.Faults = slices.Compact(o.Faults)
	d.outcome, d.phase = o, over
}

// won starts a run under an epoch: with what the newest record says, changed as the task wants it.
func (d *Coordinator) won(now float64) {
	d.tries, d.majorAt = 0, now
	d.events = append(d.events, Event{At: now, AcquiredEpoch: d.campaign.Request.Epoch, RecordVersion: d.campaign.NewestRecord().Version})
	var r form.Rollout
	if rec := d.campaign.NewestRecord(); rec.Body != nil {
		if err := form.Decode("record", rec.Body, &r); err != nil {
			d.release(now, Outcome{Kind: OutcomeNoRollout, Reason: plan.Reason{Detail: err.Error()}})
			return
		}
	}
	again := d.planner != nil // the same run under a higher epoch
	if again && (r.ID != d.rollout.ID || r.Run != d.rollout.Run) {
		d.release(now, Outcome{Kind: OutcomeFenced, Rollout: r})
		return
	}
	if !again {
		var stop *Outcome
		if r, stop = d.begun(r); stop != nil {
			d.release(now, *stop)
			return
		}
	}
	d.planner = plan.NewPlanner(d.fleet, r.Rollout)
	d.rollout = r
	d.number = 0
	d.enter(now, running)
	d.keep(now, r, plan.ActionWait, plan.Reason{})
}

// begun is the rollout as the task wants it, or why there is none.
func (d *Coordinator) begun(r form.Rollout) (form.Rollout, *Outcome) {
	existed := r.ID != ""
	if d.task.Operation == OperationBegin {
		if existed && !r.State.Terminal() {
			return r, &Outcome{Kind: OutcomeUnfinishedRollout, Rollout: r}
		}
		if why := plan.CheckFeasible(d.fleet, d.task.ExcludedInstances); why.Kind != plan.ReasonNone {
			return r, &Outcome{Kind: OutcomeInfeasible, Reason: why}
		}
		r = d.task.Rollout
		r.State, r.Run, r.ExcludedInstances = plan.Running, 1, d.task.ExcludedInstances
		return r, nil
	}
	switch {
	case !existed || d.task.Operation != OperationRollback && r.State.Terminal():
		return r, &Outcome{Kind: OutcomeNoRollout, Rollout: r}
	case r.InstancesDigest != d.task.FleetDigest:
		return r, &Outcome{Kind: OutcomeOtherFleet, Rollout: r}
	}
	r.Run++
	r.StepsNotApplied = 0
	switch d.task.Operation {
	case OperationPause:
		r.State, r.RequestedBy, r.Reason = plan.Paused, d.task.Operator, plan.Reason{Kind: plan.ReasonOperator}
		return r, nil
	case OperationAbort:
		r.State, r.RequestedBy, r.Reason = plan.Aborted, d.task.Operator, plan.Reason{Kind: plan.ReasonOperator}
		return r, nil
	case OperationRollback:
		if !r.RollingBack {
			r.RollingBack, r.RollbackCause = true, plan.Reason{Kind: plan.ReasonOperator}
		}
		r.RequestedBy = d.task.Operator
	}
	if why := plan.CheckFeasible(d.fleet, d.task.ExcludedInstances); why.Kind != plan.ReasonNone {
		return r, &Outcome{Kind: OutcomeInfeasible, Reason: why, Rollout: r}
	}
	r.State, r.ExcludedInstances = plan.Running, d.task.ExcludedInstances
	return r, nil
}

// keep has a rollout kept by a majority; commit goes on from there.
func (d *Coordinator) keep(now float64, r form.Rollout, what plan.Action, why plan.Reason) {
	d.number++
	d.keeping = &keeping{what: what, why: why, step: d.planner.Rollout.CurrentStep, rollout: r, record: claim.Record{
		Version: claim.Version{Epoch: d.campaign.Request.Epoch, Number: d.number}, Body: form.Encode(r),
	}}
	for i := range d.agents {
		d.agents[i].kept, d.agents[i].again = false, now
	}
}

// follow has a decision kept.
func (d *Coordinator) follow(now float64, dec plan.Decision) {
	r := d.rollout
	r.Rollout = dec.Rollout
	if by := d.wish().Operator; by != "" && dec.Reason.Kind == plan.ReasonOperator {
		r.RequestedBy = by
	}
	d.keep(now, r, dec.Action, dec.Reason)
}

func (d *Coordinator) commit(now float64) {
	kept := 0
	for i := range d.agents {
		if d.agents[i].kept {
			kept++
		}
	}
	if kept < claim.Majority(len(d.agents)) {
		return
	}
	k := d.keeping
	d.keeping = nil
	d.rollout, d.planner.Rollout, d.majorAt = k.rollout, k.rollout.Rollout, now
	step := k.step
	if k.what == plan.ActionBeginStep {
		step = k.rollout.CurrentStep
		d.actAt, d.refused = now, 0 // the planner has it sent, if it may still be
	}
	d.events = append(d.events, Event{
		At: now, Action: k.what, Rollout: d.rollout, Reason: k.why, Step: step,
		RecordVersion: k.record.Version,
	})
	if d.rollout.State != plan.Running {
		d.release(now, Outcome{Kind: OutcomeEnded, Rollout: d.rollout, Reason: d.rollout.Reason})
	}
}

func (d *Coordinator) wish() form.OperatorRequest {
	var best form.OperatorRequest
	for i := range d.agents {
		if w := d.agents[i].wish; w.RolloutID == d.rollout.ID && w.Run == d.rollout.Run && w.Action > best.Action {
			best = w
		}
	}
	return best
}

// decide asks the planner once nothing is being kept.
func (d *Coordinator) decide(now float64) {
	if d.keeping != nil {
		if now-d.majorAt >= d.times.MajorityTimeoutSeconds {
			d.release(now, Outcome{Kind: OutcomeNoMajority, Rollout: d.rollout})
		}
		return
	}
	d.majorAt = now
	switch dec := d.planner.Next(now, d.sights, d.wish().Action); dec.Action {
	case plan.ActionWait:
	case plan.ActionResendStep:
		if now >= d.actAt {
			d.acting = dec.Step
		}
	default:
		d.follow(now, dec)
	}
}

// PendingCalls is the number of calls that are out.
func (d *Coordinator) PendingCalls() int { return len(d.calls) }
