package supervisor

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// A restarted agent that finds its router running does not know until a health check whether the router serves.
func TestRouterFoundRunningIsUnknownUntilItIsChecked(t *testing.T) {
	env := newServing(t)
	env.restartAgent()
	env.handle(env.queue[0]) // ProcessFound
	assert.Equal(t, rollout.ProcessUnknown, env.supervisor.Observe(env.now).State, "it may serve")
	assert.Contains(t, env.beginStep(2, "b"), "does not know its routers yet")
	env.queue = env.queue[1:]
	env.run(1)
	assert.Equal(t, rollout.ProcessReady, env.supervisor.Observe(env.now).State)
	assert.Empty(t, env.beginStep(2, "b"))

	env = newServing(t)
	env.badRevisions["a"] = silent
	env.restartAgent()
	env.run(float64(env.limits.MaxMissedHealthChecks-2) * env.limits.HealthCheckSeconds)
	assert.Equal(t, rollout.ProcessUnknown, env.supervisor.Observe(env.now).State, "the answer may be delayed")
	env.run(3 * env.limits.HealthCheckSeconds)
	assert.Equal(t, rollout.ProcessStarting, env.supervisor.Observe(env.now).State, "a router that does not answer does not serve")
	assert.Empty(t, env.beginStep(2, "b"))
}

func TestCrashLoopIsReportedAndEndsRestarts(t *testing.T) {
	env := newServing(t)
	env.badRevisions["a"] = exits
	env.exit()
	env.run(300)
	starts := 0
	for _, a := range env.actions {
		if a == ActionStart {
			starts++
		}
	}
	assert.Equal(t, env.limits.MaxCrashes, starts)
	assert.Equal(t, rollout.ProcessCrashLooping, env.supervisor.state)
	assert.True(t, math.IsInf(env.supervisor.NextTick(), 1))
	env.badRevisions["a"] = ""
	assert.Empty(t, env.beginStep(2, "b"), "a step resets the crash count")
	env.run(3)
	assert.Equal(t, rollout.ProcessReady, env.supervisor.state)
}

func TestStableRouterIsRestartedWithoutGrowingBackoff(t *testing.T) {
	env := newServing(t)
	for range 20 {
		env.run(env.limits.StableSeconds + 1)
		env.exit()
		env.run(2)
		require.Equal(t, rollout.ProcessReady, env.supervisor.state)
		assert.LessOrEqual(t, env.supervisor.Crashes(), 1)
	}
}

func TestHangingRouterIsKilledOnlyAfterItsDrain(t *testing.T) {
	env := newServing(t)
	env.process.ignoresSIGTERM = true
	env.beginStep(2, "b")
	env.run(4.5)
	assert.NotContains(t, env.actions, ActionKill)
	env.run(2)
	assert.Contains(t, env.actions, ActionKill)
	env.run(3)
	assert.Equal(t, rollout.StepSucceeded, env.supervisor.Result)
}

func TestSilentRouterNoLongerCountsAsReady(t *testing.T) {
	env := newServing(t)
	env.badRevisions["a"] = silent
	env.run(15)
	assert.Equal(t, rollout.ProcessStarting, env.supervisor.state)
	assert.True(t, env.process.running, "the agent does not kill it: that is the operator's decision")
	env.badRevisions["a"] = ""
	env.run(2)
	assert.Equal(t, rollout.ProcessReady, env.supervisor.state)
}
