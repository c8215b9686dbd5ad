package drill

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"stoatdale.example/stoatdale/internal/fleet/plan"
)

// saw notes a step that began or ended, and checks that no other is open.
func (a *actor) saw() {
	w := a.w
	r := &a.record
	name := ""
	if r.Step.Number != 0 && r.Result == plan.StepPending {
		name = fmt.Sprint(r.Step.RolloutID, "/", r.Step.Number, "/", a.i)
	}
	if name == a.open {
		return
	}
	if a.open != "" {
		w.ops = append(w.ops, porcupine.Operation{
			ClientId: 100 + a.i, Input: deed{end: true, step: a.open},
			Call: w.stamp(), Return: w.stamp(),
		})
		if r.Result == plan.StepNotApplied {
			w.report.Undone++
		}
	}
	if a.open = name; name == "" {
		return
	}
	w.report.Steps++
	for _, b := range w.agents {
		if b != a && b.open != "" {
			w.report.Break("round %d, seed %d: at %.3f step %s begins while %s is open", w.n, w.Seed, w.now, name, b.open)
		}
	}
	d := a.desk.Lease
	call, known := w.acts[fmt.Sprint(d.Epoch, r.Step.RolloutID, r.Step.Number)]
	if !known {
		call = w.stamp() // a step that nobody had kept: the history will tell
	}
	w.ops = append(w.ops, porcupine.Operation{
		ClientId: 200 + len(w.ops), Input: deed{epoch: d.Epoch, holder: d.Holder, step: name},
		Call: call, Return: w.stamp(),
	})
}

// stamp is a time for the history: all that happens is in one order.
func (w *theatre) stamp() int64 {
	w.order++
	return int64(w.order)
}

// deed is one operation of the history.
type deed struct {
	claim, end bool
	epoch      uint64
	holder     string
	step       string
}

type standing struct {
	epoch  uint64
	holder string
	open   string
}

// oneAtATime is what a claim promises: the epoch grows, only its holder acts, and nobody begins a step while
// another is open.
var oneAtATime = porcupine.Model{
	Init: func() any { return standing{} },
	Step: func(state, input, _ any) (bool, any) {
		s, d := state.(standing), input.(deed)
		switch {
		case d.claim:
			return d.epoch > s.epoch, standing{d.epoch, d.holder, s.open}
		case d.end:
			return s.open == d.step, standing{s.epoch, s.holder, ""}
		}
		return s.open == "" && s.epoch == d.epoch && s.holder == d.holder, standing{s.epoch, s.holder, d.step}
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// judge checks the round's history.
func (w *theatre) judge() {
	holders := map[uint64]string{}
	for _, o := range w.ops {
		if d := o.Input.(deed); !d.end {
			if h, taken := holders[d.epoch]; taken && h != d.holder {
				w.report.Break("round %d, seed %d: epoch %d was %s's and %s's", w.n, w.Seed, d.epoch, h, d.holder)
			}
			holders[d.epoch] = d.holder
		}
	}
	switch porcupine.CheckOperationsTimeout(oneAtATime, w.ops, 5*time.Second) {
	case porcupine.Illegal:
		w.report.Break("round %d, seed %d: the history of claims and steps is in no possible order", w.n, w.Seed)
	case porcupine.Unknown:
		w.report.Unchecked++
	}
}
