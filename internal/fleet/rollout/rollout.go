package rollout

// State of a rollout.
type State int

// States of a rollout. The numbers are stored, so their order must stay.
const (
	None       State = iota
	Running          // a tool drives it, or has stopped and another must continue it
	Paused           // no tool drives it until an operator resumes it
	Complete         // every instance runs the revision
	RolledBack       // every instance that was changed runs its previous revision again
	Aborted          // an operator aborted it; instances keep the revisions that they run
)

var states = [...]string{"none", "running", "paused", "complete", "rolled back", "aborted"}

// String returns the state's name for operators.
func (s State) String() string { return states[s] }

// Terminal reports whether the rollout has ended or there is none. Only a rollback that an operator requests can then begin
// steps in an ended one.
func (s State) Terminal() bool { return s != Running && s != Paused }

// OperatorRequest is an operator's request to the tool that drives a rollout.
type OperatorRequest int

// Operator requests. The numbers are sent and stored, and the highest of several requests is followed, so their order
// must stay.
const (
	RequestNone     OperatorRequest = iota
	RequestPause                    // pause before the next step
	RequestAbort                    // end the rollout; instances keep the revisions that they run
	RequestRollback                 // return changed instances to their previous revisions
)

// Rollout is the goal and the progress of a rollout. The agents store it.
type Rollout struct {
	ID                 string        `cbor:"ID"`
	Revision           string        `cbor:"Revision"` // digest of the revision to roll out
	Restart            bool          `cbor:"Restart"`  // restart routers even where a reload would be enough
	RollingBack        bool          `cbor:"Back"`     // changed instances return to their previous revisions
	State              State         `cbor:"State"`
	Reason             Reason        `cbor:"Why"`    // why the rollout paused or ended
	RollbackCause      Reason        `cbor:"Cause"`  // why it rolls back; set if RollingBack
	ExcludedInstances  []int         `cbor:"Out"`    // indices of instances that an operator excluded, sorted
	CurrentStep        Step          `cbor:"Step"`   // step under way; Number is 0 if there is none
	CommandsBeforeStep CommandCounts `cbor:"Was"`    // RecentCommands of CurrentStep's instance when the step began
	StepsBegun         uint64        `cbor:"Steps"`  // number of steps begun, which is also the newest step's number
	StepsNotApplied    int           `cbor:"Undone"` // number of consecutive steps that were not applied
}

func (r *Rollout) excludes(instance int) bool { return containsSorted(r.ExcludedInstances, instance) }
