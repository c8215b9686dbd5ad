package supervisor

import "stoatdale.example/stoatdale/internal/fleet/rollout"

// Record is what an agent stores of an instance.
type Record struct {
	ShouldRun        bool               `cbor:"Up"`       // the agent starts the router if it finds none
	Revision         string             `cbor:"Revision"` // whose configuration file is in place
	Incarnation      uint64             `cbor:"Mark"`     // of the process that was started last, or was about to be
	Step             rollout.Step       `cbor:"Step"`     // the newest that was begun; Number 0: none
	Result           rollout.StepResult `cbor:"End"`      // of Step
	Failure          string             `cbor:"Why"`      // why Step failed or was not applied, for people
	PreviousRevision string             `cbor:"Before"`   // that ran before the first step of Step's rollout
	MayHaveChanged   bool               `cbor:"Acted"`    // Step may have changed the file or the process
	Reload           bool               `cbor:"Reload"`   // Step reloads the running process
	Replaced         bool               `cbor:"Replaced"` // Step's own process was started or about to be
	DrainSeconds     float64            `cbor:"Drain"`    // that the process before Step may take to end
}

// stepPending tells whether a step is under way.
func (r *Record) stepPending() bool { return r.Step.Number != 0 && r.Result == rollout.StepPending }
