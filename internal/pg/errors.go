package pg

import (
	"errors"
	"fmt"
)

// Codes of errors, the SQLSTATEs of PostgreSQL.
const (
	CodeTooManyConnections    = "53300" // the command was rejected without being run
	CodeReadOnlyTransaction   = "25006" // the backend is not the primary
	CodeSnapshotTooOld        = "72000" // the backend is too stale for the read
	CodeSystemError           = "58000" // it is not known whether the command ran
	CodeQueryCanceled         = "57014" // the client has canceled the command, which may have run
	CodeCannotConnectNow      = "57P03" // the server is shutting down; the command was not run
	CodeProtocolViolation     = "08P01"
	CodeSyntaxError           = "42601"
	CodeInvalidParameterValue = "22023"
	CodeFeatureNotSupported   = "0A000"
)

// Causes that a MessageError wraps.
var (
	ErrMessageLength   = errors.New("bad message length") // the length cannot be, or is above the limit
	ErrMalformedAnswer = errors.New("malformed answer")   // the message is not part of an answer, or not at its place
)

// MessageError says which message is at fault. It wraps ErrMessageLength or ErrMalformedAnswer.
type MessageError struct {
	Kind   byte   // the message's type
	Length int    // bytes as far as the message tells; 0: of no matter
	Reason string // what is wrong, with the message's type
	Err    error
}

// Error returns the cause and the reason.
func (e *MessageError) Error() string { return e.Err.Error() + ": " + e.Reason }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

// lengthError is the MessageError for a length of so many bytes.
func lengthError(cause error, kind byte, length int) error {
	return &MessageError{
		Kind:   kind,
		Length: length,
		Reason: fmt.Sprintf("%d bytes in a message %q", length, kind),
		Err:    cause,
	}
}

// StartupLengthError is a start-up packet whose length cannot be or is above the limit.
type StartupLengthError struct {
	Length int // bytes
}

// Error returns the length.
func (e *StartupLengthError) Error() string {
	return fmt.Sprintf("start-up packet of %d bytes", e.Length)
}

// VersionError is a start-up packet that asks for a version of the protocol that is not served.
type VersionError struct {
	Major, Minor int
}

// Error returns the version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("protocol version %d.%d is not known", e.Major, e.Minor)
}

// SyntaxError says why a statement cannot be routed. Its text goes to the client.
type SyntaxError struct {
	Offset    int    // bytes of the statement's text before the fault, or before where it was noticed
	Parameter string // the routing parameter at fault; empty: none
	Reason    string // what is wrong, with the parameter and its value
	Err       error  // the cause; may be nil
}

// Error returns the reason.
func (e *SyntaxError) Error() string { return e.Reason }

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.Err }
