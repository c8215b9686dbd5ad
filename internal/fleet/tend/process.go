package tend

import (
	"math"

	"stoatdale.example/stoatdale/internal/fleet/plan"
)

// ProcessFound tells whether the process of the record's mark runs.
func (x *Supervisor) ProcessFound(now float64, running bool) Transition {
	if x.phase != finding {
		return Transition{}
	}
	var out Transition
	if x.open() && !x.MayHaveChanged {
		x.end(plan.StepNotApplied, "the agent ended before it had done anything")
		out.Store = true
	}
	switch {
	case x.open() && x.Reload && running:
		x.life = plan.ProcessStarting
		return x.place(now, out)
	case x.open() && !x.Replaced && running:
		x.life = plan.ProcessStarting
		x.to(doubting, now+x.limits.TerminationGraceSeconds)
		return out
	case x.open() && !x.Replaced:
		x.life = plan.ProcessDown
		x.Reload = false
		return x.place(now, out)
	case running:
		// It may serve, for all that is known before it is asked. Starting would say that it does not, and a
		// rollout would take it whatever the floors: a router in service, perhaps the last.
		x.life = plan.ProcessUnknown
		if x.open() {
			x.life = plan.ProcessStarting
		}
		return x.come(now, out)
	case x.ShouldRun:
		return x.start(now)
	}
	x.life = plan.ProcessDown
	x.to(idle, math.Inf(1))
	return out
}

func (x *Supervisor) terminate(now float64, out Transition) Transition {
	x.life = plan.ProcessDraining
	x.to(ending, now+x.DrainSeconds)
	out.Actions = append(out.Actions, Action{Kind: ActionTerminate})
	return out
}

func (x *Supervisor) start(now float64) Transition {
	x.Incarnation++
	x.life = plan.ProcessStarting
	x.total, x.base, x.past = plan.CommandCounts{}, plan.CommandCounts{}, window{}
	x.to(starting, math.Inf(1))
	return Transition{Store: true, Actions: []Action{{Kind: ActionStart, Incarnation: x.Incarnation}}}
}

// ProcessStarted tells whether a process could be started.
func (x *Supervisor) ProcessStarted(now float64, mark uint64, fault string) Transition {
	switch {
	case x.phase != starting || mark != x.Incarnation:
		return Transition{}
	case fault != "":
		return x.ProcessExited(now, fault)
	}
	return x.come(now, Transition{})
}

func (x *Supervisor) come(now float64, out Transition) Transition {
	x.to(coming, math.Inf(1))
	if x.open() {
		x.at = now + x.limits.ReadyTimeoutSeconds
	}
	x.misses, x.probeAt = 0, now+x.limits.HealthCheckSeconds
	out.Actions = append(out.Actions, Action{Kind: ActionHealthCheck})
	return out
}

// HealthChecked tells whether the router answered an empty query.
func (x *Supervisor) HealthChecked(now float64, ok bool) Transition {
	x.probeAt = now + x.limits.HealthCheckSeconds
	switch x.phase {
	case coming:
		if ok {
			x.ready(now)
			if x.open() {
				x.end(plan.StepSucceeded, "")
				return Transition{Store: true}
			}
		} else if x.misses++; x.life == plan.ProcessUnknown && x.misses >= x.limits.MaxMissedHealthChecks {
			x.life = plan.ProcessStarting // found running, but it does not answer
		}
	case preparing:
		if ok && x.Step.OnlyIfNotServing && x.life == plan.ProcessStarting { // the probe was out when the step came
			x.ready(now)
			x.end(plan.StepNotApplied, cameUp)
			return Transition{Store: true}
		}
	case doubting:
		if !ok {
			x.life = plan.ProcessDraining
			x.to(ending, now+x.DrainSeconds)
			return Transition{}
		}
		x.ready(now)
		x.end(plan.StepNotApplied, "the agent ended before the router was told to end")
		return Transition{Store: true}
	case idle:
		if x.misses++; ok {
			x.misses = 0
			if x.life == plan.ProcessStarting {
				x.ready(now)
			}
		} else if x.life == plan.ProcessReady && x.misses >= x.limits.MaxMissedHealthChecks {
			x.life = plan.ProcessStarting // it runs, but does not answer
		}
	}
	return Transition{}
}

func (x *Supervisor) ready(now float64) {
	x.life, x.readyAt, x.countAt, x.misses = plan.ProcessReady, now, now, 0
	x.to(idle, math.Inf(1))
}

// ProcessExited tells that the process has gone, and how.
func (x *Supervisor) ProcessExited(now float64, how string) Transition {
	calm := x.life == plan.ProcessReady && now-x.readyAt >= x.limits.StableSeconds
	x.life = plan.ProcessDown
	switch x.phase {
	case finding, resting, placing:
		return Transition{}
	case preparing:
		return Transition{} // the step goes on without a process to end
	case ending, doubting:
		return x.place(now, Transition{})
	}
	var out Transition
	if x.open() {
		x.end(plan.StepFailed, "it ended before it was ready: "+how)
		out.Store = true
	}
	if calm {
		x.crashes = 0
	}
	if x.crashes++; x.crashes > x.limits.MaxCrashes {
		x.life = plan.ProcessCrashLooping
		x.to(idle, math.Inf(1))
		return out
	}
	x.to(resting, now+min(x.limits.MinBackoffSeconds*math.Pow(2, float64(x.crashes-1)), x.limits.MaxBackoffSeconds))
	return out
}
