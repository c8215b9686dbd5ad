package store

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
	"stoatdale.example/stoatdale/internal/fleet/supervisor"
)

// An agent with format version 1 wrote testdata/agent.db. It ran stand-in routers and ended while one of them drained
// during a step. Agents are upgraded in place, so every later release must read this file and write the same bytes.

// Digests of the revisions in the recorded store.
const (
	firstRevision  = "3d2e1823e6ae42b27baac7131e7ab0b5"
	secondRevision = "afeb5d48ac63e5d333a52389d0cb0966"
	exitsRevision  = "4fa04e389024f6f76dc94e0d98a77191"
	movedRevision  = "6fea0983c1f16ffcf364e43900f86fcb"
)

const deploymentSettings = `"settings":{"balancers":1,"classes":[{"deadlineNs":100000000,"effect":"pure","name":"look","targetNs":50000000,"worth":1},` +
	`{"deadlineNs":100000000,"effect":"side_effect","name":"order","targetNs":50000000,"worth":1}],"discovery":"push",` +
	`"familyInfo":{"classBoundNs":[0,0],"guards":"none","needsByClass":["eventual","mutate"],"tokens":"kept"},` +
	`"invariants":{"fallNs":1000000000,"overloadFactor":2,"rampTimeNs":1000000000,"startCapacity":0.2},` +
	`"limits":{"cancel":true,"connIdleNs":60000000000,"dialTimeoutNs":1000000000,"maxRetryAfterNs":1000000000,"mostTries":4,"probes":false,` +
	`"retryAfter":true},"loadInfo":{"fields":["x0","x1"],"source":"probe"},"tickNs":5000000}`

// content returns the recorded content of a revision with the given values.
func content(discovery string, sockets, drain, exit int) []byte {
	return fmt.Appendf(nil, `{"discovery":%q,"known":{"generation":0,"instances":[],"reset":true},"limits":{"memory_mb":48,"sockets":%d},%s,`+
		`"stand":{"deaf":false,"drain":%d,"exit":%d,"fails":false,"liveFor":0,"ready":0,"silent":false}}`,
		discovery, sockets, deploymentSettings, drain, exit)
}

// recordedRevisions returns the revisions in the recorded store, newest first.
func recordedRevisions() []protocol.Revision {
	return []protocol.Revision{
		{Digest: movedRevision, Name: "moved", PushedBy: "op", PushedAt: 1767323044, Content: content("127.0.0.1:10", 256, 3, 0)},
		{Digest: exitsRevision, Name: "exits", PushedBy: "op", PushedAt: 1767323043, Content: content("127.0.0.1:9", 256, 0, 3)},
		{Digest: secondRevision, Name: "second", PushedBy: "op", PushedAt: 1767323042, Content: content("127.0.0.1:9", 300, 3, 0)},
		{Digest: firstRevision, Name: "first", PushedBy: "op", PushedAt: 1767323041, Content: content("127.0.0.1:9", 256, 3, 0)},
	}
}

// recordedRollouts returns the rollouts in the recorded store, newest first. There is one in each state.
func recordedRollouts() []protocol.Rollout {
	var rollouts []protocol.Rollout
	for i, recorded := range []struct {
		id          string
		state       rollout.State
		rollingBack bool
	}{
		{"r-running", rollout.Running, false},
		{"r-aborted", rollout.Aborted, false},
		{"r-rolled-back", rollout.RolledBack, true},
		{"r-paused", rollout.Paused, false},
		{"r-complete", rollout.Complete, false},
		{"r-none", rollout.None, false},
	} {
		run := uint64(6 - i)
		rollouts = append(rollouts, protocol.Rollout{
			Rollout: rollout.Rollout{
				ID: recorded.id, Revision: secondRevision, Restart: true, RollingBack: recorded.rollingBack, State: recorded.state,
				Reason:             rollout.Reason{Kind: rollout.ReasonZoneMinimum, Instance: 2, Zone: 1, Have: 3, Need: 4, Detail: "detail of why"},
				RollbackCause:      rollout.Reason{Kind: rollout.ReasonStepFailed, Instance: 1, Zone: 6, Have: 7, Need: 8, Detail: "detail of cause"},
				ExcludedInstances:  []int{1, 3},
				CurrentStep:        rollout.Step{RolloutID: recorded.id, Number: 11, Revision: secondRevision, Restart: true},
				CommandsBeforeStep: rollout.CommandCounts{Completed: 1000, Unanswered: 10}, StepsBegun: 11, StepsNotApplied: 2,
			},
			Run: run, RevisionName: "name of " + recorded.id, StartedBy: "ayla", StartedAt: 1767323050 + int64(run), RequestedBy: "mehmet", InstancesDigest: "b279a452f0494508",
		})
	}
	return rollouts
}

// recordedState returns the state in the recorded store.
func recordedState() State {
	return State{
		Lease: lease.PersistentState{
			Epoch: 7, Holder: "ayla/host-1/00ff", Held: true,
			Record: lease.Record{Version: lease.Version{Epoch: 7, Number: 6}, Body: protocol.Encode(recordedRollouts()[0])},
		},
		OperatorRequest: protocol.OperatorRequest{RolloutID: "r-running", Run: 6, Action: rollout.RequestPause, Operator: "op"},
		Instances: map[string]supervisor.Record{
			"open": {
				ShouldRun: true, Revision: firstRevision, Incarnation: 1, PreviousRevision: firstRevision, MayHaveChanged: true, DrainSeconds: 1.7,
				Step:   rollout.Step{RolloutID: "r-running", Number: 11, Revision: secondRevision, Restart: true},
				Result: rollout.StepPending,
			},
			"failed": {
				ShouldRun: true, Revision: exitsRevision, Incarnation: 2, PreviousRevision: firstRevision, MayHaveChanged: true, Replaced: true, DrainSeconds: 1.7,
				Step:   rollout.Step{RolloutID: "r-aborted", Number: 8, Instance: 1, Revision: exitsRevision, Restart: true},
				Result: rollout.StepFailed, Failure: "it ended before it was ready: it ended with status 3: stand-in: told to end",
			},
			"reloaded": {
				ShouldRun: true, Revision: movedRevision, Incarnation: 1, PreviousRevision: firstRevision, MayHaveChanged: true, Reload: true, DrainSeconds: 1.7,
				Step:   rollout.Step{RolloutID: "r-paused", Number: 5, Instance: 2, Revision: movedRevision},
				Result: rollout.StepSucceeded,
			},
			"rolled-back": {
				ShouldRun: true, Revision: firstRevision, Incarnation: 3, PreviousRevision: firstRevision, MayHaveChanged: true, Replaced: true, DrainSeconds: 1.7,
				Step:   rollout.Step{RolloutID: "r-rolled-back", Number: 7, Instance: 3, Revision: firstRevision, Rollback: true, Restart: true},
				Result: rollout.StepSucceeded,
			},
		},
	}
}

// openRecorded opens a copy of the recorded store.
func openRecorded(t *testing.T) *Store {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "agent.db"))
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "agent.db")
	require.NoError(t, os.WriteFile(path, raw, 0o600))
	store, err := Open(path)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, store.Close()) })
	return store
}

func TestRecordedStoreIsRead(t *testing.T) {
	store := openRecorded(t)
	state, err := store.Load()
	require.NoError(t, err)
	assert.Equal(t, recordedState(), state)
	listed, err := store.Revisions()
	require.NoError(t, err)
	require.Len(t, listed, len(recordedRevisions()))
	for i, want := range recordedRevisions() {
		got, found, err := store.Revision(want.Digest)
		require.NoError(t, err)
		assert.True(t, found)
		assert.Equal(t, want, got)
		want.Content = nil
		assert.Equal(t, want, listed[i])
	}
	rollouts, err := store.Rollouts()
	require.NoError(t, err)
	assert.Equal(t, recordedRollouts(), rollouts)
	var body protocol.Rollout
	require.NoError(t, protocol.Decode("record", state.Lease.Record.Body, &body))
	assert.Equal(t, recordedRollouts()[0], body)
}

// TestRecordedStoreIsWrittenTheSame checks that this program writes the recorded records byte for byte, so that an older
// agent can read them.
func TestRecordedStoreIsWrittenTheSame(t *testing.T) {
	recorded := openRecorded(t)
	written, err := Open(filepath.Join(t.TempDir(), "agent.db"))
	require.NoError(t, err)
	defer func() { assert.NoError(t, written.Close()) }()
	state := recordedState()
	require.NoError(t, written.Save(Change{Lease: &state.Lease, OperatorRequest: &state.OperatorRequest, Instances: state.Instances}))
	for _, r := range recordedRevisions() {
		require.NoError(t, written.Save(Change{Revision: &r}))
	}
	for _, r := range recordedRollouts() {
		require.NoError(t, written.Save(Change{Rollout: &r}))
	}
	want := records(t, recorded)
	assert.Len(t, want, 3+4+4+6, "the format, lease and operator request; instances; revisions; rollouts")
	assert.Equal(t, want, records(t, written))
}

// records returns the raw records of a store. The keys of the map consist of bucket and key.
func records(t *testing.T, s *Store) map[string][]byte {
	t.Helper()
	raw := map[string][]byte{}
	require.NoError(t, s.db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				raw[string(bucket)+"/"+string(k)] = bytes.Clone(v)
				return nil
			})
		})
	}))
	return raw
}
