package control

import (
	"fmt"
	"time"

	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// RolloutStatus describes a rollout to an operator.
type RolloutStatus struct {
	ID                string   `json:"id"`
	Revision          string   `json:"revision"` // short digest
	RevisionName      string   `json:"name,omitempty"`
	State             string   `json:"state"`
	RollingBack       bool     `json:"back"`
	Reason            string   `json:"why,omitempty"`   // why it paused or ended
	Cause             string   `json:"cause,omitempty"` // why it rolls back
	StartedBy         string   `json:"by"`
	RequestedBy       string   `json:"asked,omitempty"`    // operator whose request the tool followed last
	StartedAt         string   `json:"began"`              // RFC 3339
	Steps             uint64   `json:"steps"`              // number of steps begun
	ExcludedInstances []string `json:"left_out,omitempty"` // names of excluded instances
	Step              string   `json:"step,omitempty"`     // the step under way
}

// DescribeRollout describes a rollout to an operator, with the names of the fleet file.
func (c *Client) DescribeRollout(r protocol.Rollout) *RolloutStatus {
	status := &RolloutStatus{
		ID:           r.ID,
		Revision:     revision.ShortDigest(r.Revision),
		RevisionName: r.RevisionName,
		State:        r.State.String(),
		RollingBack:  r.RollingBack,
		Reason:       c.Explain(r.Reason),
		Cause:        c.Explain(r.RollbackCause),
		StartedBy:    r.StartedBy,
		RequestedBy:  r.RequestedBy,
		StartedAt:    time.Unix(r.StartedAt, 0).UTC().Format(time.RFC3339),
		Steps:        r.StepsBegun,
	}
	for _, i := range r.ExcludedInstances {
		status.ExcludedInstances = append(status.ExcludedInstances, c.instanceName(i))
	}
	if r.CurrentStep.Number != 0 {
		status.Step = fmt.Sprintf("step %d, %s", r.CurrentStep.Number, c.instanceName(r.CurrentStep.Instance))
	}
	return status
}

// Explain returns a reason as text for operators, with the names of the fleet file. For ReasonNone it returns the reason's
// detail alone, which may be empty.
func (c *Client) Explain(r rollout.Reason) string {
	switch r.Kind {
	case rollout.ReasonNone:
		return r.Detail
	case rollout.ReasonOperator:
		return "an operator requested it"
	case rollout.ReasonZoneMinimum:
		return fmt.Sprintf("hall %s would be left with %d serving, and its floor is %d", c.zoneName(r.Zone), r.Have, r.Need)
	case rollout.ReasonFleetMinimum:
		return fmt.Sprintf("the fleet would be left with %d serving, and its floor is %d", r.Have, r.Need)
	case rollout.ReasonInstancesExcluded:
		return fmt.Sprintf("%d instances were left out and have not been changed", r.Have)
	case rollout.ReasonNothingToDo:
		return "there is nothing to do"
	default:
		return c.explainInstance(r)
	}
}

// explainInstance explains a reason that concerns one instance or its agent.
func (c *Client) explainInstance(r rollout.Reason) string {
	instance := c.instanceName(r.Instance)
	agent := c.agentName(r.Instance)
	switch r.Kind {
	case rollout.ReasonAgentUnreachable:
		return fmt.Sprintf("agent %s of instance %s is not heard from: bring it back and resume, or resume with --leave-out %s",
			agent, instance, instance)
	case rollout.ReasonProcessUnknown:
		return fmt.Sprintf("agent %s does not know instance %s yet", agent, instance)
	case rollout.ReasonInstanceBusy:
		return fmt.Sprintf("instance %s is in a step of another rollout", instance)
	case rollout.ReasonStepUnresolved:
		return fmt.Sprintf("the step of instance %s has no result yet", instance)
	case rollout.ReasonStepFailed:
		return fmt.Sprintf("instance %s did not become ready with the revision: %s", instance, r.Detail)
	case rollout.ReasonSoakFailed:
		return fmt.Sprintf("instance %s was %s in its soak", instance, r.Detail)
	case rollout.ReasonMoreUnanswered:
		return fmt.Sprintf("instance %s left %d of %d commands unanswered in its soak, a larger share than before", instance,
			r.Have, r.Need)
	case rollout.ReasonCannotRollBack:
		return fmt.Sprintf("instance %s cannot be rolled back: %s", instance, r.Detail)
	case rollout.ReasonStepNeverApplied:
		return fmt.Sprintf("the step of instance %s was not applied %d times in a row: its agent %s ended before it applied the "+
			"step, or the router became ready by itself", instance, r.Have, agent)
	case rollout.ReasonStepRefused:
		return fmt.Sprintf("agent %s refuses the step of instance %s: %s", agent, instance, r.Detail)
	default:
		return "the reason is of a kind that this version of the tool does not know"
	}
}

// instanceName returns the name of the instance with an index. The index may be out of range if it comes from a record that
// was written with another fleet file.
func (c *Client) instanceName(index int) string {
	if index < 0 || index >= len(c.Fleet.Instances) {
		return fmt.Sprint("instance ", index)
	}
	return c.Fleet.Instances[index].Name
}

// agentName returns the name of an instance's agent, or an empty string if the instance's index is out of range.
func (c *Client) agentName(instance int) string {
	if instance < 0 || instance >= len(c.Fleet.Instances) {
		return ""
	}
	return c.Fleet.Instances[instance].Agent
}

// zoneName returns the name of the zone with an index, or an empty string if the index is out of range.
func (c *Client) zoneName(index int) string {
	if index < 0 || index >= len(c.Fleet.Zones) {
		return ""
	}
	return c.Fleet.Zones[index].Name
}
