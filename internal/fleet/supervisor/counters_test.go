package supervisor

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

func TestCommandCountsCoverTheWindowAndTheTimeSinceTheStep(t *testing.T) {
	env := newServing(t)
	supervisor := &env.supervisor
	for i := range 30 {
		supervisor.CountersRead(float64(i), rollout.CommandCounts{Completed: uint64(10 * i), Unanswered: uint64(i)})
	}
	observation := supervisor.Observe(29)
	assert.Equal(t, rollout.CommandCounts{Completed: 100, Unanswered: 10}, observation.RecentCommands)
	assert.Equal(t, rollout.CommandCounts{Completed: 290, Unanswered: 29}, observation.CommandsSinceStep)
	assert.Equal(t, rollout.CommandCounts{Completed: 3}, countsSince(rollout.CommandCounts{Completed: 3}, rollout.CommandCounts{Completed: 9}), "the counters of a new process start at zero")
}
