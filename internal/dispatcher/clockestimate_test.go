package dispatcher

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// readingOf is of a primary that answered at a Unix time, half of the way between sending and receiving.
func readingOf(answeredAt, receivedAt float64) clockReading {
	return newClockReading(answeredAt, receivedAt-0.04, receivedAt, true)
}

func TestClockIsSetByReadingsThatAgree(t *testing.T) {
	const clock, truth = 1000.0, 1003600.0 // Unix times at which the loop's clock read 0
	var e clockEstimate
	for _, now := range []float64{1, 1.03} {
		_, certain := e.add(clock, readingOf(truth+now-0.02, now))
		assert.False(t, certain, "not far enough apart")
		assert.True(t, e.inDoubt())
	}
	corrected, certain := e.add(clock, readingOf(truth+1.3-0.02, 1.3))
	assert.True(t, certain)
	assert.InDelta(t, truth+0.02, corrected, 1e-6, "the latest that all of them allow")
	assert.False(t, e.inDoubt())
}

// A primary that is cut off answers with the position at which it stopped: each answer allows another time.
func TestPrimaryThatStandsStillDoesNotSetTheClock(t *testing.T) {
	var e clockEstimate
	for now := 1.0; now < 5; now += 0.15 {
		_, certain := e.add(1000, readingOf(1000.5, now))
		assert.False(t, certain)
	}
	e.add(1000, readingOf(1005.98, 6))
	assert.False(t, e.inDoubt(), "another one agrees with the clock")
}

// A replica's position bounds the time on one side: it tells of a clock that is behind, and nothing of one that is ahead.
func TestReplicaTellsOnlyOfAClockThatIsBehind(t *testing.T) {
	var e clockEstimate
	e.add(1000, newClockReading(995, 0.96, 1, false))
	assert.False(t, e.inDoubt())
	e.add(1000, newClockReading(1001.9, 0.96, 1, false))
	assert.True(t, e.inDoubt())
	corrected, certain := e.add(1000, newClockReading(1002.1, 1.16, 1.2, false))
	assert.True(t, certain)
	assert.InDelta(t, 1000.9, corrected, 1e-6)
}
