package rollout

// ProcessState is what an agent knows of an instance's process.
type ProcessState int

// Process states. The numbers are sent: their order must stay.
const (
	ProcessUnknown      ProcessState = iota // its agent has not found out yet
	ProcessDown                             // there is no process
	ProcessStarting                         // not yet ready
	ProcessReady                            // answers an empty query
	ProcessDraining                         // has been told to end
	ProcessCrashLooping                     // ended so often that it is no longer started
)

var processStates = [...]string{"unknown", "down", "starting", "ready", "draining", "broken"}

// String returns the state as it is shown to operators.
func (s ProcessState) String() string { return processStates[s] }

// StepResult is how a step ended.
type StepResult int

// Results of a step. The numbers are sent and stored: their order must stay.
const (
	StepPending    StepResult = iota // it has not ended
	StepSucceeded                    // the instance runs the revision and was seen ready
	StepFailed                       // the instance does not run the revision
	StepNotApplied                   // nothing was changed, for example because the agent ended before it did anything
)

// Step is one change of one instance. Numbers grow over a rollout, also when another tool continues it.
type Step struct {
	RolloutID string `cbor:"Rollout"`
	Number    uint64 `cbor:"Number"` // from 1; 0 means that there is no step
	Instance  int    `cbor:"Instance"`
	Revision  string `cbor:"Revision"` // digest of the revision that the instance is to run
	Rollback  bool   `cbor:"Back"`     // to the revision that ran before the rollout
	Restart   bool   `cbor:"Restart"`  // also where a reload would be enough

	// OnlyIfNotServing is set for a step that was sent without a check of the minimums because the instance did not
	// serve. An agent that finds the instance ready does not apply it.
	OnlyIfNotServing bool `cbor:"Idle"`
}

// CommandCounts counts commands that a router has completed.
type CommandCounts struct {
	Completed  uint64 `cbor:"Ended"`
	Unanswered uint64 `cbor:"Unanswered"` // of the completed ones, those without an answer
}

// Observation is what was last seen of an instance.
type Observation struct {
	SeenAt            float64       `cbor:"Seen"`     // seconds on the observer's clock; -Inf: never
	State             ProcessState  `cbor:"Life"`     // of the process, as its agent knows it
	Revision          string        `cbor:"Revision"` // that it runs, or is to run
	LastStep          Step          `cbor:"Last"`     // the newest that its agent has begun
	LastResult        StepResult    `cbor:"End"`      // of LastStep
	LastFailure       string        `cbor:"Why"`      // why LastStep failed, for people
	PreviousRevision  string        `cbor:"Before"`   // that ran before the first step of LastStep's rollout
	RecentCommands    CommandCounts `cbor:"Recent"`   // within a window of about the soak's length
	CommandsSinceStep CommandCounts `cbor:"Since"`    // since LastStep ended
	ReadySeconds      float64       `cbor:"ReadyFor"` // since it became ready; 0 if it is not
}

// stepPending tells whether the instance is in a step.
func (o *Observation) stepPending() bool {
	return o.LastStep.Number != 0 && o.LastResult == StepPending
}
