package coordinator

import (
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// phase is a coordinator's current activity.
type phase int

const (
	phasePolling         phase = iota // asks every agent for its status
	phaseRequestingLease              // asks every agent for the lease
	phaseBackoff                      // waits before it polls again
	phaseRunning                      // drives the rollout under the lease
	phaseReleasing                    // releases the lease at the agents that granted it
	phaseEnded                        // the outcome is final
)

// agent is what a coordinator knows of one agent. At most one query (a status or lease request) and one command (any other
// call) to an agent are pending.
type agent struct {
	settled         bool                     // the agent has replied in this phase, or a call to it has failed
	granted         bool                     // the agent has granted the campaign's epoch
	leaseState      lease.State              // from the agent's last reply
	record          lease.Record             // from the last status reply while polling
	operatorRequest protocol.OperatorRequest // from the last status reply
	failure         string                   // failure of the last call or in its reply; empty if there was none
	pendingQuery    uint64                   // ID of the pending query; 0 if there is none
	pendingCommand  uint64                   // ID of the pending command; 0 if there is none
	nextQuery       float64                  // earliest time of the next query, in seconds
	nextCommand     float64                  // earliest time of the next command, in seconds
	stored          bool                     // the agent has stored the record in Coordinator.storing
	released        bool                     // the agent has released the lease, had not granted it, or cannot be reached
}

// Coordinator drives one rollout. Only one goroutine may use it.
type Coordinator struct {
	config           Config
	instancesByAgent [][]int // indices of each agent's instances

	phase     phase
	phaseTime float64 // when the phase began, in seconds; in phaseBackoff, when the phase ends
	outcome   Outcome // final in phaseEnded
	events    []Event // not yet returned by TakeEvents

	agents       []agent
	pendingCalls map[uint64]pendingCall // by ID
	lastCallID   uint64

	campaign      *lease.Campaign
	lostCampaigns int     // consecutive campaigns that were lost while no other holder had the lease
	lastMajority  float64 // when a majority last granted the lease or stored a record, in seconds; while storing is nil, the last Tick

	planner      *rollout.Planner          // nil before the first lease
	rollout      protocol.Rollout          // as a majority of agents stores it
	observations []rollout.Observation     // by instance
	statuses     []protocol.InstanceStatus // by instance; newest reports, for View
	storing      *pendingRecord            // the record that the agents are to store; nil if there is none
	recordNumber uint64                    // number of the newest record under this epoch
	stepToSend   rollout.Step              // Number is 0 if there is none
	nextStepSend float64                   // earliest time to send a step, in seconds
	refusals     int                       // consecutive replies that refused the current step
}

// New returns a coordinator that has not made any call yet.
func New(config Config) *Coordinator {
	c := &Coordinator{
		config:           config,
		instancesByAgent: make([][]int, config.AgentCount),
		agents:           make([]agent, config.AgentCount),
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

// Outcome returns the coordinator's outcome, and whether the coordinator has ended and the outcome is final.
func (c *Coordinator) Outcome() (Outcome, bool) { return c.outcome, c.phase == phaseEnded }

// Quit makes the coordinator release its lease and end. The agent of a step under way completes the step on its own.
func (c *Coordinator) Quit(now float64) {
	ending := c.phase == phaseReleasing && c.outcome.Kind != OutcomeNoMajority
	if ending || c.phase == phaseEnded {
		return
	}
	c.lostCampaigns = maxLostCampaigns
	c.release(now, Outcome{Kind: OutcomeInterrupted, Rollout: c.rollout})
}

// TakeEvents returns the events since the last call.
func (c *Coordinator) TakeEvents() []Event {
	events := c.events
	c.events = nil
	return events
}

// View returns the state of the rollout at now.
func (c *Coordinator) View(now float64) View {
	view := View{Rollout: c.rollout, Instances: c.statuses}
	if c.planner != nil {
		view.Finished = c.planner.FinishedCount(c.observations)
		view.Serving = c.planner.ServingCount(now, c.observations)
		view.Epoch = c.campaign.Request.Epoch
	}
	return view
}

// PendingCalls returns the number of calls that have neither a reply nor a failure yet.
func (c *Coordinator) PendingCalls() int { return len(c.pendingCalls) }

// Tick returns the calls that are due, and the time by which the caller must call Tick again. The caller may call it
// earlier, for example after a reply.
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
	case phaseEnded:
	}
	if c.phase == phaseEnded || c.phase == phaseBackoff {
		return nil, next
	}
	earliestTick := now + c.config.Timing.PollSeconds/4
	for i := range c.agents {
		if r, due := c.dueQuery(now, i); due {
			calls = append(calls, c.send(now, i, r))
		}
		if r, due := c.dueCommand(now, i); due {
			calls = append(calls, c.send(now, i, r))
		}
		next = min(next, max(c.agents[i].nextQuery, earliestTick))
	}
	return calls, next
}

// enter begins a phase. Pending calls belong to the phase before, so their outcomes will be ignored.
func (c *Coordinator) enter(now float64, p phase) {
	c.phase = p
	c.phaseTime = now
	for i := range c.agents {
		a := &c.agents[i]
		a.settled = false
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

// decide asks the planner for the next decision. While the agents are storing a decision, it only checks whether the majority
// timeout has passed. A step that was decided before and could not be sent yet is decided anew: the fleet's minimums may forbid
// it by now.
func (c *Coordinator) decide(now float64) {
	c.stepToSend = rollout.Step{}
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

// operatorRequest returns the operator request for this run of the rollout that agents report. If they report several, the
// one with the highest action counts.
func (c *Coordinator) operatorRequest() protocol.OperatorRequest {
	var strongest protocol.OperatorRequest
	for i := range c.agents {
		request := c.agents[i].operatorRequest
		ofThisRun := request.RolloutID == c.rollout.ID && request.Run == c.rollout.Run
		if ofThisRun && request.Action > strongest.Action {
			strongest = request
		}
	}
	return strongest
}
