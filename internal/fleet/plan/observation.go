package plan

// ProcessState is what an agent knows of an instance's process.
type ProcessState int

// Lives of an instance.
const (
	ProcessUnknown      ProcessState = iota // its agent has not found out yet
	ProcessDown                             // no process
	ProcessStarting                         // not yet ready
	ProcessReady                            // answers an empty query
	ProcessDraining                         // told to end
	ProcessCrashLooping                     // ended so often that it is no longer started
)

var processStates = [...]string{"unknown", "down", "starting", "ready", "draining", "broken"}

func (l ProcessState) String() string { return processStates[l] }

// StepResult is how a step ended.
type StepResult int

// Ends of a step.
const (
	StepPending    StepResult = iota // not yet
	StepSucceeded                    // the instance runs the revision and was seen ready
	StepFailed                       // it does not
	StepNotApplied                   // it came to nothing, as when its agent died before it did anything: nothing has changed
)

// Step is one change of one instance. Numbers grow over a rollout, also over its epochs.
type Step struct {
	RolloutID        string `cbor:"Rollout"`
	Number           uint64 `cbor:"Number"`
	Instance         int    `cbor:"Instance"`
	Revision         string `cbor:"Revision"`
	Rollback         bool   `cbor:"Back"`    // to what ran before the rollout
	Restart          bool   `cbor:"Restart"` // also where a reload would do
	OnlyIfNotServing bool   `cbor:"Idle"`    // sent with no floor asked, as the instance did not serve: an agent that finds it ready does nothing
}

// CommandCounts counts commands that came to an end.
type CommandCounts struct {
	Completed  uint64 `cbor:"Ended"`
	Unanswered uint64 `cbor:"Unanswered"`
}

// Observation is what was last seen of an instance.
type Observation struct {
	SeenAt            float64       `cbor:"Seen"` // when, on the asker's clock; -Inf: never
	State             ProcessState  `cbor:"Life"`
	Revision          string        `cbor:"Revision"` // that it runs, or is to run
	LastStep          Step          `cbor:"Last"`     // the newest that its agent began
	LastResult        StepResult    `cbor:"End"`      // of that
	LastFailure       string        `cbor:"Why"`      // it failed
	PreviousRevision  string        `cbor:"Before"`   // revision before the first step of Last.Rollout
	RecentCommands    CommandCounts `cbor:"Recent"`   // of the last while, a soak's length or so
	CommandsSinceStep CommandCounts `cbor:"Since"`    // since the end of the last step
	ReadySeconds      float64       `cbor:"ReadyFor"`
}
