package supervisor

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// TestAgentThatEndsAfterAnyActionResolvesItsStep ends the agent after each action of a step, before the action's outcome
// is handed in, and lets it start again at once or after a while.
func TestAgentThatEndsAfterAnyActionResolvesItsStep(t *testing.T) {
	actions := []ActionKind{
		ActionPrepareRevision, ActionTerminate, ActionInstallRevision, ActionStart, ActionReload, ActionHealthCheck,
	}
	for _, revision := range []string{"b", "reloaded"} {
		for _, last := range actions {
			for _, awaySeconds := range []float64{0, 20} {
				e := newServing(t)
				e.beginStep(2, revision)
				if e.runUntilAction(last) {
					name := fmt.Sprint(revision, " ", last, " ", awaySeconds)
					e.checkRestartResolves(t, revision, awaySeconds, name)
				}
			}
		}
	}
}

// runUntilAction hands outcomes in until a kind of action has been carried out; it is false if the step ends without.
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

// checkRestartResolves lets the agent be away and start again, and checks what becomes of the step.
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
	assert.Equal(t, want, e.process.file, name)
	if served {
		assert.NotContains(t, e.actions, ActionTerminate, "a router that serves is left alone: %s", name)
	}
}

func TestAgentThatEndsBetweenStoringAndTerminatingDoesNotApplyTheStep(t *testing.T) {
	e := newServing(t)
	e.beginStep(2, "b")
	transition := e.queue[len(e.queue)-1]() // prepared: stored, and the agent ends before it terminates the process
	require.Equal(t, ActionTerminate, transition.Actions[0].Kind)
	e.stored = e.supervisor.Record
	e.restartAgent()
	e.run(10)
	assert.Equal(t, rollout.StepNotApplied, e.supervisor.Result)
	assert.Equal(t, "a", e.process.file)
	assert.EqualValues(t, 1, e.process.incarnation, "the same process")
}

func TestFailingStoreDelaysTheStep(t *testing.T) {
	e := newServing(t)
	e.storeFails = true
	assert.Equal(t, "not stored", e.beginStep(2, "b"))
	assert.Equal(t, rollout.StepSucceeded, e.supervisor.Result)
	e.storeFails = false
	e.beginStep(2, "b")
	e.storeFails = true
	e.run(5)
	assert.Equal(t, rollout.StepPending, e.supervisor.Result)
	assert.Equal(t, "a", e.process.file, "nothing is changed that was not stored")
	e.storeFails = false
	e.run(5)
	assert.Equal(t, rollout.StepSucceeded, e.supervisor.Result)
}

func TestStepThatChangedNothingIsNotAppliedAlsoIfTheRouterIsGone(t *testing.T) {
	e := newServing(t)
	e.beginStep(2, "b") // stored, and the agent ends; then its router too
	e.process.running = false
	e.restartAgent()
	e.run(5)
	assert.Equal(t, rollout.StepNotApplied, e.supervisor.Result)
	assert.Equal(t, "a", e.process.file)
	assert.Equal(t, rollout.ProcessReady, e.supervisor.state)
}
