// Package pg parses and writes version 3 of PostgreSQL's wire protocol, as far as simple queries need
// it. It does no I/O.
package pg

import (
	"encoding/binary"
	"errors"
	"fmt"

	"stoatdale.example/stoatdale/internal/buffer"
)

// Codes that a start-up packet opens with.
const (
	major      = 3
	codeSSL    = 80877103
	codeGSS    = 80877104
	codeCancel = 80877102
)

// Codes of errors.
const (
	CodeTooManyConnections    = "53300" // too many connections: throttled
	CodeReadOnlyTransaction   = "25006" // read only
	CodeSnapshotTooOld        = "72000" // snapshot too old
	CodeSystemError           = "58000" // system error
	CodeCannotConnectNow      = "57P03" // cannot connect now: trying again does no harm
	CodeProtocolViolation     = "08P01" // protocol violation
	CodeSyntaxError           = "42601"
	CodeInvalidParameterValue = "22023" // invalid parameter value
	CodeFeatureNotSupported   = "0A000"
)

// StartupKind is what a start-up packet asks for.
type StartupKind int

// Kinds of start-up packets.
const (
	StartupSession    StartupKind = iota
	StartupEncryption             // to be answered with N
	StartupCancel                 // to be closed
)

// ReadStartup takes a start-up packet of most bytes at the most off a chain. ok is false while it is not whole.
func ReadStartup(in *buffer.Chain, most int) (kind StartupKind, ok bool, err error) {
	var head [8]byte
	got := in.Peek(head[:])
	if got < 4 {
		return 0, false, nil
	}
	n := int(int32(binary.BigEndian.Uint32(head[:])))
	if n < len(head) || n > most {
		return 0, false, fmt.Errorf("start-up packet of %d bytes", n)
	}
	if got < len(head) || in.Len() < n {
		return 0, false, nil
	}
	code := binary.BigEndian.Uint32(head[4:])
	in.Skip(n)
	switch {
	case code == codeSSL || code == codeGSS:
		return StartupEncryption, true, nil
	case code == codeCancel:
		return StartupCancel, true, nil
	case code>>16 == major:
		return StartupSession, true, nil
	}
	return 0, false, fmt.Errorf("protocol version %d.%d is not known", code>>16, code&0xffff)
}

// headLen is the type and the length.
const headLen = 5

// ErrMessageLength says that a message's length cannot be.
var ErrMessageLength = errors.New("bad message length")

// NextMessage looks at the message that a chain starts with. size is the whole message's, head included; ok is
// false while it is not there whole. The length is checked as soon as it is there.
func NextMessage(in *buffer.Chain, most int) (kind byte, size int, ok bool, err error) {
	var head [headLen]byte
	if in.Peek(head[:]) < headLen {
		return 0, 0, false, nil
	}
	n := int(int32(binary.BigEndian.Uint32(head[1:])))
	if n < headLen-1 || n > most {
		return head[0], 0, false, fmt.Errorf("%w: %d bytes in a message %q", ErrMessageLength, n, head[0])
	}
	return head[0], n + 1, in.Len() >= n+1, nil
}

// AppendMessage appends a message to b.
func AppendMessage(b []byte, kind byte, body ...[]byte) []byte {
	n := headLen - 1
	for _, p := range body {
		n += len(p)
	}
	b = binary.BigEndian.AppendUint32(append(b, kind), uint32(n))
	for _, p := range body {
		b = append(b, p...)
	}
	return b
}

var zero = []byte{0}

// AppendParameterStatus appends a ParameterStatus.
func AppendParameterStatus(b []byte, name, value string) []byte {
	return AppendMessage(b, 'S', []byte(name), zero, []byte(value), zero)
}

// AppendReadyForQuery appends ReadyForQuery.
func AppendReadyForQuery(b []byte) []byte { return AppendMessage(b, 'Z', []byte{'I'}) }

// AppendEmptyQueryResponse appends the answer to an empty query, without ReadyForQuery.
func AppendEmptyQueryResponse(b []byte) []byte { return AppendMessage(b, 'I') }

// AppendErrorResponse appends an ErrorResponse; detail may be empty.
func AppendErrorResponse(b []byte, fatal bool, code, message, detail string) []byte {
	severity := "ERROR"
	if fatal {
		severity = "FATAL"
	}
	body := "S" + severity + "\x00V" + severity + "\x00C" + code + "\x00M" + message + "\x00"
	if detail != "" {
		body += "D" + detail + "\x00"
	}
	return AppendMessage(b, 'E', []byte(body), zero)
}

// AppendStartupReply appends what follows a client's start-up packet.
func AppendStartupReply(b []byte) []byte {
	b = AppendMessage(b, 'R', []byte{0, 0, 0, 0})
	b = AppendParameterStatus(b, "server_version", "16.0")
	b = AppendParameterStatus(b, "server_encoding", "UTF8")
	b = AppendParameterStatus(b, "client_encoding", "UTF8")
	b = AppendParameterStatus(b, "standard_conforming_strings", "on")
	b = AppendMessage(b, 'K', make([]byte, 8))
	return AppendReadyForQuery(b)
}

// AppendStartupMessage appends the start-up packet that a router sends to a member.
func AppendStartupMessage(b []byte) []byte {
	body := "\x00\x03\x00\x00user\x00app\x00database\x00shop\x00\x00"
	return append(binary.BigEndian.AppendUint32(b, uint32(len(body)+4)), body...)
}

// AppendQuery appends a simple query.
func AppendQuery(b []byte, text string) []byte { return AppendMessage(b, 'Q', []byte(text), zero) }

// AppendQueryHeader appends the head of a simple query whose text has so many bytes, final zero included.
func AppendQueryHeader(b []byte, text int) []byte {
	return binary.BigEndian.AppendUint32(append(b, 'Q'), uint32(text+headLen-1))
}
