package supervisor

import (
	"math"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// ProcessFound handles the outcome of ActionFindProcess: whether the process of the record's incarnation runs. It
// resolves a step that was pending when the previous agent process ended.
func (s *Supervisor) ProcessFound(now float64, running bool) Transition {
	if s.phase != phaseFinding {
		return Transition{}
	}
	var t Transition
	if s.stepPending() && !s.MayHaveChanged {
		s.endStep(rollout.StepNotApplied, "the agent ended before the step had changed anything")
		t.Store = true
	}
	switch {
	case s.stepPending():
		s.resumeStep(now, running, &t)
	case running:
		// The process may be serving clients. In the state ProcessStarting it would count as not serving, and a rollout
		// would change the router without checking the minimums, even if it is the last router that serves.
		s.state = rollout.ProcessUnknown
		s.awaitReady(now, &t)
	default:
		s.startIfShouldRun(&t)
	}
	return t
}

// resumeStep continues a step that was pending when the previous agent process ended, from the first action that may not
// have been carried out.
func (s *Supervisor) resumeStep(now float64, running bool, t *Transition) {
	switch {
	case s.Reload && running:
		s.state = rollout.ProcessStarting
		s.install(t)
	case !s.Replaced && running:
		s.state = rollout.ProcessStarting
		s.enter(phaseConfirming, now+s.limits.TerminationGraceSeconds)
	case !s.Replaced:
		s.state = rollout.ProcessDown
		s.Reload = false
		s.install(t)
	case running:
		s.state = rollout.ProcessStarting
		s.awaitReady(now, t)
	default:
		s.startIfShouldRun(t)
	}
}

// startIfShouldRun starts the router if it is meant to run, and otherwise waits for a step.
func (s *Supervisor) startIfShouldRun(t *Transition) {
	if s.ShouldRun {
		s.start(t)
		return
	}
	s.state = rollout.ProcessDown
	s.enter(phaseIdle, never)
}

// terminate requests SIGTERM for the process. Tick requests SIGKILL if it still runs after DrainSeconds.
func (s *Supervisor) terminate(now float64, t *Transition) {
	s.state = rollout.ProcessDraining
	s.enter(phaseTerminating, now+s.DrainSeconds)
	t.add(ActionTerminate)
}

// start requests the start of a process under a new incarnation.
func (s *Supervisor) start(t *Transition) {
	s.Incarnation++
	s.state = rollout.ProcessStarting
	s.commands = rollout.CommandCounts{}
	s.commandsAtStepEnd = rollout.CommandCounts{}
	s.readings = readings{}
	s.enter(phaseStarting, never)
	t.Store = true
	t.Actions = append(t.Actions, Action{Kind: ActionStart, Incarnation: s.Incarnation})
}

// ProcessStarted handles the outcome of ActionStart. An error counts as an exit of the process.
func (s *Supervisor) ProcessStarted(now float64, incarnation uint64, err error) Transition {
	if s.phase != phaseStarting || incarnation != s.Incarnation {
		return Transition{}
	}
	if err != nil {
		return s.ProcessExited(now, err.Error())
	}
	var t Transition
	s.awaitReady(now, &t)
	return t
}

// awaitReady waits until the process answers a health check. During a step it waits at most
// Limits.ReadyTimeoutSeconds.
func (s *Supervisor) awaitReady(now float64, t *Transition) {
	deadline := never
	if s.stepPending() {
		deadline = now + s.limits.ReadyTimeoutSeconds
	}
	s.enter(phaseAwaitingReady, deadline)
	s.missedHealthChecks = 0
	s.nextHealthCheck = now + s.limits.HealthCheckSeconds
	t.add(ActionHealthCheck)
}

// HealthChecked handles the outcome of ActionHealthCheck: whether the router answered.
func (s *Supervisor) HealthChecked(now float64, answered bool) Transition {
	s.nextHealthCheck = now + s.limits.HealthCheckSeconds
	switch s.phase {
	case phaseAwaitingReady:
		return s.healthCheckedAwaitingReady(now, answered)
	case phasePreparing:
		return s.healthCheckedPreparing(now, answered)
	case phaseConfirming:
		return s.healthCheckedConfirming(now, answered)
	case phaseIdle:
		s.healthCheckedIdle(now, answered)
	default: // the check was sent in an earlier phase
	}
	return Transition{}
}

// healthCheckedAwaitingReady handles a check of a process that has not answered yet. The first answer ends the pending
// step with success.
func (s *Supervisor) healthCheckedAwaitingReady(now float64, answered bool) Transition {
	if !answered {
		s.missedHealthChecks++
		if s.state == rollout.ProcessUnknown && s.missedHealthChecks >= s.limits.MaxMissedHealthChecks {
			s.state = rollout.ProcessStarting // the process that was found running does not answer
		}
		return Transition{}
	}
	s.becomeReady(now)
	if !s.stepPending() {
		return Transition{}
	}
	s.endStep(rollout.StepSucceeded, "")
	return Transition{Store: true}
}

// healthCheckedPreparing handles a check that was sent before the step was begun. If it shows that the router has become
// ready, a step that is only for a router that does not serve is not applied.
func (s *Supervisor) healthCheckedPreparing(now float64, answered bool) Transition {
	cameUp := answered && s.state == rollout.ProcessStarting
	if !cameUp || !s.Step.OnlyIfNotServing {
		return Transition{}
	}
	s.becomeReady(now)
	s.endStep(rollout.StepNotApplied, failureRouterServes)
	return Transition{Store: true}
}

// healthCheckedConfirming distinguishes a process that received SIGTERM before the agent restarted, which no longer accepts
// connections, from one that did not.
func (s *Supervisor) healthCheckedConfirming(now float64, answered bool) Transition {
	if !answered {
		s.state = rollout.ProcessDraining
		s.enter(phaseTerminating, now+s.DrainSeconds)
		return Transition{}
	}
	s.becomeReady(now)
	s.endStep(rollout.StepNotApplied, "the agent ended before it had sent SIGTERM to the router")
	return Transition{Store: true}
}

// healthCheckedIdle handles a regular check. A ready router that misses Limits.MaxMissedHealthChecks checks in a row is no
// longer ready until it answers again.
func (s *Supervisor) healthCheckedIdle(now float64, answered bool) {
	if answered {
		s.missedHealthChecks = 0
		if s.state == rollout.ProcessStarting {
			s.becomeReady(now)
		}
		return
	}
	s.missedHealthChecks++
	if s.state == rollout.ProcessReady && s.missedHealthChecks >= s.limits.MaxMissedHealthChecks {
		s.state = rollout.ProcessStarting // the process runs but does not answer
	}
}

// becomeReady records that the router is ready and ends the phase.
func (s *Supervisor) becomeReady(now float64) {
	s.state = rollout.ProcessReady
	s.readySince = now
	s.nextCounterRead = now
	s.missedHealthChecks = 0
	s.enter(phaseIdle, never)
}

// ProcessExited handles the end of the process. reason describes the end for people.
func (s *Supervisor) ProcessExited(now float64, reason string) Transition {
	wasStable := s.state == rollout.ProcessReady && now-s.readySince >= s.limits.StableSeconds
	s.state = rollout.ProcessDown
	var t Transition
	switch s.phase {
	case phaseFinding, phaseBackoff, phaseInstalling:
		return t // the phase continues
	case phasePreparing:
		return t // the step continues and has no process to terminate
	case phaseTerminating, phaseConfirming:
		s.install(&t)
		return t
	default: // the process exited by itself
	}
	if s.stepPending() {
		s.endStep(rollout.StepFailed, "the router ended before it was ready: "+reason)
		t.Store = true
	}
	if wasStable {
		s.crashes = 0
	}
	s.crashes++
	if s.crashes > s.limits.MaxCrashes {
		s.state = rollout.ProcessCrashLooping
		s.enter(phaseIdle, never)
		return t
	}
	s.enter(phaseBackoff, now+s.backoffSeconds())
	return t
}

// backoffSeconds returns the delay before the next start. It doubles with each crash in a row, up to
// Limits.MaxBackoffSeconds.
func (s *Supervisor) backoffSeconds() float64 {
	backoff := s.limits.MinBackoffSeconds * math.Pow(2, float64(s.crashes-1))
	return min(backoff, s.limits.MaxBackoffSeconds)
}
