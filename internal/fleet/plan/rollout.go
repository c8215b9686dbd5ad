package plan

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

// Terminal tells whether a rollout takes no more steps unless it is begun again.
func (s State) Terminal() bool { return s != Running && s != Paused }

// OperatorRequest is what an operator asks of a rollout that another tool drives.
type OperatorRequest int

// Wishes.
const (
	RequestNone OperatorRequest = iota
	RequestPause
	RequestAbort
	RequestRollback
)

// Rollout is what is wanted and how far it has come; what the agents keep of it.
type Rollout struct {
	ID                 string        `cbor:"ID"`
	Revision           string        `cbor:"Revision"`
	Restart            bool          `cbor:"Restart"` // restart also what a reload would do for
	RollingBack        bool          `cbor:"Back"`    // it goes back to what ran before
	State              State         `cbor:"State"`
	Reason             Reason        `cbor:"Why"`    // it paused or ended
	RollbackCause      Reason        `cbor:"Cause"`  // it turned
	ExcludedInstances  []int         `cbor:"Out"`    // instances left out by an operator's word, in order
	CurrentStep        Step          `cbor:"Step"`   // under way; Number 0: none
	CommandsBeforeStep CommandCounts `cbor:"Was"`    // of the step's instance before it
	StepsBegun         uint64        `cbor:"Steps"`  // begun so far
	StepsNotApplied    int           `cbor:"Undone"` // steps in a row that came to nothing
}
