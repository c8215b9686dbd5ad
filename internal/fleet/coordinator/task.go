package coordinator

import (
	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// Operation is an operator's command to a coordinator.
type Operation int

// Operations.
const (
	OperationBegin    Operation = iota // begin a new rollout
	OperationResume                    // continue the rollout that has paused or whose tool has stopped
	OperationRollback                  // roll back the newest rollout
	OperationPause                     // pause the rollout under way
	OperationAbort                     // abort the rollout under way; instances keep the revisions that they run
)

// Task is the work of one coordinator.
type Task struct {
	Operation         Operation
	Rollout           protocol.Rollout // for OperationBegin; the coordinator sets State, Run and ExcludedInstances
	Operator          string           // the operator's name
	FleetDigest       string           // digest of the list of instances; a rollout over another list is not continued
	Takeover          bool             // take the lease even from a holder whose lease has not expired
	ExcludedInstances []int            // indices of instances that this run does not change
}

// Timing holds a coordinator's call interval and its timeout.
type Timing struct {
	PollSeconds            float64 // interval between two status calls to an agent, and before a call is repeated
	MajorityTimeoutSeconds float64 // time for which a coordinator with a lease tries to reach a majority
}

// Config is the configuration of a coordinator.
type Config struct {
	Fleet         *rollout.Fleet
	InstanceNames []string // names of Fleet.Instances, in their order
	AgentCount    int      // number of agents; agents are numbered from 0
	AgentsDigest  string   // digest of the list of agents; agents deny calls with another one
	Holder        string   // identifies this coordinator in lease requests; every coordinator has a different one
	Timing        Timing
	Task          Task
	Random        func() float64 // returns a number from 0 to 1, for the backoffs of competing coordinators
}

// OutgoingCall is a call that the caller of Tick has to make. The caller passes its reply to HandleReply, or its failure to
// HandleFailure, with its ID.
type OutgoingCall struct {
	ID      uint64
	Agent   int // index of the agent to call
	Request protocol.Request
}

// OutcomeKind is the kind of an outcome.
type OutcomeKind int

// Kinds of outcomes. All except OutcomeEnded mean that this coordinator did not change the rollout or stopped changing it.
const (
	OutcomeEnded             OutcomeKind = iota // the rollout has ended or paused; Rollout.State is its state
	OutcomeLeaseHeld                            // Holder has the lease
	OutcomeNoMajority                           // no majority of agents can be reached, or none grants the lease
	OutcomeUnfinishedRollout                    // another rollout, Rollout, is under way or paused
	OutcomeInfeasible                           // the minimums allow no step; Reason is the cause
	OutcomeNoRollout                            // there is no rollout to continue, or its record cannot be decoded
	OutcomeOtherFleet                           // Rollout is over another list of instances
	OutcomeFenced                               // Holder has the lease now; without a Holder, another run, Rollout, has replaced this one
	OutcomeInterrupted                          // the caller called Quit; the rollout can be resumed
)

// Outcome is the final result of a coordinator.
type Outcome struct {
	Kind     OutcomeKind
	Rollout  protocol.Rollout // the rollout as the coordinator last knew it
	Holder   lease.State      // another holder's lease
	Reason   rollout.Reason
	Failures []string // distinct failures of calls to agents, as text for operators; sorted
}

// Event is one event of a rollout, for a live view and traces. It is of one of three kinds. An acquired lease sets
// AcquiredEpoch and RecordVersion. A refused step sets StepRefusal, Step and Rollout. A stored decision sets Action,
// Rollout, Reason, Step and RecordVersion. At is always set.
type Event struct {
	At            float64 // seconds on the coordinator's clock
	Action        rollout.Action
	Rollout       protocol.Rollout
	Reason        rollout.Reason
	Step          rollout.Step  // the step that was begun, completed or refused
	AcquiredEpoch uint64        // epoch of the acquired lease; 0 if the event is of another kind
	RecordVersion lease.Version // version of the newest record found with the lease, or of the record that a majority has stored
	StepRefusal   string        // why the agent refuses the step, as text for operators
}

// View is the state of a rollout, for operators.
type View struct {
	Rollout   protocol.Rollout
	Finished  int // number of instances that the rollout no longer has to change
	Serving   int // number of instances that serve
	Instances []protocol.InstanceStatus
	Epoch     uint64 // epoch of the lease; 0 before the first lease
}
