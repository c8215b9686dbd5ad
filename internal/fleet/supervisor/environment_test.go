package supervisor

import (
	"errors"

	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// Behaviours of a bad revision.
const (
	refused = "refused" // preparing it fails
	exits   = "exits"   // its process exits immediately
	silent  = "silent"  // its process answers no health check
)

// tickSeconds is the step in which run advances the time.
const tickSeconds = 0.05

// process is the simulated router process of an environment. At most one runs at a time.
type process struct {
	running        bool
	incarnation    uint64
	revision       string // revision of the configuration that the process last read
	terminating    bool   // it has received SIGTERM
	ignoresSIGTERM bool   // it ends only when it is killed
}

// environment simulates the machine around a supervisor in virtual time: one configuration file, at most one process
// and a store. Actions take effect immediately and their outcomes are queued, so that a test can end the agent between
// an action and its outcome.
type environment struct {
	t                 require.TestingT
	limits            Limits
	supervisor        Supervisor
	stored            Record            // the supervisor's record that was stored last
	now               float64           // in seconds
	installedRevision string            // revision whose configuration file is in place
	badRevisions      map[string]string // behaviour of each bad revision
	process           process
	queue             []func() Transition // events that report the outcomes of actions
	storeFails        bool
	actions           []ActionKind // kinds of all actions that were carried out
}

func newEnvironment(t require.TestingT) *environment {
	e := &environment{t: t, limits: DefaultLimits(), badRevisions: map[string]string{}}
	e.restartAgent()
	return e
}

// newServing returns an environment whose router serves revision a.
func newServing(t require.TestingT) *environment {
	env := newEnvironment(t)
	env.run(1)
	env.beginStep(1, "a")
	env.run(3)
	require.Equal(t, rollout.StepSucceeded, env.supervisor.Result, env.supervisor.Failure)
	require.Equal(t, rollout.ProcessReady, env.supervisor.state)
	env.actions = nil
	return env
}

// restartAgent ends the agent and starts it again. State that was not stored and outcomes in the queue are lost.
func (e *environment) restartAgent() {
	e.queue = nil
	var t Transition
	e.supervisor, t = NewSupervisor(e.stored, &e.limits)
	e.carryOut(t, nil)
}

// handle passes an event to the supervisor. If storing fails, it restores the supervisor and queues the event again.
func (e *environment) handle(event func() Transition) {
	before := e.supervisor
	t := event()
	if t.Store && e.storeFails {
		e.supervisor = before
		e.queue = append(e.queue, event)
		return
	}
	e.carryOut(t, nil)
}

// handleNext handles the next event of the queue.
func (e *environment) handleNext() {
	event := e.queue[0]
	e.queue = e.queue[1:]
	e.handle(event)
}

// carryOut stores the record if the transition requires it and carries out the actions, up to and including the first
// one for which stop returns true. stop may be nil.
func (e *environment) carryOut(t Transition, stop func(ActionKind) bool) {
	if t.Store {
		e.stored = e.supervisor.Record
	}
	for _, a := range t.Actions {
		e.actions = append(e.actions, a.Kind)
		e.carryOutAction(a)
		if stop != nil && stop(a.Kind) {
			return
		}
	}
}

func (e *environment) enqueue(event func() Transition) { e.queue = append(e.queue, event) }

func (e *environment) carryOutAction(a Action) {
	p := &e.process
	switch a.Kind {
	case ActionFindProcess:
		running := p.running && p.incarnation == a.Incarnation
		e.enqueue(func() Transition { return e.supervisor.ProcessFound(e.now, running) })
	case ActionPrepareRevision:
		e.prepare(a.Revision)
	case ActionInstallRevision:
		e.installedRevision = a.Revision
		e.enqueue(func() Transition { return e.supervisor.RevisionInstalled(e.now, nil) })
	case ActionStart:
		e.start(a.Incarnation)
	case ActionHealthCheck:
		answers := p.running && !p.terminating && e.badRevisions[p.revision] != silent
		e.enqueue(func() Transition { return e.supervisor.HealthChecked(e.now, answers) })
	case ActionReadCounters:
	case ActionTerminate:
		if !p.ignoresSIGTERM {
			p.terminating = true
		}
	case ActionKill:
		e.exit()
	case ActionReload:
		p.revision = e.installedRevision
		e.enqueue(func() Transition { return e.supervisor.ReloadReported(e.now, "") })
	}
}

// prepare queues the outcome of preparing a revision. A revision whose name begins with r needs only a reload.
func (e *environment) prepare(revision string) {
	var err error
	if e.badRevisions[revision] == refused {
		err = errors.New("rejected by the parser")
	}
	p := Preparation{ReloadSuffices: revision[0] == 'r', DrainSeconds: 5}
	e.enqueue(func() Transition { return e.supervisor.RevisionPrepared(e.now, p, err) })
}

func (e *environment) start(incarnation uint64) {
	p := &e.process
	require.False(e.t, p.running, "a second process is started")
	p.running, p.incarnation, p.revision, p.terminating = true, incarnation, e.installedRevision, false
	e.enqueue(func() Transition { return e.supervisor.ProcessStarted(e.now, incarnation, nil) })
	if e.badRevisions[e.installedRevision] == exits {
		e.exit()
	}
}

func (e *environment) exit() {
	if e.process.running {
		e.process.running, e.process.terminating = false, false
		e.enqueue(func() Transition { return e.supervisor.ProcessExited(e.now, "status 1") })
	}
}

// run advances the time by a number of seconds and handles queued events and due ticks.
func (e *environment) run(seconds float64) {
	for end := e.now + seconds; e.now < end; {
		for len(e.queue) > 0 {
			e.handleNext()
			if e.storeFails {
				break
			}
		}
		if e.process.running && e.process.terminating {
			e.exit()
			continue
		}
		e.now += tickSeconds
		if e.now >= e.supervisor.NextTick() {
			e.handle(func() Transition { return e.supervisor.Tick(e.now) })
		}
	}
}

// beginStep begins a step. It returns the reason why the step was not begun, or an empty string.
func (e *environment) beginStep(number uint64, revision string) string {
	before := e.supervisor
	t, err := e.supervisor.BeginStep(rollout.Step{RolloutID: "roll", Number: number, Revision: revision})
	if t.Store && e.storeFails {
		e.supervisor = before
		return "not stored"
	}
	e.carryOut(t, nil)
	if err != nil {
		return err.Error()
	}
	return ""
}
