package coordinator

import (
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// phase is what a coordinator is doing.
type phase int

const (
	phasePolling         phase = iota // asks every agent for its status
	phaseRequestingLease              // asks every agent for the lease
	phaseBackoff                      // waits after a campaign that nobody won
	phaseRunning                      // drives the rollout under the lease
	phaseReleasing                    // gives the lease back
	phaseOver
)

// agent is what is known of one agent. Of its calls, at most one query (status, lease) and one command (all others)
// are pending.
type agent struct {
	replied         bool // in this phase, or its call has failed
	granted         bool // it has granted the campaign's epoch
	leaseState      lease.State
	record          lease.Record
	operatorRequest protocol.OperatorRequest
	failure         string // of its last call
	pendingQuery    uint64 // id, or 0
	pendingCommand  uint64 // id, or 0
	nextQuery       float64
	nextCommand     float64
	stored          bool // it has stored Coordinator.storing
	released        bool // it has released the lease, or cannot be reached, or had not granted it
}

// Coordinator drives one rollout. It is used from one goroutine.
type Coordinator struct {
	config           Config
	instancesByAgent [][]int

	phase     phase
	phaseTime float64 // when the phase began; in phaseBackoff, when it ends
	outcome   Outcome
	events    []Event

	agents       []agent
	pendingCalls map[uint64]pendingCall
	lastCallID   uint64

	campaign      *lease.Campaign
	lostCampaigns int     // in a row, lost to nobody
	lastMajority  float64 // when a majority was last known to follow

	planner      *rollout.Planner // set with the first lease
	rollout      protocol.Rollout // as a majority stores it
	observations []rollout.Observation
	statuses     []protocol.InstanceStatus
	storing      *pendingRecord // nil: none
	recordNumber uint64         // of the newest record under this epoch
	stepToSend   rollout.Step   // Number 0: none
	nextStepSend float64
	refusals     int // of the current step by its agent, in a row
}

// New returns a coordinator that has made no call.
func New(config Config) *Coordinator {
	c := &Coordinator{
		config:           config,
		instancesByAgent: make([][]int, config.Agents),
		agents:           make([]agent, config.Agents),
		pendingCalls:     map[uint64]pendingCall{},
		observations:     make([]rollout.Observation, len(config.InstanceNames)),
		statuses:         make([]protocol.InstanceStatus, len(config.InstanceNames)),
	}
	slices.Sort(c.config.Task.ExcludedInstances)
	for i, instance := range config.Fleet.Instances {
		c.instancesByAgent[instance.Agent] = append(c.instancesByAgent[instance.Agent], i)
		c.observations[i].SeenAt = math.Inf(-1)
	}
	return c
}

// Outcome tells how the coordinator ended, and whether it has.
func (c *Coordinator) Outcome() (Outcome, bool) { return c.outcome, c.phase == phaseOver }

// Quit has the coordinator release its lease and end. A step under way continues by itself.
func (c *Coordinator) Quit(now float64) {
	ending := c.phase == phaseReleasing && c.outcome.Kind != OutcomeNoMajority
	if ending || c.phase == phaseOver {
		return
	}
	c.lostCampaigns = maxLostCampaigns
	c.release(now, Outcome{Kind: OutcomeInterrupted, Rollout: c.rollout})
}

// TakeEvents returns what has happened since the last call.
func (c *Coordinator) TakeEvents() []Event {
	events := c.events
	c.events = nil
	return events
}

// View returns how the rollout stands at a time.
func (c *Coordinator) View(now float64) View {
	v := View{Rollout: c.rollout, Instances: c.statuses}
	if c.planner != nil {
		v.Finished = c.planner.FinishedCount(c.observations)
		v.Serving = c.planner.ServingCount(now, c.observations)
		v.Epoch = c.campaign.Request.Epoch
	}
	return v
}

// PendingCalls returns the number of calls whose outcome is awaited.
func (c *Coordinator) PendingCalls() int { return len(c.pendingCalls) }

// Tick returns the calls that are due, and the time of the next Tick at the latest. It may be called at any time
// before, such as after a reply.
func (c *Coordinator) Tick(now float64) (calls []OutgoingCall, next float64) {
	next = now + c.config.Timing.PollSeconds
	switch c.phase {
	case phasePolling:
		c.checkStatuses(now)
	case phaseRequestingLease:
		c.checkCampaign(now)
	case phaseBackoff:
		if now >= c.phaseTime {
			c.enter(now, phasePolling)
		}
	case phaseRunning:
		c.decide(now)
	case phaseReleasing:
		c.checkReleased(now)
	case phaseOver:
	}
	if c.phase == phaseOver || c.phase == phaseBackoff {
		return nil, next
	}
	soonest := now + c.config.Timing.PollSeconds/4
	for i := range c.agents {
		if r, due := c.dueQuery(now, i); due {
			calls = append(calls, c.send(now, i, r))
		}
		if r, due := c.dueCommand(now, i); due {
			calls = append(calls, c.send(now, i, r))
		}
		next = min(next, max(c.agents[i].nextQuery, soonest))
	}
	return calls, next
}

// enter begins a phase. Calls that are pending belong to the phase before; their outcomes are not awaited.
func (c *Coordinator) enter(now float64, p phase) {
	c.phase = p
	c.phaseTime = now
	for i := range c.agents {
		a := &c.agents[i]
		a.replied = false
		a.pendingQuery, a.pendingCommand = 0, 0
		a.nextQuery, a.nextCommand = now, now
		a.failure = ""
		if p == phaseRequestingLease {
			a.granted = false
			a.stored = false
		}
	}
	clear(c.pendingCalls)
}

// decide asks the planner, unless a decision is being stored.
func (c *Coordinator) decide(now float64) {
	if c.storing != nil {
		if now-c.lastMajority >= c.config.Timing.MajorityTimeoutSeconds {
			c.release(now, Outcome{Kind: OutcomeNoMajority, Rollout: c.rollout})
		}
		return
	}
	c.lastMajority = now
	decision := c.planner.Next(now, c.observations, c.operatorRequest().Action)
	switch decision.Action {
	case rollout.ActionWait:
	case rollout.ActionResendStep:
		if now >= c.nextStepSend {
			c.stepToSend = decision.Step
		}
	default:
		c.storeDecision(now, decision)
	}
}

// operatorRequest returns what an operator has requested of this run of the rollout with one of the agents.
func (c *Coordinator) operatorRequest() protocol.OperatorRequest {
	var strongest protocol.OperatorRequest
	for i := range c.agents {
		r := c.agents[i].operatorRequest
		ofThisRun := r.RolloutID == c.rollout.ID && r.Run == c.rollout.Run
		if ofThisRun && r.Action > strongest.Action {
			strongest = r
		}
	}
	return strongest
}
