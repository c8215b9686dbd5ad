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
	CodeFull        = "53300" // too many connections: throttled
	CodeNotPrimary  = "25006" // read only
	CodeBehind      = "72000" // snapshot too old
	CodeFailed      = "58000" // system error
	CodeEnding      = "57P03" // cannot connect now: trying again does no harm
	CodeProtocol    = "08P01" // protocol violation
	CodeSyntax      = "42601"
	CodeValue       = "22023" // invalid parameter value
	CodeUnsupported = "0A000"
)

// Start is what a start-up packet asks for.
type Start int

// Kinds of start-up packets.
const (
	Startup Start = iota
	Encrypt       // to be answered with N
	Cancel        // to be closed
)

// ReadStart takes a start-up packet of most bytes at the most off a chain. ok is false while it is not whole.
func ReadStart(in *buffer.Chain, most int) (kind Start, ok bool, err error) {
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
		return Encrypt, true, nil
	case code == codeCancel:
		return Cancel, true, nil
	case code>>16 == major:
		return Startup, true, nil
	}
	return 0, false, fmt.Errorf("protocol version %d.%d is not known", code>>16, code&0xffff)
}

// headLen is the type and the length.
const headLen = 5

// ErrLength says that a message's length cannot be.
var ErrLength = errors.New("bad message length")

// Next looks at the message that a chain starts with. size is the whole message's, head included; ok is
// false while it is not there whole. The length is checked as soon as it is there.
func Next(in *buffer.Chain, most int) (kind byte, size int, ok bool, err error) {
	var head [headLen]byte
	if in.Peek(head[:]) < headLen {
		return 0, 0, false, nil
	}
	n := int(int32(binary.BigEndian.Uint32(head[1:])))
	if n < headLen-1 || n > most {
		return head[0], 0, false, fmt.Errorf("%w: %d bytes in a message %q", ErrLength, n, head[0])
	}
	return head[0], n + 1, in.Len() >= n+1, nil
}

// Message appends a message to b.
func Message(b []byte, kind byte, body ...[]byte) []byte {
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

// Status appends a ParameterStatus.
func Status(b []byte, name, value string) []byte {
	return Message(b, 'S', []byte(name), zero, []byte(value), zero)
}

// Ready appends ReadyForQuery.
func Ready(b []byte) []byte { return Message(b, 'Z', []byte{'I'}) }

// Empty appends the answer to an empty query, without ReadyForQuery.
func Empty(b []byte) []byte { return Message(b, 'I') }

// Error appends an ErrorResponse; detail may be empty.
func Error(b []byte, fatal bool, code, message, detail string) []byte {
	severity := "ERROR"
	if fatal {
		severity = "FATAL"
	}
	body := "S" + severity + "\x00V" + severity + "\x00C" + code + "\x00M" + message + "\x00"
	if detail != "" {
		body += "D" + detail + "\x00"
	}
	return Message(b, 'E', []byte(body), zero)
}

// Welcome appends what follows a client's start-up packet.
func Welcome(b []byte) []byte {
	b = Message(b, 'R', []byte{0, 0, 0, 0})
	b = Status(b, "server_version", "16.0")
	b = Status(b, "server_encoding", "UTF8")
	b = Status(b, "client_encoding", "UTF8")
	b = Status(b, "standard_conforming_strings", "on")
	b = Message(b, 'K', make([]byte, 8))
	return Ready(b)
}

// Hello appends the start-up packet that a router sends to a member.
func Hello(b []byte) []byte {
	body := "\x00\x03\x00\x00user\x00app\x00database\x00shop\x00\x00"
	return append(binary.BigEndian.AppendUint32(b, uint32(len(body)+4)), body...)
}

// Query appends a simple query.
func Query(b []byte, text string) []byte { return Message(b, 'Q', []byte(text), zero) }

// QueryHead appends the head of a simple query whose text has so many bytes, final zero included.
func QueryHead(b []byte, text int) []byte {
	return binary.BigEndian.AppendUint32(append(b, 'Q'), uint32(text+headLen-1))
}
