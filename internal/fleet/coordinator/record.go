package coordinator

import (
	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// pendingRecord is a record that a majority of agents has not stored yet, with the decision that it stores.
type pendingRecord struct {
	record  lease.Record
	rollout protocol.Rollout // the record's body, decoded
	action  rollout.Action
	reason  rollout.Reason
	step    rollout.Step // the current step before the decision
}

// decodeRollout decodes a record's body. For a record without a body it returns an empty rollout.
func decodeRollout(record lease.Record) (protocol.Rollout, error) {
	var r protocol.Rollout
	if record.Body == nil {
		return r, nil
	}
	err := protocol.Decode("record", record.Body, &r)
	return r, err
}

// storeDecision starts to store a decision at the agents.
func (c *Coordinator) storeDecision(now float64, decision rollout.Decision) {
	updated := c.rollout
	updated.Rollout = decision.Rollout
	if operator := c.operatorRequest().Operator; operator != "" && decision.Reason.Kind == rollout.ReasonOperator {
		updated.RequestedBy = operator
	}
	c.storeRollout(now, updated, decision.Action, decision.Reason)
}

// storeRollout starts to store a rollout at the agents. commitIfStored continues once a majority has stored it.
func (c *Coordinator) storeRollout(now float64, updated protocol.Rollout, action rollout.Action, reason rollout.Reason) {
	c.recordNumber++
	version := lease.Version{Epoch: c.campaign.Request.Epoch, Number: c.recordNumber}
	c.storing = &pendingRecord{
		record:  lease.Record{Version: version, Body: protocol.Encode(updated)},
		rollout: updated,
		action:  action,
		reason:  reason,
		step:    c.planner.Rollout.CurrentStep,
	}
	for i := range c.agents {
		c.agents[i].stored = false
		c.agents[i].nextCommand = now
	}
}

// commitIfStored puts a decision into effect once a majority of agents has stored it.
func (c *Coordinator) commitIfStored(now float64) {
	stored := 0
	for i := range c.agents {
		if c.agents[i].stored {
			stored++
		}
	}
	if stored < lease.Majority(len(c.agents)) {
		return
	}
	committed := c.storing
	c.storing = nil
	c.rollout = committed.rollout
	c.planner.Rollout = committed.rollout.Rollout
	c.lastMajority = now
	step := committed.step
	if committed.action == rollout.ActionBeginStep {
		step = committed.rollout.CurrentStep
		c.nextStepSend = now // the planner then decides whether the step may still be sent
		c.refusals = 0
	}
	c.events = append(c.events, Event{
		At: now, Action: committed.action, Rollout: c.rollout, Reason: committed.reason, Step: step,
		RecordVersion: committed.record.Version,
	})
	if c.rollout.State != rollout.Running {
		c.release(now, Outcome{Kind: OutcomeEnded, Rollout: c.rollout, Reason: c.rollout.Reason})
	}
}
