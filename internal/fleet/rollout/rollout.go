package rollout

// State of a rollout.
type State int

// States of a rollout. The numbers are stored: their order must stay.
const (
	None       State = iota
	Running          // a tool drives it, or is to continue it
	Paused           // an operator must resume it
	Complete         // every instance runs the revision
	RolledBack       // every instance that was changed runs again what it ran before
	Aborted          // given up by an operator; instances stay as they are
)

var states = [...]string{"none", "running", "paused", "complete", "rolled back", "aborted"}

// String returns the state as it is shown to operators.
func (s State) String() string { return states[s] }

// Terminal tells whether the rollout takes no more steps, unless an operator rolls it back.
func (s State) Terminal() bool { return s != Running && s != Paused }

// OperatorRequest is what an operator requests of a rollout that another tool drives.
type OperatorRequest int

// Operator requests. The numbers are sent and stored, and of several requests the highest counts: their order must stay.
const (
	RequestNone     OperatorRequest = iota
	RequestPause                    // pause before the next step
	RequestAbort                    // end the rollout; instances stay as they are
	RequestRollback                 // roll back what was changed
)

// Rollout is what is wanted and how far it has come. The agents store it.
type Rollout struct {
	ID                 string        `cbor:"ID"`
	Revision           string        `cbor:"Revision"` // digest of the revision to be rolled out
	Restart            bool          `cbor:"Restart"`  // restart routers also where a reload would be enough
	RollingBack        bool          `cbor:"Back"`     // changed instances return to what they ran before
	State              State         `cbor:"State"`
	Reason             Reason        `cbor:"Why"`    // of the pause or end
	RollbackCause      Reason        `cbor:"Cause"`  // set if RollingBack
	ExcludedInstances  []int         `cbor:"Out"`    // excluded by an operator, sorted
	CurrentStep        Step          `cbor:"Step"`   // Number 0: none
	CommandsBeforeStep CommandCounts `cbor:"Was"`    // RecentCommands of CurrentStep's instance as it began
	StepsBegun         uint64        `cbor:"Steps"`  // the number of the newest step
	StepsNotApplied    int           `cbor:"Undone"` // in a row
}

func (r *Rollout) excludes(instance int) bool { return containsSorted(r.ExcludedInstances, instance) }
