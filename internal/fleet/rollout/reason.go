package rollout

// ReasonKind is the kind of a reason.
type ReasonKind int

// Kinds of reasons, with the fields of Reason that each of them sets. The numbers are stored, so their order must stay.
const (
	ReasonNone              ReasonKind = iota
	ReasonOperator                     // an operator requested it
	ReasonAgentUnreachable             // Instance's agent does not answer
	ReasonProcessUnknown               // Instance's agent does not know the state of its process yet
	ReasonInstanceBusy                 // Instance is in a step of another rollout
	ReasonStepUnresolved               // Instance's step has no result yet; the rollout pauses after the step timeout
	ReasonZoneMinimum                  // a step would leave Zone with Have serving instances; it needs Need
	ReasonFleetMinimum                 // a step would leave the fleet with Have serving instances; it needs Need
	ReasonStepFailed                   // Instance did not become ready with the revision; Detail is the cause
	ReasonSoakFailed                   // Instance was not ready during its soak; Detail is its process state
	ReasonMoreUnanswered               // Instance left Have of Need commands unanswered, a larger share than before its step
	ReasonCannotRollBack               // Instance's rollback failed, or it has no previous revision; Detail says which
	ReasonInstancesExcluded            // Have instances were excluded and have not been changed
	ReasonStepNeverApplied             // Instance's step was not applied; Have such steps came in a row
	ReasonStepRefused                  // Instance's agent refuses to begin the step; Detail is the cause
	ReasonNothingToDo                  // no instance remains to be changed, or the rollout is not running
)

// Reason is why a rollout waits, pauses, ends or rolls back. Kind determines which other fields are set.
type Reason struct {
	Kind     ReasonKind `cbor:"Kind"`
	Instance int        `cbor:"Instance"` // index into Fleet.Instances
	Zone     int        `cbor:"Hall"`     // index into Fleet.ZoneMinAvailable
	Have     int        `cbor:"Have"`
	Need     int        `cbor:"Need"`
	Detail   string     `cbor:"Detail"` // text for operators
}

func (r Reason) isSet() bool { return r.Kind != ReasonNone }
