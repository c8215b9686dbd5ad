// Package plan decides what happens next in a rollout: from what was seen of a fleet, with its age, and from
// what is wanted, the next step, a wait, or an end with its reason. It does no input or output and has no
// clock: times are seconds on the clock of whoever asks. Instances, halls and agents are indices.
//
// One instance at a time. What is not known counts as not serving where the floors are concerned, and as
// perhaps busy for everything else, so nothing begins while an instance is unknown that nobody left out by
// word. A step whose end is not known is resolved before another instance is touched.
package plan

import (
	"math"
	"slices"
)

// Fleet is what a rollout goes over.
type Fleet struct {
	Instances        []Instance
	ZoneMinAvailable []int // the floor of each: instances that must serve
	MinAvailable     int   // of the whole
	Timing           Timing
}

// Instance is where one router belongs.
type Instance struct{ Zone, Agent int }

// Timing are in seconds.
type Timing struct {
	SoakSeconds           float64 // that a changed instance must serve well before the next
	StaleAfterSeconds     float64 // after which what was seen is no longer known
	ContactTimeoutSeconds float64 // that an unknown or missing instance is waited for before a rollout pauses
	StepTimeoutSeconds    float64 // that a step may take
}

// ProcessState is what an agent knows of an instance's process.
type ProcessState int

// Lives of an instance.
const (
	ProcessUnknown      ProcessState = iota // its agent has not found out yet
	ProcessDown                             // no process
	ProcessStarting                         // not yet ready
	ProcessReady                            // answers an empty query
	ProcessDraining                         // told to end
	ProcessCrashLooping                     // ended so often that it is no longer started
)

var processStates = [...]string{"unknown", "down", "starting", "ready", "draining", "broken"}

func (l ProcessState) String() string { return processStates[l] }

// StepResult is how a step ended.
type StepResult int

// Ends of a step.
const (
	StepPending    StepResult = iota // not yet
	StepSucceeded                    // the instance runs the revision and was seen ready
	StepFailed                       // it does not
	StepNotApplied                   // it came to nothing, as when its agent died before it did anything: nothing has changed
)

// Step is one change of one instance. Numbers grow over a rollout, also over its epochs.
type Step struct {
	RolloutID        string `cbor:"Rollout"`
	Number           uint64 `cbor:"Number"`
	Instance         int    `cbor:"Instance"`
	Revision         string `cbor:"Revision"`
	Rollback         bool   `cbor:"Back"`    // to what ran before the rollout
	Restart          bool   `cbor:"Restart"` // also where a reload would do
	OnlyIfNotServing bool   `cbor:"Idle"`    // sent with no floor asked, as the instance did not serve: an agent that finds it ready does nothing
}

// CommandCounts counts commands that came to an end.
type CommandCounts struct {
	Completed  uint64 `cbor:"Ended"`
	Unanswered uint64 `cbor:"Unanswered"`
}

// Observation is what was last seen of an instance.
type Observation struct {
	SeenAt            float64       `cbor:"Seen"` // when, on the asker's clock; -Inf: never
	State             ProcessState  `cbor:"Life"`
	Revision          string        `cbor:"Revision"` // that it runs, or is to run
	LastStep          Step          `cbor:"Last"`     // the newest that its agent began
	LastResult        StepResult    `cbor:"End"`      // of that
	LastFailure       string        `cbor:"Why"`      // it failed
	PreviousRevision  string        `cbor:"Before"`   // revision before the first step of Last.Rollout
	RecentCommands    CommandCounts `cbor:"Recent"`   // of the last while, a soak's length or so
	CommandsSinceStep CommandCounts `cbor:"Since"`    // since the end of the last step
	ReadySeconds      float64       `cbor:"ReadyFor"`
}

// State of a rollout.
type State int

// States of a rollout.
const (
	None State = iota
	Running
	Paused
	Complete   // every instance is on the revision
	RolledBack // every instance that was touched is back on what it ran before
	Aborted    // given up by word, as it stood
)

var states = [...]string{"none", "running", "paused", "complete", "rolled back", "aborted"}

func (s State) String() string { return states[s] }

// Terminal tells whether a rollout takes no more steps unless it is begun again.
func (s State) Terminal() bool { return s != Running && s != Paused }

// OperatorRequest is what an operator asks of a rollout that another tool drives.
type OperatorRequest int

// Wishes.
const (
	RequestNone OperatorRequest = iota
	RequestPause
	RequestAbort
	RequestRollback
)

// Rollout is what is wanted and how far it has come; what the agents keep of it.
type Rollout struct {
	ID                 string        `cbor:"ID"`
	Revision           string        `cbor:"Revision"`
	Restart            bool          `cbor:"Restart"` // restart also what a reload would do for
	RollingBack        bool          `cbor:"Back"`    // it goes back to what ran before
	State              State         `cbor:"State"`
	Reason             Reason        `cbor:"Why"`    // it paused or ended
	RollbackCause      Reason        `cbor:"Cause"`  // it turned
	ExcludedInstances  []int         `cbor:"Out"`    // instances left out by an operator's word, in order
	CurrentStep        Step          `cbor:"Step"`   // under way; Number 0: none
	CommandsBeforeStep CommandCounts `cbor:"Was"`    // of the step's instance before it
	StepsBegun         uint64        `cbor:"Steps"`  // begun so far
	StepsNotApplied    int           `cbor:"Undone"` // steps in a row that came to nothing
}

// ReasonKind of a reason.
type ReasonKind int

// Kinds of reasons.
const (
	ReasonNone              ReasonKind = iota
	ReasonOperator                     // an operator's
	ReasonAgentUnreachable             // Instance's agent is not heard from
	ReasonProcessUnknown               // Instance's agent does not know it yet
	ReasonInstanceBusy                 // Instance is in a step of another rollout
	ReasonStepUnresolved               // Instance's step has no known end in time
	ReasonZoneMinimum                  // Hall would keep Have instances, its floor is Need
	ReasonFleetMinimum                 // the fleet would keep Have, its floor is Need
	ReasonStepFailed                   // Instance did not come up with the revision
	ReasonSoakFailed                   // Instance ended or was not ready in its soak
	ReasonMoreUnanswered               // Instance leaves Have of Need commands unanswered, more than before
	ReasonCannotRollBack               // Instance's way back failed as well, or it ran nothing before
	ReasonInstancesExcluded            // Have instances were left out
	ReasonStepNeverApplied             // Instance's agent died before acting, or its router came up by itself, Have times in a row
	ReasonStepRefused                  // Instance's agent will not begin the step
	ReasonNothingToDo                  // nothing to be done
)

// Reason says why, for people to be told in names.
type Reason struct {
	Kind     ReasonKind `cbor:"Kind"`
	Instance int        `cbor:"Instance"`
	Zone     int        `cbor:"Hall"`
	Have     int        `cbor:"Have"`
	Need     int        `cbor:"Need"`
	Detail   string     `cbor:"Detail"`
}

// Action to do.
type Action int

// What is to be done next.
const (
	ActionWait          Action = iota // look again
	ActionBeginStep                   // have Step kept, then carried out
	ActionResendStep                  // send the step under way once more: its agent has not begun it
	ActionCompleteStep                // the step under way has ended well: keep that
	ActionFinish                      // have Rollout's new State kept: it has come to an end or pauses
	ActionStartRollback               // have it kept that the rollout goes back from here
)

// Decision is what to do next. Rollout is as it is to be kept first, for all but Wait and Repeat.
type Decision struct {
	Action  Action
	Step    Step
	Rollout Rollout
	Reason  Reason
}

// patience with what keeps ending before it begins, and what a share of failures may differ by chance:
// standard deviations, and commands.
const (
	undoneTries = 3
	deviations  = 3
	grainOfSalt = 1
)

// Planner goes over one rollout. What it keeps beside that is how long it has been waiting for the same
// thing; a planner made anew waits anew.
type Planner struct {
	Fleet   *Fleet
	Rollout Rollout
	why     Reason
	since   float64
}

// NewPlanner takes up a rollout.
func NewPlanner(f *Fleet, r Rollout) *Planner {
	return &Planner{Fleet: f, Rollout: r, since: math.Inf(-1)}
}

// counts are instances by hall and in all.
type counts struct {
	hall  []int
	whole int
}

func (f *Fleet) count(which func(i int) bool) counts {
	c := counts{hall: make([]int, len(f.ZoneMinAvailable))}
	for i := range f.Instances {
		if which(i) {
			c.hall[f.Instances[i].Zone]++
			c.whole++
		}
	}
	return c
}

// CheckFeasible tells at once whether floors let any step be taken, were every instance but the left out ones
// serving. Instances of a hall that allows none are told of, one of them.
func CheckFeasible(f *Fleet, out []int) Reason {
	c := f.count(func(i int) bool { return !has(out, i) })
	if c.whole == 0 {
		return Reason{Kind: ReasonNothingToDo}
	}
	for hall, n := range c.hall {
		if n == 0 {
			continue
		}
		if why := f.floors(c, hall); why.Kind != ReasonNone {
			return why
		}
	}
	return Reason{}
}

// floors tells whether enough would still serve with one of a hall's serving instances less.
func (f *Fleet) floors(serving counts, hall int) Reason {
	if have := serving.hall[hall] - 1; have < f.ZoneMinAvailable[hall] {
		return Reason{Kind: ReasonZoneMinimum, Zone: hall, Have: have, Need: f.ZoneMinAvailable[hall]}
	}
	if have := serving.whole - 1; have < f.MinAvailable {
		return Reason{Kind: ReasonFleetMinimum, Have: have, Need: f.MinAvailable}
	}
	return Reason{}
}

func (p *Planner) known(s *Observation, now float64) bool {
	return now-s.SeenAt <= p.Fleet.Timing.StaleAfterSeconds
}

// serving is for the floors: known, ready, and not in a step.
func (p *Planner) serving(s *Observation, now float64) bool {
	return p.known(s, now) && s.State == ProcessReady && (s.LastStep.Number == 0 || s.LastResult != StepPending)
}

// ServingCount counts the instances that serve.
func (p *Planner) ServingCount(now float64, sights []Observation) int {
	n := 0
	for i := range sights {
		if p.serving(&sights[i], now) {
			n++
		}
	}
	return n
}

// Finished tells whether an instance is where the rollout wants it, and counts as touched if the rollout
// has ever changed it.
func (p *Planner) finished(s *Observation) bool {
	mine := s.LastStep.RolloutID == p.Rollout.ID
	if p.Rollout.RollingBack {
		return !mine || s.LastStep.Rollback && s.LastResult == StepSucceeded || !s.LastStep.Rollback && s.LastResult == StepNotApplied && s.Revision == s.PreviousRevision
	}
	return mine && !s.LastStep.Rollback && s.LastResult == StepSucceeded
}

// FinishedCount counts the instances that are where the rollout wants them.
func (p *Planner) FinishedCount(sights []Observation) int {
	n := 0
	for i := range sights {
		if p.finished(&sights[i]) {
			n++
		}
	}
	return n
}

// Next decides. wish is what was asked of the rollout from outside.
func (p *Planner) Next(now float64, sights []Observation, wish OperatorRequest) Decision {
	if p.Rollout.State != Running {
		return p.wait(Reason{Kind: ReasonNothingToDo})
	}
	if p.Rollout.CurrentStep.Number != 0 {
		if d, settled := p.underWay(now, sights); !settled {
			return d
		}
		r := p.Rollout
		r.CurrentStep, r.StepsNotApplied = Step{}, 0
		return p.keep(ActionCompleteStep, r, Reason{})
	}
	switch wish {
	case RequestPause:
		return p.finish(Paused, Reason{Kind: ReasonOperator})
	case RequestAbort:
		return p.finish(Aborted, Reason{Kind: ReasonOperator})
	case RequestRollback:
		if !p.Rollout.RollingBack {
			return p.turn(Reason{Kind: ReasonOperator})
		}
	}
	if why := p.obstacle(now, sights); why.Kind != ReasonNone {
		return p.patience(now, why, p.Fleet.Timing.ContactTimeoutSeconds)
	}
	return p.choose(now, sights)
}

// obstacle is the first instance that may be busy: one that is not known, or in a step that is not ours.
func (p *Planner) obstacle(now float64, sights []Observation) Reason {
	for i := range sights {
		s := &sights[i]
		switch {
		case has(p.Rollout.ExcludedInstances, i):
		case !p.known(s, now):
			return Reason{Kind: ReasonAgentUnreachable, Instance: i}
		case s.State == ProcessUnknown:
			return Reason{Kind: ReasonProcessUnknown, Instance: i}
		case s.LastStep.Number != 0 && s.LastResult == StepPending:
			return Reason{Kind: ReasonInstanceBusy, Instance: i}
		}
	}
	return Reason{}
}

// choose picks the next instance: one that does not serve anyway comes first, since it can only gain.
func (p *Planner) choose(now float64, sights []Observation) Decision {
	serving := p.Fleet.count(func(i int) bool { return p.serving(&sights[i], now) })
	var first Reason
	for _, idle := range []bool{true, false} {
		for i := range sights {
			s := &sights[i]
			if has(p.Rollout.ExcludedInstances, i) || p.finished(s) || p.serving(s, now) == idle {
				continue
			}
			if why := p.Fleet.floors(serving, p.Fleet.Instances[i].Zone); !idle && why.Kind != ReasonNone {
				if first.Kind == ReasonNone {
					first = why
					first.Instance = i
				}
				continue
			}
			return p.begin(i, s)
		}
	}
	if first.Kind != ReasonNone {
		return p.patience(now, first, p.Fleet.Timing.ContactTimeoutSeconds)
	}
	left := 0
	for _, i := range p.Rollout.ExcludedInstances {
		if !p.finished(&sights[i]) {
			left++
		}
	}
	switch {
	case left > 0:
		return p.finish(Paused, Reason{Kind: ReasonInstancesExcluded, Have: left})
	case p.Rollout.RollingBack:
		return p.finish(RolledBack, p.Rollout.RollbackCause)
	}
	return p.finish(Complete, Reason{})
}

func (p *Planner) begin(i int, s *Observation) Decision {
	r := p.Rollout
	r.StepsBegun++
	r.CurrentStep = Step{RolloutID: r.ID, Number: r.StepsBegun, Instance: i, Revision: r.Revision, Rollback: r.RollingBack, Restart: r.Restart}
	r.CommandsBeforeStep = s.RecentCommands
	if r.RollingBack {
		if s.PreviousRevision == "" {
			return p.finish(Paused, Reason{Kind: ReasonCannotRollBack, Instance: i, Detail: "it ran nothing before"})
		}
		r.CurrentStep.Revision = s.PreviousRevision
	}
	return p.keep(ActionBeginStep, r, Reason{})
}

// underWay looks after the step that has begun; settled once nothing of it is open.
func (p *Planner) underWay(now float64, sights []Observation) (Decision, bool) {
	step := p.Rollout.CurrentStep
	i := step.Instance
	s, t := &sights[i], &p.Fleet.Timing
	if has(p.Rollout.ExcludedInstances, i) {
		return Decision{}, true
	}
	if !p.known(s, now) {
		return p.patience(now, Reason{Kind: ReasonAgentUnreachable, Instance: i}, t.ContactTimeoutSeconds), false
	}
	begun := s.LastStep.RolloutID == step.RolloutID && s.LastStep.Number == step.Number
	switch {
	case !begun && s.LastStep.Number != 0 && s.LastResult == StepPending:
		return p.patience(now, Reason{Kind: ReasonInstanceBusy, Instance: i}, t.ContactTimeoutSeconds), false
	case !begun:
		return p.send(now, sights), false
	case s.LastResult == StepPending:
		return p.patience(now, Reason{Kind: ReasonStepUnresolved, Instance: i}, t.StepTimeoutSeconds), false
	case s.LastResult == StepNotApplied:
		r := p.Rollout
		r.CurrentStep = Step{}
		if r.StepsNotApplied++; r.StepsNotApplied >= undoneTries {
			r.State = Paused
			return p.keep(ActionFinish, r, Reason{Kind: ReasonStepNeverApplied, Instance: i, Have: r.StepsNotApplied}), false
		}
		return p.keep(ActionCompleteStep, r, Reason{}), false
	case s.LastResult == StepFailed:
		return p.bad(Reason{Kind: ReasonStepFailed, Instance: i, Detail: s.LastFailure}), false
	}
	return p.soak(now, i, s)
}

// StepRefused pauses because the agent of the step under way will not begin it. The step stays on record.
func (p *Planner) StepRefused(detail string) Decision {
	return p.finish(Paused, Reason{Kind: ReasonStepRefused, Instance: p.Rollout.CurrentStep.Instance, Detail: detail})
}

// send has the step under way sent, if it may still be: what was seen when it was decided, perhaps by another
// tool, need no longer hold.
func (p *Planner) send(now float64, sights []Observation) Decision {
	i := p.Rollout.CurrentStep.Instance
	why := p.obstacle(now, sights)
	idle := !p.serving(&sights[i], now)
	if why.Kind == ReasonNone && !idle {
		serving := p.Fleet.count(func(j int) bool { return p.serving(&sights[j], now) })
		why = p.Fleet.floors(serving, p.Fleet.Instances[i].Zone)
	}
	if why.Kind != ReasonNone {
		return p.patience(now, why, p.Fleet.Timing.ContactTimeoutSeconds)
	}
	d := p.patience(now, Reason{Kind: ReasonStepUnresolved, Instance: i}, p.Fleet.Timing.StepTimeoutSeconds)
	if d.Action == ActionWait {
		d.Action, d.Step = ActionResendStep, p.Rollout.CurrentStep
		d.Step.OnlyIfNotServing = idle
	}
	return d
}

// soak sees a changed instance serve before the next is touched.
func (p *Planner) soak(now float64, i int, s *Observation) (Decision, bool) {
	switch {
	case s.State != ProcessReady:
		return p.bad(Reason{Kind: ReasonSoakFailed, Instance: i, Detail: s.State.String()}), false
	case worse(p.Rollout.CommandsBeforeStep, s.CommandsSinceStep):
		return p.bad(Reason{Kind: ReasonMoreUnanswered, Instance: i, Have: int(s.CommandsSinceStep.Unanswered), Need: int(s.CommandsSinceStep.Completed)}), false
	case s.ReadySeconds < p.Fleet.Timing.SoakSeconds:
		return p.wait(Reason{Kind: ReasonNone, Instance: i}), false
	}
	return Decision{}, true
}

// worse tells whether the share of commands left unanswered has grown by more than chance explains. It
// guards against a revision with which a router serves, but fails.
func worse(was, is CommandCounts) bool {
	if is.Completed == 0 {
		return false
	}
	share := 0.0
	if was.Completed > 0 {
		share = float64(was.Unanswered) / float64(was.Completed)
	}
	expected := share * float64(is.Completed)
	return float64(is.Unanswered) > expected+deviations*math.Sqrt(expected*(1-share))+grainOfSalt
}

// bad turns the rollout round, or pauses one that goes back already.
func (p *Planner) bad(why Reason) Decision {
	if p.Rollout.RollingBack {
		why.Kind, why.Detail = ReasonCannotRollBack, "the way back failed too: "+why.Detail
		return p.finish(Paused, why)
	}
	return p.turn(why)
}

func (p *Planner) turn(why Reason) Decision {
	r := p.Rollout
	r.RollingBack, r.CurrentStep, r.RollbackCause, r.StepsNotApplied = true, Step{}, why, 0
	return p.keep(ActionStartRollback, r, why)
}

// finish ends or pauses. The step under way stays on record: a rollout that is taken up again resolves it.
func (p *Planner) finish(s State, why Reason) Decision {
	r := p.Rollout
	r.State, r.Reason = s, why
	return p.keep(ActionFinish, r, why)
}

func (p *Planner) keep(w Action, r Rollout, why Reason) Decision {
	p.since, p.why = math.Inf(-1), Reason{}
	if w == ActionFinish {
		r.Reason = why
	}
	return Decision{Action: w, Step: r.CurrentStep, Rollout: r, Reason: why}
}

// patience waits for something to pass by itself, for so long, and then pauses. Have and Need may change
// meanwhile: it is the same wait.
func (p *Planner) patience(now float64, why Reason, most float64) Decision {
	if p.since == math.Inf(-1) || p.why.Kind != why.Kind || p.why.Instance != why.Instance {
		p.since, p.why = now, why
	}
	if now-p.since >= most {
		return p.finish(Paused, why)
	}
	return p.wait(why)
}

func (p *Planner) wait(why Reason) Decision {
	return Decision{Action: ActionWait, Rollout: p.Rollout, Reason: why}
}

// has looks into a list that is in order.
func has(list []int, i int) bool {
	_, found := slices.BinarySearch(list, i)
	return found
}
