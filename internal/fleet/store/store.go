// Package store keeps an agent's state on disk: what it promised, what its routers run, the steps it began,
// revisions and rollouts. A change is on disk whole before Save returns, or not at all.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/zeebo/xxh3"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/tend"
)

// Format of the records. A store of another one is refused.
const FormatVersion = 1

// Kept are the most revisions and rollouts that a store keeps; the oldest go, but for what is in use.
const MaxHistory = 100

var (
	metaBucket      = []byte("meta")
	instancesBucket = []byte("instances")
	revisionsBucket = []byte("revisions")
	rolloutsBucket  = []byte("rollouts")
)

const (
	formatKey          = "format"
	leaseKey           = "claims"
	operatorRequestKey = "wish"
	openTimeout        = time.Second // that an open store is waited for
)

// Store is an open store.
type Store struct{ db *bbolt.DB }

// State is what a store holds for the decisions.
type State struct {
	Lease           claim.PersistentState
	OperatorRequest form.OperatorRequest
	Instances       map[string]tend.Record
}

// Change is what Save writes; nil parts stay.
type Change struct {
	Lease           *claim.PersistentState
	OperatorRequest *form.OperatorRequest
	Instances       map[string]tend.Record
	Revision        *form.Revision
	Rollout         *form.Rollout
}

// Open opens or makes a store. One that another process has open is told as such.
func Open(path string) (*Store, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, fmt.Errorf("store: %s is open in another agent", path)
	}
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	s := &Store{db: db}
	if err := s.prepare(); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	return s, nil
}

func (s *Store) prepare() error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{metaBucket, instancesBucket, revisionsBucket, rolloutsBucket} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		format := 0
		found, err := get(tx, metaBucket, formatKey, &format)
		switch {
		case err != nil:
			return err
		case !found:
			return put(tx, metaBucket, formatKey, FormatVersion)
		case format != FormatVersion:
			return fmt.Errorf("its records are of format %d, and this program knows format %d", format, FormatVersion)
		}
		return nil
	})
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// put writes a record with a checksum before it.
func put(tx *bbolt.Tx, bucket []byte, key string, v any) error {
	raw := form.Encode(v)
	out := binary.BigEndian.AppendUint64(make([]byte, 0, len(raw)+8), xxh3.Hash(raw))
	return tx.Bucket(bucket).Put([]byte(key), append(out, raw...))
}

func get(tx *bbolt.Tx, bucket []byte, key string, v any) (bool, error) {
	raw := tx.Bucket(bucket).Get([]byte(key))
	if raw == nil {
		return false, nil
	}
	return true, decode(bucket, key, raw, v)
}

func decode(bucket []byte, key string, raw []byte, v any) error {
	if len(raw) < 8 || binary.BigEndian.Uint64(raw) != xxh3.Hash(raw[8:]) {
		return fmt.Errorf("record %s/%s is spoilt: its checksum is not that of its content", bucket, key)
	}
	return form.Decode(fmt.Sprintf("record %s/%s", bucket, key), raw[8:], v)
}

// Load reads the state.
func (s *Store) Load() (State, error) {
	st := State{Instances: map[string]tend.Record{}}
	err := s.db.View(func(tx *bbolt.Tx) error {
		if _, err := get(tx, metaBucket, leaseKey, &st.Lease); err != nil {
			return err
		}
		if _, err := get(tx, metaBucket, operatorRequestKey, &st.OperatorRequest); err != nil {
			return err
		}
		return tx.Bucket(instancesBucket).ForEach(func(k, raw []byte) error {
			var r tend.Record
			if err := decode(instancesBucket, string(k), raw, &r); err != nil {
				return err
			}
			st.Instances[string(k)] = r
			return nil
		})
	})
	if err != nil {
		return st, fmt.Errorf("store: %w", err)
	}
	return st, nil
}

// Save writes a change.
func (s *Store) Save(c Change) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if c.Lease != nil {
			if err := put(tx, metaBucket, leaseKey, *c.Lease); err != nil {
				return err
			}
		}
		if c.OperatorRequest != nil {
			if err := put(tx, metaBucket, operatorRequestKey, *c.OperatorRequest); err != nil {
				return err
			}
		}
		for name, r := range c.Instances {
			if err := put(tx, instancesBucket, name, r); err != nil {
				return err
			}
		}
		if c.Rollout != nil {
			if err := put(tx, rolloutsBucket, c.Rollout.ID, *c.Rollout); err != nil {
				return err
			}
			if err := prune[form.Rollout](tx, rolloutsBucket, func(r form.Rollout) int64 { return r.StartedAt }, nil); err != nil {
				return err
			}
		}
		if c.Revision != nil {
			if err := put(tx, revisionsBucket, c.Revision.Digest, *c.Revision); err != nil {
				return err
			}
			used, err := revisionsInUse(tx)
			if err != nil {
				return err
			}
			used[c.Revision.Digest] = true
			return prune[form.Revision](tx, revisionsBucket, func(r form.Revision) int64 { return r.PushedAt }, used)
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

func revisionsInUse(tx *bbolt.Tx) (map[string]bool, error) {
	used := map[string]bool{}
	err := tx.Bucket(instancesBucket).ForEach(func(k, raw []byte) error {
		var r tend.Record
		if err := decode(instancesBucket, string(k), raw, &r); err != nil {
			return err
		}
		used[r.Revision], used[r.PreviousRevision], used[r.Step.Revision] = true, true, true
		return nil
	})
	return used, err
}

// prune drops the oldest records beyond Kept.
func prune[T any](tx *bbolt.Tx, bucket []byte, at func(T) int64, used map[string]bool) error {
	b := tx.Bucket(bucket)
	if b.Inspect().KeyN <= MaxHistory {
		return nil
	}
	type entry struct {
		key string
		at  int64
	}
	var all []entry
	err := b.ForEach(func(k, raw []byte) error {
		var v T
		if err := decode(bucket, string(k), raw, &v); err != nil {
			return err
		}
		all = append(all, entry{string(k), at(v)})
		return nil
	})
	if err != nil {
		return err
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at < all[j].at })
	for _, e := range all[:max(0, len(all)-MaxHistory)] {
		if used[e.key] {
			continue
		}
		if err := b.Delete([]byte(e.key)); err != nil {
			return err
		}
	}
	return nil
}

// Revision returns one with its content.
func (s *Store) Revision(digest string) (form.Revision, bool, error) {
	var r form.Revision
	var found bool
	err := s.db.View(func(tx *bbolt.Tx) (err error) {
		found, err = get(tx, revisionsBucket, digest, &r)
		return err
	})
	if err != nil {
		err = fmt.Errorf("store: %w", err)
	}
	return r, found, err
}

// Revisions lists what is kept, without the contents, newest first.
func (s *Store) Revisions() ([]form.Revision, error) {
	out, err := all[form.Revision](s, revisionsBucket)
	for i := range out {
		out[i].Content = nil
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].PushedAt > out[j].PushedAt })
	return out, err
}

// Rollouts lists what is kept, newest first.
func (s *Store) Rollouts() ([]form.Rollout, error) {
	out, err := all[form.Rollout](s, rolloutsBucket)
	sort.SliceStable(out, func(i, j int) bool { return out[i].StartedAt > out[j].StartedAt })
	return out, err
}

func all[T any](s *Store, bucket []byte) ([]T, error) {
	var out []T
	err := s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucket).ForEach(func(k, raw []byte) error {
			var v T
			if err := decode(bucket, string(k), raw, &v); err != nil {
				return err
			}
			out = append(out, v)
			return nil
		})
	})
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return out, nil
}
