package pg

import (
	"errors"
	"fmt"
)

// Error codes: SQLSTATEs of PostgreSQL.
const (
	CodeTooManyConnections    = "53300" // the command was rejected and has not run
	CodeReadOnlyTransaction   = "25006" // the backend is not the primary
	CodeSnapshotTooOld        = "72000" // the backend is too stale for the read
	CodeSystemError           = "58000" // the command may or may not have run
	CodeQueryCanceled         = "57014" // the client canceled the command, which may have run
	CodeCannotConnectNow      = "57P03" // the server is shutting down; the command has not run
	CodeProtocolViolation     = "08P01"
	CodeSyntaxError           = "42601"
	CodeInvalidParameterValue = "22023"
	CodeFeatureNotSupported   = "0A000"
)

// Causes that a MessageError wraps.
var (
	ErrMessageLength   = errors.New("bad message length") // the length is impossible or above the limit
	ErrMalformedAnswer = errors.New("malformed answer")   // the message is malformed, or may not come at this point of an answer
)

// MessageError describes an invalid message. It wraps ErrMessageLength or ErrMalformedAnswer.
type MessageError struct {
	Kind byte // type of the message
	// Length is the length at fault, in bytes; 0 if the error does not concern the length. What it counts depends on the
	// check: the value of the length field (PeekMessage), the whole message (Answer.Take) or the body (ReceiveMessage).
	Length int
	Reason string // description of the fault, which includes the message's type
	Err    error  // ErrMessageLength or ErrMalformedAnswer
}

// Error returns the cause and the reason.
func (e *MessageError) Error() string { return e.Err.Error() + ": " + e.Reason }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

// lengthError returns the MessageError for a message whose length, in bytes, is invalid.
func lengthError(cause error, kind byte, length int) error {
	return &MessageError{
		Kind:   kind,
		Length: length,
		Reason: fmt.Sprintf("%d bytes in a message %q", length, kind),
		Err:    cause,
	}
}

// StartupLengthError reports a start-up packet whose length is impossible or above the limit.
type StartupLengthError struct {
	Length int // bytes
}

// Error implements error. The text contains the length.
func (e *StartupLengthError) Error() string {
	return fmt.Sprintf("start-up packet of %d bytes", e.Length)
}

// VersionError reports a start-up packet that requests an unsupported version of the protocol.
type VersionError struct {
	Major, Minor int
}

// Error implements error. The text contains the version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("protocol version %d.%d is not known", e.Major, e.Minor)
}

// SyntaxError reports why a statement cannot be routed. The router sends its text to the client.
type SyntaxError struct {
	Offset    int    // byte offset in the statement's text of the fault, or of the place where it was detected
	Parameter string // the invalid or missing routing parameter; empty if the fault is not in a parameter
	Reason    string // description of the fault, with the parameter and its value
	Err       error  // the cause; may be nil
}

// Error returns the reason.
func (e *SyntaxError) Error() string { return e.Reason }

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.Err }
