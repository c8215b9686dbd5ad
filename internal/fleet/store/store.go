// Package store keeps an agent's state on disk: the lease that it granted, the state of its routers, revisions and
// rollouts. It is a bbolt database with one CBOR record a key, each preceded by a checksum.
//
// A change is durable and complete when Save returns without an error, and has not happened otherwise. An agent saves
// before it acknowledges or acts, so that it can continue after a crash at any point.
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

// FormatVersion is the version of the records that this program reads and writes. Open refuses a store of another one.
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
	// update runs a transaction: db.Update, but where a test has the disk fail.
	update func(func(*bbolt.Tx) error) error

	mu   sync.Mutex // guards undo, and has one Save run at a time
	undo undoLog    // of changes that failed and may stand in the file all the same
}

// State is what an agent needs to start: its lease, the pending request of an operator and its instances by name.
type State struct {
	Lease           lease.PersistentState
	OperatorRequest protocol.OperatorRequest
	Instances       map[string]supervisor.Record
}

// Change is what one call of Save writes. What is nil, and instances that are not named, stay as they are.
type Change struct {
	Lease           *lease.PersistentState
	OperatorRequest *protocol.OperatorRequest
	Instances       map[string]supervisor.Record // by name
	Revision        *protocol.Revision           // added, or replaced if its digest is known
	Rollout         *protocol.Rollout            // added, or replaced if its ID is known
}

// Open opens the store at path and creates it if there is none, with its folder. Its errors name the path; they match
// ErrInUse if another process has the store open, and *FormatError if it has another format.
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
	if err := db.Update(prepare); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	return &Store{db: db, update: db.Update}, nil
}

// prepare creates the buckets that are missing and checks the format's version, or writes it to a new store.
func prepare(tx *bbolt.Tx) error {
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

// Save writes a change in one transaction, and drops the oldest revisions and rollouts beyond MaxHistory.
//
// A transaction whose last sync fails may stand in the file, and be read by this process and the next one. So a change
// that failed is undone: at once, as far as the disk allows, and before anything else is written.
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
		_ = s.rollBack() // what fails is tried again before the next change
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// rollBack undoes the change that failed last, if there is one.
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

// save writes a change.
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
