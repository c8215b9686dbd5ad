package control

import (
	"context"
	"fmt"

	"stoatdale.example/stoatdale/internal/fleet/inventory"
	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// Status is how a fleet stands, as far as its agents can be reached.
type Status struct {
	Fleet     string           `json:"fleet"`
	Serving   int              `json:"serving"` // instances
	Total     int              `json:"of"`
	Agents    []AgentStatus    `json:"agents"`
	Instances []InstanceStatus `json:"instances"`
	Rollout   *RolloutStatus   `json:"rollout,omitempty"` // the newest
	Lease     *LeaseStatus     `json:"claim,omitempty"`
}

// AgentStatus is the status of one agent.
type AgentStatus struct {
	Name      string `json:"name"`
	Reachable bool   `json:"heard"`
	Program   string `json:"program,omitempty"`
	Failure   string `json:"fault,omitempty"`
}

// InstanceStatus is the status of one instance.
type InstanceStatus struct {
	Name               string  `json:"name"`
	Zone               string  `json:"hall"`
	Agent              string  `json:"agent"`
	Known              bool    `json:"known"` // its agent reports it
	State              string  `json:"life"`
	Revision           string  `json:"revision,omitempty"` // short digest
	TargetRevision     string  `json:"wants,omitempty"`    // short digest of the one that it is to run, if another
	ProcessID          int     `json:"process,omitempty"`
	Crashes            int     `json:"crashes,omitempty"`
	EndedCommands      uint64  `json:"ended"`          // lately
	UnansweredCommands uint64  `json:"unanswered"`     // of them
	ReadySeconds       float64 `json:"ready_seconds"`  // since it became ready
	Step               string  `json:"step,omitempty"` // that is open, or why the last one failed
}

// LeaseStatus is who may change the fleet.
type LeaseStatus struct {
	Epoch           uint64  `json:"epoch"` // the highest that an agent knows
	Holder          string  `json:"holder"`
	Held            bool    `json:"held"`   // by a majority of agents
	Grants          int     `json:"grants"` // agents that grant it to Holder
	SinceSeconds    float64 `json:"since_seconds"`
	LeftSeconds     float64 `json:"left_seconds"` // unless it is renewed
	Agents          int     `json:"agents"`
	ReachableAgents int     `json:"heard"`
}

// Status asks all agents how the fleet stands.
func (c *Client) Status(ctx context.Context) Status {
	return c.summarize(c.Broadcast(ctx, protocol.Request{Verb: protocol.StatusVerb}))
}

func (c *Client) summarize(answers []Answer) Status {
	status := Status{Fleet: c.Fleet.Name, Total: len(c.Fleet.Instances)}
	reported := map[string]protocol.InstanceStatus{}
	for _, answer := range answers {
		status.Agents = append(status.Agents, agentStatus(answer))
		for _, instance := range answer.Reply.Instances {
			reported[instance.Name] = instance
		}
	}
	for i := range c.Fleet.Instances {
		instance := &c.Fleet.Instances[i]
		report, known := reported[instance.Name]
		row := c.instanceStatus(instance, report, known)
		if known && report.State == rollout.ProcessReady {
			status.Serving++
		}
		status.Instances = append(status.Instances, row)
	}
	status.Lease = leaseStatus(answers)
	if rollout, found := newestRecord(answers); found {
		status.Rollout = c.DescribeRollout(rollout)
	}
	return status
}

func agentStatus(answer Answer) AgentStatus {
	status := AgentStatus{Name: answer.Agent, Reachable: answer.Err == nil, Program: answer.Reply.Program}
	if answer.Err != nil {
		status.Failure = answer.Err.Error()
	}
	return status
}

// instanceStatus is the status of an instance by its agent's report, if there is one.
func (c *Client) instanceStatus(instance *inventory.Instance, report protocol.InstanceStatus, known bool) InstanceStatus {
	status := InstanceStatus{
		Name:  instance.Name,
		Agent: instance.Agent,
		Zone:  c.Fleet.Agent(instance.Agent).Zone,
		State: rollout.ProcessUnknown.String(),
	}
	if !known {
		return status
	}
	status.Known = true
	status.State = report.State.String()
	status.ProcessID = report.ProcessID
	status.Crashes = report.Crashes
	status.Revision = revision.ShortDigest(report.Revision)
	if report.TargetRevision != report.Revision {
		status.TargetRevision = revision.ShortDigest(report.TargetRevision)
	}
	status.ReadySeconds = report.ReadySeconds
	status.EndedCommands = report.RecentCommands.Completed
	status.UnansweredCommands = report.RecentCommands.Unanswered
	switch {
	case report.LastStep.Number != 0 && report.LastResult == rollout.StepPending:
		status.Step = fmt.Sprintf("step %d of %s is open", report.LastStep.Number, report.LastStep.RolloutID)
	case report.LastResult == rollout.StepFailed:
		status.Step = "failed: " + report.LastFailure
	}
	return status
}

// leaseStatus is the lease that most agents grant.
func leaseStatus(answers []Answer) *LeaseStatus {
	status := &LeaseStatus{Agents: len(answers)}
	grants := map[string]int{}
	for _, answer := range answers {
		if answer.Err != nil {
			continue
		}
		status.ReachableAgents++
		lease := answer.Reply.LeaseState
		status.Epoch = max(status.Epoch, lease.Epoch)
		if !lease.Held {
			continue
		}
		grants[lease.Holder]++
		if grants[lease.Holder] < status.Grants {
			continue
		}
		status.Holder = lease.Holder
		status.Grants = grants[lease.Holder]
		status.SinceSeconds = max(status.SinceSeconds, lease.HeldSeconds)
		status.LeftSeconds = max(status.LeftSeconds, lease.RemainingSeconds)
	}
	status.Held = status.Grants >= lease.Majority(len(answers))
	return status
}

// newestRecord is the rollout in the newest record that an agent has, which a majority need not have stored.
func newestRecord(answers []Answer) (rollout protocol.Rollout, found bool) {
	var newest lease.Record
	for _, answer := range answers {
		if answer.Err == nil && newest.Version.Before(answer.Reply.Record.Version) {
			newest = answer.Reply.Record
		}
	}
	if newest.Body == nil {
		return rollout, false
	}
	err := protocol.Decode("record", newest.Body, &rollout)
	return rollout, err == nil && rollout.ID != ""
}
