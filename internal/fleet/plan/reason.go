package plan

// ReasonKind of a reason.
type ReasonKind int

// Kinds of reasons.
const (
	ReasonNone              ReasonKind = iota
	ReasonOperator                     // an operator's
	ReasonAgentUnreachable             // Instance's agent is not heard from
	ReasonProcessUnknown               // Instance's agent does not know it yet
	ReasonInstanceBusy                 // Instance is in a step of another rollout
	ReasonStepUnresolved               // Instance's step has no known end in time
	ReasonZoneMinimum                  // Hall would keep Have instances, its floor is Need
	ReasonFleetMinimum                 // the fleet would keep Have, its floor is Need
	ReasonStepFailed                   // Instance did not come up with the revision
	ReasonSoakFailed                   // Instance ended or was not ready in its soak
	ReasonMoreUnanswered               // Instance leaves Have of Need commands unanswered, more than before
	ReasonCannotRollBack               // Instance's way back failed as well, or it ran nothing before
	ReasonInstancesExcluded            // Have instances were left out
	ReasonStepNeverApplied             // Instance's agent died before acting, or its router came up by itself, Have times in a row
	ReasonStepRefused                  // Instance's agent will not begin the step
	ReasonNothingToDo                  // nothing to be done
)

// Reason says why, for people to be told in names.
type Reason struct {
	Kind     ReasonKind `cbor:"Kind"`
	Instance int        `cbor:"Instance"`
	Zone     int        `cbor:"Hall"`
	Have     int        `cbor:"Have"`
	Need     int        `cbor:"Need"`
	Detail   string     `cbor:"Detail"`
}
