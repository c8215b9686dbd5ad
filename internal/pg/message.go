// Package pg parses and writes version 3 of PostgreSQL's wire protocol, as far as simple queries need
// it. It does no I/O.
package pg

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"stoatdale.example/stoatdale/internal/buffer"
)

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

// ReceiveMessage reads one message whole, for whoever is a client and may wait. Its body is most bytes long at most.
func ReceiveMessage(r io.Reader, most int) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, fmt.Errorf("message: %w", err)
	}
	n := int64(binary.BigEndian.Uint32(head[1:])) - 4
	if n < 0 || n > int64(most) {
		return 0, nil, fmt.Errorf("message %q: its length is %d, %d at most", head[0], n, most)
	}
	body = make([]byte, n)
	if _, err = io.ReadFull(r, body); err != nil {
		return 0, nil, fmt.Errorf("message %q: %w", head[0], err)
	}
	return head[0], body, nil
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

// AppendQuery appends a simple query.
func AppendQuery(b []byte, text string) []byte { return AppendMessage(b, 'Q', []byte(text), zero) }

// AppendQueryHeader appends the head of a simple query whose text has so many bytes, final zero included.
func AppendQueryHeader(b []byte, text int) []byte {
	return binary.BigEndian.AppendUint32(append(b, 'Q'), uint32(text+headLen-1))
}
