package rollout

import "math"

// maxStepsNotApplied is the number of consecutive steps that were not applied after which the rollout pauses.
const maxStepsNotApplied = 3

// Margins within which chance explains a larger share of unanswered commands. The number of unanswered commands must
// exceed the number expected from the earlier share by more than unansweredDeviations standard deviations plus
// unansweredAllowance commands. The allowance is there because small numbers vary more.
const (
	unansweredDeviations = 3
	unansweredAllowance  = 1
)

// beginStep decides to begin a step of an instance, or to pause if a rollback has no revision to return it to.
func (p *Planner) beginStep(instance int, observation *Observation) Decision {
	rollout := p.Rollout
	rollout.StepsBegun++
	rollout.CommandsBeforeStep = observation.RecentCommands
	rollout.CurrentStep = Step{
		RolloutID: rollout.ID, Number: rollout.StepsBegun, Instance: instance, Revision: rollout.Revision,
		Rollback: rollout.RollingBack, Restart: rollout.Restart,
	}
	if rollout.RollingBack {
		if observation.PreviousRevision == "" {
			reason := Reason{Kind: ReasonCannotRollBack, Instance: instance, Detail: "it has no previous revision"}
			return p.finish(Paused, reason)
		}
		rollout.CurrentStep.Revision = observation.PreviousRevision
	}
	return p.decide(ActionBeginStep, rollout, Reason{})
}

// continueStep decides what to do about the current step. If the step is completed, it returns true and no decision.
func (p *Planner) continueStep(now float64, observations []Observation) (decision Decision, completed bool) {
	step := p.Rollout.CurrentStep
	if p.Rollout.excludes(step.Instance) {
		return Decision{}, true
	}
	observation := &observations[step.Instance]
	timing := &p.Fleet.Timing
	if !p.known(observation, now) {
		reason := Reason{Kind: ReasonAgentUnreachable, Instance: step.Instance}
		return p.waitFor(now, reason, timing.ContactTimeoutSeconds), false
	}
	begun := observation.LastStep.RolloutID == step.RolloutID && observation.LastStep.Number == step.Number
	if !begun {
		if observation.stepPending() {
			reason := Reason{Kind: ReasonInstanceBusy, Instance: step.Instance}
			return p.waitFor(now, reason, timing.ContactTimeoutSeconds), false
		}
		return p.resendStep(now, observations), false
	}
	switch observation.LastResult {
	case StepPending:
		reason := Reason{Kind: ReasonStepUnresolved, Instance: step.Instance}
		return p.waitFor(now, reason, timing.StepTimeoutSeconds), false
	case StepNotApplied:
		return p.stepNotApplied(), false
	case StepFailed:
		reason := Reason{Kind: ReasonStepFailed, Instance: step.Instance, Detail: observation.LastFailure}
		return p.rollBackOrPause(reason), false
	case StepSucceeded:
	}
	return p.soak(observation)
}

// stepNotApplied decides to drop the current step, so that the planner can choose the instance again. After
// maxStepsNotApplied of these in a row the rollout pauses.
func (p *Planner) stepNotApplied() Decision {
	rollout := p.Rollout
	instance := rollout.CurrentStep.Instance
	rollout.CurrentStep = Step{}
	rollout.StepsNotApplied++
	if rollout.StepsNotApplied >= maxStepsNotApplied {
		rollout.State = Paused
		rollout.Reason = Reason{Kind: ReasonStepNeverApplied, Instance: instance, Have: rollout.StepsNotApplied}
		return p.decide(ActionFinish, rollout, rollout.Reason)
	}
	return p.decide(ActionCompleteStep, rollout, Reason{})
}

// resendStep decides to send the current step if it is still allowed. The observations on which the step was decided,
// perhaps by another tool, may be out of date.
func (p *Planner) resendStep(now float64, observations []Observation) Decision {
	step := p.Rollout.CurrentStep
	reason := p.findBusy(now, observations)
	serving := p.serving(&observations[step.Instance], now)
	if !reason.isSet() && serving {
		zone := p.Fleet.Instances[step.Instance].Zone
		reason = p.Fleet.checkMinimums(p.countServing(now, observations), zone)
	}
	if reason.isSet() {
		return p.waitFor(now, reason, p.Fleet.Timing.ContactTimeoutSeconds)
	}
	unresolved := Reason{Kind: ReasonStepUnresolved, Instance: step.Instance}
	decision := p.waitFor(now, unresolved, p.Fleet.Timing.StepTimeoutSeconds)
	if decision.Action == ActionWait {
		step.OnlyIfNotServing = !serving
		decision.Action = ActionResendStep
		decision.Step = step
	}
	return decision
}

// soak checks that the changed instance serves well for the soak time before the planner changes the next one.
func (p *Planner) soak(observation *Observation) (decision Decision, completed bool) {
	instance := p.Rollout.CurrentStep.Instance
	after := observation.CommandsSinceStep
	switch {
	case observation.State != ProcessReady:
		reason := Reason{Kind: ReasonSoakFailed, Instance: instance, Detail: observation.State.String()}
		return p.rollBackOrPause(reason), false
	case moreUnanswered(p.Rollout.CommandsBeforeStep, after):
		reason := Reason{
			Kind: ReasonMoreUnanswered, Instance: instance, Have: int(after.Unanswered), Need: int(after.Completed),
		}
		return p.rollBackOrPause(reason), false
	case observation.ReadySeconds < p.Fleet.Timing.SoakSeconds:
		return p.wait(Reason{Kind: ReasonNone, Instance: instance}), false
	}
	return Decision{}, true
}

// moreUnanswered reports whether the share of unanswered commands has grown by more than chance explains. This detects
// a revision with which a router is ready but fails to answer commands.
func moreUnanswered(before, after CommandCounts) bool {
	if after.Completed == 0 {
		return false
	}
	share := 0.0
	if before.Completed > 0 {
		share = float64(before.Unanswered) / float64(before.Completed)
	}
	expected := share * float64(after.Completed)
	deviation := math.Sqrt(expected * (1 - share))
	return float64(after.Unanswered) > expected+unansweredDeviations*deviation+unansweredAllowance
}
