package supervisor

import (
	"errors"
	"fmt"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// failureServes is the failure of a step that is not applied because its router serves. The router came up by itself
// between the tool's observation and the step; the tool did not check the minimums, as it counted the router as not
// serving, and it may be the last one that serves by now.
const failureServes = "the router came up by itself; the step was meant for one that does not serve"

// Errors of BeginStep that need no detail.
var (
	errProcessUnknown = errors.New("the agent has just started and does not know its routers yet")
	errIncompleteStep = errors.New("the step has no number or no revision")
)

// BeginStep begins a step, or returns why it does not. A repeat of the step that was begun last changes nothing.
func (s *Supervisor) BeginStep(step rollout.Step) (Transition, error) {
	sameRollout := s.Step.RolloutID == step.RolloutID
	switch {
	case sameRollout && s.Step.Number == step.Number:
		return Transition{}, nil
	case sameRollout && step.Number < s.Step.Number:
		return Transition{}, fmt.Errorf("step %d comes after step %d", step.Number, s.Step.Number)
	case s.state == rollout.ProcessUnknown:
		return Transition{}, errProcessUnknown
	case s.stepPending():
		return Transition{}, fmt.Errorf("step %d of rollout %s is under way", s.Step.Number, s.Step.RolloutID)
	case step.Number == 0 || step.Revision == "":
		return Transition{}, errIncompleteStep
	}
	if !sameRollout {
		s.PreviousRevision = s.Revision
	}
	s.setStep(step)
	if s.state == rollout.ProcessReady {
		if s.Revision == step.Revision && !step.Restart {
			s.endStep(rollout.StepSucceeded, "")
			return Transition{Store: true}, nil
		}
		if step.OnlyIfNotServing {
			s.endStep(rollout.StepNotApplied, failureServes)
			return Transition{Store: true}, nil
		}
	}
	s.crashes = 0
	s.enter(phasePreparing, never)
	prepare := Action{Kind: ActionPrepareRevision, Revision: step.Revision}
	return Transition{Store: true, Actions: []Action{prepare}}, nil
}

// setStep records a step that has changed nothing yet.
func (s *Supervisor) setStep(step rollout.Step) {
	s.Step = step
	s.Result = rollout.StepPending
	s.Failure = ""
	s.MayHaveChanged = false
	s.Reload = false
	s.Replaced = false
}

// endStep ends the pending step.
func (s *Supervisor) endStep(result rollout.StepResult, failure string) {
	s.Result = result
	s.Failure = failure
	s.commandsAtStepEnd = s.commands
}

// Preparation is how a revision can be put in place.
type Preparation struct {
	ReloadSuffices bool    // the running process need not be restarted
	DrainSeconds   float64 // that the running process may take to end
}

// RevisionPrepared takes in the outcome of ActionPrepareRevision: how the revision can be put in place, or the error
// for which it cannot.
func (s *Supervisor) RevisionPrepared(now float64, p Preparation, err error) Transition {
	if s.phase != phasePreparing {
		return Transition{}
	}
	if err != nil {
		s.endStep(rollout.StepFailed, err.Error())
		s.leaveUnchanged(now)
		return Transition{Store: true}
	}
	s.MayHaveChanged = true
	s.ShouldRun = true
	s.Reload = p.ReloadSuffices && s.state == rollout.ProcessReady && !s.Step.Restart
	s.DrainSeconds = p.DrainSeconds
	t := Transition{Store: true}
	if s.Reload || s.state == rollout.ProcessDown || s.state == rollout.ProcessCrashLooping {
		s.install(&t)
	} else {
		s.terminate(now, &t)
	}
	return t
}

// leaveUnchanged returns to the phase before a step that has changed nothing.
func (s *Supervisor) leaveUnchanged(now float64) {
	switch {
	case s.state == rollout.ProcessDown && s.ShouldRun:
		s.enter(phaseBackoff, now+s.limits.MinBackoffSeconds)
	case s.state == rollout.ProcessStarting:
		s.enter(phaseAwaitingReady, never)
	default:
		s.enter(phaseIdle, never)
	}
}

// install has the step's file put in place.
func (s *Supervisor) install(t *Transition) {
	s.enter(phaseInstalling, never)
	t.Actions = append(t.Actions, Action{Kind: ActionInstallRevision, Revision: s.Step.Revision})
}

// RevisionInstalled takes in the outcome of ActionInstallRevision.
func (s *Supervisor) RevisionInstalled(now float64, err error) Transition {
	if s.phase != phaseInstalling {
		return Transition{}
	}
	if err != nil {
		s.endStep(rollout.StepFailed, err.Error())
		if s.Reload {
			s.enter(phaseIdle, never)
		} else {
			s.leaveUnchanged(now)
		}
		return Transition{Store: true}
	}
	s.Revision = s.Step.Revision
	t := Transition{Store: true}
	if s.Reload && s.state != rollout.ProcessDown {
		s.enter(phaseReloading, now+s.limits.ReadyTimeoutSeconds)
		t.add(ActionReload)
		return t
	}
	s.Reload = false // the process may have exited meanwhile
	s.Replaced = true
	s.start(&t)
	return t
}

// ReloadReported takes in what the router reported of its file after ActionReload: why it could not use it, or
// nothing if it does.
func (s *Supervisor) ReloadReported(now float64, failure string) Transition {
	if s.phase != phaseReloading {
		return Transition{}
	}
	s.becomeReady(now)
	if failure == "" {
		s.endStep(rollout.StepSucceeded, "")
	} else {
		s.endStep(rollout.StepFailed, failure)
	}
	return Transition{Store: true}
}
