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
)

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
