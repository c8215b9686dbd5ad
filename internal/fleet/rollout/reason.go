package rollout

// ReasonKind tells reasons apart.
type ReasonKind int

// Kinds of reasons, with the fields of Reason that they use. The numbers are stored: their order must stay.
const (
	ReasonNone              ReasonKind = iota
	ReasonOperator                     // an operator requested it
	ReasonAgentUnreachable             // Instance's agent does not answer
	ReasonProcessUnknown               // Instance's agent does not know its process yet
	ReasonInstanceBusy                 // Instance is in a step of another rollout
	ReasonStepUnresolved               // Instance's step has no result in time
	ReasonZoneMinimum                  // Zone would be left with Have serving instances and needs Need
	ReasonFleetMinimum                 // the fleet would be left with Have serving instances and needs Need
	ReasonStepFailed                   // Instance did not come up with the revision; Detail says why
	ReasonSoakFailed                   // Instance was not ready during its soak; Detail is its state
	ReasonMoreUnanswered               // Instance left Have of Need commands unanswered, a larger share than before
	ReasonCannotRollBack               // Instance's rollback failed, or it ran nothing before; Detail says which
	ReasonInstancesExcluded            // Have excluded instances have not been changed
	ReasonStepNeverApplied             // Instance's step was not applied Have times in a row
	ReasonStepRefused                  // Instance's agent refuses the step; Detail says why
	ReasonNothingToDo                  // no instance remains, or the rollout is not running
)

// Reason says why a rollout waits, pauses, ends or rolls back. Which fields are set depends on Kind.
type Reason struct {
	Kind     ReasonKind `cbor:"Kind"`
	Instance int        `cbor:"Instance"` // index into Fleet.Instances
	Zone     int        `cbor:"Hall"`     // index into Fleet.ZoneMinAvailable
	Have     int        `cbor:"Have"`
	Need     int        `cbor:"Need"`
	Detail   string     `cbor:"Detail"` // for people
}

func (r Reason) isSet() bool { return r.Kind != ReasonNone }
