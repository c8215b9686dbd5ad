package store

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
	"stoatdale.example/stoatdale/internal/fleet/supervisor"
)

// writerVariable is an environment variable with the path of a store. If it is set, the test binary writes to that store
// until it is killed.
const writerVariable = "STORE_WRITER"

func TestMain(m *testing.M) {
	if path := os.Getenv(writerVariable); path != "" {
		writeForever(path)
	}
	os.Exit(m.Run())
}

// writeForever saves numbered changes and prints the number of each change after saving it. Every printed change must
// later be found in the store.
func writeForever(path string) {
	store, err := Open(path)
	if err != nil {
		panic(err)
	}
	state, err := store.Load()
	if err != nil {
		panic(err)
	}
	for n := state.Lease.Epoch + 1; ; n++ {
		if err := store.Save(numberedChange(n)); err != nil {
			panic(err)
		}
		fmt.Println(n)
	}
}

// numberedChange returns a change that writes the number n into the lease and into an instance.
func numberedChange(n uint64) Change {
	return Change{
		Lease:     &lease.PersistentState{Epoch: n, Holder: strings.Repeat("h", int(n%50)*100)},
		Instances: map[string]supervisor.Record{"n1": {Incarnation: n, Step: rollout.Step{Number: n}}},
	}
}

func TestSavedStateIsLoaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "sub", "store.db")
	store, err := Open(path)
	require.NoError(t, err)
	require.NoError(t, store.Save(numberedChange(7)))
	require.NoError(t, store.Save(Change{OperatorRequest: &protocol.OperatorRequest{RolloutID: "r", Action: rollout.RequestPause}}))
	_, err = Open(path)
	require.ErrorIs(t, err, ErrInUse)
	require.ErrorContains(t, err, path+" is open in another agent")
	require.NoError(t, store.Close())
	store, err = Open(path)
	require.NoError(t, err)
	state, err := store.Load()
	require.NoError(t, err)
	assert.Equal(t, *numberedChange(7).Lease, state.Lease)
	assert.Equal(t, numberedChange(7).Instances, state.Instances)
	assert.Equal(t, rollout.RequestPause, state.OperatorRequest.Action)
	require.NoError(t, store.Close())
}

func TestHistoryIsBoundedAndKeepsRevisionsInUse(t *testing.T) {
	store, err := Open(filepath.Join(t.TempDir(), "store.db"))
	require.NoError(t, err)
	defer func() { _ = store.Close() }()
	require.NoError(t, store.Save(Change{Instances: map[string]supervisor.Record{"n1": {Revision: "d0", PreviousRevision: "d1"}}}))
	for i := range MaxHistory + 20 {
		require.NoError(t, store.Save(Change{
			Revision: &protocol.Revision{Digest: fmt.Sprint("d", i), PushedAt: int64(i), Content: []byte("x")},
			Rollout:  &protocol.Rollout{Rollout: rollout.Rollout{ID: fmt.Sprint("r", i)}, StartedAt: int64(i)},
		}))
	}
	for digest, kept := range map[string]bool{"d0": true, "d1": true, "d2": false, "d119": true} {
		_, found, err := store.Revision(digest)
		require.NoError(t, err)
		assert.Equal(t, kept, found, digest)
	}
	list, err := store.Revisions()
	require.NoError(t, err)
	assert.Equal(t, "d119", list[0].Digest)
	assert.Nil(t, list[0].Content)
	rollouts, err := store.Rollouts()
	require.NoError(t, err)
	assert.Len(t, rollouts, MaxHistory)
	assert.Equal(t, "r119", rollouts[0].ID)
}

func TestCorruptAndForeignStoresAreRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store.db")
	store, err := Open(path)
	require.NoError(t, err)
	require.NoError(t, store.Save(numberedChange(1)))
	require.NoError(t, store.db.Update(func(tx *bbolt.Tx) error {
		raw := append([]byte{}, tx.Bucket(instancesBucket).Get([]byte("n1"))...)
		raw[len(raw)-1] ^= 1
		return tx.Bucket(instancesBucket).Put([]byte("n1"), raw)
	}))
	_, err = store.Load()
	var corrupt *CorruptRecordError
	require.ErrorAs(t, err, &corrupt)
	assert.Equal(t, CorruptRecordError{Bucket: "instances", Key: "n1"}, *corrupt)
	require.ErrorContains(t, err, "record instances/n1 is corrupt")
	require.NoError(t, store.db.Update(func(tx *bbolt.Tx) error { return putRecord(tx, metaBucket, formatKey, 99) }))
	require.NoError(t, store.Close())
	_, err = Open(path)
	var foreign *FormatError
	require.ErrorAs(t, err, &foreign)
	assert.Equal(t, 99, foreign.Found)
	require.ErrorContains(t, err, "format 99, but this program reads only format 1")
	require.NoError(t, os.WriteFile(path, []byte(strings.Repeat("no store ", 2000)), 0o600))
	_, err = Open(path)
	assert.ErrorContains(t, err, path)
}

// TestKilledWriterLosesNoAcknowledgedChange kills a writing process at arbitrary points. Afterwards the store must hold
// every acknowledged change, and each change completely or not at all.
func TestKilledWriterLosesNoAcknowledgedChange(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store.db")
	for round := range 40 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), writerVariable+"="+path)
		stdout, err := cmd.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, cmd.Start())
		acknowledged := uint64(0)
		lines := bufio.NewScanner(stdout)
		for n := 0; n <= round%7 && lines.Scan(); n++ {
			acknowledged, err = strconv.ParseUint(lines.Text(), 10, 64)
			require.NoError(t, err, lines.Text())
		}
		require.NoError(t, cmd.Process.Kill())
		for lines.Scan() {
			acknowledged, _ = strconv.ParseUint(lines.Text(), 10, 64)
		}
		_ = cmd.Wait()
		store, err := Open(path)
		require.NoError(t, err)
		state, err := store.Load()
		require.NoError(t, err)
		assert.GreaterOrEqual(t, state.Lease.Epoch, acknowledged)
		assert.Equal(t, *numberedChange(state.Lease.Epoch).Lease, state.Lease)
		assert.Equal(t, numberedChange(state.Lease.Epoch).Instances, state.Instances, "a change is stored completely or not at all")
		require.NoError(t, store.Close())
	}
}

// failSyncs makes every later transaction of store fail after its pages were written, as a failed sync of the disk does. By
// then the pages are in the system's cache, where this process and the next one read them.
func failSyncs(store *Store) {
	store.update = func(run func(*bbolt.Tx) error) error {
		if err := store.db.Update(run); err != nil {
			return err
		}
		return unix.EIO
	}
}

// Save returns an error for a change whose sync failed. Neither this process nor the next one may read that change,
// whether the disk recovers or not.
func TestChangeWhoseSyncFailedHasNotHappened(t *testing.T) {
	for name, recovers := range map[string]bool{"the disk stays broken": false, "the disk recovers": true} {
		path := filepath.Join(t.TempDir(), "store.db")
		store, err := Open(path)
		require.NoError(t, err)
		require.NoError(t, store.Save(numberedChange(1)))
		failSyncs(store)
		denied := numberedChange(2)
		denied.OperatorRequest = &protocol.OperatorRequest{RolloutID: "r", Action: rollout.RequestPause}
		denied.Rollout = &protocol.Rollout{Rollout: rollout.Rollout{ID: "denied"}}
		denied.Revision = &protocol.Revision{Digest: "denied"}
		require.ErrorIs(t, store.Save(denied), unix.EIO)
		require.ErrorIs(t, store.Save(denied), unix.EIO, "a second failure in a row")
		if recovers {
			store.update = store.db.Update
			require.NoError(t, store.Save(Change{Instances: map[string]supervisor.Record{"n2": {Incarnation: 5}}}))
		}
		for range 2 {
			state, err := store.Load()
			require.NoError(t, err)
			assert.Equal(t, *numberedChange(1).Lease, state.Lease, name)
			assert.Equal(t, numberedChange(1).Instances["n1"], state.Instances["n1"], name)
			assert.Empty(t, state.OperatorRequest, name)
			rollouts, err := store.Rollouts()
			require.NoError(t, err)
			assert.Empty(t, rollouts, name)
			_, found, err := store.Revision("denied")
			require.NoError(t, err)
			assert.False(t, found, name)
			require.NoError(t, store.Close())
			store, err = Open(path) // the next process
			require.NoError(t, err)
		}
		require.NoError(t, store.Close())
	}
}
