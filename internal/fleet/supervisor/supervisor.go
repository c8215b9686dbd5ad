package supervisor

import (
	"fmt"
	"math"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// phase is what a supervisor waits for.
type phase int

const (
	phaseFinding       phase = iota // whether a process runs
	phaseIdle                       // nothing: the process runs, or is not to be started
	phaseBackoff                    // the process exited by itself and is started at the deadline
	phasePreparing                  // the step's revision
	phaseConfirming                 // after the agent's start: has the process been told to end?
	phaseTerminating                // the process's exit
	phaseInstalling                 // the step's file
	phaseStarting                   // the process's start
	phaseAwaitingReady              // the process's first answer
	phaseReloading                  // the process's report on its reload
)

// readyHealthCheckFactor is how much longer the interval between health checks of a ready router is.
const readyHealthCheckFactor = 10

// never is a deadline that does not come.
var never = math.Inf(1)

// Supervisor is the state machine of one router as its agent runs it. It is a plain value: a copy is a state to go
// back to. All times are handed in and must be of one clock.
type Supervisor struct {
	Record
	limits *Limits

	phase    phase
	deadline float64 // of the phase
	state    rollout.ProcessState

	nextHealthCheck    float64
	missedHealthChecks int     // in a row
	readySince         float64 // counts while state is ProcessReady
	crashes            int     // exits by itself since it last ran for Limits.StableSeconds

	nextCounterRead   float64
	commands          rollout.CommandCounts // of the process
	commandsAtStepEnd rollout.CommandCounts // commands as the last step ended
	readings          readings
}

// NewSupervisor returns the supervisor of an agent that starts, given the instance's stored record. The transition
// looks for a process that already runs.
func NewSupervisor(r Record, l *Limits) (Supervisor, Transition) {
	s := Supervisor{Record: r, limits: l, state: rollout.ProcessUnknown, deadline: never}
	return s, Transition{Actions: []Action{{Kind: ActionFindProcess, Incarnation: r.Incarnation}}}
}

func (s *Supervisor) enter(p phase, deadline float64) {
	s.phase = p
	s.deadline = deadline
}

// Crashes returns how often the router exited by itself since it last ran stably.
func (s *Supervisor) Crashes() int { return s.crashes }

// Observe returns what the agent reports of the instance. SeenAt is left to the observer.
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

// checksHealth tells whether a process runs that is to be checked regularly.
func (s *Supervisor) checksHealth() bool {
	if s.phase == phaseAwaitingReady {
		return true
	}
	running := s.state == rollout.ProcessReady || s.state == rollout.ProcessStarting
	return s.phase == phaseIdle && running
}

func (s *Supervisor) idleAndReady() bool {
	return s.phase == phaseIdle && s.state == rollout.ProcessReady
}

// Tick does what is due: the end of the phase, a health check, a reading of the counters.
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
		failure := fmt.Sprintf("it did not say within %g s that it had read its file", s.limits.ReadyTimeoutSeconds)
		s.endStep(rollout.StepFailed, failure)
		s.becomeReady(now)
		t.Store = true
	default: // the other phases have no deadline
	}
	return t
}
