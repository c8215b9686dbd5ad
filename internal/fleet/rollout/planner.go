package rollout

import "math"

// Planner decides over one rollout. Beside the rollout it keeps only how long it has been waiting for the same
// thing: a new planner for the same rollout waits anew.
type Planner struct {
	Fleet   *Fleet  // not changed
	Rollout Rollout // as a majority of agents stores it; the caller replaces it once a decision is stored

	waitReason   Reason
	waitingSince float64 // -Inf: it is not waiting
}

// NewPlanner returns a planner that continues a rollout.
func NewPlanner(f *Fleet, r Rollout) *Planner {
	return &Planner{Fleet: f, Rollout: r, waitingSince: math.Inf(-1)}
}

// Next decides what to do at a time, given one observation of each instance and what an operator has requested of
// the rollout from another tool. A request is followed once no step is under way.
func (p *Planner) Next(now float64, observations []Observation, request OperatorRequest) Decision {
	if p.Rollout.State != Running {
		return p.wait(Reason{Kind: ReasonNothingToDo})
	}
	if p.Rollout.CurrentStep.Number != 0 {
		decision, completed := p.continueStep(now, observations)
		if !completed {
			return decision
		}
		r := p.Rollout
		r.CurrentStep = Step{}
		r.StepsNotApplied = 0
		return p.decide(ActionCompleteStep, r, Reason{})
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

// StepRefused decides to pause because the agent of the current step refuses to begin it. The step stays in the
// rollout: whoever resumes it resolves the step first.
func (p *Planner) StepRefused(detail string) Decision {
	reason := Reason{Kind: ReasonStepRefused, Instance: p.Rollout.CurrentStep.Instance, Detail: detail}
	return p.finish(Paused, reason)
}

// ServingCount counts the instances that serve.
func (p *Planner) ServingCount(now float64, observations []Observation) int {
	return p.countServing(now, observations).total
}

// FinishedCount counts the instances that are where the rollout wants them.
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

// known tells whether an observation is not stale.
func (p *Planner) known(o *Observation, now float64) bool {
	return now-o.SeenAt <= p.Fleet.Timing.StaleAfterSeconds
}

// serving tells whether an instance counts as serving: it is known to be ready and not in a step.
func (p *Planner) serving(o *Observation, now float64) bool {
	return p.known(o, now) && o.State == ProcessReady && !o.stepPending()
}

// finished tells whether an instance is where the rollout wants it. A rollback wants only those instances back
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

// findBusy looks for an instance that may be in a step of another rollout, and gives the reason of the first:
// excluded instances aside, each must be known and in no step.
func (p *Planner) findBusy(now float64, observations []Observation) Reason {
	for i := range observations {
		o := &observations[i]
		switch {
		case p.Rollout.excludes(i):
		case !p.known(o, now):
			return Reason{Kind: ReasonAgentUnreachable, Instance: i}
		case o.State == ProcessUnknown:
			return Reason{Kind: ReasonProcessUnknown, Instance: i}
		case o.stepPending():
			return Reason{Kind: ReasonInstanceBusy, Instance: i}
		}
	}
	return Reason{}
}

// nextInstance begins a step of the next instance. One that does not serve comes first: its step cannot lower the
// number of serving instances.
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

// remaining tells whether an instance is still to be changed.
func (p *Planner) remaining(instance int, observations []Observation) bool {
	return !p.Rollout.excludes(instance) && !p.finished(&observations[instance])
}

// finishAll ends a rollout in which only excluded instances may remain. If some do, it pauses.
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

// rollBackOrPause reacts to a failure: a rollout rolls back, a rollback pauses.
func (p *Planner) rollBackOrPause(reason Reason) Decision {
	if p.Rollout.RollingBack {
		reason.Kind = ReasonCannotRollBack
		reason.Detail = "the way back failed too: " + reason.Detail
		return p.finish(Paused, reason)
	}
	return p.startRollback(reason)
}

func (p *Planner) startRollback(cause Reason) Decision {
	r := p.Rollout
	r.RollingBack = true
	r.RollbackCause = cause
	r.CurrentStep = Step{}
	r.StepsNotApplied = 0
	return p.decide(ActionStartRollback, r, cause)
}

// finish ends or pauses the rollout. Its current step stays: whoever resumes the rollout resolves the step first.
func (p *Planner) finish(s State, reason Reason) Decision {
	r := p.Rollout
	r.State = s
	r.Reason = reason
	return p.decide(ActionFinish, r, reason)
}

// decide returns a decision that changes the rollout to r. Whatever was waited for is over.
func (p *Planner) decide(action Action, r Rollout, reason Reason) Decision {
	p.waitingSince = math.Inf(-1)
	p.waitReason = Reason{}
	return Decision{Action: action, Step: r.CurrentStep, Rollout: r, Reason: reason}
}

// waitFor waits for a reason to pass, and pauses the rollout after a timeout. Reasons that differ only in their
// numbers are the same wait.
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
