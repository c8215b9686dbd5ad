package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/agent"
)

func TestDrillOfARollout(t *testing.T) {
	t.Parallel()
	s := run(t, t.TempDir(), "drill", "rollout", "--instances", "4", "--kill-agent", "--seed", "1", "--json")
	r := s.last(t)
	assert.Zero(t, s.status, s.err)
	assert.Equal(t, true, r["ok"], s.err)
	assert.EqualValues(t, 0, r["lost"])
	assert.Equal(t, true, r["consistent"])
	assert.EqualValues(t, 4, r["done"])
	assert.GreaterOrEqual(t, r["least_serving"], 3.0)
}

func TestDrillTellsTheFaultThatWasPutIn(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"kill-router", "stray"} {
		s := run(t, t.TempDir(), "drill", "rollout", "--instances", "4", "--break", fault, "--seed", "1", "--json")
		assert.Equal(t, 1, s.status, "%s: %s", fault, s.out)
		assert.Equal(t, false, s.last(t)["ok"])
		assert.NotEmpty(t, s.last(t)["broken"])
	}
	s := run(t, t.TempDir(), "drill", "claims", "--rounds", "100", "--seed", "1", "--break", "forget", "--json")
	assert.Equal(t, 1, s.status)
	assert.Equal(t, false, s.last(t)["ok"])
	s = run(t, t.TempDir(), "drill", "claims", "--rounds", "20", "--seed", "1", "--json")
	assert.Zero(t, s.status)
	s = run(t, t.TempDir(), "drill", "sizes", "--instances", "20,60", "--rounds", "2", "--json")
	assert.Zero(t, s.status, s.err)
	assert.Len(t, s.last(t)["sizes"], 2)
}

func TestInterruptedDrillLeavesNothingBehind(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	cmd := exec.Command(filepath.Join(bin, "stoatctl"), "drill", "rollout", "--instances", "3", "--seed", "1", "--keep", dir)
	require.NoError(t, cmd.Start())
	for late := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		require.True(t, time.Now().Before(late))
		if running, err := agent.RunningRouters(dir); err == nil && len(running) > 1 {
			break
		}
	}
	require.NoError(t, cmd.Process.Signal(os.Interrupt))
	assert.Error(t, cmd.Wait())
	running, err := agent.RunningRouters(dir)
	require.NoError(t, err)
	assert.Empty(t, running)
}
