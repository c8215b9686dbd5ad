package drill

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

const historyCheckTimeout = 5 * time.Second

// Client numbers in the history. Operators are numbered from 0. Each agent has one number for the ends of its steps. Each begin
// of a step has its own number, because begins of the same operator may overlap.
const (
	firstAgentClient = 100
	firstBeginClient = 200
)

// stepKey identifies a step and the epoch of the lease under which it was decided.
type stepKey struct {
	epoch     uint64
	rolloutID string
	number    uint64
}

// operationKind is the kind of an operation in the history.
type operationKind int

const (
	acquireLease operationKind = iota
	beginStep
	endStep
)

// leaseOperation is the input of one operation in the history.
type leaseOperation struct {
	kind   operationKind
	epoch  uint64 // unset for endStep
	holder string // unset for endStep
	step   string // unset for acquireLease
}

// leaseModelState is the state of the sequential model: the holder of the lease and the open step.
type leaseModelState struct {
	epoch    uint64
	holder   string
	openStep string // empty: none
}

// leaseModel is the sequential specification of a lease: the epoch grows, only the holder of the epoch begins steps, and no step
// begins while another is open.
var leaseModel = porcupine.Model{
	Init: func() any { return leaseModelState{} },
	Step: func(state, input, _ any) (bool, any) {
		current, operation := state.(leaseModelState), input.(leaseOperation)
		switch operation.kind {
		case acquireLease:
			return operation.epoch > current.epoch, leaseModelState{operation.epoch, operation.holder, current.openStep}
		case beginStep:
			allowed := current.openStep == "" && current.epoch == operation.epoch && current.holder == operation.holder
			return allowed, leaseModelState{current.epoch, current.holder, operation.step}
		case endStep:
			return current.openStep == operation.step, leaseModelState{current.epoch, current.holder, ""}
		}
		return false, current
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// timestamp returns the next time for the history. Timestamps are sequence numbers, not virtual seconds.
func (r *leaseRound) timestamp() int64 {
	r.sequence++
	return int64(r.sequence)
}

func (r *leaseRound) recordOperation(client int, o leaseOperation, call, returned int64) {
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: o, Call: call, Return: returned})
}

// recordStepChange adds the begin or end of the agent's step to the history. When a step begins, it checks that no other agent
// has an open step.
func (a *simulatedAgent) recordStepChange() {
	step := ""
	if a.record.Step.Number != 0 && a.record.Result == rollout.StepPending {
		step = fmt.Sprint(a.record.Step.RolloutID, "/", a.record.Step.Number, "/", a.index)
	}
	if step == a.openStep {
		return
	}
	if a.openStep != "" {
		a.recordStepEnd()
	}
	a.openStep = step
	if step != "" {
		a.recordStepBegin()
	}
}

func (a *simulatedAgent) recordStepEnd() {
	r := a.round
	call := r.timestamp()
	r.recordOperation(firstAgentClient+a.index, leaseOperation{kind: endStep, step: a.openStep}, call, r.timestamp())
	if a.record.Result == rollout.StepNotApplied {
		r.report.StepsNotApplied++
	}
}

func (a *simulatedAgent) recordStepBegin() {
	r := a.round
	r.report.StepsBegun++
	for _, other := range r.agents {
		if other != a && other.openStep != "" {
			r.recordViolation("at %.3f step %s began while step %s was open", r.now, a.openStep, other.openStep)
		}
	}
	lease := a.handler.Lease
	call, recordSent := r.stepRecordSentAt[stepKey{epoch: lease.Epoch, rolloutID: a.record.Step.RolloutID, number: a.record.Step.Number}]
	if !recordSent {
		call = r.timestamp() // no record of the step was sent to be stored, which the check of the history detects
	}
	begin := leaseOperation{kind: beginStep, epoch: lease.Epoch, holder: lease.Holder, step: a.openStep}
	r.recordOperation(firstBeginClient+len(r.history), begin, call, r.timestamp())
}

// checkHistory checks that each epoch had only one holder, and that the operations can be ordered as leaseModel requires.
func (r *leaseRound) checkHistory() {
	holders := map[uint64]string{}
	for _, entry := range r.history {
		operation := entry.Input.(leaseOperation)
		if operation.kind == endStep {
			continue
		}
		if holder, taken := holders[operation.epoch]; taken && holder != operation.holder {
			r.recordViolation("epoch %d was held by both %s and %s", operation.epoch, holder, operation.holder)
		}
		holders[operation.epoch] = operation.holder
	}
	switch porcupine.CheckOperationsTimeout(leaseModel, r.history, historyCheckTimeout) {
	case porcupine.Ok:
	case porcupine.Illegal:
		r.recordViolation("no order of claims and steps explains the history")
	case porcupine.Unknown:
		r.report.HistoriesUnchecked++
	}
}
