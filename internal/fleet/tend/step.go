package tend

import (
	"fmt"
	"math"

	"stoatdale.example/stoatdale/internal/fleet/plan"
)

// cameUp guards against a router that is started again between the tool's look and its step: the tool counted it
// as not serving and asked no floor, and it may be the last that serves by now.
const cameUp = "the router came up by itself; the step was meant for one that does not serve"

func (x *Supervisor) open() bool { return x.Step.Number != 0 && x.Result == plan.StepPending }

// BeginStep begins a step, or says why not. A repeat of the step that was begun last changes nothing.
func (x *Supervisor) BeginStep(now float64, s plan.Step) (Transition, string) {
	same := x.Step.RolloutID == s.RolloutID
	switch {
	case same && x.Step.Number == s.Number:
		return Transition{}, ""
	case same && s.Number < x.Step.Number:
		return Transition{}, fmt.Sprintf("step %d comes after step %d", s.Number, x.Step.Number)
	case x.life == plan.ProcessUnknown:
		return Transition{}, "the agent has just started and does not know its routers yet"
	case x.open():
		return Transition{}, fmt.Sprintf("step %d of rollout %s is under way", x.Step.Number, x.Step.RolloutID)
	case s.Number == 0 || s.Revision == "":
		return Transition{}, "the step has no number or no revision"
	}
	if !same {
		x.PreviousRevision = x.Revision
	}
	x.Step, x.Result, x.Failure, x.MayHaveChanged, x.Reload, x.Replaced = s, plan.StepPending, "", false, false, false
	if x.life == plan.ProcessReady && x.Revision == s.Revision && !s.Restart {
		x.end(plan.StepSucceeded, "")
		return Transition{Store: true}, ""
	}
	if s.OnlyIfNotServing && x.life == plan.ProcessReady {
		x.end(plan.StepNotApplied, cameUp)
		return Transition{Store: true}, ""
	}
	x.crashes = 0
	x.to(preparing, math.Inf(1))
	return Transition{Store: true, Actions: []Action{{Kind: ActionPrepareRevision, Revision: s.Revision}}}, ""
}

// RevisionPrepared tells whether a revision can be put in place, whether a reload is enough for it, and how long the
// process that runs may take to end.
func (x *Supervisor) RevisionPrepared(now float64, reload bool, drain float64, fault string) Transition {
	if x.phase != preparing {
		return Transition{}
	}
	if fault != "" {
		x.end(plan.StepFailed, fault)
		x.settle(now)
		return Transition{Store: true}
	}
	x.MayHaveChanged, x.ShouldRun = true, true
	x.Reload = reload && x.life == plan.ProcessReady && !x.Step.Restart
	x.DrainSeconds = drain
	if x.Reload || x.life == plan.ProcessDown || x.life == plan.ProcessCrashLooping {
		return x.place(now, Transition{Store: true})
	}
	return x.terminate(now, Transition{Store: true})
}

// settle goes back from a step that touched nothing.
func (x *Supervisor) settle(now float64) {
	switch {
	case x.life == plan.ProcessDown && x.ShouldRun:
		x.to(resting, now+x.limits.MinBackoffSeconds)
	case x.life == plan.ProcessStarting:
		x.to(coming, math.Inf(1))
	default:
		x.to(idle, math.Inf(1))
	}
}

func (x *Supervisor) place(now float64, out Transition) Transition {
	x.to(placing, math.Inf(1))
	out.Actions = append(out.Actions, Action{Kind: ActionInstallRevision, Revision: x.Step.Revision})
	return out
}

// RevisionInstalled tells whether a step's file is in place.
func (x *Supervisor) RevisionInstalled(now float64, fault string) Transition {
	switch {
	case x.phase != placing:
		return Transition{}
	case fault != "" && x.Reload:
		x.end(plan.StepFailed, fault)
		x.to(idle, math.Inf(1))
		return Transition{Store: true}
	case fault != "":
		x.end(plan.StepFailed, fault)
		x.settle(now)
		return Transition{Store: true}
	}
	x.Revision = x.Step.Revision
	if !x.Reload || x.life == plan.ProcessDown { // it may have ended meanwhile
		x.Reload = false
		x.Replaced = true
		return x.start(now)
	}
	x.to(hupping, now+x.limits.ReadyTimeoutSeconds)
	return Transition{Store: true, Actions: []Action{{Kind: ActionReload}}}
}

// ReloadReported tells what the router said of its file after Hup.
func (x *Supervisor) ReloadReported(now float64, fault string) Transition {
	if x.phase != hupping {
		return Transition{}
	}
	x.ready(now)
	if fault != "" {
		x.end(plan.StepFailed, fault)
	} else {
		x.end(plan.StepSucceeded, "")
	}
	return Transition{Store: true}
}

// end ends the step under way.
func (x *Supervisor) end(e plan.StepResult, why string) {
	x.Result, x.Failure, x.base = e, why, x.total
}
