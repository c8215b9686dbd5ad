package drill

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestClaimsHoldOnABadNetwork(t *testing.T) {
	r := RunClaims(context.Background(), Claims{Operators: 2, Rounds: 60, Seed: 1})
	assert.True(t, r.OK, r.Broken)
	assert.Greater(t, r.Steps, 100)
	assert.Greater(t, r.Claims, 60)
	assert.Greater(t, r.Deaths, 20)
	assert.Positive(t, r.Ended)
	assert.Zero(t, r.Unchecked)
	again := RunClaims(context.Background(), Claims{Operators: 2, Rounds: 60, Seed: 1})
	again.Seconds = r.Seconds
	assert.Equal(t, r, again, "one seed replays the whole")
}

func TestClaimFaultsAreTold(t *testing.T) {
	for fault := range ClaimFaults {
		r := RunClaims(context.Background(), Claims{Operators: 3, Rounds: 400, Seed: 1, Break: fault})
		assert.False(t, r.OK, fault)
		assert.Contains(t, r.Broken, "seed 1", fault)
	}
}
