package supervisor

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
	_ "stoatdale.example/stoatdale/internal/lab/fixed"
)

// TestNoOrderOfEventsStartsTwoProcessesOrLeavesAStepPending draws random orders of steps, router crashes, agent restarts
// and store failures.
func TestNoOrderOfEventsStartsTwoProcessesOrLeavesAStepPending(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		env := newEnvironment(t)
		env.badRevisions["x"], env.badRevisions["y"], env.badRevisions["z"] = refused, exits, silent
		number := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				number++
				revision := rapid.SampledFrom([]string{"a", "b", "r", "x", "y", "z"}).Draw(t, "revision")
				env.beginStep(number, revision)
			case 2:
				env.exit()
			case 3:
				env.restartAgent()
			case 4:
				env.storeFails = !env.storeFails
			case 5:
				env.process.ignoresSIGTERM = !env.process.ignoresSIGTERM
			}
			env.run(rapid.Float64Range(0, 3).Draw(t, "passes"))
		}
		env.storeFails = false
		env.run(60)
		if env.supervisor.Step.Number == 0 {
			return
		}
		assert.NotEqual(t, rollout.StepPending, env.supervisor.Result)
		if env.supervisor.Result == rollout.StepSucceeded && env.supervisor.state == rollout.ProcessReady {
			assert.Equal(t, env.supervisor.Revision, env.process.revision)
		}
		if env.supervisor.state == rollout.ProcessReady {
			assert.True(t, env.process.running)
			assert.Equal(t, env.supervisor.Incarnation, env.process.incarnation)
		}
	})
}
