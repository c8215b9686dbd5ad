package drill

import (
	"fmt"

	"github.com/anishathalye/porcupine"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/roll"
)

type console struct {
	w       *theatre
	i       int
	driver  *roll.Coordinator
	holder  string
	life    int
	bidding int64         // when it first bid
	found   claim.Version // kept by then
	last    form.Rollout
	alarm   float64
}

// start has an operator's tool start: it begins a rollout, or goes on with the one there is.
func (t *console) start() {
	w := t.w
	t.life++
	w.spoken++
	t.holder = fmt.Sprint("operator ", t.i, ".", w.spoken)
	task := roll.Task{
		Operation: roll.OperationBegin, Operator: t.holder, Takeover: w.rng.IntN(4) == 0,
		Rollout: form.Rollout{Rollout: plan.Rollout{ID: t.holder, Revision: fmt.Sprint("r", w.spoken)}},
	}
	if t.last.ID != "" && !t.last.State.Terminal() {
		task.Operation = []roll.Operation{roll.OperationResume, roll.OperationResume, roll.OperationRollback, roll.OperationAbort}[w.rng.IntN(4)]
	}
	t.driver = roll.New(roll.Config{
		Fleet: w.fleet, InstanceNames: w.names, Agents: len(w.agents), Holder: t.holder,
		Timing: roll.Timing{PollSeconds: 0.3, MajorityTimeoutSeconds: 4}, Task: task, Random: w.rng.Float64,
	})
	t.bidding, t.found = w.stamp(), w.kept
	t.turn()
	if w.rng.IntN(2) == 0 {
		life := t.life
		w.at(w.rng.ExpFloat64()*8, func() {
			if t.life == life && t.driver != nil {
				w.report.Deaths++
				t.end(w.rng.ExpFloat64() * 10)
			}
		})
	}
}

// end has the tool gone, and started again later.
func (t *console) end(pause float64) {
	t.driver = nil
	t.life++
	t.w.at(0.001+pause, t.start)
}

func (t *console) turn() {
	w := t.w
	sends, wake := t.driver.Tick(w.now)
	for _, e := range t.driver.TakeEvents() {
		if e.AcquiredEpoch == 0 && w.kept.Before(e.RecordVersion) {
			w.kept = e.RecordVersion
		}
		if e.AcquiredEpoch != 0 {
			if e.RecordVersion.Before(t.found) {
				w.report.Break("round %d, seed %d: %s found record %v, but %v had been kept before it bid", w.n, w.Seed,
					t.holder, e.RecordVersion, t.found)
			}
			w.report.Claims++
			w.ops = append(w.ops, porcupine.Operation{
				ClientId: t.i, Input: deed{claim: true, epoch: e.AcquiredEpoch, holder: t.holder},
				Call: t.bidding, Return: w.stamp(),
			})
		}
	}
	for _, s := range sends {
		if s.Request.Verb == form.StoreRecordVerb {
			t.noted(s.Request)
		}
		t.post(s)
	}
	if o, over := t.driver.Outcome(); over {
		t.last = o.Rollout
		switch o.Kind {
		case roll.OutcomeEnded:
			w.report.Ended++
			t.last = o.Rollout
		case roll.OutcomeLeaseHeld, roll.OutcomeFenced:
			w.report.Denied++
		}
		t.end(w.rng.ExpFloat64() * 2)
		return
	}
	life := t.life
	t.alarm = wake
	w.at(wake-w.now, func() {
		if t.life == life && t.alarm == wake {
			t.turn()
		}
	})
}

// noted keeps when the record of a step was first sent to be kept.
func (t *console) noted(c form.Request) {
	var r form.Rollout
	if form.Decode("record", c.Record.Body, &r) == nil && r.CurrentStep.Number != 0 {
		key := fmt.Sprint(c.Epoch, r.ID, r.CurrentStep.Number)
		if _, had := t.w.acts[key]; !had {
			t.w.acts[key] = t.w.stamp()
		}
	}
}

// way is how long a message takes, or that it is lost.
func (w *theatre) way() (float64, bool) {
	if w.rng.Float64() < lossy {
		w.report.Lost++
		return 0, false
	}
	d := 0.001 + w.rng.ExpFloat64()*0.01
	if w.rng.Float64() < slow {
		d += w.rng.ExpFloat64() * 4
	}
	return d, true
}

// post sends a call. Its answer counts within a second; the call may arrive later, and more than once.
func (t *console) post(s roll.OutgoingCall) {
	w, life := t.w, t.life
	answered := false
	copies := 1
	if w.rng.Float64() < doubling {
		copies = 2
		w.report.Doubled++
	}
	for range copies {
		d, ok := w.way()
		if !ok {
			continue
		}
		w.at(d, func() {
			r, ok := w.agents[s.Agent].answer(s.Request)
			back, came := w.way()
			if !ok || !came {
				return
			}
			w.at(back, func() {
				if t.life == life && !answered {
					answered = true
					t.driver.HandleReply(w.now, s.ID, r)
					t.turn()
				}
			})
		})
	}
	w.at(1, func() {
		if t.life == life && !answered {
			answered = true
			t.driver.HandleFailure(w.now, s.ID, "no answer")
			t.turn()
		}
	})
}
