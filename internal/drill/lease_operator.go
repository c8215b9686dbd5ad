package drill

import (
	"fmt"

	"stoatdale.example/stoatdale/internal/fleet/coordinator"
	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// The simulated network.
const (
	lossChance      = 0.08 // probability that a message is lost
	duplicateChance = 0.08 // probability that a request is sent twice
	slowChance      = 0.06 // probability that a message is slow

	minDelaySeconds      = 0.001
	meanDelaySeconds     = 0.01 // mean of the random delay on top of minDelaySeconds
	meanSlowDelaySeconds = 4    // mean of the further delay of a slow message

	callTimeoutSeconds = 1
)

// Durations of operators' tools, in virtual seconds.
const (
	toolStartSeconds        = 0.001
	meanToolLifeSeconds     = 8  // of a tool that crashes
	meanCrashPauseSeconds   = 10 // after a crash, before the operator restarts the tool
	meanOutcomePauseSeconds = 2  // after an outcome, before the operator restarts the tool
)

// simulatedOperator is an operator who starts a tool again and again. Each tool drives a rollout with the real coordinator.
type simulatedOperator struct {
	round         *leaseRound
	index         int
	coordinator   *coordinator.Coordinator // nil if no tool runs
	holder        string                   // name under which the tool holds the lease; each tool has its own
	run           int                      // number of the tool's run; events of an earlier run are dropped
	startedAt     int64                    // history timestamp at which the tool started
	versionBefore lease.Version            // newest version that a majority had stored when the tool started
	lastRollout   protocol.Rollout         // as the last tool with an outcome left it
	nextTick      float64                  // virtual time in seconds; a tick that was scheduled for another time is dropped
}

// start starts the operator's tool. The tool begins a rollout, or resumes, rolls back or aborts the last one if it is unfinished.
func (o *simulatedOperator) start() {
	r := o.round
	o.run++
	r.toolsStarted++
	o.holder = fmt.Sprint("operator ", o.index, ".", r.toolsStarted)
	task := coordinator.Task{
		Operation: coordinator.OperationBegin, Operator: o.holder, Takeover: r.rng.IntN(4) == 0,
		Rollout: protocol.Rollout{Rollout: rollout.Rollout{ID: o.holder, Revision: fmt.Sprint("r", r.toolsStarted)}},
	}
	if o.lastRollout.ID != "" && !o.lastRollout.State.Terminal() {
		operations := []coordinator.Operation{
			coordinator.OperationResume, coordinator.OperationResume, coordinator.OperationRollback, coordinator.OperationAbort,
		}
		task.Operation = operations[r.rng.IntN(len(operations))]
	}
	o.coordinator = coordinator.New(coordinator.Config{
		Fleet: r.fleet, InstanceNames: r.instanceNames, AgentCount: len(r.agents), Holder: o.holder,
		Timing: coordinator.Timing{PollSeconds: 0.3, MajorityTimeoutSeconds: 4}, Task: task, Random: r.rng.Float64,
	})
	o.startedAt = r.timestamp()
	o.versionBefore = r.newestStored
	o.tick()
	if r.rng.IntN(2) == 0 {
		o.scheduleCrash()
	}
}

func (o *simulatedOperator) scheduleCrash() {
	r := o.round
	run := o.run
	r.after(r.rng.ExpFloat64()*meanToolLifeSeconds, func() {
		if o.run == run && o.coordinator != nil {
			r.report.Crashes++
			o.stop(r.rng.ExpFloat64() * meanCrashPauseSeconds)
		}
	})
}

// stop ends the tool and schedules the start of another one after a pause.
func (o *simulatedOperator) stop(pauseSeconds float64) {
	o.coordinator = nil
	o.run++
	o.round.after(toolStartSeconds+pauseSeconds, o.start)
}

// tick calls the coordinator's Tick, handles its events, sends its calls and schedules the next tick.
func (o *simulatedOperator) tick() {
	r := o.round
	calls, wake := o.coordinator.Tick(r.now)
	for _, e := range o.coordinator.TakeEvents() {
		o.handleEvent(e)
	}
	for _, call := range calls {
		if call.Request.Verb == protocol.StoreRecordVerb {
			o.recordStoredStep(call.Request)
		}
		o.send(call)
	}
	if outcome, over := o.coordinator.Outcome(); over {
		o.finish(outcome)
		return
	}
	run := o.run
	o.nextTick = wake
	r.after(wake-r.now, func() {
		if o.run == run && o.nextTick == wake {
			o.tick()
		}
	})
}

// handleEvent tracks the newest version that a majority has stored. It checks that a new holder of the lease does not read a
// version older than the newest one stored before its tool started.
func (o *simulatedOperator) handleEvent(e coordinator.Event) {
	r := o.round
	if e.AcquiredEpoch == 0 {
		if r.newestStored.Before(e.RecordVersion) {
			r.newestStored = e.RecordVersion
		}
		return
	}
	if e.RecordVersion.Before(o.versionBefore) {
		r.recordViolation("%s found record %v, but %v had been stored before it requested the lease",
			o.holder, e.RecordVersion, o.versionBefore)
	}
	r.report.LeasesAcquired++
	acquire := leaseOperation{kind: acquireLease, epoch: e.AcquiredEpoch, holder: o.holder}
	r.recordOperation(o.index, acquire, o.startedAt, r.timestamp())
}

func (o *simulatedOperator) finish(outcome coordinator.Outcome) {
	r := o.round
	o.lastRollout = outcome.Rollout
	switch outcome.Kind {
	case coordinator.OutcomeEnded:
		r.report.RolloutsEnded++
	case coordinator.OutcomeLeaseHeld, coordinator.OutcomeFenced:
		r.report.Denied++
	case coordinator.OutcomeNoMajority, coordinator.OutcomeUnfinishedRollout, coordinator.OutcomeInfeasible, coordinator.OutcomeNoRollout,
		coordinator.OutcomeOtherFleet, coordinator.OutcomeInterrupted:
	}
	o.stop(r.rng.ExpFloat64() * meanOutcomePauseSeconds)
}

// recordStoredStep records when the record of a step was first sent to be stored. From then on agents may begin the step.
func (o *simulatedOperator) recordStoredStep(request protocol.Request) {
	var rollout protocol.Rollout
	if protocol.Decode("record", request.Record.Body, &rollout) != nil || rollout.CurrentStep.Number == 0 {
		return
	}
	key := stepKey{epoch: request.Epoch, rolloutID: rollout.ID, number: rollout.CurrentStep.Number}
	if _, known := o.round.stepRecordSentAt[key]; !known {
		o.round.stepRecordSentAt[key] = o.round.timestamp()
	}
}

// messageDelay draws the delay of a message in virtual seconds. It returns false if the message is lost.
func (r *leaseRound) messageDelay() (seconds float64, delivered bool) {
	if r.rng.Float64() < lossChance {
		r.report.MessagesLost++
		return 0, false
	}
	seconds = minDelaySeconds + r.rng.ExpFloat64()*meanDelaySeconds
	if r.rng.Float64() < slowChance {
		seconds += r.rng.ExpFloat64() * meanSlowDelaySeconds
	}
	return seconds, true
}

// pendingCall is a tool's call that waits for its first reply or its timeout.
type pendingCall struct {
	operator *simulatedOperator
	run      int    // of the operator's tool that made the call
	id       uint64 // of the coordinator's call
	ended    bool   // the coordinator has been given the outcome
}

// end passes the outcome of the call to the coordinator and ticks its tool. It does nothing if the call has already ended or
// the tool is gone.
func (c *pendingCall) end(pass func(coordinator *coordinator.Coordinator)) {
	if c.operator.run != c.run || c.ended {
		return
	}
	c.ended = true
	pass(c.operator.coordinator)
	c.operator.tick()
}

// send sends a call's request over the simulated network. A reply is accepted until the timeout. The request may arrive later
// than that, and more than once.
func (o *simulatedOperator) send(call coordinator.OutgoingCall) {
	r := o.round
	pending := &pendingCall{operator: o, run: o.run, id: call.ID}
	copies := 1
	if r.rng.Float64() < duplicateChance {
		copies = 2
		r.report.MessagesDuplicated++
	}
	for range copies {
		if seconds, delivered := r.messageDelay(); delivered {
			r.after(seconds, func() { r.deliver(call, pending) })
		}
	}
	r.after(callTimeoutSeconds, func() {
		pending.end(func(c *coordinator.Coordinator) { c.HandleFailure(r.now, pending.id, "no answer") })
	})
}

// deliver passes a request to its agent and sends the agent's reply back over the simulated network.
func (r *leaseRound) deliver(call coordinator.OutgoingCall, pending *pendingCall) {
	reply, replied := r.agents[call.Agent].answer(call.Request)
	seconds, delivered := r.messageDelay()
	if !replied || !delivered {
		return
	}
	r.after(seconds, func() {
		pending.end(func(c *coordinator.Coordinator) { c.HandleReply(r.now, pending.id, reply) })
	})
}
