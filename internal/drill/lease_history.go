package drill

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

const historyCheckTimeout = 5 * time.Second

// Client numbers in the history. Operators count from 0; each agent has one number for the ends of its steps, and each
// beginning of a step one of its own, since it overlaps with others of the same operator.
const (
	firstAgentClient = 100
	firstBeginClient = 200
)

// stepKey names a step under the lease that it was decided under.
type stepKey struct {
	epoch     uint64
	rolloutID string
	number    uint64
}

// operationKind is what an operation of the history does.
type operationKind int

const (
	acquireLease operationKind = iota
	beginStep
	endStep
)

// leaseOperation is one operation of the history.
type leaseOperation struct {
	kind   operationKind
	epoch  uint64 // not of endStep
	holder string // not of endStep
	step   string // not of acquireLease
}

// leaseModelState is the state of the sequential model: who holds the lease, and which step is open.
type leaseModelState struct {
	epoch    uint64
	holder   string
	openStep string // empty: none
}

// leaseModel is what a lease promises: the epoch grows, only its holder acts, and no step begins while another is open.
var leaseModel = porcupine.Model{
	Init: func() any { return leaseModelState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, o := state.(leaseModelState), input.(leaseOperation)
		switch o.kind {
		case acquireLease:
			return o.epoch > s.epoch, leaseModelState{o.epoch, o.holder, s.openStep}
		case beginStep:
			allowed := s.openStep == "" && s.epoch == o.epoch && s.holder == o.holder
			return allowed, leaseModelState{s.epoch, s.holder, o.step}
		case endStep:
			return s.openStep == o.step, leaseModelState{s.epoch, s.holder, ""}
		}
		return false, s
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// timestamp is a time for the history.
func (r *leaseRound) timestamp() int64 {
	r.sequence++
	return int64(r.sequence)
}

func (r *leaseRound) recordOperation(client int, o leaseOperation, call, returned int64) {
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: o, Call: call, Return: returned})
}

// recordStepChange adds a step that has begun or ended to the history, and checks that no other is open.
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
			r.violation("at %.3f step %s begins while %s is open", r.now, a.openStep, other.openStep)
		}
	}
	lease := a.handler.Lease
	call, stored := r.stepStored[stepKey{epoch: lease.Epoch, rolloutID: a.record.Step.RolloutID, number: a.record.Step.Number}]
	if !stored {
		call = r.timestamp() // the check of the history finds a step of which no record was stored
	}
	begin := leaseOperation{kind: beginStep, epoch: lease.Epoch, holder: lease.Holder, step: a.openStep}
	r.recordOperation(firstBeginClient+len(r.history), begin, call, r.timestamp())
}

// checkHistory checks that each epoch had one holder, and that some order of the operations follows the model.
func (r *leaseRound) checkHistory() {
	holders := map[uint64]string{}
	for _, entry := range r.history {
		o := entry.Input.(leaseOperation)
		if o.kind == endStep {
			continue
		}
		if holder, taken := holders[o.epoch]; taken && holder != o.holder {
			r.violation("epoch %d was %s's and %s's", o.epoch, holder, o.holder)
		}
		holders[o.epoch] = o.holder
	}
	switch porcupine.CheckOperationsTimeout(leaseModel, r.history, historyCheckTimeout) {
	case porcupine.Ok:
	case porcupine.Illegal:
		r.violation("the history of claims and steps is in no possible order")
	case porcupine.Unknown:
		r.report.HistoriesUnchecked++
	}
}
