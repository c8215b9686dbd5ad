package coordinator

import (
	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// maxRefusals is the number of consecutive refusals of a step by its agent after which the rollout pauses.
const maxRefusals = 3

// pendingCall is a call that has neither a reply nor a failure yet.
type pendingCall struct {
	agent         int // index
	verb          protocol.Verb
	sentAt        float64       // when the call was made, in seconds
	epoch         uint64        // epoch of the request
	recordVersion lease.Version // version of the record in the request, for StoreRecordVerb
	stepNumber    uint64        // number of the step in the request, for BeginStepVerb
}

// send makes a call with a request and records it as pending.
func (c *Coordinator) send(now float64, agent int, request protocol.Request) OutgoingCall {
	c.lastCallID++
	call := pendingCall{
		agent: agent, verb: request.Verb, sentAt: now, epoch: request.Epoch,
		recordVersion: request.Record.Version, stepNumber: request.Step.Number,
	}
	switch request.Verb {
	case protocol.RequestLeaseVerb:
		call.epoch = request.LeaseRequest.Epoch
		c.agents[agent].pendingQuery = c.lastCallID
	case protocol.StatusVerb:
		c.agents[agent].pendingQuery = c.lastCallID
	default:
		c.agents[agent].pendingCommand = c.lastCallID
	}
	c.pendingCalls[c.lastCallID] = call
	request.AgentsDigest = c.config.AgentsDigest
	return OutgoingCall{ID: c.lastCallID, Agent: agent, Request: request}
}

// dueQuery returns the status or lease request to send to an agent, and whether one is due.
func (c *Coordinator) dueQuery(now float64, agent int) (protocol.Request, bool) {
	a := &c.agents[agent]
	if a.pendingQuery != 0 || now < a.nextQuery {
		return protocol.Request{}, false
	}
	switch c.phase {
	case phasePolling:
		return protocol.Request{Verb: protocol.StatusVerb}, !a.settled
	case phaseRequestingLease:
		return c.leaseRequest(), !a.settled
	case phaseRunning:
		if !a.granted {
			return c.leaseRequest(), true
		}
		return c.holderRequest(protocol.StatusVerb), true
	default:
		return protocol.Request{}, false
	}
}

// dueCommand returns the command to send to an agent (release the lease, store a record or begin a step), and whether one
// is due.
func (c *Coordinator) dueCommand(now float64, agent int) (protocol.Request, bool) {
	a := &c.agents[agent]
	if a.pendingCommand != 0 || now < a.nextCommand {
		return protocol.Request{}, false
	}
	if c.phase == phaseReleasing && !a.released {
		return c.holderRequest(protocol.ReleaseLeaseVerb), true
	}
	if c.phase != phaseRunning || !a.granted {
		return protocol.Request{}, false
	}
	if c.storing != nil && !a.stored {
		request := c.holderRequest(protocol.StoreRecordVerb)
		request.Record = c.storing.record
		return request, true
	}
	step := c.stepToSend
	if step.Number == 0 || c.config.Fleet.Instances[step.Instance].Agent != agent || now < c.nextStepSend {
		return protocol.Request{}, false
	}
	c.stepToSend = rollout.Step{}
	c.nextStepSend = now + c.config.Timing.PollSeconds
	request := c.holderRequest(protocol.BeginStepVerb)
	request.InstanceName = c.config.InstanceNames[step.Instance]
	request.Step = step
	return request, true
}

func (c *Coordinator) leaseRequest() protocol.Request {
	return protocol.Request{Verb: protocol.RequestLeaseVerb, LeaseRequest: c.campaign.Request}
}

// holderRequest returns a request that carries the coordinator's holder name and epoch.
func (c *Coordinator) holderRequest(verb protocol.Verb) protocol.Request {
	request := protocol.Request{Verb: verb, Holder: c.config.Holder}
	if c.campaign != nil {
		request.Epoch = c.campaign.Request.Epoch
	}
	return request
}

// removePending removes a call from the pending calls and returns it with its agent. It returns false if the call is not
// pending: the phase in which it was made has ended.
func (c *Coordinator) removePending(now float64, id uint64) (pendingCall, *agent, bool) {
	call, awaited := c.pendingCalls[id]
	if !awaited {
		return call, nil, false
	}
	delete(c.pendingCalls, id)
	a := &c.agents[call.agent]
	if a.pendingQuery == id {
		a.pendingQuery = 0
		a.nextQuery = now + c.config.Timing.PollSeconds
	}
	if a.pendingCommand == id {
		a.pendingCommand = 0
	}
	return call, a, true
}

// HandleFailure handles a call that failed without a reply. The agent may have done what the call asked for. failure is
// text for operators.
func (c *Coordinator) HandleFailure(now float64, id uint64, failure string) {
	call, a, awaited := c.removePending(now, id)
	if !awaited {
		return
	}
	a.failure = failure
	a.nextCommand = now + c.config.Timing.PollSeconds
	switch c.phase {
	case phasePolling:
		a.settled = true
	case phaseRequestingLease:
		a.settled = true
		c.campaign.AddUnreachable(call.agent)
	case phaseReleasing:
		a.released = true
	default: // the call is repeated
	}
}

// HandleReply handles the reply to a call.
func (c *Coordinator) HandleReply(now float64, id uint64, reply protocol.Reply) {
	call, a, awaited := c.removePending(now, id)
	if !awaited {
		return
	}
	a.leaseState = reply.LeaseState
	a.failure = reply.Failure
	if call.verb == protocol.StatusVerb {
		a.operatorRequest = reply.OperatorRequest
		c.recordObservations(call, reply)
	}
	switch c.phase {
	case phasePolling:
		a.settled = true
		a.record = reply.Record
	case phaseRequestingLease:
		a.settled = true
		a.granted = reply.Denial == lease.Granted
		c.campaign.AddReply(call.agent, reply.Denial, reply.LeaseState, reply.Record)
	case phaseReleasing:
		a.released = true
	case phaseRunning:
		if call.epoch == c.campaign.Request.Epoch {
			c.handleRunningReply(now, call, a, reply)
		}
	default: // no calls are made
	}
}

// handleRunningReply handles the reply to a call that was made under the current epoch in phaseRunning.
func (c *Coordinator) handleRunningReply(now float64, call pendingCall, a *agent, reply protocol.Reply) {
	if reply.Denial != lease.Granted || reply.LeaseState.Epoch > call.epoch {
		c.handleDenial(now, call.epoch, a, reply)
		return
	}
	switch call.verb {
	case protocol.RequestLeaseVerb:
		a.granted = true
		a.nextQuery = now
	case protocol.StoreRecordVerb:
		if c.storing != nil && call.recordVersion == c.storing.record.Version {
			a.stored = true
			c.commitIfStored(now)
		}
	case protocol.BeginStepVerb:
		if reply.Failure == "" {
			c.refusals = 0
			a.nextQuery = now
			return
		}
		c.stepRefused(now, call.stepNumber, reply.Failure)
	default: // HandleReply has recorded the observations of a status reply
	}
}

// handleDenial handles a reply that denies the epoch or reports a higher one.
func (c *Coordinator) handleDenial(now float64, epoch uint64, a *agent, reply protocol.Reply) {
	a.granted = false
	if reply.LeaseState.Epoch > epoch || reply.Denial == lease.StaleEpoch {
		// Either another holder has the lease, or its campaign failed and this coordinator must request a higher epoch.
		c.requestLease(now, max(reply.LeaseState.Epoch, epoch)+1, false)
		return
	}
	// The lease has expired at this agent, or the agent never granted it: the coordinator requests it again.
	a.nextCommand = now + c.config.Timing.PollSeconds
	if reply.Denial == lease.Expired {
		c.requestLease(now, epoch+1, false)
	}
}

func (c *Coordinator) stepRefused(now float64, stepNumber uint64, failure string) {
	current := c.rollout.CurrentStep
	c.events = append(c.events, Event{At: now, StepRefusal: failure, Step: current, Rollout: c.rollout})
	c.refusals++
	if c.refusals >= maxRefusals && c.storing == nil && stepNumber == current.Number {
		c.storeDecision(now, c.planner.StepRefused(failure))
	}
}

// recordObservations records an agent's report of its instances. In phaseRunning it ignores the report of an agent that has
// not granted the epoch. An observation counts as made at the time the call was sent, less the age that the agent reports.
func (c *Coordinator) recordObservations(call pendingCall, reply protocol.Reply) {
	if c.phase == phaseRunning {
		underEpoch := reply.Denial == lease.Granted && call.epoch == c.campaign.Request.Epoch
		if !underEpoch {
			return
		}
	}
	for _, i := range c.instancesByAgent[call.agent] {
		for _, status := range reply.Instances {
			if status.Name == c.config.InstanceNames[i] {
				c.statuses[i] = status
				c.observations[i] = status.Observation
				c.observations[i].SeenAt = call.sentAt - status.AgeSeconds
			}
		}
	}
}
