// Package store keeps an agent's state on disk: the lease that it granted, the state of its routers, revisions and
// rollouts. The store is a bbolt database. Each value is a checksum followed by one CBOR record.
//
// When Save returns without an error, the change is complete and durable; otherwise the store is unchanged. An agent saves
// before it acknowledges a request or acts on a router, so that it can continue after a crash at any point.
package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/supervisor"
)

// FormatVersion is the version of the records that this program reads and writes. Open rejects a store with another
// version.
const FormatVersion = 1

// openTimeout is how long Open waits for another process to close the store.
const openTimeout = time.Second

// Buckets of the database.
var (
	metaBucket      = []byte("meta")
	instancesBucket = []byte("instances")
	revisionsBucket = []byte("revisions")
	rolloutsBucket  = []byte("rollouts")
)

// Keys in the meta bucket. They are stored, so their values never change.
const (
	formatKey          = "format"
	leaseKey           = "claims"
	operatorRequestKey = "wish"
)

// Store is an open store. Its methods may be called from several goroutines.
type Store struct {
	db *bbolt.DB
	// update runs a transaction. It is db.Update, except in tests that simulate a failing disk.
	update func(func(*bbolt.Tx) error) error

	mu   sync.Mutex // guards undo and lets only one Save run at a time
	undo undoLog    // undoes the change that failed last, which may be in the file nevertheless; empty if none is pending
}

// State is the state that an agent continues from when it starts.
type State struct {
	Lease           lease.PersistentState
	OperatorRequest protocol.OperatorRequest     // the one that was received last
	Instances       map[string]supervisor.Record // by instance name
}

// Change is what one call of Save writes. Fields that are nil and instances that are not named stay as they are.
type Change struct {
	Lease           *lease.PersistentState
	OperatorRequest *protocol.OperatorRequest
	Instances       map[string]supervisor.Record // by instance name
	Revision        *protocol.Revision           // replaces a stored revision with the same digest
	Rollout         *protocol.Rollout            // replaces a stored rollout with the same ID
}

// Open opens the store at path. If there is none, it creates the store and its folder. Errors name the path. They match
// ErrInUse if another process holds the store open, and *FormatError if the store has another format version.
func Open(path string) (*Store, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, fmt.Errorf("store: %s %w", path, ErrInUse)
	}
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	if err := db.Update(initialize); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	return &Store{db: db, update: db.Update}, nil
}

// initialize creates missing buckets and checks the format version, which it writes if the store is new.
func initialize(tx *bbolt.Tx) error {
	for _, bucket := range [][]byte{metaBucket, instancesBucket, revisionsBucket, rolloutsBucket} {
		if _, err := tx.CreateBucketIfNotExists(bucket); err != nil {
			return err
		}
	}
	version := 0
	found, err := getRecord(tx, metaBucket, formatKey, &version)
	switch {
	case err != nil:
		return err
	case !found:
		return putRecord(tx, metaBucket, formatKey, FormatVersion)
	case version != FormatVersion:
		return &FormatError{Found: version}
	}
	return nil
}

// Close closes the store. No other method may be called after it.
func (s *Store) Close() error { return s.db.Close() }

// Load reads the state. Its errors match *CorruptRecordError if a record is damaged.
func (s *Store) Load() (State, error) {
	state := State{Instances: map[string]supervisor.Record{}}
	err := s.db.View(func(tx *bbolt.Tx) error {
		if _, err := getRecord(tx, metaBucket, leaseKey, &state.Lease); err != nil {
			return err
		}
		if _, err := getRecord(tx, metaBucket, operatorRequestKey, &state.OperatorRequest); err != nil {
			return err
		}
		return forEachRecord(tx, instancesBucket, func(name string, r supervisor.Record) {
			state.Instances[name] = r
		})
	})
	if err != nil {
		return state, fmt.Errorf("store: %w", err)
	}
	return state, nil
}

// Save writes a change in one transaction and deletes the oldest revisions and rollouts beyond MaxHistory.
//
// If the last sync of a transaction fails, the transaction may be in the file nevertheless, and this process and the next
// one would read it. Save therefore undoes a change that failed: immediately, and if that fails too, again before the
// next change is written.
func (s *Store) Save(c Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.rollBack(); err != nil {
		return fmt.Errorf("store: undoing a change that failed: %w", err)
	}
	var before undoLog
	err := s.update(func(tx *bbolt.Tx) error {
		before = recordsBefore(tx, c)
		return save(tx, c)
	})
	if err != nil {
		s.undo = before
		_ = s.rollBack() // if it fails, the next Save tries again
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// rollBack undoes the change that failed last, if one is pending.
func (s *Store) rollBack() error {
	if len(s.undo) == 0 {
		return nil
	}
	if err := s.update(s.undo.apply); err != nil {
		return err
	}
	s.undo = nil
	return nil
}

// save writes a change within a transaction.
func save(tx *bbolt.Tx, c Change) error {
	if err := saveState(tx, c); err != nil {
		return err
	}
	if c.Rollout != nil {
		if err := saveRollout(tx, *c.Rollout); err != nil {
			return err
		}
	}
	if c.Revision != nil {
		return saveRevision(tx, *c.Revision)
	}
	return nil
}

// saveState writes the parts of a change that Load returns.
func saveState(tx *bbolt.Tx, c Change) error {
	if c.Lease != nil {
		if err := putRecord(tx, metaBucket, leaseKey, *c.Lease); err != nil {
			return err
		}
	}
	if c.OperatorRequest != nil {
		if err := putRecord(tx, metaBucket, operatorRequestKey, *c.OperatorRequest); err != nil {
			return err
		}
	}
	for name, r := range c.Instances {
		if err := putRecord(tx, instancesBucket, name, r); err != nil {
			return err
		}
	}
	return nil
}
