package coordinator

import (
	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// Operation is what an operator wants of a rollout.
type Operation int

// Operations.
const (
	OperationBegin    Operation = iota // begin a new rollout
	OperationResume                    // continue the one that paused or whose tool is gone
	OperationRollback                  // roll the newest one back
	OperationPause                     // pause the one under way
	OperationAbort                     // give the one under way up; instances stay as they are
)

// Task is what a coordinator is to do.
type Task struct {
	Operation         Operation
	Rollout           protocol.Rollout // for OperationBegin; State, Run and ExcludedInstances are set by the coordinator
	Operator          string           // name
	FleetDigest       string           // of the list of instances; a rollout over another list is not continued
	Takeover          bool             // take the lease also from a holder whose lease has not expired
	ExcludedInstances []int            // that this run leaves out
}

// Timing is how often a coordinator calls and how long it tries.
type Timing struct {
	PollSeconds            float64 // between two status calls to an agent, and before a call is repeated
	MajorityTimeoutSeconds float64 // for which a coordinator with a lease tries to reach a majority
}

// Config is what a coordinator needs.
type Config struct {
	Fleet         *rollout.Fleet
	InstanceNames []string // of Fleet.Instances
	Agents        int      // how many there are; they are numbered from 0
	AgentsDigest  string   // of the list of agents
	Holder        string   // as which the lease is requested: no two coordinators share it
	Timing        Timing
	Task          Task
	Random        func() float64 // from 0 to 1; spreads competing requests
}

// OutgoingCall is a call to be made. Its outcome goes to HandleReply or HandleFailure under its ID.
type OutgoingCall struct {
	ID      uint64
	Agent   int
	Request protocol.Request
}

// OutcomeKind tells outcomes apart.
type OutcomeKind int

// Kinds of outcomes. All but OutcomeEnded mean that this coordinator has not changed the rollout, or no longer does.
const (
	OutcomeEnded             OutcomeKind = iota // the rollout has ended or paused: see Rollout.State
	OutcomeLeaseHeld                            // Holder has the lease
	OutcomeNoMajority                           // no majority of agents can be reached, or grants the lease
	OutcomeUnfinishedRollout                    // Rollout, another one, is under way or paused
	OutcomeInfeasible                           // the minimums allow no step: see Reason
	OutcomeNoRollout                            // there is no rollout to continue
	OutcomeOtherFleet                           // Rollout goes over another list of instances
	OutcomeFenced                               // Holder has taken the lease over
	OutcomeInterrupted                          // Quit was called; the rollout can be resumed
)

// Outcome is how a coordinator ended.
type Outcome struct {
	Kind    OutcomeKind
	Rollout protocol.Rollout // as it was last known
	Holder  lease.State      // another holder's lease
	Reason  rollout.Reason
	Faults  []string // what agents gave as reasons of failed calls, for people; sorted
}

// Event is something that has happened, for a live view and traces. One of these sets of fields is filled: AcquiredEpoch
// and RecordVersion for a lease; StepRefusal, Step and Rollout for a refused step; all others for a stored decision.
type Event struct {
	At            float64 // seconds on the coordinator's clock
	Action        rollout.Action
	Rollout       protocol.Rollout
	Reason        rollout.Reason
	Step          rollout.Step  // begun, completed or refused
	AcquiredEpoch uint64        // of the lease that was granted; 0: none
	RecordVersion lease.Version // of the record that was found with the lease, or that a majority stores now
	StepRefusal   string        // why the agent refuses the step, for people
}

// View is how a rollout stands, for people.
type View struct {
	Rollout   protocol.Rollout
	Finished  int // instances that are where the rollout wants them
	Serving   int // instances
	Instances []protocol.InstanceStatus
	Epoch     uint64 // of the lease; 0: none yet
}
