package discovery

import (
	"errors"
	"fmt"
	"net/netip"
)

// ErrNoReply is the cause of a CallError if the discovery service does not accept the connection, begin the reply or complete
// it in time.
var ErrNoReply = errors.New("no reply")

// ErrTooManyReplies is the cause of a CallError if the call was closed because the begun replies to several calls take more
// memory than one may.
var ErrTooManyReplies = errors.New("the replies to several calls take too much memory")

// CallError reports a failed call to the discovery service.
type CallError struct {
	Address netip.AddrPort // address of the discovery service
	// Err is a network error, an HTTP syntax error, an *endpoint.ParseError, *StatusError or *GenerationError, ErrNoReply or
	// ErrTooManyReplies.
	Err error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("%v: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// StatusError reports a reply whose HTTP status is not 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// GenerationError reports a reply with changes that cannot be applied to the list that the watch has.
type GenerationError struct {
	Got  int64 // generation of the reply
	Have int64 // generation of the watch's list; NoGeneration if it has none and requested the complete list
}

// Error implements error.
func (e *GenerationError) Error() string {
	return fmt.Sprintf("changes up to generation %d do not follow generation %d", e.Got, e.Have)
}
