package roll

import (
	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
)

// keeping is a record on its way to a majority.
type keeping struct {
	record  claim.Record
	rollout form.Rollout
	what    plan.Action
	why     plan.Reason
	step    plan.Step
}

// keep has a rollout kept by a majority; commit goes on from there.
func (d *Coordinator) keep(now float64, r form.Rollout, what plan.Action, why plan.Reason) {
	d.number++
	d.keeping = &keeping{what: what, why: why, step: d.planner.Rollout.CurrentStep, rollout: r, record: claim.Record{
		Version: claim.Version{Epoch: d.campaign.Request.Epoch, Number: d.number}, Body: form.Encode(r),
	}}
	for i := range d.agents {
		d.agents[i].kept, d.agents[i].again = false, now
	}
}

// follow has a decision kept.
func (d *Coordinator) follow(now float64, dec plan.Decision) {
	r := d.rollout
	r.Rollout = dec.Rollout
	if by := d.wish().Operator; by != "" && dec.Reason.Kind == plan.ReasonOperator {
		r.RequestedBy = by
	}
	d.keep(now, r, dec.Action, dec.Reason)
}

func (d *Coordinator) commit(now float64) {
	kept := 0
	for i := range d.agents {
		if d.agents[i].kept {
			kept++
		}
	}
	if kept < claim.Majority(len(d.agents)) {
		return
	}
	k := d.keeping
	d.keeping = nil
	d.rollout, d.planner.Rollout, d.majorAt = k.rollout, k.rollout.Rollout, now
	step := k.step
	if k.what == plan.ActionBeginStep {
		step = k.rollout.CurrentStep
		d.actAt, d.refused = now, 0 // the planner has it sent, if it may still be
	}
	d.events = append(d.events, Event{
		At: now, Action: k.what, Rollout: d.rollout, Reason: k.why, Step: step,
		RecordVersion: k.record.Version,
	})
	if d.rollout.State != plan.Running {
		d.release(now, Outcome{Kind: OutcomeEnded, Rollout: d.rollout, Reason: d.rollout.Reason})
	}
}

func (d *Coordinator) wish() form.OperatorRequest {
	var best form.OperatorRequest
	for i := range d.agents {
		if w := d.agents[i].wish; w.RolloutID == d.rollout.ID && w.Run == d.rollout.Run && w.Action > best.Action {
			best = w
		}
	}
	return best
}
