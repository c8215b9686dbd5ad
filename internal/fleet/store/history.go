package store

import (
	"fmt"
	"sort"

	"go.etcd.io/bbolt"

	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/supervisor"
)

// MaxHistory is the number of revisions and the number of rollouts that a store keeps. It also keeps older revisions that
// an instance runs, ran before its rollout or is to run.
const MaxHistory = 100

// Revision returns the revision with a digest, including its content. The bool reports whether the store has it.
func (s *Store) Revision(digest string) (protocol.Revision, bool, error) {
	var revision protocol.Revision
	var found bool
	err := s.db.View(func(tx *bbolt.Tx) (err error) {
		found, err = getRecord(tx, revisionsBucket, digest, &revision)
		return err
	})
	if err != nil {
		err = fmt.Errorf("store: %w", err)
	}
	return revision, found, err
}

// Revisions returns the revisions without their contents, newest first.
func (s *Store) Revisions() ([]protocol.Revision, error) {
	revisions, err := allRecords[protocol.Revision](s, revisionsBucket)
	for i := range revisions {
		revisions[i].Content = nil
	}
	sort.SliceStable(revisions, func(i, j int) bool { return revisions[i].PushedAt > revisions[j].PushedAt })
	return revisions, err
}

// Rollouts returns the rollouts, newest first.
func (s *Store) Rollouts() ([]protocol.Rollout, error) {
	rollouts, err := allRecords[protocol.Rollout](s, rolloutsBucket)
	sort.SliceStable(rollouts, func(i, j int) bool { return rollouts[i].StartedAt > rollouts[j].StartedAt })
	return rollouts, err
}

// allRecords returns the values of all records in a bucket, in the order of their keys.
func allRecords[T any](s *Store, bucket []byte) ([]T, error) {
	var values []T
	err := s.db.View(func(tx *bbolt.Tx) error {
		return forEachRecord(tx, bucket, func(_ string, value T) { values = append(values, value) })
	})
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return values, nil
}

// saveRollout writes a rollout and deletes the oldest ones beyond MaxHistory.
func saveRollout(tx *bbolt.Tx, rollout protocol.Rollout) error {
	if err := putRecord(tx, rolloutsBucket, rollout.ID, rollout); err != nil {
		return err
	}
	startedAt := func(r protocol.Rollout) int64 { return r.StartedAt }
	return pruneRecords(tx, rolloutsBucket, startedAt, nil)
}

// saveRevision writes a revision and deletes the oldest ones beyond MaxHistory that are not in use.
func saveRevision(tx *bbolt.Tx, revision protocol.Revision) error {
	if err := putRecord(tx, revisionsBucket, revision.Digest, revision); err != nil {
		return err
	}
	inUse, err := revisionsInUse(tx)
	if err != nil {
		return err
	}
	inUse[revision.Digest] = true
	pushedAt := func(r protocol.Revision) int64 { return r.PushedAt }
	return pruneRecords(tx, revisionsBucket, pushedAt, inUse)
}

// revisionsInUse returns the digests of the revisions that an instance runs, ran before its rollout or is to run.
func revisionsInUse(tx *bbolt.Tx) (map[string]bool, error) {
	inUse := map[string]bool{}
	err := forEachRecord(tx, instancesBucket, func(_ string, r supervisor.Record) {
		inUse[r.Revision] = true
		inUse[r.PreviousRevision] = true
		inUse[r.Step.Revision] = true
	})
	return inUse, err
}

// pruneRecords deletes the oldest records of a bucket beyond MaxHistory, except those whose keys are in use.
func pruneRecords[T any](tx *bbolt.Tx, bucket []byte, unixTime func(T) int64, inUse map[string]bool) error {
	b := tx.Bucket(bucket)
	if b.Inspect().KeyN <= MaxHistory {
		return nil
	}
	type entry struct {
		key      string
		unixTime int64
	}
	var entries []entry
	err := forEachRecord(tx, bucket, func(key string, value T) {
		entries = append(entries, entry{key, unixTime(value)})
	})
	if err != nil {
		return err
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].unixTime < entries[j].unixTime })
	excess := max(0, len(entries)-MaxHistory)
	for _, oldest := range entries[:excess] {
		if inUse[oldest.key] {
			continue
		}
		if err := b.Delete([]byte(oldest.key)); err != nil {
			return err
		}
	}
	return nil
}
