// Package plan decides what happens next in a rollout: from what was seen of a fleet, with its age, and from
// what is wanted, the next step, a wait, or an end with its reason. It does no input or output and has no
// clock: times are seconds on the clock of whoever asks. Instances, halls and agents are indices.
//
// One instance at a time. What is not known counts as not serving where the floors are concerned, and as
// perhaps busy for everything else, so nothing begins while an instance is unknown that nobody left out by
// word. A step whose end is not known is resolved before another instance is touched.
package plan

import (
	"math"
	"slices"
)

// Fleet is what a rollout goes over.
type Fleet struct {
	Instances []Instance
	Halls     []int // the floor of each: instances that must serve
	Floor     int   // of the whole
	Times     Times
}

// Instance is where one router belongs.
type Instance struct{ Hall, Agent int }

// Times are in seconds.
type Times struct {
	Soak    float64 // that a changed instance must serve well before the next
	Fresh   float64 // after which what was seen is no longer known
	Contact float64 // that an unknown or missing instance is waited for before a rollout pauses
	Step    float64 // that a step may take
}

// Life is what an agent knows of an instance's process.
type Life int

// Lives of an instance.
const (
	Unknown  Life = iota // its agent has not found out yet
	Down                 // no process
	Starting             // not yet ready
	Ready                // answers an empty query
	Draining             // told to end
	Broken               // ended so often that it is no longer started
)

var lives = [...]string{"unknown", "down", "starting", "ready", "draining", "broken"}

func (l Life) String() string { return lives[l] }

// End is how a step ended.
type End int

// Ends of a step.
const (
	Open   End = iota // not yet
	Done              // the instance runs the revision and was seen ready
	Failed            // it does not
	Undone            // it came to nothing, as when its agent died before it did anything: nothing has changed
)

// Step is one change of one instance. Numbers grow over a rollout, also over its epochs.
type Step struct {
	Rollout  string `cbor:"Rollout"`
	Number   uint64 `cbor:"Number"`
	Instance int    `cbor:"Instance"`
	Revision string `cbor:"Revision"`
	Back     bool   `cbor:"Back"`    // to what ran before the rollout
	Restart  bool   `cbor:"Restart"` // also where a reload would do
	Idle     bool   `cbor:"Idle"`    // sent with no floor asked, as the instance did not serve: an agent that finds it ready does nothing
}

// Tally counts commands that came to an end.
type Tally struct {
	Ended      uint64 `cbor:"Ended"`
	Unanswered uint64 `cbor:"Unanswered"`
}

// Sight is what was last seen of an instance.
type Sight struct {
	Seen     float64 `cbor:"Seen"` // when, on the asker's clock; -Inf: never
	Life     Life    `cbor:"Life"`
	Revision string  `cbor:"Revision"` // that it runs, or is to run
	Last     Step    `cbor:"Last"`     // the newest that its agent began
	End      End     `cbor:"End"`      // of that
	Why      string  `cbor:"Why"`      // it failed
	Before   string  `cbor:"Before"`   // revision before the first step of Last.Rollout
	Recent   Tally   `cbor:"Recent"`   // of the last while, a soak's length or so
	Since    Tally   `cbor:"Since"`    // since the end of the last step
	ReadyFor float64 `cbor:"ReadyFor"`
}

// State of a rollout.
type State int

// States of a rollout.
const (
	None State = iota
	Running
	Paused
	Complete   // every instance is on the revision
	RolledBack // every instance that was touched is back on what it ran before
	Aborted    // given up by word, as it stood
)

var states = [...]string{"none", "running", "paused", "complete", "rolled back", "aborted"}

func (s State) String() string { return states[s] }

// Over tells whether a rollout takes no more steps unless it is begun again.
func (s State) Over() bool { return s != Running && s != Paused }

// Wish is what an operator asks of a rollout that another tool drives.
type Wish int

// Wishes.
const (
	Nothing Wish = iota
	Pause
	Abort
	Rollback
)

// Rollout is what is wanted and how far it has come; what the agents keep of it.
type Rollout struct {
	ID       string `cbor:"ID"`
	Revision string `cbor:"Revision"`
	Restart  bool   `cbor:"Restart"` // restart also what a reload would do for
	Back     bool   `cbor:"Back"`    // it goes back to what ran before
	State    State  `cbor:"State"`
	Why      Reason `cbor:"Why"`    // it paused or ended
	Cause    Reason `cbor:"Cause"`  // it turned
	Out      []int  `cbor:"Out"`    // instances left out by an operator's word, in order
	Step     Step   `cbor:"Step"`   // under way; Number 0: none
	Was      Tally  `cbor:"Was"`    // of the step's instance before it
	Steps    uint64 `cbor:"Steps"`  // begun so far
	Undone   int    `cbor:"Undone"` // steps in a row that came to nothing
}

// Kind of a reason.
type Kind int

// Kinds of reasons.
const (
	NoReason     Kind = iota
	ByWord            // an operator's
	Unheard           // Instance's agent is not heard from
	UnknownLife       // Instance's agent does not know it yet
	Busy              // Instance is in a step of another rollout
	Unresolved        // Instance's step has no known end in time
	HallFloor         // Hall would keep Have instances, its floor is Need
	WholeFloor        // the fleet would keep Have, its floor is Need
	StepFailed        // Instance did not come up with the revision
	SoakFailed        // Instance ended or was not ready in its soak
	SoakWorse         // Instance leaves Have of Need commands unanswered, more than before
	CannotGoBack      // Instance's way back failed as well, or it ran nothing before
	LeftOut           // Have instances were left out
	KeepsDying        // Instance's agent died before acting, or its router came up by itself, Have times in a row
	Refused           // Instance's agent will not begin the step
	NothingToDo       // nothing to be done
)

// Reason says why, for people to be told in names.
type Reason struct {
	Kind     Kind   `cbor:"Kind"`
	Instance int    `cbor:"Instance"`
	Hall     int    `cbor:"Hall"`
	Have     int    `cbor:"Have"`
	Need     int    `cbor:"Need"`
	Detail   string `cbor:"Detail"`
}

// What to do.
type What int

// What is to be done next.
const (
	Wait   What = iota // look again
	Begin              // have Step kept, then carried out
	Repeat             // send the step under way once more: its agent has not begun it
	Settle             // the step under way has ended well: keep that
	Finish             // have Rollout's new State kept: it has come to an end or pauses
	Turn               // have it kept that the rollout goes back from here
)

// Decision is what to do next. Rollout is as it is to be kept first, for all but Wait and Repeat.
type Decision struct {
	What    What
	Step    Step
	Rollout Rollout
	Why     Reason
}

// patience with what keeps ending before it begins, and what a share of failures may differ by chance:
// standard deviations, and commands.
const (
	undoneTries = 3
	deviations  = 3
	grainOfSalt = 1
)

// Planner goes over one rollout. What it keeps beside that is how long it has been waiting for the same
// thing; a planner made anew waits anew.
type Planner struct {
	Fleet   *Fleet
	Rollout Rollout
	why     Reason
	since   float64
}

// NewPlanner takes up a rollout.
func NewPlanner(f *Fleet, r Rollout) *Planner {
	return &Planner{Fleet: f, Rollout: r, since: math.Inf(-1)}
}

// counts are instances by hall and in all.
type counts struct {
	hall  []int
	whole int
}

func (f *Fleet) count(which func(i int) bool) counts {
	c := counts{hall: make([]int, len(f.Halls))}
	for i := range f.Instances {
		if which(i) {
			c.hall[f.Instances[i].Hall]++
			c.whole++
		}
	}
	return c
}

// Possible tells at once whether floors let any step be taken, were every instance but the left out ones
// serving. Instances of a hall that allows none are told of, one of them.
func Possible(f *Fleet, out []int) Reason {
	c := f.count(func(i int) bool { return !has(out, i) })
	if c.whole == 0 {
		return Reason{Kind: NothingToDo}
	}
	for hall, n := range c.hall {
		if n == 0 {
			continue
		}
		if why := f.floors(c, hall); why.Kind != NoReason {
			return why
		}
	}
	return Reason{}
}

// floors tells whether enough would still serve with one of a hall's serving instances less.
func (f *Fleet) floors(serving counts, hall int) Reason {
	if have := serving.hall[hall] - 1; have < f.Halls[hall] {
		return Reason{Kind: HallFloor, Hall: hall, Have: have, Need: f.Halls[hall]}
	}
	if have := serving.whole - 1; have < f.Floor {
		return Reason{Kind: WholeFloor, Have: have, Need: f.Floor}
	}
	return Reason{}
}

func (p *Planner) known(s *Sight, now float64) bool { return now-s.Seen <= p.Fleet.Times.Fresh }

// serving is for the floors: known, ready, and not in a step.
func (p *Planner) serving(s *Sight, now float64) bool {
	return p.known(s, now) && s.Life == Ready && (s.Last.Number == 0 || s.End != Open)
}

// Serving counts the instances that serve.
func (p *Planner) Serving(now float64, sights []Sight) int {
	n := 0
	for i := range sights {
		if p.serving(&sights[i], now) {
			n++
		}
	}
	return n
}

// Finished tells whether an instance is where the rollout wants it, and counts as touched if the rollout
// has ever changed it.
func (p *Planner) finished(s *Sight) bool {
	mine := s.Last.Rollout == p.Rollout.ID
	if p.Rollout.Back {
		return !mine || s.Last.Back && s.End == Done || !s.Last.Back && s.End == Undone && s.Revision == s.Before
	}
	return mine && !s.Last.Back && s.End == Done
}

// Finished counts the instances that are where the rollout wants them.
func (p *Planner) Finished(sights []Sight) int {
	n := 0
	for i := range sights {
		if p.finished(&sights[i]) {
			n++
		}
	}
	return n
}

// Next decides. wish is what was asked of the rollout from outside.
func (p *Planner) Next(now float64, sights []Sight, wish Wish) Decision {
	if p.Rollout.State != Running {
		return p.wait(Reason{Kind: NothingToDo})
	}
	if p.Rollout.Step.Number != 0 {
		if d, settled := p.underWay(now, sights); !settled {
			return d
		}
		r := p.Rollout
		r.Step, r.Undone = Step{}, 0
		return p.keep(Settle, r, Reason{})
	}
	switch wish {
	case Pause:
		return p.finish(Paused, Reason{Kind: ByWord})
	case Abort:
		return p.finish(Aborted, Reason{Kind: ByWord})
	case Rollback:
		if !p.Rollout.Back {
			return p.turn(Reason{Kind: ByWord})
		}
	}
	if why := p.obstacle(now, sights); why.Kind != NoReason {
		return p.patience(now, why, p.Fleet.Times.Contact)
	}
	return p.choose(now, sights)
}

// obstacle is the first instance that may be busy: one that is not known, or in a step that is not ours.
func (p *Planner) obstacle(now float64, sights []Sight) Reason {
	for i := range sights {
		s := &sights[i]
		switch {
		case has(p.Rollout.Out, i):
		case !p.known(s, now):
			return Reason{Kind: Unheard, Instance: i}
		case s.Life == Unknown:
			return Reason{Kind: UnknownLife, Instance: i}
		case s.Last.Number != 0 && s.End == Open:
			return Reason{Kind: Busy, Instance: i}
		}
	}
	return Reason{}
}

// choose picks the next instance: one that does not serve anyway comes first, since it can only gain.
func (p *Planner) choose(now float64, sights []Sight) Decision {
	serving := p.Fleet.count(func(i int) bool { return p.serving(&sights[i], now) })
	var first Reason
	for _, idle := range []bool{true, false} {
		for i := range sights {
			s := &sights[i]
			if has(p.Rollout.Out, i) || p.finished(s) || p.serving(s, now) == idle {
				continue
			}
			if why := p.Fleet.floors(serving, p.Fleet.Instances[i].Hall); !idle && why.Kind != NoReason {
				if first.Kind == NoReason {
					first = why
					first.Instance = i
				}
				continue
			}
			return p.begin(i, s)
		}
	}
	if first.Kind != NoReason {
		return p.patience(now, first, p.Fleet.Times.Contact)
	}
	left := 0
	for _, i := range p.Rollout.Out {
		if !p.finished(&sights[i]) {
			left++
		}
	}
	switch {
	case left > 0:
		return p.finish(Paused, Reason{Kind: LeftOut, Have: left})
	case p.Rollout.Back:
		return p.finish(RolledBack, p.Rollout.Cause)
	}
	return p.finish(Complete, Reason{})
}

func (p *Planner) begin(i int, s *Sight) Decision {
	r := p.Rollout
	r.Steps++
	r.Step = Step{Rollout: r.ID, Number: r.Steps, Instance: i, Revision: r.Revision, Back: r.Back, Restart: r.Restart}
	r.Was = s.Recent
	if r.Back {
		if s.Before == "" {
			return p.finish(Paused, Reason{Kind: CannotGoBack, Instance: i, Detail: "it ran nothing before"})
		}
		r.Step.Revision = s.Before
	}
	return p.keep(Begin, r, Reason{})
}

// underWay looks after the step that has begun; settled once nothing of it is open.
func (p *Planner) underWay(now float64, sights []Sight) (Decision, bool) {
	step := p.Rollout.Step
	i := step.Instance
	s, t := &sights[i], &p.Fleet.Times
	if has(p.Rollout.Out, i) {
		return Decision{}, true
	}
	if !p.known(s, now) {
		return p.patience(now, Reason{Kind: Unheard, Instance: i}, t.Contact), false
	}
	begun := s.Last.Rollout == step.Rollout && s.Last.Number == step.Number
	switch {
	case !begun && s.Last.Number != 0 && s.End == Open:
		return p.patience(now, Reason{Kind: Busy, Instance: i}, t.Contact), false
	case !begun:
		return p.send(now, sights), false
	case s.End == Open:
		return p.patience(now, Reason{Kind: Unresolved, Instance: i}, t.Step), false
	case s.End == Undone:
		r := p.Rollout
		r.Step = Step{}
		if r.Undone++; r.Undone >= undoneTries {
			r.State = Paused
			return p.keep(Finish, r, Reason{Kind: KeepsDying, Instance: i, Have: r.Undone}), false
		}
		return p.keep(Settle, r, Reason{}), false
	case s.End == Failed:
		return p.bad(Reason{Kind: StepFailed, Instance: i, Detail: s.Why}), false
	}
	return p.soak(now, i, s)
}

// Refused pauses because the agent of the step under way will not begin it. The step stays on record.
func (p *Planner) Refused(detail string) Decision {
	return p.finish(Paused, Reason{Kind: Refused, Instance: p.Rollout.Step.Instance, Detail: detail})
}

// send has the step under way sent, if it may still be: what was seen when it was decided, perhaps by another
// tool, need no longer hold.
func (p *Planner) send(now float64, sights []Sight) Decision {
	i := p.Rollout.Step.Instance
	why := p.obstacle(now, sights)
	idle := !p.serving(&sights[i], now)
	if why.Kind == NoReason && !idle {
		serving := p.Fleet.count(func(j int) bool { return p.serving(&sights[j], now) })
		why = p.Fleet.floors(serving, p.Fleet.Instances[i].Hall)
	}
	if why.Kind != NoReason {
		return p.patience(now, why, p.Fleet.Times.Contact)
	}
	d := p.patience(now, Reason{Kind: Unresolved, Instance: i}, p.Fleet.Times.Step)
	if d.What == Wait {
		d.What, d.Step = Repeat, p.Rollout.Step
		d.Step.Idle = idle
	}
	return d
}

// soak sees a changed instance serve before the next is touched.
func (p *Planner) soak(now float64, i int, s *Sight) (Decision, bool) {
	switch {
	case s.Life != Ready:
		return p.bad(Reason{Kind: SoakFailed, Instance: i, Detail: s.Life.String()}), false
	case worse(p.Rollout.Was, s.Since):
		return p.bad(Reason{Kind: SoakWorse, Instance: i, Have: int(s.Since.Unanswered), Need: int(s.Since.Ended)}), false
	case s.ReadyFor < p.Fleet.Times.Soak:
		return p.wait(Reason{Kind: NoReason, Instance: i}), false
	}
	return Decision{}, true
}

// worse tells whether the share of commands left unanswered has grown by more than chance explains. It
// guards against a revision with which a router serves, but fails.
func worse(was, is Tally) bool {
	if is.Ended == 0 {
		return false
	}
	share := 0.0
	if was.Ended > 0 {
		share = float64(was.Unanswered) / float64(was.Ended)
	}
	expected := share * float64(is.Ended)
	return float64(is.Unanswered) > expected+deviations*math.Sqrt(expected*(1-share))+grainOfSalt
}

// bad turns the rollout round, or pauses one that goes back already.
func (p *Planner) bad(why Reason) Decision {
	if p.Rollout.Back {
		why.Kind, why.Detail = CannotGoBack, "the way back failed too: "+why.Detail
		return p.finish(Paused, why)
	}
	return p.turn(why)
}

func (p *Planner) turn(why Reason) Decision {
	r := p.Rollout
	r.Back, r.Step, r.Cause, r.Undone = true, Step{}, why, 0
	return p.keep(Turn, r, why)
}

// finish ends or pauses. The step under way stays on record: a rollout that is taken up again resolves it.
func (p *Planner) finish(s State, why Reason) Decision {
	r := p.Rollout
	r.State, r.Why = s, why
	return p.keep(Finish, r, why)
}

func (p *Planner) keep(w What, r Rollout, why Reason) Decision {
	p.since, p.why = math.Inf(-1), Reason{}
	if w == Finish {
		r.Why = why
	}
	return Decision{What: w, Step: r.Step, Rollout: r, Why: why}
}

// patience waits for something to pass by itself, for so long, and then pauses. Have and Need may change
// meanwhile: it is the same wait.
func (p *Planner) patience(now float64, why Reason, most float64) Decision {
	if p.since == math.Inf(-1) || p.why.Kind != why.Kind || p.why.Instance != why.Instance {
		p.since, p.why = now, why
	}
	if now-p.since >= most {
		return p.finish(Paused, why)
	}
	return p.wait(why)
}

func (p *Planner) wait(why Reason) Decision {
	return Decision{What: Wait, Rollout: p.Rollout, Why: why}
}

// has looks into a list that is in order.
func has(list []int, i int) bool {
	_, found := slices.BinarySearch(list, i)
	return found
}
