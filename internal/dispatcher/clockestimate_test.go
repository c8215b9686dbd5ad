package dispatcher

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// primaryReading returns a reading from an answer of a primary. answeredAt is a Unix time, halfway between sending the
// attempt and receiving the answer.
func primaryReading(answeredAt, receivedAt float64) clockReading {
	return newClockReading(answeredAt, receivedAt-0.04, receivedAt, true)
}

func TestClockIsSetByReadingsThatAgree(t *testing.T) {
	const clock, truth = 1000.0, 1003600.0 // Unix times at loop time 0: by the wall clock, and in fact
	var estimate clockEstimate
	for _, now := range []float64{1, 1.03} {
		_, certain := estimate.add(clock, primaryReading(truth+now-0.02, now))
		assert.False(t, certain, "the readings are not far enough apart")
		assert.True(t, estimate.inDoubt())
	}
	corrected, certain := estimate.add(clock, primaryReading(truth+1.3-0.02, 1.3))
	assert.True(t, certain)
	assert.InDelta(t, truth+0.02, corrected, 1e-6, "the latest value that all readings allow")
	assert.False(t, estimate.inDoubt())
}

// A primary that is cut off keeps answering with the same position. Each of its answers gives other bounds for the clock,
// so that they never agree on a correction.
func TestPrimaryWithAStalePositionDoesNotCorrectTheClock(t *testing.T) {
	var estimate clockEstimate
	for now := 1.0; now < 5; now += 0.15 {
		_, certain := estimate.add(1000, primaryReading(1000.5, now))
		assert.False(t, certain)
	}
	estimate.add(1000, primaryReading(1005.98, 6))
	assert.False(t, estimate.inDoubt(), "an answer that agrees with the clock ends the doubt")
}

// A replica's position is only a lower bound for the time: it can show that the clock is behind, but not that it is ahead.
func TestReplicaCorrectsOnlyAClockThatIsBehind(t *testing.T) {
	var estimate clockEstimate
	estimate.add(1000, newClockReading(995, 0.96, 1, false))
	assert.False(t, estimate.inDoubt())
	estimate.add(1000, newClockReading(1001.9, 0.96, 1, false))
	assert.True(t, estimate.inDoubt())
	corrected, certain := estimate.add(1000, newClockReading(1002.1, 1.16, 1.2, false))
	assert.True(t, certain)
	assert.InDelta(t, 1000.9, corrected, 1e-6)
}
