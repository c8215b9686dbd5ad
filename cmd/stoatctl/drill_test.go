package main

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/agent"
)

func TestRolloutDrillSurvivesAKilledAgent(t *testing.T) {
	t.Parallel()
	got := run(t, t.TempDir(), "drill", "rollout", "--instances", "4", "--kill-agent", "--seed", "1", "--json")
	report := got.lastJSON(t)
	assert.Zero(t, got.exitCode, got.stderr)
	assert.Equal(t, true, report["ok"], got.stderr)
	assert.EqualValues(t, 0, report["lost"])
	assert.Equal(t, true, report["consistent"])
	assert.EqualValues(t, 4, report["done"])
	assert.GreaterOrEqual(t, report["least_serving"], 3.0)
}

func TestDrillsFindInjectedFaults(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"kill-router", "stray"} {
		got := run(t, t.TempDir(), "drill", "rollout", "--instances", "4", "--break", fault, "--seed", "1", "--json")
		assert.Equal(t, 1, got.exitCode, "%s: %s", fault, got.stdout)
		assert.Equal(t, false, got.lastJSON(t)["ok"])
		assert.NotEmpty(t, got.lastJSON(t)["broken"])
	}
	got := run(t, t.TempDir(), "drill", "claims", "--rounds", "100", "--seed", "1", "--break", "forget", "--json")
	assert.Equal(t, 1, got.exitCode)
	assert.Equal(t, false, got.lastJSON(t)["ok"])
	got = run(t, t.TempDir(), "drill", "claims", "--rounds", "20", "--seed", "1", "--json")
	assert.Zero(t, got.exitCode)
	got = run(t, t.TempDir(), "drill", "sizes", "--instances", "20,60", "--rounds", "2", "--json")
	assert.Zero(t, got.exitCode, got.stderr)
	assert.Len(t, got.lastJSON(t)["sizes"], 2)
}

func TestInterruptedDrillLeavesNoRouterRunning(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	cmd := exec.Command(stoatctl(), "drill", "rollout", "--instances", "3", "--seed", "1", "--keep", dir)
	require.NoError(t, cmd.Start())
	waitFor(t, 20*time.Millisecond, func() bool {
		running, err := agent.RunningRouters(dir)
		return err == nil && len(running) > 1
	}, "routers do not come up")
	require.NoError(t, cmd.Process.Signal(os.Interrupt))
	require.Error(t, cmd.Wait())
	running, err := agent.RunningRouters(dir)
	require.NoError(t, err)
	assert.Empty(t, running)
}
