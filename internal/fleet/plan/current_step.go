package plan

import "math"

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
