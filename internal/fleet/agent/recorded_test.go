package agent

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/inventory"
	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
	"stoatdale.example/stoatdale/internal/lab/testserver"
)

// Digests of revisions and the lease holder in the recorded store.
const (
	recordedFirst  = "3d2e1823e6ae42b27baac7131e7ab0b5"
	recordedSecond = "afeb5d48ac63e5d333a52389d0cb0966"
	recordedHolder = "ayla/host-1/00ff"
)

// TestAgentContinuesFromRecordedStore starts an agent on a copy of a store that an earlier release wrote in the middle of
// a step, as after a reboot that ended its routers. The agent must complete the step, start the other routers with their
// revisions, honour the lease and accept the next step.
func TestAgentContinuesFromRecordedStore(t *testing.T) {
	t.Parallel()
	harness, names := startOnRecordedStore(t)
	status := harness.waitFor("the end of the pending step", func(instance protocol.InstanceStatus) bool { return instance.LastResult != rollout.StepPending })
	assert.Equal(t, rollout.StepSucceeded, status.LastResult, status.LastFailure)
	assert.Equal(t, recordedSecond, status.Revision)
	assert.Equal(t, rollout.Step{RolloutID: "r-running", Number: 11, Revision: recordedSecond, Restart: true}, status.LastStep)
	for i, name := range names {
		if name == "failed" {
			continue // the router of its revision exits immediately at each start
		}
		harness.waitFor(name+" to be ready", func(protocol.InstanceStatus) bool {
			return ready(harness.call(protocol.Request{Verb: protocol.StatusVerb}).Instances[i])
		})
	}
	now := harness.call(protocol.Request{Verb: protocol.StatusVerb})
	assert.Equal(t, rollout.StepFailed, now.Instances[1].LastResult)
	assert.Equal(t, "6fea0983c1f16ffcf364e43900f86fcb", now.Instances[2].Revision)
	assert.Equal(t, recordedFirst, now.Instances[3].Revision)
	assert.EqualValues(t, 7, now.LeaseState.Epoch)
	assert.Equal(t, recordedHolder, now.LeaseState.Holder)
	assert.True(t, now.LeaseState.Held)
	assert.Equal(t, lease.Version{Epoch: 7, Number: 6}, now.Record.Version)
	assert.Equal(t, protocol.OperatorRequest{RolloutID: "r-running", Run: 6, Action: rollout.RequestPause, Operator: "op"}, now.OperatorRequest)

	refused := harness.call(protocol.Request{Verb: protocol.RequestLeaseVerb, LeaseRequest: lease.Request{Epoch: 7, Holder: "other"}})
	assert.Equal(t, lease.StaleEpoch, refused.Denial, "the lease that was granted stays granted")
	reply := harness.call(protocol.Request{
		Verb: protocol.BeginStepVerb, Epoch: 7, Holder: recordedHolder, InstanceName: "open",
		Step: rollout.Step{RolloutID: "r-running", Number: 12, Revision: recordedFirst, Rollback: true},
	})
	require.Equal(t, lease.Granted, reply.Denial)
	require.Empty(t, reply.Failure)
	status = harness.waitFor("the end of the next step", func(instance protocol.InstanceStatus) bool {
		return instance.LastStep.Number == 12 && instance.LastResult != rollout.StepPending
	})
	assert.Equal(t, rollout.StepSucceeded, status.LastResult, status.LastFailure)
	assert.Equal(t, recordedFirst, status.Revision)
}

// startOnRecordedStore starts an agent on a copy of the recorded store. It returns the names of the instances, which are
// those of the recorded store.
func startOnRecordedStore(t *testing.T) (harness *testHarness, names []string) {
	t.Helper()
	dir := t.TempDir()
	text := fmt.Sprintf(`(name t) (floor 0) (times (ready 5s) (grace 200ms)) (hall h (floor 0))
		(agent a (listen 127.0.0.1:1) (hall h) (folder %q) (program %q))`, dir, os.Args[0])
	names = []string{"open", "failed", "reloaded", "rolled-back"}
	for _, name := range names {
		text += fmt.Sprintf("(instance %s (agent a) (listen %s))", name, testserver.Host()+":5432")
	}
	f, err := inventory.Parse("f", []byte(text))
	require.NoError(t, err)
	raw, err := os.ReadFile(filepath.Join("..", "store", "testdata", "agent.db"))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, storeName), raw, 0o600))
	placeRecordedFiles(t, f)
	harness = &testHarness{t: t, fleet: f, folder: dir, stepNumber: 11}
	t.Cleanup(func() { killRouters(t, dir) })
	harness.start()
	t.Cleanup(func() { harness.stop() })
	return harness, names
}

// placeRecordedFiles writes the routers' configuration files for the revisions in the recorded store.
func placeRecordedFiles(t *testing.T, f *inventory.Fleet) {
	t.Helper()
	s, err := OpenStore(f.Agent("a"))
	require.NoError(t, err)
	defer func() { require.NoError(t, s.Close()) }()
	state, err := s.Load()
	require.NoError(t, err)
	for i := range f.Instances {
		instance := &f.Instances[i]
		rev, found, err := s.Revision(state.Instances[instance.Name].Revision)
		require.NoError(t, err)
		require.True(t, found)
		raw, err := revision.Render(rev.Content, instance.RevisionInstance(), 1)
		require.NoError(t, err)
		folder := filepath.Join(f.Agents[0].Folder, instance.Name)
		require.NoError(t, os.MkdirAll(folder, 0o700))
		require.NoError(t, os.WriteFile(filepath.Join(folder, configName), raw, 0o600))
	}
}

// killRouters kills the routers below a folder until none runs.
func killRouters(t *testing.T, dir string) {
	t.Helper()
	for running := 1; running > 0; {
		var err error
		running, err = KillRouters(dir)
		require.NoError(t, err)
	}
}
