package roll

import (
	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
)

type pendingCall struct {
	agent         int
	verb          form.Verb
	sentAt        float64
	epoch         uint64
	recordVersion claim.Version
	stepNumber    uint64
}

func (d *Coordinator) send(now float64, a int, c form.Request) OutgoingCall {
	d.lastCallID++
	o := pendingCall{agent: a, verb: c.Verb, sentAt: now, recordVersion: c.Record.Version, stepNumber: c.Step.Number, epoch: c.Epoch}
	if c.Verb == form.RequestLeaseVerb {
		o.epoch = c.LeaseRequest.Epoch
	}
	d.pendingCalls[d.lastCallID] = o
	if c.Verb == form.StatusVerb || c.Verb == form.RequestLeaseVerb {
		d.agents[a].pendingQuery = d.lastCallID
	} else {
		d.agents[a].pendingCommand = d.lastCallID
	}
	c.AgentsDigest = d.agentsDigest
	return OutgoingCall{d.lastCallID, a, c}
}

// dueQuery is the call that learns how an agent stands.
func (d *Coordinator) dueQuery(now float64, i int) (form.Request, bool) {
	a := &d.agents[i]
	if a.pendingQuery != 0 || now < a.nextQuery {
		return form.Request{}, false
	}
	switch d.phase {
	case phasePolling:
		if !a.replied {
			return form.Request{Verb: form.StatusVerb}, true
		}
	case phaseRequestingLease:
		if !a.replied {
			return form.Request{Verb: form.RequestLeaseVerb, LeaseRequest: d.campaign.Request}, true
		}
	case phaseRunning:
		if !a.granted {
			return form.Request{Verb: form.RequestLeaseVerb, LeaseRequest: d.campaign.Request}, true
		}
		return form.Request{Verb: form.StatusVerb, Epoch: d.campaign.Request.Epoch, Holder: d.holder}, true
	}
	return form.Request{}, false
}

// dueCommand is the call that changes something.
func (d *Coordinator) dueCommand(now float64, i int) (form.Request, bool) {
	a := &d.agents[i]
	if a.pendingCommand != 0 || now < a.nextCommand {
		return form.Request{}, false
	}
	epoch := uint64(0)
	if d.campaign != nil {
		epoch = d.campaign.Request.Epoch
	}
	switch {
	case d.phase == phaseReleasing && !a.released:
		return form.Request{Verb: form.ReleaseLeaseVerb, Epoch: epoch, Holder: d.holder}, true
	case d.phase != phaseRunning || !a.granted:
	case d.storing != nil && !a.stored:
		return form.Request{Verb: form.StoreRecordVerb, Epoch: epoch, Holder: d.holder, Record: d.storing.record}, true
	case d.stepToSend.Number != 0 && d.fleet.Instances[d.stepToSend.Instance].Agent == i && now >= d.nextStepSend:
		step := d.stepToSend
		d.stepToSend, d.nextStepSend = plan.Step{}, now+d.timing.PollSeconds
		return form.Request{Verb: form.BeginStepVerb, Epoch: epoch, Holder: d.holder, InstanceName: d.instanceNames[step.Instance], Step: step}, true
	}
	return form.Request{}, false
}

// takePending gives a call's agent free again. A call that is no longer waited for is not known.
func (d *Coordinator) takePending(now float64, id uint64) (pendingCall, *agent, bool) {
	o, ok := d.pendingCalls[id]
	if !ok {
		return o, nil, false
	}
	delete(d.pendingCalls, id)
	a := &d.agents[o.agent]
	if a.pendingQuery == id {
		a.pendingQuery, a.nextQuery = 0, now+d.timing.PollSeconds
	}
	if a.pendingCommand == id {
		a.pendingCommand = 0
	}
	return o, a, true
}

// HandleFailure tells that a call had no answer. What it asked for may have been done.
func (d *Coordinator) HandleFailure(now float64, id uint64, why string) {
	o, a, ok := d.takePending(now, id)
	if !ok {
		return
	}
	a.failure = why
	a.nextCommand = now + d.timing.PollSeconds
	switch {
	case d.phase == phasePolling:
		a.replied = true
	case d.phase == phaseRequestingLease:
		a.replied = true
		d.campaign.AddUnreachable(o.agent)
	case d.phase == phaseReleasing:
		a.released = true
	}
}

// HandleReply takes an answer in.
func (d *Coordinator) HandleReply(now float64, id uint64, r form.Reply) {
	o, a, ok := d.takePending(now, id)
	if !ok {
		return
	}
	a.leaseState, a.failure = r.LeaseState, r.Failure
	if o.verb == form.StatusVerb {
		a.operatorRequest = r.OperatorRequest
		d.takeObservations(o, r)
	}
	switch d.phase {
	case phasePolling:
		a.replied, a.record = true, r.Record
	case phaseRequestingLease:
		a.replied = true
		a.granted = r.Denial == claim.Granted
		d.campaign.AddReply(o.agent, r.Denial, r.LeaseState, r.Record)
	case phaseReleasing:
		a.released = true
	case phaseRunning:
		d.handleRunningReply(now, o, a, r)
	}
}

func (d *Coordinator) handleRunningReply(now float64, o pendingCall, a *agent, r form.Reply) {
	epoch := d.campaign.Request.Epoch
	switch {
	case o.epoch != epoch:
		return
	case r.LeaseState.Epoch > epoch || r.Denial == claim.StaleEpoch:
		// Somebody bid higher: either the claim is theirs, or they failed and this driver must bid again.
		a.granted = false
		d.requestLease(now, max(r.LeaseState.Epoch, epoch)+1, false)
		return
	case r.Denial != claim.Granted:
		a.granted = false // its claim ran out there, or it was never granted: bid there anew
		a.nextCommand = now + d.timing.PollSeconds
		if r.Denial == claim.Expired {
			d.requestLease(now, epoch+1, false)
		}
		return
	}
	switch o.verb {
	case form.RequestLeaseVerb:
		a.granted, a.nextQuery = true, now
	case form.StoreRecordVerb:
		if d.storing != nil && o.recordVersion == d.storing.record.Version {
			a.stored = true
			d.commitIfStored(now)
		}
	case form.BeginStepVerb:
		if r.Failure == "" {
			d.refusals = 0
			a.nextQuery = now
			return
		}
		d.events = append(d.events, Event{At: now, StepRefusal: r.Failure, Step: d.rollout.CurrentStep, Rollout: d.rollout})
		if d.refusals++; d.refusals >= maxRefusals && d.storing == nil && o.stepNumber == d.rollout.CurrentStep.Number {
			d.storeDecision(now, d.planner.StepRefused(r.Failure))
		}
	}
}

// takeObservations takes in what an agent tells of its instances. In a run it counts only from an agent that has granted
// the epoch, and it is as old as the call at least.
func (d *Coordinator) takeObservations(o pendingCall, r form.Reply) {
	if d.phase == phaseRunning && (r.Denial != claim.Granted || o.epoch != d.campaign.Request.Epoch) {
		return
	}
	for _, i := range d.instancesByAgent[o.agent] {
		for _, t := range r.Instances {
			if t.Name == d.instanceNames[i] {
				d.statuses[i] = t
				d.observations[i] = t.Observation
				d.observations[i].SeenAt = o.sentAt - t.AgeSeconds
			}
		}
	}
}
