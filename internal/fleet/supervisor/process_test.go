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
	e := newServing(t)
	e.restartAgent()
	e.handle(e.queue[0]) // ProcessFound
	assert.Equal(t, rollout.ProcessUnknown, e.supervisor.Observe(e.now).State, "it may serve")
	assert.Contains(t, e.beginStep(2, "b"), "does not know its routers yet")
	e.queue = e.queue[1:]
	e.run(1)
	assert.Equal(t, rollout.ProcessReady, e.supervisor.Observe(e.now).State)
	assert.Empty(t, e.beginStep(2, "b"))

	e = newServing(t)
	e.badRevisions["a"] = silent
	e.restartAgent()
	e.run(float64(e.limits.MaxMissedHealthChecks-2) * e.limits.HealthCheckSeconds)
	assert.Equal(t, rollout.ProcessUnknown, e.supervisor.Observe(e.now).State, "the answer may be delayed")
	e.run(3 * e.limits.HealthCheckSeconds)
	assert.Equal(t, rollout.ProcessStarting, e.supervisor.Observe(e.now).State, "a router that does not answer does not serve")
	assert.Empty(t, e.beginStep(2, "b"))
}

func TestCrashLoopIsReportedAndEndsRestarts(t *testing.T) {
	e := newServing(t)
	e.badRevisions["a"] = exits
	e.exit()
	e.run(300)
	starts := 0
	for _, a := range e.actions {
		if a == ActionStart {
			starts++
		}
	}
	assert.Equal(t, e.limits.MaxCrashes, starts)
	assert.Equal(t, rollout.ProcessCrashLooping, e.supervisor.state)
	assert.True(t, math.IsInf(e.supervisor.NextTick(), 1))
	e.badRevisions["a"] = ""
	assert.Empty(t, e.beginStep(2, "b"), "a step resets the crash count")
	e.run(3)
	assert.Equal(t, rollout.ProcessReady, e.supervisor.state)
}

func TestStableRouterIsRestartedWithoutGrowingBackoff(t *testing.T) {
	e := newServing(t)
	for range 20 {
		e.run(e.limits.StableSeconds + 1)
		e.exit()
		e.run(2)
		require.Equal(t, rollout.ProcessReady, e.supervisor.state)
		assert.LessOrEqual(t, e.supervisor.Crashes(), 1)
	}
}

func TestHangingRouterIsKilledOnlyAfterItsDrain(t *testing.T) {
	e := newServing(t)
	e.process.ignoresSIGTERM = true
	e.beginStep(2, "b")
	e.run(4.5)
	assert.NotContains(t, e.actions, ActionKill)
	e.run(2)
	assert.Contains(t, e.actions, ActionKill)
	e.run(3)
	assert.Equal(t, rollout.StepSucceeded, e.supervisor.Result)
}

func TestSilentRouterNoLongerCountsAsReady(t *testing.T) {
	e := newServing(t)
	e.badRevisions["a"] = silent
	e.run(15)
	assert.Equal(t, rollout.ProcessStarting, e.supervisor.state)
	assert.True(t, e.process.running, "the agent does not kill it: that is the operator's decision")
	e.badRevisions["a"] = ""
	e.run(2)
	assert.Equal(t, rollout.ProcessReady, e.supervisor.state)
}
