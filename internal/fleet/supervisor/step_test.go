package supervisor

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

func TestStepRestartsOrReloads(t *testing.T) {
	env := newServing(t)
	assert.Empty(t, env.beginStep(2, "b"))
	assert.Empty(t, env.beginStep(2, "b"), "a repeat of the step")
	assert.Contains(t, env.beginStep(1, "a"), "step 1 is older than step 2")
	assert.Contains(t, env.beginStep(3, "c"), "under way")
	env.run(3)
	assert.Equal(t, rollout.StepSucceeded, env.supervisor.Result)
	assert.Equal(t, "b", env.process.revision)
	assert.Contains(t, env.actions, ActionTerminate)
	env.actions = nil
	assert.Empty(t, env.beginStep(3, "reloaded"))
	env.run(3)
	assert.Equal(t, rollout.StepSucceeded, env.supervisor.Result)
	assert.Equal(t, "reloaded", env.process.revision)
	assert.NotContains(t, env.actions, ActionTerminate)
	env.actions = nil
	assert.Empty(t, env.beginStep(4, "reloaded"))
	assert.Equal(t, rollout.StepSucceeded, env.supervisor.Result, "the router runs the revision already")
	assert.NotContains(t, env.actions, ActionPrepareRevision)
	assert.Empty(t, env.supervisor.Observe(env.now).PreviousRevision)
}

func TestStepOnlyIfNotServingLeavesAServingRouterAlone(t *testing.T) {
	env := newServing(t)
	begin := func(number uint64) {
		step := rollout.Step{RolloutID: "roll", Number: number, Revision: "b", OnlyIfNotServing: true}
		transition, err := env.supervisor.BeginStep(step)
		require.NoError(t, err)
		env.carryOut(transition, nil)
	}
	begin(2)
	env.run(3)
	assert.Equal(t, rollout.StepNotApplied, env.supervisor.Result)
	assert.Equal(t, failureRouterServes, env.supervisor.Failure)
	assert.NotContains(t, env.actions, ActionTerminate)
	assert.Equal(t, "a", env.supervisor.Revision)
	assert.Equal(t, rollout.ProcessReady, env.supervisor.state)

	// The router exits and is started again. The next step arrives while the first health check is under way.
	env.exit()
	env.handleNext() // ProcessExited
	env.now = env.supervisor.NextTick()
	env.handle(func() Transition { return env.supervisor.Tick(env.now) })
	env.handleNext() // ProcessStarted
	require.Equal(t, phaseAwaitingReady, env.supervisor.phase)
	env.actions = nil
	begin(3)
	env.run(3)
	assert.Equal(t, rollout.StepNotApplied, env.supervisor.Result)
	assert.NotContains(t, env.actions, ActionTerminate)

	env.exit()
	for len(env.queue) > 0 {
		env.handleNext()
	}
	require.Equal(t, rollout.ProcessDown, env.supervisor.state)
	begin(4)
	env.run(3)
	assert.Equal(t, rollout.StepSucceeded, env.supervisor.Result, "a router that does not serve is changed")
	assert.Equal(t, "b", env.process.revision)
}

func TestBadRevisionFailsItsStep(t *testing.T) {
	for behaviour, failure := range map[string]string{
		refused: "rejected by the parser", exits: "ended before it was ready",
		silent: "not ready within",
	} {
		env := newServing(t)
		env.badRevisions["b"] = behaviour
		env.beginStep(2, "b")
		env.run(15)
		assert.Equal(t, rollout.StepFailed, env.supervisor.Result, behaviour)
		assert.Contains(t, env.supervisor.Failure, failure)
		assert.Equal(t, behaviour == refused, env.supervisor.state == rollout.ProcessReady, behaviour)
		assert.Empty(t, env.beginStep(3, "a"), "a step back to the previous revision")
		env.run(10)
		assert.Equal(t, rollout.StepSucceeded, env.supervisor.Result, behaviour)
		assert.Equal(t, "a", env.process.revision)
	}
}
