package rollout

import "math"

// Planner decides what happens next in one rollout. Besides the rollout it keeps only since when it has been waiting and
// for which reason, so a new planner for the same rollout starts its timeouts again.
type Planner struct {
	Fleet   *Fleet  // the planner does not change it
	Rollout Rollout // as a majority of agents stores it; the caller replaces it after a decision is stored

	waitReason   Reason  // why the planner waits
	waitingSince float64 // in seconds; -Inf if it is not waiting
}

// NewPlanner returns a planner that continues a rollout.
func NewPlanner(f *Fleet, r Rollout) *Planner {
	return &Planner{Fleet: f, Rollout: r, waitingSince: math.Inf(-1)}
}

// Next decides what to do now, given one observation of each instance and the request, if any, that an operator has
// sent with another tool. The planner follows a request only while no step is under way.
func (p *Planner) Next(now float64, observations []Observation, request OperatorRequest) Decision {
	if p.Rollout.State != Running {
		return p.wait(Reason{Kind: ReasonNothingToDo})
	}
	if p.Rollout.CurrentStep.Number != 0 {
		decision, completed := p.continueStep(now, observations)
		if !completed {
			return decision
		}
		rollout := p.Rollout
		rollout.CurrentStep = Step{}
		rollout.StepsNotApplied = 0
		return p.decide(ActionCompleteStep, rollout, Reason{})
	}
	switch request {
	case RequestNone:
	case RequestPause:
		return p.finish(Paused, Reason{Kind: ReasonOperator})
	case RequestAbort:
		return p.finish(Aborted, Reason{Kind: ReasonOperator})
	case RequestRollback:
		if !p.Rollout.RollingBack {
			return p.startRollback(Reason{Kind: ReasonOperator})
		}
	}
	if reason := p.findBusy(now, observations); reason.isSet() {
		return p.waitFor(now, reason, p.Fleet.Timing.ContactTimeoutSeconds)
	}
	return p.nextInstance(now, observations)
}

// StepRefused returns the decision to pause because the agent of the current step refuses to begin it. The step stays in
// the rollout: the tool that resumes the rollout resolves the step first.
func (p *Planner) StepRefused(detail string) Decision {
	reason := Reason{Kind: ReasonStepRefused, Instance: p.Rollout.CurrentStep.Instance, Detail: detail}
	return p.finish(Paused, reason)
}

// ServingCount returns the number of instances that serve at now.
func (p *Planner) ServingCount(now float64, observations []Observation) int {
	return p.countServing(now, observations).total
}

// FinishedCount returns the number of instances that the rollout no longer has to change.
func (p *Planner) FinishedCount(observations []Observation) int {
	finished := 0
	for i := range observations {
		if p.finished(&observations[i]) {
			finished++
		}
	}
	return finished
}

func (p *Planner) countServing(now float64, observations []Observation) instanceCounts {
	return p.Fleet.count(func(instance int) bool { return p.serving(&observations[instance], now) })
}

// known reports whether an observation is recent enough to count.
func (p *Planner) known(o *Observation, now float64) bool {
	return now-o.SeenAt <= p.Fleet.Timing.StaleAfterSeconds
}

// serving reports whether an instance counts as serving. It must be known, ready and not in a step.
func (p *Planner) serving(o *Observation, now float64) bool {
	return p.known(o, now) && o.State == ProcessReady && !o.stepPending()
}

// finished reports whether the rollout no longer has to change an instance. A rollback has to change only the instances
// that the rollout has changed.
func (p *Planner) finished(o *Observation) bool {
	changed := o.LastStep.RolloutID == p.Rollout.ID
	if !p.Rollout.RollingBack {
		return changed && !o.LastStep.Rollback && o.LastResult == StepSucceeded
	}
	if !changed {
		return true
	}
	if o.LastStep.Rollback {
		return o.LastResult == StepSucceeded
	}
	return o.LastResult == StepNotApplied && o.Revision == o.PreviousRevision
}

// findBusy returns the reason for the first instance that may be in a step, or ReasonNone. Every instance that is not
// excluded must be known and not in a step.
func (p *Planner) findBusy(now float64, observations []Observation) Reason {
	for i := range observations {
		observation := &observations[i]
		switch {
		case p.Rollout.excludes(i):
		case !p.known(observation, now):
			return Reason{Kind: ReasonAgentUnreachable, Instance: i}
		case observation.State == ProcessUnknown:
			return Reason{Kind: ReasonProcessUnknown, Instance: i}
		case observation.stepPending():
			return Reason{Kind: ReasonInstanceBusy, Instance: i}
		}
	}
	return Reason{}
}

// nextInstance decides to begin a step of the next instance that the minimums allow. Instances that do not serve come
// first, because a step of theirs cannot lower the number of serving instances.
func (p *Planner) nextInstance(now float64, observations []Observation) Decision {
	for i := range observations {
		if p.remaining(i, observations) && !p.serving(&observations[i], now) {
			return p.beginStep(i, &observations[i])
		}
	}
	serving := p.countServing(now, observations)
	var blocked Reason
	for i := range observations {
		if !p.remaining(i, observations) {
			continue
		}
		reason := p.Fleet.checkMinimums(serving, p.Fleet.Instances[i].Zone)
		if !reason.isSet() {
			return p.beginStep(i, &observations[i])
		}
		if !blocked.isSet() {
			blocked = reason
			blocked.Instance = i
		}
	}
	if blocked.isSet() {
		return p.waitFor(now, blocked, p.Fleet.Timing.ContactTimeoutSeconds)
	}
	return p.finishAll(observations)
}

// remaining reports whether the rollout still has to change an instance.
func (p *Planner) remaining(instance int, observations []Observation) bool {
	return !p.Rollout.excludes(instance) && !p.finished(&observations[instance])
}

// finishAll decides to end a rollout when no instance except excluded ones remains to be changed. If an excluded instance
// remains, the rollout pauses instead.
func (p *Planner) finishAll(observations []Observation) Decision {
	skipped := 0
	for _, i := range p.Rollout.ExcludedInstances {
		if !p.finished(&observations[i]) {
			skipped++
		}
	}
	switch {
	case skipped > 0:
		return p.finish(Paused, Reason{Kind: ReasonInstancesExcluded, Have: skipped})
	case p.Rollout.RollingBack:
		return p.finish(RolledBack, p.Rollout.RollbackCause)
	}
	return p.finish(Complete, Reason{})
}

// rollBackOrPause decides what follows a failed step: a rollout rolls back, and a rollback pauses.
func (p *Planner) rollBackOrPause(reason Reason) Decision {
	if p.Rollout.RollingBack {
		reason.Kind = ReasonCannotRollBack
		reason.Detail = "the rollback failed too: " + reason.Detail
		return p.finish(Paused, reason)
	}
	return p.startRollback(reason)
}

func (p *Planner) startRollback(cause Reason) Decision {
	rollout := p.Rollout
	rollout.RollingBack = true
	rollout.RollbackCause = cause
	rollout.CurrentStep = Step{}
	rollout.StepsNotApplied = 0
	return p.decide(ActionStartRollback, rollout, cause)
}

// finish decides to end or pause the rollout. The current step stays in the rollout: the tool that resumes the rollout
// resolves the step first.
func (p *Planner) finish(s State, reason Reason) Decision {
	rollout := p.Rollout
	rollout.State = s
	rollout.Reason = reason
	return p.decide(ActionFinish, rollout, reason)
}

// decide returns a decision that changes the rollout to r, and ends any wait.
func (p *Planner) decide(action Action, r Rollout, reason Reason) Decision {
	p.waitingSince = math.Inf(-1)
	p.waitReason = Reason{}
	return Decision{Action: action, Step: r.CurrentStep, Rollout: r, Reason: reason}
}

// waitFor decides to wait until a reason no longer holds, or to pause the rollout after a timeout. A reason of the same
// kind and instance continues the wait, even if its other fields differ.
func (p *Planner) waitFor(now float64, reason Reason, timeoutSeconds float64) Decision {
	waiting := p.waitingSince != math.Inf(-1)
	sameReason := p.waitReason.Kind == reason.Kind && p.waitReason.Instance == reason.Instance
	if !waiting || !sameReason {
		p.waitingSince = now
		p.waitReason = reason
	}
	if now-p.waitingSince >= timeoutSeconds {
		return p.finish(Paused, reason)
	}
	return p.wait(reason)
}

func (p *Planner) wait(reason Reason) Decision {
	return Decision{Action: ActionWait, Rollout: p.Rollout, Reason: reason}
}
