package supervisor

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// TestAgentThatEndsAfterAnyActionResolvesItsStep ends the agent after each action of a step, before it receives the
// action's outcome, and starts it again immediately or 20 s later.
func TestAgentThatEndsAfterAnyActionResolvesItsStep(t *testing.T) {
	actions := []ActionKind{
		ActionPrepareRevision, ActionTerminate, ActionInstallRevision, ActionStart, ActionReload, ActionHealthCheck,
	}
	for _, revision := range []string{"b", "reloaded"} {
		for _, last := range actions {
			for _, awaySeconds := range []float64{0, 20} {
				env := newServing(t)
				env.beginStep(2, revision)
				if env.runUntilAction(last) {
					name := fmt.Sprint(revision, " ", last, " ", awaySeconds)
					env.checkRestartResolves(t, revision, awaySeconds, name)
				}
			}
		}
	}
}

// runUntilAction handles outcomes until an action of the given kind has been carried out. It returns false if the step
// ends, or 400 rounds pass, without such an action.
func (e *environment) runUntilAction(last ActionKind) bool {
	for range 400 {
		if len(e.queue) == 0 {
			if e.process.running && e.process.terminating {
				e.exit()
			}
			e.now += tickSeconds
			continue
		}
		event := e.queue[0]
		e.queue = e.queue[1:]
		reached := false
		e.carryOut(event(), func(kind ActionKind) bool { reached = kind == last; return reached })
		if reached {
			return true
		}
		if e.supervisor.Result != rollout.StepPending {
			return false
		}
	}
	return false
}

// checkRestartResolves starts the agent again after awaySeconds and checks that the step gets a result and that the
// router runs the matching revision.
func (e *environment) checkRestartResolves(t *testing.T, revision string, awaySeconds float64, name string) {
	served := e.process.running && !e.process.terminating
	e.queue = nil
	e.now += awaySeconds
	if awaySeconds > 0 && e.process.terminating {
		e.process.running, e.process.terminating = false, false
	}
	e.actions = nil
	e.restartAgent()
	e.run(20)
	assert.NotEqual(t, rollout.StepPending, e.supervisor.Result, name)
	assert.NotEqual(t, rollout.StepFailed, e.supervisor.Result, name)
	assert.Equal(t, rollout.ProcessReady, e.supervisor.state, name)
	want := "a"
	if e.supervisor.Result == rollout.StepSucceeded {
		want = revision
	}
	assert.Equal(t, want, e.process.revision, name)
	if served {
		assert.NotContains(t, e.actions, ActionTerminate, "a router that serves is not terminated: %s", name)
	}
}

func TestAgentThatEndsBetweenStoringAndTerminatingDoesNotApplyTheStep(t *testing.T) {
	env := newServing(t)
	env.beginStep(2, "b")
	transition := env.queue[len(env.queue)-1]() // RevisionPrepared: the agent stores the record and ends before it sends SIGTERM
	require.Equal(t, ActionTerminate, transition.Actions[0].Kind)
	env.stored = env.supervisor.Record
	env.restartAgent()
	env.run(10)
	assert.Equal(t, rollout.StepNotApplied, env.supervisor.Result)
	assert.Equal(t, "a", env.process.revision)
	assert.EqualValues(t, 1, env.process.incarnation, "the process was not restarted")
}

func TestFailingStoreDelaysTheStep(t *testing.T) {
	env := newServing(t)
	env.storeFails = true
	assert.Equal(t, "not stored", env.beginStep(2, "b"))
	assert.Equal(t, rollout.StepSucceeded, env.supervisor.Result)
	env.storeFails = false
	env.beginStep(2, "b")
	env.storeFails = true
	env.run(5)
	assert.Equal(t, rollout.StepPending, env.supervisor.Result)
	assert.Equal(t, "a", env.process.revision, "nothing changes before it is stored")
	env.storeFails = false
	env.run(5)
	assert.Equal(t, rollout.StepSucceeded, env.supervisor.Result)
}

func TestStepThatChangedNothingIsNotAppliedEvenIfTheRouterIsGone(t *testing.T) {
	env := newServing(t)
	env.beginStep(2, "b") // the step is stored, then the agent and the router end
	env.process.running = false
	env.restartAgent()
	env.run(5)
	assert.Equal(t, rollout.StepNotApplied, env.supervisor.Result)
	assert.Equal(t, "a", env.process.revision)
	assert.Equal(t, rollout.ProcessReady, env.supervisor.state)
}
