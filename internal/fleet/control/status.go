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

// Status is the status of a fleet as its reachable agents report it.
type Status struct {
	Fleet     string           `json:"fleet"`
	Serving   int              `json:"serving"` // number of instances that serve
	Total     int              `json:"of"`      // number of instances in the fleet file
	Agents    []AgentStatus    `json:"agents"`
	Instances []InstanceStatus `json:"instances"`
	Rollout   *RolloutStatus   `json:"rollout,omitempty"` // the newest rollout that an agent reports
	Lease     *LeaseStatus     `json:"claim,omitempty"`
}

// AgentStatus is the status of one agent.
type AgentStatus struct {
	Name      string `json:"name"`
	Reachable bool   `json:"heard"`             // the agent answered and reported no failure
	Program   string `json:"program,omitempty"` // name and version of the agent's program
	Failure   string `json:"fault,omitempty"`   // why the call failed, or the failure that the agent reported
}

// InstanceStatus is the status of one instance.
type InstanceStatus struct {
	Name               string  `json:"name"`
	Zone               string  `json:"hall"`
	Agent              string  `json:"agent"`
	Known              bool    `json:"known"` // an agent reports the instance
	State              string  `json:"life"`
	Revision           string  `json:"revision,omitempty"` // short digest
	TargetRevision     string  `json:"wants,omitempty"`    // short digest of the revision that it is to run, if that is another one
	ProcessID          int     `json:"process,omitempty"`
	Crashes            int     `json:"crashes,omitempty"`
	CompletedCommands  uint64  `json:"ended"`          // commands completed within a recent window
	UnansweredCommands uint64  `json:"unanswered"`     // completed commands of that window that got no answer
	ReadySeconds       float64 `json:"ready_seconds"`  // time since the instance became ready
	Step               string  `json:"step,omitempty"` // the step under way, or why the last step failed
}

// LeaseStatus is the status of the lease, whose holder may change the fleet.
type LeaseStatus struct {
	Epoch            uint64  `json:"epoch"` // highest epoch that an agent reports
	Holder           string  `json:"holder"`
	Held             bool    `json:"held"`          // a majority of agents grants the lease to Holder
	Grants           int     `json:"grants"`        // number of agents that grant the lease to Holder
	HeldSeconds      float64 `json:"since_seconds"` // time since Holder acquired the lease
	RemainingSeconds float64 `json:"left_seconds"`  // time until the lease expires unless it is renewed
	Agents           int     `json:"agents"`        // number of agents in the fleet
	ReachableAgents  int     `json:"heard"`         // number of agents that answered and reported no failure
}

// Status requests the status of all agents and returns the fleet's.
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

// instanceStatus returns the status of an instance. known is false if no agent has reported the instance.
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
	status.CompletedCommands = report.RecentCommands.Completed
	status.UnansweredCommands = report.RecentCommands.Unanswered
	switch {
	case report.LastStep.Number != 0 && report.LastResult == rollout.StepPending:
		status.Step = fmt.Sprintf("step %d of rollout %s is under way", report.LastStep.Number, report.LastStep.RolloutID)
	case report.LastResult == rollout.StepFailed:
		status.Step = "failed: " + report.LastFailure
	}
	return status
}

// leaseStatus returns the status of the lease that the largest number of agents grants.
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
		status.HeldSeconds = max(status.HeldSeconds, lease.HeldSeconds)
		status.RemainingSeconds = max(status.RemainingSeconds, lease.RemainingSeconds)
	}
	status.Held = status.Grants >= lease.Majority(len(answers))
	return status
}

// newestRecord returns the rollout in the newest record that any agent reports. Possibly no majority has stored the record.
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
