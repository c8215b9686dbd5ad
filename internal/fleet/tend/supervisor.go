// Package tend decides for an agent: what it does with each of its routers' processes, and how it answers the
// fleet tool. It does no input or output and has no clock; times are seconds. What is to be done comes back as
// values: what must be stored first, then what to carry out, whose outcome is handed in again.
//
// A router is never taken out of service but by a step that was stored before. An agent that starts again
// resolves the step it had begun: one that touched nothing is undone, one that did is carried on, and a
// router that serves after all is left alone.
package tend

import (
	"fmt"
	"math"

	"stoatdale.example/stoatdale/internal/fleet/plan"
)

type phase int

const (
	finding   phase = iota
	idle            // nothing under way: the process runs, or rests for good
	resting         // ended by itself, to be started at the deadline
	preparing       // a step's file
	doubting        // after the agent's start: was it told to end?
	ending          // told to
	placing         // the file
	starting        // the process
	coming          // until it answers
	hupping         // until it says that it has reloaded
)

// Supervisor is one router as its agent sees it. It is a plain value: a copy is a state to go back to.
type Supervisor struct {
	Record
	limits  *Limits
	phase   phase
	life    plan.ProcessState
	at      float64 // deadline of the phase
	probeAt float64
	countAt float64
	readyAt float64
	crashes int
	misses  int
	total   plan.CommandCounts // of the process
	base    plan.CommandCounts // as the last step ended
	past    window
}

// NewSupervisor is an instance of an agent that starts: Find comes first.
func NewSupervisor(r Record, l *Limits) (Supervisor, Transition) {
	x := Supervisor{Record: r, limits: l, life: plan.ProcessUnknown, at: math.Inf(1)}
	return x, Transition{Actions: []Action{{Kind: ActionFindProcess, Incarnation: r.Incarnation}}}
}

func (x *Supervisor) to(p phase, at float64) { x.phase, x.at = p, at }

// NextTick is the time of the next Tick.
func (x *Supervisor) NextTick() float64 {
	wake := x.at
	if x.running() {
		wake = min(wake, x.probeAt)
	}
	if x.phase == idle && x.life == plan.ProcessReady {
		wake = min(wake, x.countAt)
	}
	return wake
}

// running tells whether a process is there that may be asked.
func (x *Supervisor) running() bool {
	return x.phase == coming || x.phase == idle && (x.life == plan.ProcessReady || x.life == plan.ProcessStarting)
}

// Tick does what is due.
func (x *Supervisor) Tick(now float64) Transition {
	var out Transition
	if now >= x.at {
		x.at = math.Inf(1)
		switch x.phase {
		case resting:
			return x.start(now)
		case doubting:
			out.Actions = append(out.Actions, Action{Kind: ActionHealthCheck})
			return out
		case ending:
			x.at = now + x.limits.KillRetrySeconds
			out.Actions = append(out.Actions, Action{Kind: ActionKill})
			return out
		case coming:
			x.end(plan.StepFailed, fmt.Sprintf("it was not ready within %g s", x.limits.ReadyTimeoutSeconds))
			out.Store = true
		case hupping:
			x.end(plan.StepFailed, fmt.Sprintf("it did not say within %g s that it had read its file", x.limits.ReadyTimeoutSeconds))
			x.ready(now)
			out.Store = true
		}
	}
	if x.running() && now >= x.probeAt {
		x.probeAt = now + x.limits.HealthCheckSeconds
		if x.phase == idle && x.life == plan.ProcessReady {
			x.probeAt = now + 10*x.limits.HealthCheckSeconds // calm routers are looked at less often
		}
		out.Actions = append(out.Actions, Action{Kind: ActionHealthCheck})
	}
	if x.phase == idle && x.life == plan.ProcessReady && now >= x.countAt {
		x.countAt = now + x.limits.CounterReadSeconds
		out.Actions = append(out.Actions, Action{Kind: ActionReadCounters})
	}
	return out
}

// Crashes is how often the router ended by itself since it last ran calmly.
func (x *Supervisor) Crashes() int { return x.crashes }

// Observe is what an agent tells of the instance; Seen is the age of it, 0.
func (x *Supervisor) Observe(now float64) plan.Observation {
	s := plan.Observation{
		State: x.life, Revision: x.Revision, LastStep: x.Step, LastResult: x.Result, LastFailure: x.Failure, PreviousRevision: x.PreviousRevision,
		RecentCommands: x.recent(now), CommandsSinceStep: minus(x.total, x.base),
	}
	if x.life == plan.ProcessReady {
		s.ReadySeconds = now - x.readyAt
	}
	return s
}
