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
	phasePolling phase = iota
	phaseRequestingLease
	phaseBackoff // after a bid that was lost to nobody
	phaseRunning
	phaseReleasing
	phaseOver
)

const (
	maxLostCampaigns = 6 // in a row that may be lost to nobody
	maxRefusals      = 3 // of a step by its agent, in a row, before the rollout pauses
)

// agent is what is known of one.
type agent struct {
	replied         bool // in this phase
	granted         bool // the epoch
	leaseState      claim.State
	record          claim.Record
	operatorRequest form.OperatorRequest
	failure         string
	pendingQuery    uint64 // call that is out, or 0
	pendingCommand  uint64
	nextQuery       float64 // look
	nextCommand     float64 // say
	stored          bool    // the record that is being kept
	released        bool
}

// Coordinator drives one rollout.
type Coordinator struct {
	fleet         *plan.Fleet
	instanceNames []string
	agentsDigest  string // digest of the list of agents
	holder        string
	timing        Timing
	task          Task
	random        func() float64

	phase            phase
	phaseTime        float64 // the phase
	lostCampaigns    int
	campaign         *claim.Campaign
	agents           []agent
	instancesByAgent [][]int // instances
	pendingCalls     map[uint64]pendingCall
	lastCallID       uint64 // ID
	outcome          Outcome

	planner      *plan.Planner
	rollout      form.Rollout
	observations []plan.Observation
	statuses     []form.InstanceStatus
	recordNumber uint64 // of the record kept last, in this epoch
	storing      *pendingRecord
	stepToSend   plan.Step // to be sent
	nextStepSend float64
	refusals     int
	lastMajority float64 // a majority was last heard of in this epoch
	events       []Event
}

// New is a driver that has sent nothing. names are the instances', agents how many there are, list the digest
// of the list of them; holder must be this driver's alone. chance draws from 0 to 1.
func New(f *plan.Fleet, names []string, agents int, list, holder string, t Timing, task Task, chance func() float64) *Coordinator {
	d := &Coordinator{
		fleet: f, instanceNames: names, agentsDigest: list, holder: holder, timing: t, task: task, random: chance,
		agents: make([]agent, agents), instancesByAgent: make([][]int, agents), pendingCalls: map[uint64]pendingCall{},
		observations: make([]plan.Observation, len(names)), statuses: make([]form.InstanceStatus, len(names)),
	}
	slices.Sort(d.task.ExcludedInstances)
	for i, x := range f.Instances {
		d.instancesByAgent[x.Agent] = append(d.instancesByAgent[x.Agent], i)
		d.observations[i].SeenAt = math.Inf(-1)
	}
	return d
}

// Outcome tells whether the driver has ended, and how.
func (d *Coordinator) Outcome() (Outcome, bool) { return d.outcome, d.phase == phaseOver }

// Quit has the driver give its claim back and end. A step under way goes on by itself.
func (d *Coordinator) Quit(now float64) {
	if d.phase != phaseOver && !(d.phase == phaseReleasing && d.outcome.Kind != OutcomeNoMajority) {
		d.lostCampaigns = maxLostCampaigns
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
	v := View{Rollout: d.rollout, Instances: d.statuses}
	if d.planner != nil {
		v.Finished, v.Serving = d.planner.FinishedCount(d.observations), d.planner.ServingCount(now, d.observations)
		v.Epoch = d.campaign.Request.Epoch
	}
	return v
}

func (d *Coordinator) enter(now float64, p phase) {
	d.phase, d.phaseTime = p, now
	for i := range d.agents {
		a := &d.agents[i]
		// What is still out belongs to the phase before, and is not waited for.
		a.replied, a.pendingQuery, a.pendingCommand, a.nextQuery, a.nextCommand, a.failure = false, 0, 0, now, now, ""
		if p == phaseRequestingLease {
			a.granted, a.stored = false, false
		}
	}
	clear(d.pendingCalls)
}

// Tick returns the calls that are due, and when to ask again at the latest.
func (d *Coordinator) Tick(now float64) ([]OutgoingCall, float64) {
	var sends []OutgoingCall
	wake := now + d.timing.PollSeconds
	switch d.phase {
	case phasePolling, phaseRequestingLease:
		d.checkReplies(now)
	case phaseBackoff:
		if now >= d.phaseTime {
			d.enter(now, phasePolling)
		}
	case phaseRunning:
		d.decide(now)
	case phaseReleasing:
		d.checkReleased(now)
	}
	if d.phase == phaseOver || d.phase == phaseBackoff {
		return nil, wake
	}
	for i := range d.agents {
		if c, due := d.dueQuery(now, i); due {
			sends = append(sends, d.send(now, i, c))
		}
		if c, due := d.dueCommand(now, i); due {
			sends = append(sends, d.send(now, i, c))
		}
		wake = min(wake, max(d.agents[i].nextQuery, now+d.timing.PollSeconds/4))
	}
	return sends, wake
}

// decide asks the planner once nothing is being kept.
func (d *Coordinator) decide(now float64) {
	if d.storing != nil {
		if now-d.lastMajority >= d.timing.MajorityTimeoutSeconds {
			d.release(now, Outcome{Kind: OutcomeNoMajority, Rollout: d.rollout})
		}
		return
	}
	d.lastMajority = now
	switch dec := d.planner.Next(now, d.observations, d.operatorRequest().Action); dec.Action {
	case plan.ActionWait:
	case plan.ActionResendStep:
		if now >= d.nextStepSend {
			d.stepToSend = dec.Step
		}
	default:
		d.storeDecision(now, dec)
	}
}

// PendingCalls is the number of calls that are out.
func (d *Coordinator) PendingCalls() int { return len(d.pendingCalls) }
