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

var updateDecisions = flag.Bool("update-decisions", false, "record testdata/decisions.txt afresh")

const (
	simulationCount = 160  // seeds with a draw of settings each
	simulationCalls = 8000 // calls of each, at which it ends
	floodCalls      = 400_000
)

// TestDecisionsAreAsRecorded replays simulated fleets, each drawn from a seed, and compares a digest of every
// thousand calls to the module and of its answers with the ones on record. A change that means to keep the
// behaviour keeps every digest: results of floating point must stay equal to the last bit. After a change of
// behaviour that is wanted, record afresh with -update-decisions.
func TestDecisionsAreAsRecorded(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("recorded on amd64; compilers for others may fuse a multiplication with an addition, which rounds otherwise")
	}
	var lines []string
	for seed := range uint64(simulationCount) {
		lines = append(lines, simulate(seed, simulationCalls)...)
	}
	lines = append(lines, simulate(floodSeed, floodCalls)...)
	path := filepath.Join("testdata", "decisions.txt")
	if *updateDecisions {
		require.NoError(t, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644))
	}
	recorded, err := os.ReadFile(path)
	require.NoError(t, err)
	want := strings.Split(strings.TrimSpace(string(recorded)), "\n")
	require.Len(t, lines, len(want))
	for i, line := range lines {
		if !assert.Equal(t, want[i], line, "the first thousand calls that differ; what follows differs by them") {
			return
		}
	}
}

// Two runs of one seed give the same digests; a run of another gives others.
func TestSimulationsFollowTheirSeed(t *testing.T) {
	first := simulate(1, callsPerDigest)
	assert.Equal(t, first, simulate(1, callsPerDigest))
	assert.NotEqual(t, first, simulate(2, callsPerDigest))
}
