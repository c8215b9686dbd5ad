package supervisor

import "stoatdale.example/stoatdale/internal/fleet/rollout"

// Record is the state of an instance that its agent stores.
type Record struct {
	ShouldRun        bool               `cbor:"Up"`       // the agent starts the router if no process runs
	Revision         string             `cbor:"Revision"` // digest of the revision whose configuration file is in place
	Incarnation      uint64             `cbor:"Mark"`     // incarnation that was started last or was about to be started
	Step             rollout.Step       `cbor:"Step"`     // the step that was begun last; Number is 0 if there was none
	Result           rollout.StepResult `cbor:"End"`      // result of Step
	Failure          string             `cbor:"Why"`      // why Step failed or was not applied, for people
	PreviousRevision string             `cbor:"Before"`   // digest of the revision before the first step of Step's rollout
	MayHaveChanged   bool               `cbor:"Acted"`    // Step may have changed the configuration file or the process
	Reload           bool               `cbor:"Reload"`   // Step reloads the running process instead of restarting it
	Replaced         bool               `cbor:"Replaced"` // the process with Step's revision was started or was about to be started
	DrainSeconds     float64            `cbor:"Drain"`    // how long the process that Step replaces may take to end
}

// stepPending reports whether a step is under way.
func (r *Record) stepPending() bool { return r.Step.Number != 0 && r.Result == rollout.StepPending }
