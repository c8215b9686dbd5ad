package inflight_test

import (
	"flag"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var updateDecisions = flag.Bool("update-decisions", false, "record testdata/decisions.txt again")

const (
	simulatedSeeds     = 160     // number of seeds; each draws settings of its own
	callsPerSimulation = 8000    // calls after which a simulation ends
	callsOfFlood       = 400_000 // calls after which the flood ends
)

// TestDecisionsAreAsRecorded simulates fleets, each drawn from a seed, and compares a digest of every thousand calls
// and their results with the recorded digest. A change that is meant to keep the router's behaviour must keep every
// digest: floating-point results must stay equal to the last bit. After an intended change of behaviour, record the
// digests again with -update-decisions.
func TestDecisionsAreAsRecorded(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("recorded on amd64; compilers for other architectures may fuse multiplication and addition, which rounds differently")
	}
	var lines []string
	for seed := range uint64(simulatedSeeds) {
		lines = append(lines, simulate(seed, callsPerSimulation)...)
	}
	lines = append(lines, simulate(floodSeed, callsOfFlood)...)
	path := filepath.Join("testdata", "decisions.txt")
	if *updateDecisions {
		require.NoError(t, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644))
	}
	recorded, err := os.ReadFile(path)
	require.NoError(t, err)
	want := strings.Split(strings.TrimSpace(string(recorded)), "\n")
	require.Len(t, lines, len(want))
	for i, line := range lines {
		if !assert.Equal(t, want[i], line, "first thousand calls that differ; later ones differ as a result") {
			return
		}
	}
}

// Two simulations with the same seed give the same digests, and one with another seed gives different digests.
func TestSimulationsFollowTheirSeed(t *testing.T) {
	first := simulate(1, callsPerDigest)
	assert.Equal(t, first, simulate(1, callsPerDigest))
	assert.NotEqual(t, first, simulate(2, callsPerDigest))
}
