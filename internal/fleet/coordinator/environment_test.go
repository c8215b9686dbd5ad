package coordinator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
	"stoatdale.example/stoatdale/internal/fleet/supervisor"
)

const (
	pollSeconds = 0.1  // poll interval of the coordinators
	turnSeconds = 0.05 // simulated time between two turns
)

// environment simulates agents with one instance each, whose actions take effect immediately, and a network without delay.
type environment struct {
	t           *testing.T
	now         float64 // in seconds
	fleet       *rollout.Fleet
	names       []string // names of the instances
	limits      supervisor.Limits
	handlers    []*supervisor.RequestHandler // by agent
	unreachable map[int]bool                 // agents that cannot be reached
	refusing    map[int]bool                 // agents that refuse steps
	exiting     map[string]bool              // revisions whose process exits immediately
	steps       []string                     // steps that were begun, in order, as "instance revision"
}

// newEnvironment returns agents whose instances all run revision old. All instances but one must serve at any time.
func newEnvironment(t *testing.T, agents int) *environment {
	t.Helper()
	e := &environment{
		t: t, limits: supervisor.DefaultLimits(),
		unreachable: map[int]bool{}, refusing: map[int]bool{}, exiting: map[string]bool{},
		fleet: &rollout.Fleet{ZoneMinAvailable: []int{0}, MinAvailable: agents - 1, Timing: rollout.Timing{
			SoakSeconds: 0.3, StaleAfterSeconds: 1, ContactTimeoutSeconds: 3, StepTimeoutSeconds: 20,
		}},
	}
	for i := range agents {
		name := fmt.Sprint("n", i)
		e.fleet.Instances = append(e.fleet.Instances, rollout.Instance{Agent: i})
		e.names = append(e.names, name)
		record := supervisor.Record{ShouldRun: true, Revision: "old", Incarnation: 1}
		supervised, transition := supervisor.NewSupervisor(record, &e.limits)
		e.handlers = append(e.handlers, &supervisor.RequestHandler{
			InstanceNames: []string{name}, Lease: lease.Lease{TermSeconds: 3}, Supervisors: []supervisor.Supervisor{supervised},
		})
		e.carryOut(i, transition.Actions)
	}
	return e
}

func (e *environment) supervisor(agent int) *supervisor.Supervisor {
	return &e.handlers[agent].Supervisors[0]
}

// carryOut carries out the actions that an agent's supervisor requests, and those that it requests after their outcomes.
func (e *environment) carryOut(agent int, actions []supervisor.Action) {
	for _, action := range actions {
		e.carryOut(agent, e.performAction(e.supervisor(agent), action).Actions)
	}
}

// performAction carries out one action and returns the supervisor's response to the outcome.
func (e *environment) performAction(supervised *supervisor.Supervisor, action supervisor.Action) supervisor.Transition {
	switch action.Kind {
	case supervisor.ActionFindProcess:
		return supervised.ProcessFound(e.now, true)
	case supervisor.ActionPrepareRevision:
		return supervised.RevisionPrepared(e.now, supervisor.Preparation{DrainSeconds: 1}, nil)
	case supervisor.ActionInstallRevision:
		return supervised.RevisionInstalled(e.now, nil)
	case supervisor.ActionStart:
		started := supervised.ProcessStarted(e.now, action.Incarnation, nil)
		if e.exiting[supervised.Revision] {
			return supervised.ProcessExited(e.now, "status 1")
		}
		return started
	case supervisor.ActionHealthCheck:
		return supervised.HealthChecked(e.now, true)
	case supervisor.ActionTerminate:
		return supervised.ProcessExited(e.now, "ended")
	case supervisor.ActionReadCounters, supervisor.ActionKill, supervisor.ActionReload:
	}
	return supervisor.Transition{}
}

func (e *environment) newCoordinator(holder string, task Task) *Coordinator {
	return New(Config{
		Fleet: e.fleet, InstanceNames: e.names, AgentCount: len(e.handlers), Holder: holder, Task: task,
		Timing: Timing{PollSeconds: pollSeconds, MajorityTimeoutSeconds: 2},
		Random: func() float64 { return 0.5 },
	})
}

func beginTask(id, revision string) Task {
	return Task{Operation: OperationBegin, Rollout: protocol.Rollout{Rollout: rollout.Rollout{ID: id, Revision: revision}}}
}

// turn makes the calls that a coordinator has due and passes it their replies and failures.
func (e *environment) turn(c *Coordinator) {
	calls, _ := c.Tick(e.now)
	for _, call := range calls {
		e.deliver(c, call)
	}
}

// deliver passes a call to its agent, and passes the reply or a failure back to the coordinator.
func (e *environment) deliver(c *Coordinator, call OutgoingCall) {
	handler := e.handlers[call.Agent]
	switch {
	case e.unreachable[call.Agent]:
		c.HandleFailure(e.now, call.ID, "unreachable")
		return
	case call.Request.Verb == protocol.BeginStepVerb && e.refusing[call.Agent]:
		c.HandleReply(e.now, call.ID, protocol.Reply{Failure: "disk full", LeaseState: handler.Lease.State(e.now)})
		return
	}
	reply, changes := handler.Handle(e.now, call.Request)
	if changes.ChangedInstance >= 0 {
		e.steps = append(e.steps, fmt.Sprint(call.Request.InstanceName, " ", call.Request.Step.Revision))
	}
	e.carryOut(call.Agent, changes.Actions)
	c.HandleReply(e.now, call.ID, reply)
}

// pass simulates a period of time for the agents and the given coordinators.
func (e *environment) pass(seconds float64, coordinators ...*Coordinator) {
	for end := e.now + seconds; e.now < end; e.now += turnSeconds {
		for i := range e.handlers {
			if s := e.supervisor(i); e.now >= s.NextTick() {
				e.carryOut(i, s.Tick(e.now).Actions)
			}
		}
		for _, c := range coordinators {
			e.turn(c)
		}
	}
}

// finish simulates time until a coordinator has ended, and returns its outcome.
func (e *environment) finish(c *Coordinator) Outcome {
	e.t.Helper()
	for range 200 {
		if o, ended := c.Outcome(); ended {
			return o
		}
		e.pass(1, c)
	}
	require.Fail(e.t, "the coordinator does not end")
	panic("unreachable")
}

// revisions returns the revision that each instance runs.
func (e *environment) revisions() []string {
	var revisions []string
	for i := range e.handlers {
		revisions = append(revisions, e.supervisor(i).Revision)
	}
	return revisions
}
