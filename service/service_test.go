package service

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/router"
)

// testConfig returns the configuration of a router with one command group, whose discovery service cannot be reached.
func testConfig() Config {
	unusedAddress := netip.MustParseAddrPort("127.0.0.1:1")
	startConfig := Config{Name: "n1", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Discovery: unusedAddress}
	group := router.CommandGroup{Consistency: router.Eventual, LatencyObjective: 1, ClientTimeout: 2}
	startConfig.Settings.Config = router.Config{CommandGroups: []router.CommandGroup{group}, BatchInterval: 0.005}
	startConfig.Settings.GroupNames = []string{"look"}
	startConfig.Limits = config.Limits{
		Sizes: config.Sizes{BufferBlock: 64},
		Counts: config.Counts{
			BufferBlocks: 10, ListenBacklog: 5, EventsPerTurn: 16, AcceptsPerTurn: 5, ClientConnections: 5,
			BackendConnections: 5,
		},
		Durations: config.Durations{SilenceTimeout: 1, MinBackoff: 0.01, MaxBackoff: 1},
	}
	return startConfig
}

func TestEmbeddedRouterCountsAndDrains(t *testing.T) {
	const hangTimeout = 20 * time.Second // ends a test that hangs
	r, err := New(testConfig(), zerolog.Nop())
	require.NoError(t, err)
	stopped := make(chan error)
	go func() { stopped <- r.Run() }()
	pollFailed := func() bool { return r.Counters().ListCallsFailed > 0 }
	require.Eventually(t, pollFailed, hangTimeout, time.Millisecond)
	assert.Equal(t, []string{"look"}, r.Counters().GroupNames)
	r.Drain()
	r.Drain()
	require.NoError(t, <-stopped)
	assert.NotZero(t, r.Counters().ListCallsFailed, "also after its end")
}

func TestNewFailsOnAnAddressInUse(t *testing.T) {
	first, err := New(testConfig(), zerolog.Nop())
	require.NoError(t, err)
	config := testConfig()
	config.Listen = first.frontend.Address
	_, err = New(config, zerolog.Nop())
	assert.ErrorContains(t, err, "listening on "+first.frontend.Address.String())
}
