package supervisor

import (
	"errors"
	"fmt"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// failureRouterServes is the failure of a step that is not applied because its router serves: the router became ready by
// itself after the tool observed it. The tool did not check the minimums for this step, because it counted the router
// as not serving. By now the router may be the last one that serves.
const failureRouterServes = "the router came up by itself, and the step is only for a router that does not serve"

// Errors of BeginStep without further detail.
var (
	errProcessUnknown = errors.New("the agent has just started and does not know its routers yet")
	errIncompleteStep = errors.New("the step has no number or no revision")
)

// BeginStep begins a step. If it returns an error, the step was not begun. A repeat of the step that was begun last
// changes nothing and returns no error.
func (s *Supervisor) BeginStep(step rollout.Step) (Transition, error) {
	sameRollout := s.Step.RolloutID == step.RolloutID
	switch {
	case sameRollout && s.Step.Number == step.Number:
		return Transition{}, nil
	case sameRollout && step.Number < s.Step.Number:
		return Transition{}, fmt.Errorf("step %d is older than step %d, which was begun last", step.Number, s.Step.Number)
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
			s.endStep(rollout.StepNotApplied, failureRouterServes)
			return Transition{Store: true}, nil
		}
	}
	s.crashes = 0
	s.enter(phasePreparing, never)
	prepare := Action{Kind: ActionPrepareRevision, Revision: step.Revision}
	return Transition{Store: true, Actions: []Action{prepare}}, nil
}

// setStep records a new pending step, which has not changed anything yet.
func (s *Supervisor) setStep(step rollout.Step) {
	s.Step = step
	s.Result = rollout.StepPending
	s.Failure = ""
	s.MayHaveChanged = false
	s.Reload = false
	s.Replaced = false
}

// endStep records the result of the pending step. failure is the reason if it failed or was not applied, or empty.
func (s *Supervisor) endStep(result rollout.StepResult, failure string) {
	s.Result = result
	s.Failure = failure
	s.commandsAtStepEnd = s.commands
}

// Preparation is how a prepared revision can be applied to an instance.
type Preparation struct {
	ReloadSuffices bool    // the running process can reload the revision without a restart
	DrainSeconds   float64 // how long the running process may take to end
}

// RevisionPrepared handles the outcome of ActionPrepareRevision: how the revision can be applied, or the error that
// prevents it.
func (s *Supervisor) RevisionPrepared(now float64, p Preparation, err error) Transition {
	if s.phase != phasePreparing {
		return Transition{}
	}
	if err != nil {
		s.endStep(rollout.StepFailed, err.Error())
		s.continueWithoutStep(now)
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

// continueWithoutStep continues after a step that failed before it installed its file. It enters the phase in which a
// router in this state is when no step is pending.
func (s *Supervisor) continueWithoutStep(now float64) {
	switch {
	case s.state == rollout.ProcessDown && s.ShouldRun:
		s.enter(phaseBackoff, now+s.limits.MinBackoffSeconds)
	case s.state == rollout.ProcessStarting:
		s.enter(phaseAwaitingReady, never)
	default:
		s.enter(phaseIdle, never)
	}
}

// install requests the installation of the step's configuration file.
func (s *Supervisor) install(t *Transition) {
	s.enter(phaseInstalling, never)
	t.Actions = append(t.Actions, Action{Kind: ActionInstallRevision, Revision: s.Step.Revision})
}

// RevisionInstalled handles the outcome of ActionInstallRevision. After a success it reloads or starts the process.
func (s *Supervisor) RevisionInstalled(now float64, err error) Transition {
	if s.phase != phaseInstalling {
		return Transition{}
	}
	if err != nil {
		s.endStep(rollout.StepFailed, err.Error())
		if s.Reload {
			s.enter(phaseIdle, never)
		} else {
			s.continueWithoutStep(now)
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
	s.Reload = false // the process to reload may have exited in the meantime
	s.Replaced = true
	s.start(&t)
	return t
}

// ReloadReported handles the router's report after ActionReload. failure is the reason why the router rejected its
// configuration file, or empty if it now uses the file.
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
