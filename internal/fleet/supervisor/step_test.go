package supervisor

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

func TestStepRestartsOrReloads(t *testing.T) {
	e := newServing(t)
	assert.Empty(t, e.beginStep(2, "b"))
	assert.Empty(t, e.beginStep(2, "b"), "a repeat of the step")
	assert.Contains(t, e.beginStep(1, "a"), "step 1 is older than step 2")
	assert.Contains(t, e.beginStep(3, "c"), "under way")
	e.run(3)
	assert.Equal(t, rollout.StepSucceeded, e.supervisor.Result)
	assert.Equal(t, "b", e.process.file)
	assert.Contains(t, e.actions, ActionTerminate)
	e.actions = nil
	assert.Empty(t, e.beginStep(3, "reloaded"))
	e.run(3)
	assert.Equal(t, rollout.StepSucceeded, e.supervisor.Result)
	assert.Equal(t, "reloaded", e.process.file)
	assert.NotContains(t, e.actions, ActionTerminate)
	e.actions = nil
	assert.Empty(t, e.beginStep(4, "reloaded"))
	assert.Equal(t, rollout.StepSucceeded, e.supervisor.Result, "the router runs the revision already")
	assert.NotContains(t, e.actions, ActionPrepareRevision)
	assert.Empty(t, e.supervisor.Observe(e.now).PreviousRevision)
}

func TestStepOnlyIfNotServingLeavesAServingRouterAlone(t *testing.T) {
	e := newServing(t)
	begin := func(number uint64) {
		step := rollout.Step{RolloutID: "roll", Number: number, Revision: "b", OnlyIfNotServing: true}
		transition, err := e.supervisor.BeginStep(step)
		require.NoError(t, err)
		e.carryOut(transition, nil)
	}
	begin(2)
	e.run(3)
	assert.Equal(t, rollout.StepNotApplied, e.supervisor.Result)
	assert.Equal(t, failureRouterServes, e.supervisor.Failure)
	assert.NotContains(t, e.actions, ActionTerminate)
	assert.Equal(t, "a", e.supervisor.Revision)
	assert.Equal(t, rollout.ProcessReady, e.supervisor.state)

	// The router exits and is started again. The next step arrives while the first health check is under way.
	e.exit()
	e.handleNext() // ProcessExited
	e.now = e.supervisor.NextTick()
	e.handle(func() Transition { return e.supervisor.Tick(e.now) })
	e.handleNext() // ProcessStarted
	require.Equal(t, phaseAwaitingReady, e.supervisor.phase)
	e.actions = nil
	begin(3)
	e.run(3)
	assert.Equal(t, rollout.StepNotApplied, e.supervisor.Result)
	assert.NotContains(t, e.actions, ActionTerminate)

	e.exit()
	for len(e.queue) > 0 {
		e.handleNext()
	}
	require.Equal(t, rollout.ProcessDown, e.supervisor.state)
	begin(4)
	e.run(3)
	assert.Equal(t, rollout.StepSucceeded, e.supervisor.Result, "a router that does not serve is changed")
	assert.Equal(t, "b", e.process.file)
}

func TestBadRevisionFailsItsStep(t *testing.T) {
	for behaviour, failure := range map[string]string{
		refused: "rejected by the parser", exits: "ended before it was ready",
		silent: "not ready within",
	} {
		e := newServing(t)
		e.badRevisions["b"] = behaviour
		e.beginStep(2, "b")
		e.run(15)
		assert.Equal(t, rollout.StepFailed, e.supervisor.Result, behaviour)
		assert.Contains(t, e.supervisor.Failure, failure)
		assert.Equal(t, behaviour == refused, e.supervisor.state == rollout.ProcessReady, behaviour)
		assert.Empty(t, e.beginStep(3, "a"), "a step back to the previous revision")
		e.run(10)
		assert.Equal(t, rollout.StepSucceeded, e.supervisor.Result, behaviour)
		assert.Equal(t, "a", e.process.file)
	}
}
