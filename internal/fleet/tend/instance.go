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
	Ready   float64 // that a started router may take until it answers
	Settle  float64 // after which one that was told to end no longer accepts
	Probe   float64 // between looks at a router
	Count   float64 // between readings of its counters
	Window  float64 // that Sight.Recent goes back
	Restart float64 // first wait before a router that ended by itself is started again; it doubles
	Longest float64 // of these waits
	Calm    float64 // that a router must serve for its endings to be forgotten
	Crashes int     // endings in a row after which it is no longer started
	Misses  int     // probes in a row that a ready router may leave unanswered
	Patient float64 // for a killed process to go, before it is killed again
}

// DefaultLimits suit routers that start within a second.
func DefaultLimits() Limits {
	return Limits{
		Ready: 10, Settle: 2, Probe: 0.1, Count: 1, Window: 10, Restart: 0.25, Longest: 30, Calm: 60, Crashes: 6,
		Misses: 10, Patient: 5,
	}
}

// Record is what an agent stores of an instance.
type Record struct {
	Up       bool      `cbor:"Up"`       // it is to run
	Revision string    `cbor:"Revision"` // whose file is in place
	Mark     uint64    `cbor:"Mark"`     // of the process that was started last, or was about to be
	Step     plan.Step `cbor:"Step"`
	End      plan.End  `cbor:"End"`
	Why      string    `cbor:"Why"`
	Before   string    `cbor:"Before"`
	Acted    bool      `cbor:"Acted"`    // the step may have touched the file or the process
	Reload   bool      `cbor:"Reload"`   // the step reloads
	Replaced bool      `cbor:"Replaced"` // the step's own process was about to be started
	Drain    float64   `cbor:"Drain"`    // that the process before it may take to end
}

// Act is something to carry out.
type Act int

// Acts, and the call that brings their outcome.
const (
	Find    Act = iota // whether the process of Mark runs: Found
	Prepare            // that a revision's file can be written and is right: Prepared
	Place              // put that file in place: Placed
	Start              // a process with Mark: Started; its end: Exited
	Probe              // ask it an empty query: Probed
	Count              // read its counters: Counted
	Term               // tell it to end: Exited
	Kill               // end it: Exited
	Hup                // have it read its file: Reloaded
)

var acts = [...]string{"find", "prepare", "place", "start", "probe", "count", "term", "kill", "hup"}

func (a Act) String() string { return acts[a] }

// Effect is one act.
type Effect struct {
	Act      Act
	Revision string // for Prepare and Place
	Mark     uint64 // for Find and Start
}

// Out is what an event leads to. If Store is set the record must be stored first; if that fails the event has
// not happened, and is handed in again later.
type Out struct {
	Store bool
	Do    []Effect
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

// Instance is one router as its agent sees it. It is a plain value: a copy is a state to go back to.
type Instance struct {
	Record
	limits  *Limits
	phase   phase
	life    plan.Life
	at      float64 // deadline of the phase
	probeAt float64
	countAt float64
	readyAt float64
	crashes int
	misses  int
	total   plan.Tally // of the process
	base    plan.Tally // as the last step ended
	past    window
}

// window holds readings of the counters. It has as many as fit Limits.Window, and no more than its length.
type window struct {
	at    [16]float64
	total [16]plan.Tally
	n     int // taken so far
}

// NewInstance is an instance of an agent that starts: Find comes first.
func NewInstance(r Record, l *Limits) (Instance, Out) {
	x := Instance{Record: r, limits: l, life: plan.Unknown, at: math.Inf(1)}
	return x, Out{Do: []Effect{{Act: Find, Mark: r.Mark}}}
}

func (x *Instance) open() bool { return x.Step.Number != 0 && x.End == plan.Open }

func (x *Instance) to(p phase, at float64) { x.phase, x.at = p, at }

// Found tells whether the process of the record's mark runs.
func (x *Instance) Found(now float64, running bool) Out {
	if x.phase != finding {
		return Out{}
	}
	var out Out
	if x.open() && !x.Acted {
		x.end(plan.Undone, "the agent ended before it had done anything")
		out.Store = true
	}
	switch {
	case x.open() && x.Reload && running:
		x.life = plan.Starting
		return x.place(now, out)
	case x.open() && !x.Replaced && running:
		x.life = plan.Starting
		x.to(doubting, now+x.limits.Settle)
		return out
	case x.open() && !x.Replaced:
		x.life = plan.Down
		x.Reload = false
		return x.place(now, out)
	case running:
		// It may serve, for all that is known before it is asked. Starting would say that it does not, and a
		// rollout would take it whatever the floors: a router in service, perhaps the last.
		x.life = plan.Unknown
		if x.open() {
			x.life = plan.Starting
		}
		return x.come(now, out)
	case x.Up:
		return x.start(now)
	}
	x.life = plan.Down
	x.to(idle, math.Inf(1))
	return out
}

// Begin begins a step, or says why not. A repeat of the step that was begun last changes nothing.
func (x *Instance) Begin(now float64, s plan.Step) (Out, string) {
	same := x.Step.Rollout == s.Rollout
	switch {
	case same && x.Step.Number == s.Number:
		return Out{}, ""
	case same && s.Number < x.Step.Number:
		return Out{}, fmt.Sprintf("step %d comes after step %d", s.Number, x.Step.Number)
	case x.life == plan.Unknown:
		return Out{}, "the agent has just started and does not know its routers yet"
	case x.open():
		return Out{}, fmt.Sprintf("step %d of rollout %s is under way", x.Step.Number, x.Step.Rollout)
	case s.Number == 0 || s.Revision == "":
		return Out{}, "the step has no number or no revision"
	}
	if !same {
		x.Before = x.Revision
	}
	x.Step, x.End, x.Why, x.Acted, x.Reload, x.Replaced = s, plan.Open, "", false, false, false
	if x.life == plan.Ready && x.Revision == s.Revision && !s.Restart {
		x.end(plan.Done, "")
		return Out{Store: true}, ""
	}
	if s.Idle && x.life == plan.Ready {
		x.end(plan.Undone, cameUp)
		return Out{Store: true}, ""
	}
	x.crashes = 0
	x.to(preparing, math.Inf(1))
	return Out{Store: true, Do: []Effect{{Act: Prepare, Revision: s.Revision}}}, ""
}

// Prepared tells whether a revision can be put in place, whether a reload is enough for it, and how long the
// process that runs may take to end.
func (x *Instance) Prepared(now float64, reload bool, drain float64, fault string) Out {
	if x.phase != preparing {
		return Out{}
	}
	if fault != "" {
		x.end(plan.Failed, fault)
		x.settle(now)
		return Out{Store: true}
	}
	x.Acted, x.Up = true, true
	x.Reload = reload && x.life == plan.Ready && !x.Step.Restart
	x.Drain = drain
	if x.Reload || x.life == plan.Down || x.life == plan.Broken {
		return x.place(now, Out{Store: true})
	}
	return x.terminate(now, Out{Store: true})
}

// settle goes back from a step that touched nothing.
func (x *Instance) settle(now float64) {
	switch {
	case x.life == plan.Down && x.Up:
		x.to(resting, now+x.limits.Restart)
	case x.life == plan.Starting:
		x.to(coming, math.Inf(1))
	default:
		x.to(idle, math.Inf(1))
	}
}

func (x *Instance) terminate(now float64, out Out) Out {
	x.life = plan.Draining
	x.to(ending, now+x.Drain)
	out.Do = append(out.Do, Effect{Act: Term})
	return out
}

func (x *Instance) place(now float64, out Out) Out {
	x.to(placing, math.Inf(1))
	out.Do = append(out.Do, Effect{Act: Place, Revision: x.Step.Revision})
	return out
}

// Placed tells whether a step's file is in place.
func (x *Instance) Placed(now float64, fault string) Out {
	switch {
	case x.phase != placing:
		return Out{}
	case fault != "" && x.Reload:
		x.end(plan.Failed, fault)
		x.to(idle, math.Inf(1))
		return Out{Store: true}
	case fault != "":
		x.end(plan.Failed, fault)
		x.settle(now)
		return Out{Store: true}
	}
	x.Revision = x.Step.Revision
	if !x.Reload || x.life == plan.Down { // it may have ended meanwhile
		x.Reload = false
		x.Replaced = true
		return x.start(now)
	}
	x.to(hupping, now+x.limits.Ready)
	return Out{Store: true, Do: []Effect{{Act: Hup}}}
}

func (x *Instance) start(now float64) Out {
	x.Mark++
	x.life = plan.Starting
	x.total, x.base, x.past = plan.Tally{}, plan.Tally{}, window{}
	x.to(starting, math.Inf(1))
	return Out{Store: true, Do: []Effect{{Act: Start, Mark: x.Mark}}}
}

// Started tells whether a process could be started.
func (x *Instance) Started(now float64, mark uint64, fault string) Out {
	switch {
	case x.phase != starting || mark != x.Mark:
		return Out{}
	case fault != "":
		return x.Exited(now, fault)
	}
	return x.come(now, Out{})
}

func (x *Instance) come(now float64, out Out) Out {
	x.to(coming, math.Inf(1))
	if x.open() {
		x.at = now + x.limits.Ready
	}
	x.misses, x.probeAt = 0, now+x.limits.Probe
	out.Do = append(out.Do, Effect{Act: Probe})
	return out
}

// Probed tells whether the router answered an empty query.
func (x *Instance) Probed(now float64, ok bool) Out {
	x.probeAt = now + x.limits.Probe
	switch x.phase {
	case coming:
		if ok {
			x.ready(now)
			if x.open() {
				x.end(plan.Done, "")
				return Out{Store: true}
			}
		} else if x.misses++; x.life == plan.Unknown && x.misses >= x.limits.Misses {
			x.life = plan.Starting // found running, but it does not answer
		}
	case preparing:
		if ok && x.Step.Idle && x.life == plan.Starting { // the probe was out when the step came
			x.ready(now)
			x.end(plan.Undone, cameUp)
			return Out{Store: true}
		}
	case doubting:
		if !ok {
			x.life = plan.Draining
			x.to(ending, now+x.Drain)
			return Out{}
		}
		x.ready(now)
		x.end(plan.Undone, "the agent ended before the router was told to end")
		return Out{Store: true}
	case idle:
		if x.misses++; ok {
			x.misses = 0
			if x.life == plan.Starting {
				x.ready(now)
			}
		} else if x.life == plan.Ready && x.misses >= x.limits.Misses {
			x.life = plan.Starting // it runs, but does not answer
		}
	}
	return Out{}
}

func (x *Instance) ready(now float64) {
	x.life, x.readyAt, x.countAt, x.misses = plan.Ready, now, now, 0
	x.to(idle, math.Inf(1))
}

// Reloaded tells what the router said of its file after Hup.
func (x *Instance) Reloaded(now float64, fault string) Out {
	if x.phase != hupping {
		return Out{}
	}
	x.ready(now)
	if fault != "" {
		x.end(plan.Failed, fault)
	} else {
		x.end(plan.Done, "")
	}
	return Out{Store: true}
}

// Exited tells that the process has gone, and how.
func (x *Instance) Exited(now float64, how string) Out {
	calm := x.life == plan.Ready && now-x.readyAt >= x.limits.Calm
	x.life = plan.Down
	switch x.phase {
	case finding, resting, placing:
		return Out{}
	case preparing:
		return Out{} // the step goes on without a process to end
	case ending, doubting:
		return x.place(now, Out{})
	}
	var out Out
	if x.open() {
		x.end(plan.Failed, "it ended before it was ready: "+how)
		out.Store = true
	}
	if calm {
		x.crashes = 0
	}
	if x.crashes++; x.crashes > x.limits.Crashes {
		x.life = plan.Broken
		x.to(idle, math.Inf(1))
		return out
	}
	x.to(resting, now+min(x.limits.Restart*math.Pow(2, float64(x.crashes-1)), x.limits.Longest))
	return out
}

// Counted takes in the counters of the process.
func (x *Instance) Counted(now float64, total plan.Tally) {
	x.total = total
	i := x.past.n % len(x.past.at)
	x.past.at[i], x.past.total[i] = now, total
	x.past.n++
}

// end ends the step under way.
func (x *Instance) end(e plan.End, why string) { x.End, x.Why, x.base = e, why, x.total }

// Wake is the time of the next Tick.
func (x *Instance) Wake() float64 {
	wake := x.at
	if x.running() {
		wake = min(wake, x.probeAt)
	}
	if x.phase == idle && x.life == plan.Ready {
		wake = min(wake, x.countAt)
	}
	return wake
}

// running tells whether a process is there that may be asked.
func (x *Instance) running() bool {
	return x.phase == coming || x.phase == idle && (x.life == plan.Ready || x.life == plan.Starting)
}

// Tick does what is due.
func (x *Instance) Tick(now float64) Out {
	var out Out
	if now >= x.at {
		x.at = math.Inf(1)
		switch x.phase {
		case resting:
			return x.start(now)
		case doubting:
			out.Do = append(out.Do, Effect{Act: Probe})
			return out
		case ending:
			x.at = now + x.limits.Patient
			out.Do = append(out.Do, Effect{Act: Kill})
			return out
		case coming:
			x.end(plan.Failed, fmt.Sprintf("it was not ready within %g s", x.limits.Ready))
			out.Store = true
		case hupping:
			x.end(plan.Failed, fmt.Sprintf("it did not say within %g s that it had read its file", x.limits.Ready))
			x.ready(now)
			out.Store = true
		}
	}
	if x.running() && now >= x.probeAt {
		x.probeAt = now + x.limits.Probe
		if x.phase == idle && x.life == plan.Ready {
			x.probeAt = now + 10*x.limits.Probe // calm routers are looked at less often
		}
		out.Do = append(out.Do, Effect{Act: Probe})
	}
	if x.phase == idle && x.life == plan.Ready && now >= x.countAt {
		x.countAt = now + x.limits.Count
		out.Do = append(out.Do, Effect{Act: Count})
	}
	return out
}

// Crashes is how often the router ended by itself since it last ran calmly.
func (x *Instance) Crashes() int { return x.crashes }

// Sight is what an agent tells of the instance; Seen is the age of it, 0.
func (x *Instance) Sight(now float64) plan.Sight {
	s := plan.Sight{
		Life: x.life, Revision: x.Revision, Last: x.Step, End: x.End, Why: x.Why, Before: x.Before,
		Recent: x.recent(now), Since: minus(x.total, x.base),
	}
	if x.life == plan.Ready {
		s.ReadyFor = now - x.readyAt
	}
	return s
}

// recent is what ended within the window.
func (x *Instance) recent(now float64) plan.Tally {
	oldest := x.total
	for i := max(0, x.past.n-len(x.past.at)); i < x.past.n; i++ {
		if j := i % len(x.past.at); now-x.past.at[j] <= x.limits.Window {
			oldest = x.past.total[j]
			break
		}
	}
	return minus(x.total, oldest)
}

// minus tolerates counters that began anew.
func minus(a, b plan.Tally) plan.Tally {
	if a.Ended < b.Ended || a.Unanswered < b.Unanswered {
		return a
	}
	return plan.Tally{Ended: a.Ended - b.Ended, Unanswered: a.Unanswered - b.Unanswered}
}
