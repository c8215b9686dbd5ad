package tend

import "stoatdale.example/stoatdale/internal/fleet/plan"

// Record is what an agent stores of an instance.
type Record struct {
	ShouldRun        bool            `cbor:"Up"`       // it is to run
	Revision         string          `cbor:"Revision"` // whose file is in place
	Incarnation      uint64          `cbor:"Mark"`     // of the process that was started last, or was about to be
	Step             plan.Step       `cbor:"Step"`
	Result           plan.StepResult `cbor:"End"`
	Failure          string          `cbor:"Why"`
	PreviousRevision string          `cbor:"Before"`
	MayHaveChanged   bool            `cbor:"Acted"`    // the step may have touched the file or the process
	Reload           bool            `cbor:"Reload"`   // the step reloads
	Replaced         bool            `cbor:"Replaced"` // the step's own process was about to be started
	DrainSeconds     float64         `cbor:"Drain"`    // that the process before it may take to end
}
