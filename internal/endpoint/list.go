// Package endpoint defines the endpoint list that the discovery service serves, and parses it from JSON.
package endpoint

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
)

// State is the lifecycle state of an endpoint according to the endpoint list.
type State int

// The lifecycle states. In JSON they are written "gone", "ready" and "draining".
const (
	StateGone     State = iota // no longer running; may have no address
	StateReady                 // accepts requests
	StateDraining              // shutting down gracefully; accepts no new requests
)

// Endpoint is one row of the endpoint list; it describes a database server.
type Endpoint struct {
	ID            string         // stays the same for the endpoint's life; unique in the list
	Address       netip.AddrPort // invalid if the endpoint is gone and was listed without an address
	Zone          string
	Shard         int
	State         State
	StartedUnixMs int64 // start time in Unix milliseconds; 0 means long ago
	Primary       bool  // the endpoint was its shard's primary when the list was made
}

// List is the complete endpoint list, or the endpoints that have changed since an earlier generation.
type List struct {
	Generation int64
	Complete   bool // Endpoints is the complete list: an endpoint that is not in it is gone
	Endpoints  []Endpoint
}

// ParseError reports a part of a list that could not be parsed.
type ParseError struct {
	Entry int    // index of the invalid entry, or WholeDocument
	Key   string // invalid or missing JSON key; empty if the document is not JSON or has a value of the wrong type
	Err   error
}

// WholeDocument is the Entry of an error that does not concern a single entry of the list.
const WholeDocument = -1

// ErrMissing is the cause of a ParseError for a required key that is missing.
var ErrMissing = errors.New("is missing")

// Error implements error. The text names the entry and the key.
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

// document is the JSON form of a list.
type document struct {
	Generation *int64 `json:"generation"`
	Reset      bool   `json:"reset"`
	Instances  rows   `json:"instances"`
}

// rows are the endpoints of a document. They are decoded one by one, and the first invalid one ends it: decoded all at once,
// very many empty entries take many times the memory of their text.
type rows []Endpoint

// UnmarshalJSON implements json.Unmarshaler. Errors of an entry are of type *ParseError.
func (r *rows) UnmarshalJSON(raw []byte) error {
	*r = nil
	decoder := json.NewDecoder(bytes.NewReader(raw))
	switch start, err := decoder.Token(); {
	case err != nil:
		return err
	case start == nil: // null
		return nil
	case start != json.Delim('['):
		return &json.UnmarshalTypeError{Value: fmt.Sprint(start), Type: reflect.TypeFor[[]entry](), Field: "instances"}
	}
	for decoder.More() {
		var e entry
		if err := decoder.Decode(&e); err != nil {
			return err
		}
		endpoint, err := e.endpoint(len(*r))
		if err != nil {
			return err
		}
		*r = append(*r, endpoint)
	}
	return nil
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

// recoveryOff is the value of the key recovery for a primary. A replica is in recovery: it applies the log of another server.
const recoveryOff = "off"

// statesByLifecycle maps the values of the key lifecycle to states.
var statesByLifecycle = map[string]State{"gone": StateGone, "ready": StateReady, "draining": StateDraining}

// Parse parses a list from JSON. It ignores unknown keys. Its errors are of type *ParseError.
func Parse(raw []byte) (List, error) {
	var doc document
	if err := json.Unmarshal(raw, &doc); err != nil {
		var invalid *ParseError
		if errors.As(err, &invalid) {
			return List{}, invalid
		}
		return List{}, &ParseError{Entry: WholeDocument, Err: err}
	}
	if doc.Generation == nil {
		return List{}, &ParseError{Entry: WholeDocument, Key: "generation", Err: ErrMissing}
	}
	return List{Generation: *doc.Generation, Complete: doc.Reset, Endpoints: doc.Instances}, nil
}

// endpoint validates the entry and converts it to an Endpoint. index is the entry's index in the list, for errors.
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
