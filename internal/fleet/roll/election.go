package roll

import (
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
)

func (d *Coordinator) requestLease(now float64, epoch uint64, takeover bool) {
	d.campaign = claim.NewCampaign(claim.Request{Epoch: epoch, Holder: d.holder, Takeover: takeover}, len(d.agents))
	d.storing, d.stepToSend = nil, plan.Step{}
	for i := range d.observations {
		d.observations[i].SeenAt = math.Inf(-1) // what was seen under another epoch says nothing of this one
	}
	d.enter(now, phaseRequestingLease)
}

// checkReplies looks whether enough was heard in the phases that gather answers. An agent that says nothing is given
// up when its call fails.
func (d *Coordinator) checkReplies(now float64) {
	heard, reached := 0, 0
	for i := range d.agents {
		if d.agents[i].replied {
			heard++
			if d.agents[i].failure == "" {
				reached++
			}
		}
	}
	if d.phase == phasePolling {
		if heard < len(d.agents) {
			return
		}
		if reached < claim.Majority(len(d.agents)) {
			d.finish(Outcome{Kind: OutcomeNoMajority})
			return
		}
		top, holder, blocked := d.otherHolder()
		first := d.planner == nil
		if blocked && !(first && d.task.Takeover) {
			kind := OutcomeLeaseHeld
			if !first {
				kind = OutcomeFenced
			}
			d.finish(Outcome{Kind: kind, Holder: holder, Rollout: d.newestKnownRollout()})
			return
		}
		d.requestLease(now, top+1, first && d.task.Takeover)
		return
	}
	switch d.campaign.Result() {
	case claim.Won:
		if heard == len(d.agents) {
			d.campaignWon(now)
		}
	case claim.Lost:
		if heard == len(d.agents) {
			d.campaignLost(now)
		}
	}
}

// otherHolder tells the highest epoch, and who else holds a claim: of a majority, which makes it whole.
func (d *Coordinator) otherHolder() (top uint64, holder claim.State, blocked bool) {
	held := map[string]int{}
	for i := range d.agents {
		s := d.agents[i].leaseState
		top = max(top, s.Epoch)
		if s.Held && s.Holder != d.holder {
			if held[s.Holder]++; s.RemainingSeconds > holder.RemainingSeconds || holder.Holder == "" {
				holder = s
			}
			blocked = blocked || held[s.Holder] >= claim.Majority(len(d.agents))
		}
	}
	return top, holder, blocked
}

// newestKnownRollout is the newest record that any agent told of, for people: no majority stands behind it.
func (d *Coordinator) newestKnownRollout() form.Rollout {
	var best claim.Record
	for i := range d.agents {
		if best.Version.Before(d.agents[i].record.Version) {
			best = d.agents[i].record
		}
	}
	var r form.Rollout
	if best.Body != nil {
		_ = form.Decode("record", best.Body, &r) // one that cannot be read is shown as none
	}
	return r
}

func (d *Coordinator) campaignLost(now float64) {
	_, holder, blocked := d.otherHolder()
	switch {
	case blocked && d.planner != nil:
		d.release(now, Outcome{Kind: OutcomeFenced, Holder: holder, Rollout: d.rollout})
	case blocked:
		d.release(now, Outcome{Kind: OutcomeLeaseHeld, Holder: holder, Rollout: d.newestKnownRollout()})
	case d.lostCampaigns >= maxLostCampaigns:
		d.release(now, Outcome{Kind: OutcomeNoMajority, Holder: holder, Rollout: d.rollout})
	default: // lost to nobody: two bid at once, or too few can be heard
		d.lostCampaigns++
		d.release(now, Outcome{Kind: OutcomeNoMajority})
	}
}

// release gives back what was granted, and then the driver ends, or bids again after a while.
func (d *Coordinator) release(now float64, o Outcome) {
	d.outcome = o
	d.enter(now, phaseReleasing)
	for i := range d.agents {
		d.agents[i].released = !d.agents[i].granted
	}
	d.checkReleased(now)
}

func (d *Coordinator) checkReleased(now float64) {
	for i := range d.agents {
		if !d.agents[i].released {
			return
		}
	}
	if d.outcome.Kind == OutcomeNoMajority && d.lostCampaigns > 0 && d.lostCampaigns < maxLostCampaigns && d.planner == nil {
		d.phase, d.phaseTime = phaseBackoff, now+d.timing.PollSeconds*(0.2+d.random()*float64(int(1)<<d.lostCampaigns))
		return
	}
	if d.outcome.Kind == OutcomeNoMajority && d.planner != nil && now-d.lastMajority < d.timing.MajorityTimeoutSeconds {
		d.phase, d.phaseTime = phaseBackoff, now+d.timing.PollSeconds*(0.2+d.random())
		return
	}
	d.finish(d.outcome)
}

func (d *Coordinator) finish(o Outcome) {
	for i := range d.agents {
		if d.agents[i].failure != "" {
			o.Faults = append(o.Faults, d.agents[i].failure)
		}
	}
	slices.Sort(o.Faults)
	o.Faults = slices.Compact(o.Faults)
	d.outcome, d.phase = o, phaseOver
}

// campaignWon starts a run under an epoch: with what the newest record says, changed as the task wants it.
func (d *Coordinator) campaignWon(now float64) {
	d.lostCampaigns, d.lastMajority = 0, now
	d.events = append(d.events, Event{At: now, AcquiredEpoch: d.campaign.Request.Epoch, RecordVersion: d.campaign.NewestRecord().Version})
	var r form.Rollout
	if rec := d.campaign.NewestRecord(); rec.Body != nil {
		if err := form.Decode("record", rec.Body, &r); err != nil {
			d.release(now, Outcome{Kind: OutcomeNoRollout, Reason: plan.Reason{Detail: err.Error()}})
			return
		}
	}
	again := d.planner != nil // the same run under a higher epoch
	if again && (r.ID != d.rollout.ID || r.Run != d.rollout.Run) {
		d.release(now, Outcome{Kind: OutcomeFenced, Rollout: r})
		return
	}
	if !again {
		var stop *Outcome
		if r, stop = d.startRun(r); stop != nil {
			d.release(now, *stop)
			return
		}
	}
	d.planner = plan.NewPlanner(d.fleet, r.Rollout)
	d.rollout = r
	d.recordNumber = 0
	d.enter(now, phaseRunning)
	d.storeRollout(now, r, plan.ActionWait, plan.Reason{})
}

// startRun is the rollout as the task wants it, or why there is none.
func (d *Coordinator) startRun(r form.Rollout) (form.Rollout, *Outcome) {
	existed := r.ID != ""
	if d.task.Operation == OperationBegin {
		if existed && !r.State.Terminal() {
			return r, &Outcome{Kind: OutcomeUnfinishedRollout, Rollout: r}
		}
		if why := plan.CheckFeasible(d.fleet, d.task.ExcludedInstances); why.Kind != plan.ReasonNone {
			return r, &Outcome{Kind: OutcomeInfeasible, Reason: why}
		}
		r = d.task.Rollout
		r.State, r.Run, r.ExcludedInstances = plan.Running, 1, d.task.ExcludedInstances
		return r, nil
	}
	switch {
	case !existed || d.task.Operation != OperationRollback && r.State.Terminal():
		return r, &Outcome{Kind: OutcomeNoRollout, Rollout: r}
	case r.InstancesDigest != d.task.FleetDigest:
		return r, &Outcome{Kind: OutcomeOtherFleet, Rollout: r}
	}
	r.Run++
	r.StepsNotApplied = 0
	switch d.task.Operation {
	case OperationPause:
		r.State, r.RequestedBy, r.Reason = plan.Paused, d.task.Operator, plan.Reason{Kind: plan.ReasonOperator}
		return r, nil
	case OperationAbort:
		r.State, r.RequestedBy, r.Reason = plan.Aborted, d.task.Operator, plan.Reason{Kind: plan.ReasonOperator}
		return r, nil
	case OperationRollback:
		if !r.RollingBack {
			r.RollingBack, r.RollbackCause = true, plan.Reason{Kind: plan.ReasonOperator}
		}
		r.RequestedBy = d.task.Operator
	}
	if why := plan.CheckFeasible(d.fleet, d.task.ExcludedInstances); why.Kind != plan.ReasonNone {
		return r, &Outcome{Kind: OutcomeInfeasible, Reason: why, Rollout: r}
	}
	r.State, r.ExcludedInstances = plan.Running, d.task.ExcludedInstances
	return r, nil
}
