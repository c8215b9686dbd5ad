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
	lossChance      = 0.08 // of a message
	duplicateChance = 0.08 // of a request
	slowChance      = 0.06 // of a message

	minDelaySeconds      = 0.001
	meanDelaySeconds     = 0.01 // beyond the least
	meanSlowDelaySeconds = 4    // beyond that, of a slow message

	callTimeoutSeconds = 1
)

// Virtual seconds of operators' tools.
const (
	toolStartSeconds        = 0.001
	meanToolLifeSeconds     = 8  // of one that crashes
	meanCrashPauseSeconds   = 10 // before the operator starts the tool again
	meanOutcomePauseSeconds = 2
)

// simulatedOperator is an operator whose tool drives a rollout with the real coordinator, again and again.
type simulatedOperator struct {
	round         *leaseRound
	index         int
	coordinator   *coordinator.Coordinator // nil: no tool runs
	holder        string                   // name of the tool's lease; each tool has its own
	run           int                      // of the tool; events of an earlier run are dropped
	startedAt     int64                    // timestamp of the history
	versionBefore lease.Version            // stored by a majority when the tool started
	lastRollout   protocol.Rollout         // as the last tool left it
	nextTick      float64                  // virtual seconds; an earlier scheduled tick is dropped
}

// start has the operator's tool start: it begins a rollout, or goes on with the one there is.
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
		operations := []coordinator.Operation{coordinator.OperationResume, coordinator.OperationResume, coordinator.OperationRollback, coordinator.OperationAbort}
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

// stop ends the tool and has it start again after a pause.
func (o *simulatedOperator) stop(pauseSeconds float64) {
	o.coordinator = nil
	o.run++
	o.round.after(toolStartSeconds+pauseSeconds, o.start)
}

// tick lets the coordinator go on, sends its calls and schedules the next tick.
func (o *simulatedOperator) tick() {
	r := o.round
	calls, wake := o.coordinator.Tick(r.now)
	for _, e := range o.coordinator.TakeEvents() {
		o.handleEvent(e)
	}
	for _, call := range calls {
		if call.Request.Verb == protocol.StoreRecordVerb {
			o.noteStoredStep(call.Request)
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

// handleEvent follows the versions that a majority stores, and checks that a new holder finds none older than was stored
// before it asked for the lease.
func (o *simulatedOperator) handleEvent(e coordinator.Event) {
	r := o.round
	if e.AcquiredEpoch == 0 {
		if r.newestStored.Before(e.RecordVersion) {
			r.newestStored = e.RecordVersion
		}
		return
	}
	if e.RecordVersion.Before(o.versionBefore) {
		r.violation("%s found record %v, but %v had been kept before it bid", o.holder, e.RecordVersion, o.versionBefore)
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

// noteStoredStep remembers when the record of a step was first sent to be stored: from then on agents may begin it.
func (o *simulatedOperator) noteStoredStep(request protocol.Request) {
	var rollout protocol.Rollout
	if protocol.Decode("record", request.Record.Body, &rollout) != nil || rollout.CurrentStep.Number == 0 {
		return
	}
	key := stepKey{epoch: request.Epoch, rolloutID: rollout.ID, number: rollout.CurrentStep.Number}
	if _, known := o.round.stepStored[key]; !known {
		o.round.stepStored[key] = o.round.timestamp()
	}
}

// messageDelay draws how many virtual seconds a message takes, or that it is lost.
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

// pendingCall is a call of a tool that waits for its first reply or its timeout.
type pendingCall struct {
	operator *simulatedOperator
	run      int
	id       uint64
	over     bool
}

// end tells the coordinator how the call ended, unless it was told already or its tool is gone.
func (c *pendingCall) end(tell func(coordinator *coordinator.Coordinator)) {
	if c.operator.run != c.run || c.over {
		return
	}
	c.over = true
	tell(c.operator.coordinator)
	c.operator.tick()
}

// send sends a call. Its reply counts until the timeout; the request may arrive later than that, and more than once.
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

// deliver has the agent handle a request, and sends its reply back.
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
