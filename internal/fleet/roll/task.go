package roll

import (
	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
)

// Operation is what an operator wants of a rollout.
type Operation int

// Verbs.
const (
	OperationBegin    Operation = iota // a new one
	OperationResume                    // the one that paused, or whose tool is gone
	OperationRollback                  // the newest goes back
	OperationPause                     // it pauses
	OperationAbort                     // it is given up as it stands
)

// Task is what a driver is for.
type Task struct {
	Operation         Operation
	Rollout           form.Rollout // for Begin: ID, Revision, Restart, Name, By, Began, Fleet
	Operator          string
	FleetDigest       string // digest of the list of instances
	Takeover          bool   // also from a holder whose claim still runs
	ExcludedInstances []int  // by word; it holds for this run only
}

// Timing are in seconds.
type Timing struct {
	PollSeconds            float64 // between two looks at an agent, and before anything is said again
	MajorityTimeoutSeconds float64 // up on a majority that does not come
}

// OutgoingCall is a call to be made. ID names it in Heard and Failed.
type OutgoingCall struct {
	ID      uint64
	Agent   int
	Request form.Request
}

// OutcomeKind of an outcome.
type OutcomeKind int

// Kinds of outcomes. All but Ended mean that the rollout was not touched, or not any more, by this driver.
const (
	OutcomeEnded             OutcomeKind = iota // Rollout.State says how
	OutcomeLeaseHeld                            // another holds the claim
	OutcomeNoMajority                           // of agents can be heard, or grants
	OutcomeUnfinishedRollout                    // another rollout is under way or paused
	OutcomeInfeasible                           // Reason: floors allow no step
	OutcomeNoRollout                            // no rollout to go on with
	OutcomeOtherFleet                           // the rollout goes over another list of instances
	OutcomeFenced                               // the claim was taken over by Holder
	OutcomeInterrupted                          // the tool was ended by its operator: the rollout waits to be taken up
)

// Outcome is how a driver ended.
type Outcome struct {
	Kind    OutcomeKind
	Rollout form.Rollout
	Holder  claim.State
	Reason  plan.Reason
	Faults  []string // what agents gave as reasons, for people
}

// Event is something that has come about, for a live view and traces.
type Event struct {
	At            float64
	Action        plan.Action
	Rollout       form.Rollout
	Reason        plan.Reason
	Step          plan.Step     // begun or settled
	AcquiredEpoch uint64        // the epoch, when one was won
	RecordVersion claim.Version // of the record that was found then, or that a majority keeps now
	StepRefusal   string        // an agent's words
}
