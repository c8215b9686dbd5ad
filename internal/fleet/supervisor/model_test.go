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
		e := newEnvironment(t)
		e.badRevisions["x"], e.badRevisions["y"], e.badRevisions["z"] = refused, exits, silent
		number := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				number++
				revision := rapid.SampledFrom([]string{"a", "b", "r", "x", "y", "z"}).Draw(t, "revision")
				e.beginStep(number, revision)
			case 2:
				e.exit()
			case 3:
				e.restartAgent()
			case 4:
				e.storeFails = !e.storeFails
			case 5:
				e.process.ignoresSIGTERM = !e.process.ignoresSIGTERM
			}
			e.run(rapid.Float64Range(0, 3).Draw(t, "passes"))
		}
		e.storeFails = false
		e.run(60)
		if e.supervisor.Step.Number == 0 {
			return
		}
		assert.NotEqual(t, rollout.StepPending, e.supervisor.Result)
		if e.supervisor.Result == rollout.StepSucceeded && e.supervisor.state == rollout.ProcessReady {
			assert.Equal(t, e.supervisor.Revision, e.process.file)
		}
		if e.supervisor.state == rollout.ProcessReady {
			assert.True(t, e.process.running)
			assert.Equal(t, e.supervisor.Incarnation, e.process.incarnation)
		}
	})
}
