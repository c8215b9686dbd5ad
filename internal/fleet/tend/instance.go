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

// Limits are times in seconds, and counts.
type Limits struct {
	ReadyTimeoutSeconds     float64 // that a started router may take until it answers
	TerminationGraceSeconds float64 // after which one that was told to end no longer accepts
	HealthCheckSeconds      float64 // between looks at a router
	CounterReadSeconds      float64 // between readings of its counters
	RecentSeconds           float64 // that Sight.Recent goes back
	MinBackoffSeconds       float64 // first wait before a router that ended by itself is started again; it doubles
	MaxBackoffSeconds       float64 // of these waits
	StableSeconds           float64 // that a router must serve for its endings to be forgotten
	MaxCrashes              int     // endings in a row after which it is no longer started
	MaxMissedHealthChecks   int     // probes in a row that a ready router may leave unanswered
	KillRetrySeconds        float64 // for a killed process to go, before it is killed again
}

// DefaultLimits suit routers that start within a second.
func DefaultLimits() Limits {
	return Limits{
		ReadyTimeoutSeconds: 10, TerminationGraceSeconds: 2, HealthCheckSeconds: 0.1, CounterReadSeconds: 1, RecentSeconds: 10, MinBackoffSeconds: 0.25, MaxBackoffSeconds: 30, StableSeconds: 60, MaxCrashes: 6,
		MaxMissedHealthChecks: 10, KillRetrySeconds: 5,
	}
}

// Record is what an agent stores of an instance.
type Record struct {
	ShouldRun        bool            `cbor:"Up"`       // it is to run
	Revision         string          `cbor:"Revision"` // whose file is in place
	Incarnation      uint64          `cbor:"Mark"`     // of the process that was started last, or was about to be
	Step             plan.Step       `cbor:"Step"`
	Result           plan.StepResult `cbor:"End"`
	Failure          string          `cbor:"Why"`
	PreviousRevision string          `cbor:"Before"`
	MayHaveChanged   bool            `cbor:"Acted"`    // the step may have touched the file or the process
	Reload           bool            `cbor:"Reload"`   // the step reloads
	Replaced         bool            `cbor:"Replaced"` // the step's own process was about to be started
	DrainSeconds     float64         `cbor:"Drain"`    // that the process before it may take to end
}

// ActionKind is something to carry out.
type ActionKind int

// Acts, and the call that brings their outcome.
const (
	ActionFindProcess     ActionKind = iota // whether the process of Mark runs: Found
	ActionPrepareRevision                   // that a revision's file can be written and is right: Prepared
	ActionInstallRevision                   // put that file in place: Placed
	ActionStart                             // a process with Mark: Started; its end: Exited
	ActionHealthCheck                       // ask it an empty query: Probed
	ActionReadCounters                      // read its counters: Counted
	ActionTerminate                         // tell it to end: Exited
	ActionKill                              // end it: Exited
	ActionReload                            // have it read its file: Reloaded
)

var actionKinds = [...]string{"find", "prepare", "place", "start", "probe", "count", "term", "kill", "hup"}

func (a ActionKind) String() string { return actionKinds[a] }

// Action is one act.
type Action struct {
	Kind        ActionKind
	Revision    string // for Prepare and Place
	Incarnation uint64 // for Find and Start
}

// Transition is what an event leads to. If Store is set the record must be stored first; if that fails the event has
// not happened, and is handed in again later.
type Transition struct {
	Store   bool
	Actions []Action
}

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

// cameUp guards against a router that is started again between the tool's look and its step: the tool counted it
// as not serving and asked no floor, and it may be the last that serves by now.
const cameUp = "the router came up by itself; the step was meant for one that does not serve"

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

// window holds readings of the counters. It has as many as fit Limits.Window, and no more than its length.
type window struct {
	at    [16]float64
	total [16]plan.CommandCounts
	n     int // taken so far
}

// NewSupervisor is an instance of an agent that starts: Find comes first.
func NewSupervisor(r Record, l *Limits) (Supervisor, Transition) {
	x := Supervisor{Record: r, limits: l, life: plan.ProcessUnknown, at: math.Inf(1)}
	return x, Transition{Actions: []Action{{Kind: ActionFindProcess, Incarnation: r.Incarnation}}}
}

func (x *Supervisor) open() bool { return x.Step.Number != 0 && x.Result == plan.StepPending }

func (x *Supervisor) to(p phase, at float64) { x.phase, x.at = p, at }

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

func (x *Supervisor) terminate(now float64, out Transition) Transition {
	x.life = plan.ProcessDraining
	x.to(ending, now+x.DrainSeconds)
	out.Actions = append(out.Actions, Action{Kind: ActionTerminate})
	return out
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

// CountersRead takes in the counters of the process.
func (x *Supervisor) CountersRead(now float64, total plan.CommandCounts) {
	x.total = total
	i := x.past.n % len(x.past.at)
	x.past.at[i], x.past.total[i] = now, total
	x.past.n++
}

// end ends the step under way.
func (x *Supervisor) end(e plan.StepResult, why string) {
	x.Result, x.Failure, x.base = e, why, x.total
}

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

// recent is what ended within the window.
func (x *Supervisor) recent(now float64) plan.CommandCounts {
	oldest := x.total
	for i := max(0, x.past.n-len(x.past.at)); i < x.past.n; i++ {
		if j := i % len(x.past.at); now-x.past.at[j] <= x.limits.RecentSeconds {
			oldest = x.past.total[j]
			break
		}
	}
	return minus(x.total, oldest)
}

// minus tolerates counters that began anew.
func minus(a, b plan.CommandCounts) plan.CommandCounts {
	if a.Completed < b.Completed || a.Unanswered < b.Unanswered {
		return a
	}
	return plan.CommandCounts{Completed: a.Completed - b.Completed, Unanswered: a.Unanswered - b.Unanswered}
}
