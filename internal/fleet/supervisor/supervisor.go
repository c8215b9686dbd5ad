package supervisor

import (
	"fmt"
	"math"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// phase is the event that a supervisor waits for.
type phase int

const (
	phaseFinding       phase = iota // the agent has started: waits for ProcessFound
	phaseIdle                       // waits for a step: the process runs, or is not to be started
	phaseBackoff                    // the process exited by itself and is started again at the deadline
	phasePreparing                  // a step was begun: waits for RevisionPrepared
	phaseConfirming                 // the agent has restarted: a health check after the deadline shows whether SIGTERM was sent
	phaseTerminating                // waits for ProcessExited; the process is killed at the deadline
	phaseInstalling                 // waits for RevisionInstalled
	phaseStarting                   // waits for ProcessStarted
	phaseAwaitingReady              // waits for the first health check that the process answers
	phaseReloading                  // waits for ReloadReported
)

// readyHealthCheckFactor is the factor by which the interval between health checks is longer for a ready router.
const readyHealthCheckFactor = 10

// never is the deadline of a phase without one.
var never = math.Inf(1)

// Supervisor is the state machine with which an agent runs one router. It is a plain value: a caller can copy it and
// restore the copy later. The caller passes all times; they are seconds on one clock.
type Supervisor struct {
	Record
	limits *Limits

	phase    phase
	deadline float64 // time at which Tick acts on the phase, or never
	state    rollout.ProcessState

	nextHealthCheck    float64 // time of the next health check
	missedHealthChecks int     // failed health checks in a row
	readySince         float64 // time at which the router became ready; valid while state is ProcessReady
	crashes            int     // exits of the router by itself in a row; see Crashes

	nextCounterRead   float64               // time of the next reading of the counters
	commands          rollout.CommandCounts // counters of the process at the last reading
	commandsAtStepEnd rollout.CommandCounts // value of commands when the last step ended
	readings          readings
}

// NewSupervisor returns the supervisor of an instance whose agent starts, with the instance's stored record. The
// transition's action looks for a process that already runs.
func NewSupervisor(r Record, l *Limits) (Supervisor, Transition) {
	s := Supervisor{Record: r, limits: l, state: rollout.ProcessUnknown, deadline: never}
	return s, Transition{Actions: []Action{{Kind: ActionFindProcess, Incarnation: r.Incarnation}}}
}

// enter begins a phase.
func (s *Supervisor) enter(p phase, deadline float64) {
	s.phase = p
	s.deadline = deadline
}

// Crashes returns the number of times that the router exited by itself since it was ready for Limits.StableSeconds or a
// step began, whichever was later.
func (s *Supervisor) Crashes() int { return s.crashes }

// Observe returns the agent's report on the instance. The observer that receives it sets SeenAt.
func (s *Supervisor) Observe(now float64) rollout.Observation {
	o := rollout.Observation{
		State:             s.state,
		Revision:          s.Revision,
		LastStep:          s.Step,
		LastResult:        s.Result,
		LastFailure:       s.Failure,
		PreviousRevision:  s.PreviousRevision,
		RecentCommands:    s.recentCommands(now),
		CommandsSinceStep: countsSince(s.commands, s.commandsAtStepEnd),
	}
	if s.state == rollout.ProcessReady {
		o.ReadySeconds = now - s.readySince
	}
	return o
}

// NextTick returns the time at which Tick is to be called next.
func (s *Supervisor) NextTick() float64 {
	next := s.deadline
	if s.checksHealth() {
		next = min(next, s.nextHealthCheck)
	}
	if s.idleAndReady() {
		next = min(next, s.nextCounterRead)
	}
	return next
}

// checksHealth reports whether the process is checked regularly in the current phase and state.
func (s *Supervisor) checksHealth() bool {
	if s.phase == phaseAwaitingReady {
		return true
	}
	running := s.state == rollout.ProcessReady || s.state == rollout.ProcessStarting
	return s.phase == phaseIdle && running
}

// idleAndReady reports whether the router is ready and in no step.
func (s *Supervisor) idleAndReady() bool {
	return s.phase == phaseIdle && s.state == rollout.ProcessReady
}

// Tick handles what is due: the deadline of the phase, a health check or a reading of the counters.
func (s *Supervisor) Tick(now float64) Transition {
	var t Transition
	if now >= s.deadline {
		s.deadline = never
		t = s.deadlineReached(now)
	}
	if s.checksHealth() && now >= s.nextHealthCheck {
		interval := s.limits.HealthCheckSeconds
		if s.idleAndReady() {
			interval *= readyHealthCheckFactor
		}
		s.nextHealthCheck = now + interval
		t.add(ActionHealthCheck)
	}
	if s.idleAndReady() && now >= s.nextCounterRead {
		s.nextCounterRead = now + s.limits.CounterReadSeconds
		t.add(ActionReadCounters)
	}
	return t
}

// deadlineReached acts on the phase whose deadline has passed.
func (s *Supervisor) deadlineReached(now float64) Transition {
	var t Transition
	switch s.phase {
	case phaseBackoff:
		s.start(&t)
	case phaseConfirming:
		t.add(ActionHealthCheck)
	case phaseTerminating:
		s.deadline = now + s.limits.KillRetrySeconds
		t.add(ActionKill)
	case phaseAwaitingReady:
		s.endStep(rollout.StepFailed, fmt.Sprintf("it was not ready within %g s", s.limits.ReadyTimeoutSeconds))
		t.Store = true
	case phaseReloading:
		failure := fmt.Sprintf("the router did not report within %g s whether it had reloaded its file", s.limits.ReadyTimeoutSeconds)
		s.endStep(rollout.StepFailed, failure)
		s.becomeReady(now)
		t.Store = true
	default: // the other phases have no deadline
	}
	return t
}
