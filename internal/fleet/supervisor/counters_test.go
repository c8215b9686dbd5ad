package supervisor

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

func TestCommandCountsCoverTheWindowAndTheTimeSinceTheStep(t *testing.T) {
	e := newServing(t)
	x := &e.supervisor
	for i := range 30 {
		x.CountersRead(float64(i), rollout.CommandCounts{Completed: uint64(10 * i), Unanswered: uint64(i)})
	}
	s := x.Observe(29)
	assert.Equal(t, rollout.CommandCounts{Completed: 100, Unanswered: 10}, s.RecentCommands)
	assert.Equal(t, rollout.CommandCounts{Completed: 290, Unanswered: 29}, s.CommandsSinceStep)
	assert.Equal(t, rollout.CommandCounts{Completed: 3}, countsSince(rollout.CommandCounts{Completed: 3}, rollout.CommandCounts{Completed: 9}), "a new process")
}
