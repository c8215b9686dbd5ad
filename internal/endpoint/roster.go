// Package endpoint defines the endpoint list that discovery serves and reads it from JSON.
package endpoint

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// State is the lifecycle state that a list gives an endpoint.
type State int

// The lifecycle states. A list spells them "gone", "ready" and "draining".
const (
	StateGone     State = iota // no longer running; it may have no address
	StateReady                 // takes requests
	StateDraining              // shuts down gracefully: takes no new requests
)

// Endpoint is one database server as a list describes it.
type Endpoint struct {
	ID            string         // stable over the endpoint's life, and unique in the list
	Address       netip.AddrPort // not valid if the endpoint is gone and was listed without an address
	Zone          string
	Shard         int
	State         State
	StartedUnixMs int64 // when it started, in Unix milliseconds; 0: long ago
	Primary       bool  // the shard's primary at the time of the list
}

// List is the whole endpoint list or the endpoints that have changed since an earlier generation.
type List struct {
	Generation int64
	Complete   bool // Endpoints is the whole list, so that what is not in it is gone
	Endpoints  []Endpoint
}

// ParseError says which part of a list could not be read.
type ParseError struct {
	Entry int    // index of the entry at fault, or WholeDocument
	Key   string // JSON key at fault; empty if the document is not JSON of the right types
	Err   error
}

// WholeDocument is the Entry of an error that belongs to no single entry of the list.
const WholeDocument = -1

// ErrMissing is the cause of a ParseError for a key that a list must have.
var ErrMissing = errors.New("is missing")

// Error implements error. It names the entry and the key.
func (e *ParseError) Error() string {
	place := e.Key
	if e.Entry != WholeDocument {
		place = fmt.Sprintf("instances[%d].%s", e.Entry, e.Key)
	}
	switch {
	case errors.Is(e.Err, ErrMissing):
		return fmt.Sprintf("list: %s %v", place, e.Err)
	case place == "":
		return fmt.Sprintf("list: %v", e.Err)
	default:
		return fmt.Sprintf("list: %s: %v", place, e.Err)
	}
}

// Unwrap returns the cause.
func (e *ParseError) Unwrap() error { return e.Err }

// document is a list's JSON form.
type document struct {
	Generation *int64  `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`
}

// entry is the JSON form of one endpoint.
type entry struct {
	ID          string `json:"instanceId"`
	HostPort    string `json:"hostPort"`
	Zone        string `json:"zone"`
	Cell        int    `json:"cell"`
	Lifecycle   string `json:"lifecycle"`
	StartedAtMs int64  `json:"startedAtMs"`
	Recovery    string `json:"recovery"`
}

// recoveryOff is the value of the key recovery for a primary: a server in recovery applies another server's log.
const recoveryOff = "off"

var statesByLifecycle = map[string]State{"gone": StateGone, "ready": StateReady, "draining": StateDraining}

// Parse reads a list from JSON and ignores keys that it does not know. Its errors are of type *ParseError.
func Parse(raw []byte) (List, error) {
	var doc document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return List{}, &ParseError{Entry: WholeDocument, Err: err}
	}
	if doc.Generation == nil {
		return List{}, &ParseError{Entry: WholeDocument, Key: "generation", Err: ErrMissing}
	}
	list := List{Generation: *doc.Generation, Complete: doc.Reset}
	for i := range doc.Instances {
		endpoint, err := doc.Instances[i].endpoint(i)
		if err != nil {
			return List{}, err
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

// endpoint checks the entry, which has the given index in the list, and converts it.
func (e *entry) endpoint(index int) (Endpoint, error) {
	if e.ID == "" {
		return Endpoint{}, &ParseError{Entry: index, Key: "instanceId", Err: ErrMissing}
	}
	state, ok := statesByLifecycle[e.Lifecycle]
	if !ok {
		return Endpoint{}, &ParseError{Entry: index, Key: "lifecycle", Err: fmt.Errorf("unknown state %q", e.Lifecycle)}
	}
	address, err := netip.ParseAddrPort(e.HostPort)
	if err != nil && state != StateGone {
		return Endpoint{}, &ParseError{Entry: index, Key: "hostPort", Err: err}
	}
	return Endpoint{
		ID:            e.ID,
		Address:       address,
		Zone:          e.Zone,
		Shard:         e.Cell,
		State:         state,
		StartedUnixMs: e.StartedAtMs,
		Primary:       e.Recovery == recoveryOff,
	}, nil
}
