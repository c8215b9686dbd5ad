package rollout

// ProcessState is the state of an instance's process, as far as its agent knows it.
type ProcessState int

// Process states. The numbers are sent to other processes, so their order must stay.
const (
	ProcessUnknown      ProcessState = iota // the agent has not determined the state yet
	ProcessDown                             // no process runs
	ProcessStarting                         // the process runs and is not ready yet
	ProcessReady                            // the process answers an empty query
	ProcessDraining                         // the process is shutting down on request
	ProcessCrashLooping                     // the process exited so often that the agent no longer starts it
)

var processStates = [...]string{"unknown", "down", "starting", "ready", "draining", "broken"}

// String returns the state's name for operators.
func (s ProcessState) String() string { return processStates[s] }

// StepResult is the result of a step.
type StepResult int

// Results of a step. The numbers are sent and stored, so their order must stay.
const (
	StepPending    StepResult = iota // the step has not ended
	StepSucceeded                    // the instance runs the revision and has been ready with it
	StepFailed                       // the revision could not be installed, or the instance did not become ready with it
	StepNotApplied                   // the step changed nothing, for example because the agent exited before it did anything
)

// Step is one change of one instance. The numbers increase over a rollout, even when another tool continues it.
type Step struct {
	RolloutID string `cbor:"Rollout"`
	Number    uint64 `cbor:"Number"`   // counts from 1; 0 means that there is no step
	Instance  int    `cbor:"Instance"` // index into Fleet.Instances
	Revision  string `cbor:"Revision"` // digest of the revision that the step brings to the instance
	Rollback  bool   `cbor:"Back"`     // the step returns the instance to the revision that it ran before the rollout
	Restart   bool   `cbor:"Restart"`  // restart the router even where a reload would be enough

	// OnlyIfNotServing is set if the step was sent without a check of the minimums because the instance did not serve.
	// The agent does not apply the step if it finds the instance ready.
	OnlyIfNotServing bool `cbor:"Idle"`
}

// CommandCounts holds the numbers of commands that a router has completed and left unanswered.
type CommandCounts struct {
	Completed  uint64 `cbor:"Ended"`
	Unanswered uint64 `cbor:"Unanswered"` // completed commands that got no answer
}

// Observation is the newest report of an instance.
type Observation struct {
	SeenAt            float64       `cbor:"Seen"`     // seconds on the observer's clock; -Inf if the instance was never seen
	State             ProcessState  `cbor:"Life"`     // state of the process, as far as the agent knows it
	Revision          string        `cbor:"Revision"` // digest of the revision that it runs or is about to run
	LastStep          Step          `cbor:"Last"`     // newest step that its agent has begun
	LastResult        StepResult    `cbor:"End"`      // result of LastStep
	LastFailure       string        `cbor:"Why"`      // why LastStep failed, as text for operators
	PreviousRevision  string        `cbor:"Before"`   // digest of the revision that ran before the first step of LastStep's rollout
	RecentCommands    CommandCounts `cbor:"Recent"`   // commands within a recent window of about the soak's length
	CommandsSinceStep CommandCounts `cbor:"Since"`    // commands since LastStep ended
	ReadySeconds      float64       `cbor:"ReadyFor"` // time since the process became ready; 0 if it is not ready
}

// stepPending reports whether the instance is in a step.
func (o *Observation) stepPending() bool {
	return o.LastStep.Number != 0 && o.LastResult == StepPending
}
