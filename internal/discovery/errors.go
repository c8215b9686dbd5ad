package discovery

import (
	"errors"
	"fmt"
	"net/netip"
)

// ErrNoReply is the cause of a call's failure where discovery accepts no connection, begins no reply or ends none in
// time.
var ErrNoReply = errors.New("no reply")

// CallError is a call to discovery that failed.
type CallError struct {
	Address netip.AddrPort // of discovery
	Err     error          // of the network, of the reply's form, *endpoint.ParseError, *StatusError, *GenerationError or ErrNoReply
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("%v: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// StatusError is a reply whose HTTP status is not 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// GenerationError is a reply that holds changes which do not follow from the list that the watch has.
type GenerationError struct {
	Got  int64
	Have int64 // NoGeneration: the watch has no list and asked for a complete one
}

// Error implements error.
func (e *GenerationError) Error() string {
	return fmt.Sprintf("changes up to %d after %d", e.Got, e.Have)
}
