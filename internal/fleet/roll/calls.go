package roll

import (
	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
)

type out struct {
	agent int
	verb  form.Verb
	sent  float64
	epoch uint64
	stamp claim.Version
	step  uint64
}

func (d *Coordinator) send(now float64, a int, c form.Request) OutgoingCall {
	d.last++
	o := out{agent: a, verb: c.Verb, sent: now, stamp: c.Record.Version, step: c.Step.Number, epoch: c.Epoch}
	if c.Verb == form.RequestLeaseVerb {
		o.epoch = c.LeaseRequest.Epoch
	}
	d.calls[d.last] = o
	if c.Verb == form.StatusVerb || c.Verb == form.RequestLeaseVerb {
		d.agents[a].looking = d.last
	} else {
		d.agents[a].saying = d.last
	}
	c.AgentsDigest = d.list
	return OutgoingCall{d.last, a, c}
}

// look is the call that learns how an agent stands.
func (d *Coordinator) look(now float64, i int) (form.Request, bool) {
	a := &d.agents[i]
	if a.looking != 0 || now < a.next {
		return form.Request{}, false
	}
	switch d.phase {
	case asking:
		if !a.heard {
			return form.Request{Verb: form.StatusVerb}, true
		}
	case bidding:
		if !a.heard {
			return form.Request{Verb: form.RequestLeaseVerb, LeaseRequest: d.campaign.Request}, true
		}
	case running:
		if !a.granted {
			return form.Request{Verb: form.RequestLeaseVerb, LeaseRequest: d.campaign.Request}, true
		}
		return form.Request{Verb: form.StatusVerb, Epoch: d.campaign.Request.Epoch, Holder: d.holder}, true
	}
	return form.Request{}, false
}

// say is the call that changes something.
func (d *Coordinator) say(now float64, i int) (form.Request, bool) {
	a := &d.agents[i]
	if a.saying != 0 || now < a.again {
		return form.Request{}, false
	}
	epoch := uint64(0)
	if d.campaign != nil {
		epoch = d.campaign.Request.Epoch
	}
	switch {
	case d.phase == releasing && !a.released:
		return form.Request{Verb: form.ReleaseLeaseVerb, Epoch: epoch, Holder: d.holder}, true
	case d.phase != running || !a.granted:
	case d.keeping != nil && !a.kept:
		return form.Request{Verb: form.StoreRecordVerb, Epoch: epoch, Holder: d.holder, Record: d.keeping.record}, true
	case d.acting.Number != 0 && d.fleet.Instances[d.acting.Instance].Agent == i && now >= d.actAt:
		step := d.acting
		d.acting, d.actAt = plan.Step{}, now+d.times.PollSeconds
		return form.Request{Verb: form.BeginStepVerb, Epoch: epoch, Holder: d.holder, InstanceName: d.names[step.Instance], Step: step}, true
	}
	return form.Request{}, false
}

// take gives a call's agent free again. A call that is no longer waited for is not known.
func (d *Coordinator) take(now float64, id uint64) (out, *agent, bool) {
	o, ok := d.calls[id]
	if !ok {
		return o, nil, false
	}
	delete(d.calls, id)
	a := &d.agents[o.agent]
	if a.looking == id {
		a.looking, a.next = 0, now+d.times.PollSeconds
	}
	if a.saying == id {
		a.saying = 0
	}
	return o, a, true
}

// HandleFailure tells that a call had no answer. What it asked for may have been done.
func (d *Coordinator) HandleFailure(now float64, id uint64, why string) {
	o, a, ok := d.take(now, id)
	if !ok {
		return
	}
	a.fault = why
	a.again = now + d.times.PollSeconds
	switch {
	case d.phase == asking:
		a.heard = true
	case d.phase == bidding:
		a.heard = true
		d.campaign.AddUnreachable(o.agent)
	case d.phase == releasing:
		a.released = true
	}
}

// HandleReply takes an answer in.
func (d *Coordinator) HandleReply(now float64, id uint64, r form.Reply) {
	o, a, ok := d.take(now, id)
	if !ok {
		return
	}
	a.standing, a.fault = r.LeaseState, r.Failure
	if o.verb == form.StatusVerb {
		a.wish = r.OperatorRequest
		d.see(o, r)
	}
	switch d.phase {
	case asking:
		a.heard, a.record = true, r.Record
	case bidding:
		a.heard = true
		a.granted = r.Denial == claim.Granted
		d.campaign.AddReply(o.agent, r.Denial, r.LeaseState, r.Record)
	case releasing:
		a.released = true
	case running:
		d.answered(now, o, a, r)
	}
}

func (d *Coordinator) answered(now float64, o out, a *agent, r form.Reply) {
	epoch := d.campaign.Request.Epoch
	switch {
	case o.epoch != epoch:
		return
	case r.LeaseState.Epoch > epoch || r.Denial == claim.StaleEpoch:
		// Somebody bid higher: either the claim is theirs, or they failed and this driver must bid again.
		a.granted = false
		d.bid(now, max(r.LeaseState.Epoch, epoch)+1, false)
		return
	case r.Denial != claim.Granted:
		a.granted = false // its claim ran out there, or it was never granted: bid there anew
		a.again = now + d.times.PollSeconds
		if r.Denial == claim.Expired {
			d.bid(now, epoch+1, false)
		}
		return
	}
	switch o.verb {
	case form.RequestLeaseVerb:
		a.granted, a.next = true, now
	case form.StoreRecordVerb:
		if d.keeping != nil && o.stamp == d.keeping.record.Version {
			a.kept = true
			d.commit(now)
		}
	case form.BeginStepVerb:
		if r.Failure == "" {
			d.refused = 0
			a.next = now
			return
		}
		d.events = append(d.events, Event{At: now, StepRefusal: r.Failure, Step: d.rollout.CurrentStep, Rollout: d.rollout})
		if d.refused++; d.refused >= refusals && d.keeping == nil && o.step == d.rollout.CurrentStep.Number {
			d.follow(now, d.planner.StepRefused(r.Failure))
		}
	}
}

// see takes in what an agent tells of its instances. In a run it counts only from an agent that has granted
// the epoch, and it is as old as the call at least.
func (d *Coordinator) see(o out, r form.Reply) {
	if d.phase == running && (r.Denial != claim.Granted || o.epoch != d.campaign.Request.Epoch) {
		return
	}
	for _, i := range d.byAgent[o.agent] {
		for _, t := range r.Instances {
			if t.Name == d.names[i] {
				d.told[i] = t
				d.sights[i] = t.Observation
				d.sights[i].SeenAt = o.sent - t.AgeSeconds
			}
		}
	}
}
