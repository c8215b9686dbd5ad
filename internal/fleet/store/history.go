package store

import (
	"fmt"
	"sort"

	"go.etcd.io/bbolt"

	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/supervisor"
)

// MaxHistory is how many revisions and how many rollouts a store keeps. Revisions that an instance runs, ran before or is
// to run are kept beyond it.
const MaxHistory = 100

// Revision returns the revision of a digest with its content, and whether the store has it.
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

// Revisions lists the revisions without their contents, newest first.
func (s *Store) Revisions() ([]protocol.Revision, error) {
	revisions, err := allRecords[protocol.Revision](s, revisionsBucket)
	for i := range revisions {
		revisions[i].Content = nil
	}
	sort.SliceStable(revisions, func(i, j int) bool { return revisions[i].PushedAt > revisions[j].PushedAt })
	return revisions, err
}

// Rollouts lists the rollouts, newest first.
func (s *Store) Rollouts() ([]protocol.Rollout, error) {
	rollouts, err := allRecords[protocol.Rollout](s, rolloutsBucket)
	sort.SliceStable(rollouts, func(i, j int) bool { return rollouts[i].StartedAt > rollouts[j].StartedAt })
	return rollouts, err
}

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

func saveRollout(tx *bbolt.Tx, rollout protocol.Rollout) error {
	if err := putRecord(tx, rolloutsBucket, rollout.ID, rollout); err != nil {
		return err
	}
	startedAt := func(r protocol.Rollout) int64 { return r.StartedAt }
	return pruneRecords(tx, rolloutsBucket, startedAt, nil)
}

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

// revisionsInUse are the digests of the revisions that an instance runs, ran before its rollout or is to run.
func revisionsInUse(tx *bbolt.Tx) (map[string]bool, error) {
	inUse := map[string]bool{}
	err := forEachRecord(tx, instancesBucket, func(_ string, r supervisor.Record) {
		inUse[r.Revision] = true
		inUse[r.PreviousRevision] = true
		inUse[r.Step.Revision] = true
	})
	return inUse, err
}

// pruneRecords deletes the oldest records of a bucket beyond MaxHistory, but for the keys in use.
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
