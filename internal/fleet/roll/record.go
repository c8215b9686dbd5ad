package roll

import (
	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
)

// pendingRecord is a record on its way to a majority.
type pendingRecord struct {
	record  claim.Record
	rollout form.Rollout
	action  plan.Action
	reason  plan.Reason
	step    plan.Step
}

// storeRollout has a rollout kept by a majority; commit goes on from there.
func (d *Coordinator) storeRollout(now float64, r form.Rollout, what plan.Action, why plan.Reason) {
	d.recordNumber++
	d.storing = &pendingRecord{action: what, reason: why, step: d.planner.Rollout.CurrentStep, rollout: r, record: claim.Record{
		Version: claim.Version{Epoch: d.campaign.Request.Epoch, Number: d.recordNumber}, Body: form.Encode(r),
	}}
	for i := range d.agents {
		d.agents[i].stored, d.agents[i].nextCommand = false, now
	}
}

// storeDecision has a decision kept.
func (d *Coordinator) storeDecision(now float64, dec plan.Decision) {
	r := d.rollout
	r.Rollout = dec.Rollout
	if by := d.operatorRequest().Operator; by != "" && dec.Reason.Kind == plan.ReasonOperator {
		r.RequestedBy = by
	}
	d.storeRollout(now, r, dec.Action, dec.Reason)
}

func (d *Coordinator) commitIfStored(now float64) {
	kept := 0
	for i := range d.agents {
		if d.agents[i].stored {
			kept++
		}
	}
	if kept < claim.Majority(len(d.agents)) {
		return
	}
	k := d.storing
	d.storing = nil
	d.rollout, d.planner.Rollout, d.lastMajority = k.rollout, k.rollout.Rollout, now
	step := k.step
	if k.action == plan.ActionBeginStep {
		step = k.rollout.CurrentStep
		d.nextStepSend, d.refusals = now, 0 // the planner has it sent, if it may still be
	}
	d.events = append(d.events, Event{
		At: now, Action: k.action, Rollout: d.rollout, Reason: k.reason, Step: step,
		RecordVersion: k.record.Version,
	})
	if d.rollout.State != plan.Running {
		d.release(now, Outcome{Kind: OutcomeEnded, Rollout: d.rollout, Reason: d.rollout.Reason})
	}
}

func (d *Coordinator) operatorRequest() form.OperatorRequest {
	var best form.OperatorRequest
	for i := range d.agents {
		if w := d.agents[i].operatorRequest; w.RolloutID == d.rollout.ID && w.Run == d.rollout.Run && w.Action > best.Action {
			best = w
		}
	}
	return best
}
