package service

import (
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/router"
	"stoatdale.example/stoatdale/internal/site"
)

// start is what a router of one command group is started with, with nobody to ask for a list.
func start() Config {
	nobody := netip.MustParseAddrPort("127.0.0.1:1")
	s := Config{Name: "n1", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Discovery: nobody}
	s.Settings.Config = router.Config{CommandGroups: []router.CommandGroup{{Consistency: router.Eventual, LatencyObjective: 1, ClientTimeout: 2}}, BatchInterval: 0.005}
	s.Settings.GroupNames = []string{"look"}
	s.Limits = site.Limits{
		Sizes: site.Sizes{
			BufferBlock: 64,
		},
		Counts: site.Counts{
			BufferBlocks: 10, ListenBacklog: 5, EventsPerTurn: 16, AcceptsPerTurn: 5, ClientConnections: 5,
			BackendConnections: 5,
		},
		Durations: site.Durations{
			SilenceTimeout: 1, MinBackoff: 0.01, MaxBackoff: 1,
		},
	}
	return s
}

func TestEmbeddedRouterCountsAndDrains(t *testing.T) {
	r, err := New(start(), zerolog.Nop())
	require.NoError(t, err)
	ended := make(chan error)
	go func() { ended <- r.Run() }()
	for r.Counters().ListsFailed == 0 {
	}
	assert.Equal(t, []string{"look"}, r.Counters().GroupNames)
	r.Drain()
	r.Drain()
	require.NoError(t, <-ended)
	assert.NotZero(t, r.Counters().ListsFailed, "also after its end")
}

func TestTakenAddressIsToldAtTheStart(t *testing.T) {
	first, err := New(start(), zerolog.Nop())
	require.NoError(t, err)
	s := start()
	s.Listen = first.front.At
	_, err = New(s, zerolog.Nop())
	assert.ErrorContains(t, err, "listening on "+first.front.At.String())
}
