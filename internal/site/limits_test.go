package site

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLimitsHaveDefaults(t *testing.T) {
	s, err := load(t, strings.Replace(configText, `"memory_mb":100,"sockets":600`, "", 1), nil)
	require.NoError(t, err)
	assert.Equal(t, int64(defaultMemoryMB)<<20, s.Limits.Sizes.Memory)
	assert.Equal(t, defaultSockets, s.Limits.Counts.Sockets)
}

// Whatever call or pause discovery's return meets is over well before what it has binds, under any settings; so is a
// connection that was begun when a member was told to drain.
func TestTimesOfTheListAndOfDialsFitTheGrace(t *testing.T) {
	for _, grace := range []float64{0.05, 0.25, 0.5, 1, 2, 30} {
		s, err := load(t, strings.Replace(configText, `"overloadFactor"`, fmt.Sprintf(`"stopSendingWithinNs":%g,"overloadFactor"`, grace*1e9), 1), nil)
		require.NoError(t, err)
		l := s.Limits
		assert.LessOrEqual(t, l.Durations.SilenceTimeout+l.Durations.MaxBackoff, grace/2, "grace %g", grace)
		assert.LessOrEqual(t, l.Durations.ConnectTimeout, grace, "grace %g", grace)
		assert.LessOrEqual(t, l.Durations.SilenceTimeout, 1.0)
		assert.LessOrEqual(t, l.Durations.MinBackoff, l.Durations.MaxBackoff)
	}
	s, err := load(t, configText, nil)
	require.NoError(t, err, "not told")
	assert.InDelta(t, 1.0, s.Limits.Durations.SilenceTimeout, 0)
	asked := strings.Replace(configText, `"overloadFactor"`, `"stopSendingWithinNs":250000000,"overloadFactor"`, 1)
	s, err = load(t, strings.Replace(asked, `"discovery":"push"`, `"discovery":"ask"`, 1), nil)
	require.NoError(t, err)
	require.True(t, s.Settings.PollList)
	assert.InDelta(t, 1.0, s.Limits.Durations.SilenceTimeout, 0, "a crowded registry answers late")
	// A call that fell silent as it was made is given up, and asked again after a sixteenth of the asking rule's span at
	// the most; that is refused, and asked again after an eighth. What was missed counts as told six seconds after the
	// silence began, or two past the hold if later.
	const asks = 10.0
	told := math.Max(6, s.Limits.Durations.LongPollHold+2)
	assert.Less(t, s.Limits.Durations.LongPollHold+s.Limits.Durations.SilenceTimeout+asks/16+asks/8, told)
	_, err = load(t, strings.Replace(configText, `"overloadFactor"`, `"stopSendingWithinNs":-1,"overloadFactor"`, 1), nil)
	assert.ErrorContains(t, err, "invariants.stopSendingWithinNs")
}
