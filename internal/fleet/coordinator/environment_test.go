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
	pollSeconds = 0.1
	turnSeconds = 0.05
)

// environment is agents of one instance each, whose actions take effect at once, and a network without delay.
type environment struct {
	t           *testing.T
	now         float64
	fleet       *rollout.Fleet
	names       []string // of the instances
	limits      supervisor.Limits
	handlers    []*supervisor.RequestHandler // of the agents
	unreachable map[int]bool                 // agents
	refusing    map[int]bool                 // agents that refuse steps
	exiting     map[string]bool              // revisions whose process exits at once
	steps       []string                     // that were begun, in order
}

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

func (e *environment) carryOut(agent int, actions []supervisor.Action) {
	for _, a := range actions {
		e.carryOut(agent, e.do(e.supervisor(agent), a).Actions)
	}
}

func (e *environment) do(s *supervisor.Supervisor, a supervisor.Action) supervisor.Transition {
	switch a.Kind {
	case supervisor.ActionFindProcess:
		return s.ProcessFound(e.now, true)
	case supervisor.ActionPrepareRevision:
		return s.RevisionPrepared(e.now, supervisor.Preparation{DrainSeconds: 1}, nil)
	case supervisor.ActionInstallRevision:
		return s.RevisionInstalled(e.now, nil)
	case supervisor.ActionStart:
		started := s.ProcessStarted(e.now, a.Incarnation, nil)
		if e.exiting[s.Revision] {
			return s.ProcessExited(e.now, "status 1")
		}
		return started
	case supervisor.ActionHealthCheck:
		return s.HealthChecked(e.now, true)
	case supervisor.ActionTerminate:
		return s.ProcessExited(e.now, "ended")
	case supervisor.ActionReadCounters, supervisor.ActionKill, supervisor.ActionReload:
	}
	return supervisor.Transition{}
}

func (e *environment) newCoordinator(holder string, task Task) *Coordinator {
	return New(Config{
		Fleet: e.fleet, InstanceNames: e.names, Agents: len(e.handlers), Holder: holder, Task: task,
		Timing: Timing{PollSeconds: pollSeconds, MajorityTimeoutSeconds: 2},
		Random: func() float64 { return 0.5 },
	})
}

func beginTask(id, revision string) Task {
	return Task{Operation: OperationBegin, Rollout: protocol.Rollout{Rollout: rollout.Rollout{ID: id, Revision: revision}}}
}

// turn lets a coordinator make its calls, and hands it what comes of them.
func (e *environment) turn(d *Coordinator) {
	calls, _ := d.Tick(e.now)
	for _, c := range calls {
		e.deliver(d, c)
	}
}

func (e *environment) deliver(d *Coordinator, c OutgoingCall) {
	handler := e.handlers[c.Agent]
	switch {
	case e.unreachable[c.Agent]:
		d.HandleFailure(e.now, c.ID, "unreachable")
		return
	case c.Request.Verb == protocol.BeginStepVerb && e.refusing[c.Agent]:
		d.HandleReply(e.now, c.ID, protocol.Reply{Failure: "disk full", LeaseState: handler.Lease.State(e.now)})
		return
	}
	reply, changes := handler.Handle(e.now, c.Request)
	if changes.ChangedInstance >= 0 {
		e.steps = append(e.steps, fmt.Sprint(c.Request.InstanceName, " ", c.Request.Step.Revision))
	}
	e.carryOut(c.Agent, changes.Actions)
	d.HandleReply(e.now, c.ID, reply)
}

// pass lets time pass for the agents and some coordinators.
func (e *environment) pass(seconds float64, coordinators ...*Coordinator) {
	for end := e.now + seconds; e.now < end; e.now += turnSeconds {
		for i := range e.handlers {
			if s := e.supervisor(i); e.now >= s.NextTick() {
				e.carryOut(i, s.Tick(e.now).Actions)
			}
		}
		for _, d := range coordinators {
			e.turn(d)
		}
	}
}

// finish lets time pass until a coordinator has ended.
func (e *environment) finish(d *Coordinator) Outcome {
	e.t.Helper()
	for range 200 {
		if o, ended := d.Outcome(); ended {
			return o
		}
		e.pass(1, d)
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
