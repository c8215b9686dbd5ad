package config

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLimitsHaveDefaults(t *testing.T) {
	config, err := load(t, strings.Replace(configText, `"memory_mb":100,"sockets":600`, "", 1), nil)
	require.NoError(t, err)
	assert.Equal(t, int64(defaultMemoryMB)<<20, config.Limits.Sizes.Memory)
	assert.Equal(t, defaultSockets, config.Limits.Counts.Sockets)
}

// withDrainGrace returns configText with the given drain grace, in seconds.
func withDrainGrace(seconds float64) string {
	grace := fmt.Sprintf(`"stopSendingWithinNs":%g,"overloadFactor"`, seconds*1e9)
	return strings.Replace(configText, `"overloadFactor"`, grace, 1)
}

// When the discovery service returns after a silence, a call or a backoff may be in progress. Under any settings, both have
// to end well within the drain grace, in which the router must act on the service's list. A connection that was being opened
// when its backend started draining has to end within the grace too.
func TestDiscoveryAndConnectTimeoutsFitTheDrainGrace(t *testing.T) {
	for _, grace := range []float64{0.05, 0.25, 0.5, 1, 2, 30} {
		config, err := load(t, withDrainGrace(grace), nil)
		require.NoError(t, err)
		durations := config.Limits.Durations
		assert.LessOrEqual(t, durations.SilenceTimeout+durations.MaxBackoff, grace/2, "grace %g", grace)
		assert.LessOrEqual(t, durations.ConnectTimeout, grace, "grace %g", grace)
		assert.LessOrEqual(t, durations.SilenceTimeout, 1.0)
		assert.LessOrEqual(t, durations.MinBackoff, durations.MaxBackoff)
	}
}

func TestSilenceTimeoutWithoutADrainGrace(t *testing.T) {
	config, err := load(t, configText, nil)
	require.NoError(t, err)
	assert.InDelta(t, 1.0, config.Limits.Durations.SilenceTimeout, 0)
}

func TestPolledListIsHeardInTimeAfterASilentAndARefusedCall(t *testing.T) {
	polled := strings.Replace(withDrainGrace(0.25), `"discovery":"push"`, `"discovery":"ask"`, 1)
	config, err := load(t, polled, nil)
	require.NoError(t, err)
	require.True(t, config.Settings.PollList)
	durations := config.Limits.Durations
	assert.InDelta(t, 1.0, durations.SilenceTimeout, 0, "an overloaded discovery service replies late")
	// The first call gets no reply and fails. The second follows after at most 1/16 of the poll window and is refused. The
	// third follows after at most 1/8 of the poll window and waits in the service's queue for as long as a call may be silent.
	// The router counts as notified of the missed changes 6 s after the silence began, or 2 s after the hold if that is later.
	const pollWindow = 10.0
	notified := math.Max(6, durations.LongPollHold+2)
	silent := durations.LongPollHold + durations.SilenceTimeout
	assert.Less(t, silent+pollWindow/16+pollWindow/8+durations.SilenceTimeout, notified)
	// If the third call is refused too, the fourth is in time if the backoffs have their mean length, 3/4 of the longest.
	assert.Less(t, silent+0.75*(pollWindow/16+pollWindow/8+pollWindow/4), notified)
}

// A held call that falls silent is given more time if replies were late before. All the same, the next call has to be answered
// as late as that by the time at which the router counts as notified, and the drain grace after it.
func TestSilentCallOfASlowServiceIsReplacedInTime(t *testing.T) {
	const pollWindow = 10.0
	for _, polled := range []bool{false, true} {
		for _, grace := range []float64{0.25, 0.5, 1, 2, 30} {
			text := withDrainGrace(grace)
			if polled {
				text = strings.Replace(text, `"discovery":"push"`, `"discovery":"ask"`, 1)
			}
			config, err := load(t, text, nil)
			require.NoError(t, err)
			durations := config.Limits.Durations
			backoff := durations.MinBackoff
			if polled {
				backoff = pollWindow / 16
			}
			answered := durations.LongPollHold + durations.SilenceTimeout + 2*durations.MaxReplyDelay + backoff
			notified := math.Max(6, durations.LongPollHold+2)
			assert.LessOrEqual(t, answered, notified+grace, "grace %g, polled: %v", grace, polled)
		}
	}
}

func TestNegativeDrainGraceIsAnError(t *testing.T) {
	_, err := load(t, withDrainGrace(-1e-9), nil)
	assert.ErrorContains(t, err, "invariants.stopSendingWithinNs")
}

// Guards against bounds that exceed the memory together: the Go runtime collects garbage as its memory nears three quarters of
// the limit, and what is bounded has to stay under that.
func TestBoundsOfBytesFitIntoTheMemory(t *testing.T) {
	const sockets, runtimeDivisor = 1024, 4
	for _, memoryMB := range []int{32, 48, 64, 128, 192} {
		limits := newLimits(memoryMB, sockets, &Settings{})
		blocks := limits.Counts.BufferBlocks + limits.Counts.BufferBlocks/2 // those at which the pool is exhausted
		blocks += limits.Counts.ClientConnections                           // one is read from each client all the same
		bytes := int64(blocks*limits.Sizes.BufferBlock + limits.Sizes.DiscoveryReply)
		assert.Less(t, bytes, limits.Sizes.Memory-limits.Sizes.Memory/runtimeDivisor, "%d MB", memoryMB)
	}
}
