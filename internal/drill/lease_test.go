package drill

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestLeaseHoldsOnAFaultyNetwork checks that the lease drill finds no violation, that its rounds have enough events to find one,
// and that the same seed gives the same rounds.
func TestLeaseHoldsOnAFaultyNetwork(t *testing.T) {
	r := RunLease(context.Background(), LeaseOptions{Operators: 2, Rounds: 60, Seed: 1})
	assert.True(t, r.OK, r.Violation)
	assert.Greater(t, r.StepsBegun, 100)
	assert.Greater(t, r.LeasesAcquired, 60)
	assert.Greater(t, r.Crashes, 20)
	assert.Positive(t, r.RolloutsEnded)
	assert.Zero(t, r.HistoriesUnchecked)
	again := RunLease(context.Background(), LeaseOptions{Operators: 2, Rounds: 60, Seed: 1})
	again.Seconds = r.Seconds
	assert.Equal(t, r, again, "the same seed gives the same rounds")
}

// TestLeaseFaultsAreFound checks that the lease drill detects each injected fault and reports the seed.
func TestLeaseFaultsAreFound(t *testing.T) {
	for fault := range LeaseFaults {
		r := RunLease(context.Background(), LeaseOptions{Operators: 3, Rounds: 400, Seed: 1, Fault: fault})
		assert.False(t, r.OK, fault)
		assert.Contains(t, r.Violation, "seed 1", fault)
	}
}
