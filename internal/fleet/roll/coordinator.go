// Package roll drives a rollout from an operator's side: it joins the claim (package claim) and the decisions
// (package plan) to the messages of package form, without a socket or a clock. What is to be sent comes back
// as values; answers and failures are handed in. It can die at any point: what it was doing is in the record
// that a majority of agents keeps, and another driver goes on from there.
//
// An agent's word counts only once it has granted this driver's epoch, for only then is it sure that no
// earlier holder can still begin anything there.
package roll

import (
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
)

type phase int

const (
	asking phase = iota
	bidding
	resting // after a bid that was lost to nobody
	running
	releasing
	over
)

const (
	bids     = 6 // in a row that may be lost to nobody
	refusals = 3 // of a step by its agent, in a row, before the rollout pauses
)

// agent is what is known of one.
type agent struct {
	heard    bool // in this phase
	granted  bool // the epoch
	standing claim.State
	record   claim.Record
	wish     form.OperatorRequest
	fault    string
	looking  uint64 // call that is out, or 0
	saying   uint64
	next     float64 // look
	again    float64 // say
	kept     bool    // the record that is being kept
	released bool
}

// Coordinator drives one rollout.
type Coordinator struct {
	fleet  *plan.Fleet
	names  []string
	list   string // digest of the list of agents
	holder string
	times  Timing
	task   Task
	chance func() float64

	phase    phase
	since    float64 // the phase
	tries    int
	campaign *claim.Campaign
	agents   []agent
	byAgent  [][]int // instances
	calls    map[uint64]out
	last     uint64 // ID
	outcome  Outcome

	planner *plan.Planner
	rollout form.Rollout
	sights  []plan.Observation
	told    []form.InstanceStatus
	number  uint64 // of the record kept last, in this epoch
	keeping *keeping
	acting  plan.Step // to be sent
	actAt   float64
	refused int
	majorAt float64 // a majority was last heard of in this epoch
	events  []Event
}

// New is a driver that has sent nothing. names are the instances', agents how many there are, list the digest
// of the list of them; holder must be this driver's alone. chance draws from 0 to 1.
func New(f *plan.Fleet, names []string, agents int, list, holder string, t Timing, task Task, chance func() float64) *Coordinator {
	d := &Coordinator{
		fleet: f, names: names, list: list, holder: holder, times: t, task: task, chance: chance,
		agents: make([]agent, agents), byAgent: make([][]int, agents), calls: map[uint64]out{},
		sights: make([]plan.Observation, len(names)), told: make([]form.InstanceStatus, len(names)),
	}
	slices.Sort(d.task.ExcludedInstances)
	for i, x := range f.Instances {
		d.byAgent[x.Agent] = append(d.byAgent[x.Agent], i)
		d.sights[i].SeenAt = math.Inf(-1)
	}
	return d
}

// Outcome tells whether the driver has ended, and how.
func (d *Coordinator) Outcome() (Outcome, bool) { return d.outcome, d.phase == over }

// Quit has the driver give its claim back and end. A step under way goes on by itself.
func (d *Coordinator) Quit(now float64) {
	if d.phase != over && !(d.phase == releasing && d.outcome.Kind != OutcomeNoMajority) {
		d.tries = bids
		d.release(now, Outcome{Kind: OutcomeInterrupted, Rollout: d.rollout})
	}
}

// TakeEvents returns what has come about since the last call.
func (d *Coordinator) TakeEvents() []Event {
	e := d.events
	d.events = nil
	return e
}

// View is how the rollout stands, for people.
type View struct {
	Rollout   form.Rollout
	Finished  int
	Serving   int
	Instances []form.InstanceStatus
	Epoch     uint64
}

// View tells how things stand now.
func (d *Coordinator) View(now float64) View {
	v := View{Rollout: d.rollout, Instances: d.told}
	if d.planner != nil {
		v.Finished, v.Serving = d.planner.FinishedCount(d.sights), d.planner.ServingCount(now, d.sights)
		v.Epoch = d.campaign.Request.Epoch
	}
	return v
}

func (d *Coordinator) enter(now float64, p phase) {
	d.phase, d.since = p, now
	for i := range d.agents {
		a := &d.agents[i]
		// What is still out belongs to the phase before, and is not waited for.
		a.heard, a.looking, a.saying, a.next, a.again, a.fault = false, 0, 0, now, now, ""
		if p == bidding {
			a.granted, a.kept = false, false
		}
	}
	clear(d.calls)
}

// Tick returns the calls that are due, and when to ask again at the latest.
func (d *Coordinator) Tick(now float64) ([]OutgoingCall, float64) {
	var sends []OutgoingCall
	wake := now + d.times.PollSeconds
	switch d.phase {
	case asking, bidding:
		d.count(now)
	case resting:
		if now >= d.since {
			d.enter(now, asking)
		}
	case running:
		d.decide(now)
	case releasing:
		d.released(now)
	}
	if d.phase == over || d.phase == resting {
		return nil, wake
	}
	for i := range d.agents {
		if c, due := d.look(now, i); due {
			sends = append(sends, d.send(now, i, c))
		}
		if c, due := d.say(now, i); due {
			sends = append(sends, d.send(now, i, c))
		}
		wake = min(wake, max(d.agents[i].next, now+d.times.PollSeconds/4))
	}
	return sends, wake
}

// decide asks the planner once nothing is being kept.
func (d *Coordinator) decide(now float64) {
	if d.keeping != nil {
		if now-d.majorAt >= d.times.MajorityTimeoutSeconds {
			d.release(now, Outcome{Kind: OutcomeNoMajority, Rollout: d.rollout})
		}
		return
	}
	d.majorAt = now
	switch dec := d.planner.Next(now, d.sights, d.wish().Action); dec.Action {
	case plan.ActionWait:
	case plan.ActionResendStep:
		if now >= d.actAt {
			d.acting = dec.Step
		}
	default:
		d.follow(now, dec)
	}
}

// PendingCalls is the number of calls that are out.
func (d *Coordinator) PendingCalls() int { return len(d.calls) }
