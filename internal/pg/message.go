// Package pg parses and writes version 3 of PostgreSQL's wire protocol, as far as simple queries need it. It does no I/O
// but for ReceiveMessage.
package pg

import (
	"encoding/binary"
	"fmt"
	"io"

	"stoatdale.example/stoatdale/internal/buffer"
)

// Types of messages.
const (
	kindAuthentication       = 'R'
	kindBackendKeyData       = 'K'
	kindCommandComplete      = 'C'
	kindDataRow              = 'D'
	kindEmptyQueryResponse   = 'I'
	kindErrorResponse        = 'E'
	kindNoticeResponse       = 'N'
	kindNotificationResponse = 'A'
	kindParameterStatus      = 'S'
	kindQuery                = 'Q'
	kindReadyForQuery        = 'Z'
	kindRowDescription       = 'T'
)

// Sizes of a message's parts, in bytes.
const (
	lengthSize = 4              // the length, which counts itself but not the type
	headerSize = 1 + lengthSize // the type and the length
)

// MessageHeader is what the beginning of a message tells. The zero value stands for a header that is not complete.
type MessageHeader struct {
	Kind     byte
	Size     int  // bytes of the message, header included
	Complete bool // the message is there completely
}

// PeekMessage returns the header of the message that a chain begins with, and leaves the message there. A length that
// cannot be or is above maxLength is a *MessageError for ErrMessageLength, as soon as the header is complete.
func PeekMessage(in *buffer.Chain, maxLength int) (MessageHeader, error) {
	var header [headerSize]byte
	if in.Peek(header[:]) < headerSize {
		return MessageHeader{}, nil
	}
	kind := header[0]
	length := int(int32(binary.BigEndian.Uint32(header[1:])))
	if length < lengthSize || length > maxLength {
		return MessageHeader{}, lengthError(ErrMessageLength, kind, length)
	}
	size := 1 + length
	return MessageHeader{Kind: kind, Size: size, Complete: in.Len() >= size}, nil
}

// ReceiveMessage reads one complete message, whose body has at most maxBody bytes. It blocks, and is for clients that may
// wait. Its errors wrap those of the reader, or ErrMessageLength.
func ReceiveMessage(r io.Reader, maxBody int) (kind byte, body []byte, err error) {
	var header [headerSize]byte
	if _, err = io.ReadFull(r, header[:]); err != nil {
		return 0, nil, fmt.Errorf("message: %w", err)
	}
	kind = header[0]
	length := int64(binary.BigEndian.Uint32(header[1:])) - lengthSize
	if length < 0 || length > int64(maxBody) {
		return 0, nil, &MessageError{
			Kind:   kind,
			Length: int(length),
			Reason: fmt.Sprintf("message %q: its length is %d, %d at most", kind, length, maxBody),
			Err:    ErrMessageLength,
		}
	}
	body = make([]byte, length)
	if _, err = io.ReadFull(r, body); err != nil {
		return 0, nil, fmt.Errorf("message %q: %w", kind, err)
	}
	return kind, body, nil
}

// AppendMessage appends a message whose body stands in pieces.
func AppendMessage(b []byte, kind byte, body ...[]byte) []byte {
	length := lengthSize
	for _, piece := range body {
		length += len(piece)
	}
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(length))
	for _, piece := range body {
		b = append(b, piece...)
	}
	return b
}

// zero ends strings in messages.
var zero = []byte{0}

// AppendParameterStatus appends a ParameterStatus.
func AppendParameterStatus(b []byte, name, value string) []byte {
	return AppendMessage(b, kindParameterStatus, []byte(name), zero, []byte(value), zero)
}

// AppendReadyForQuery appends a ReadyForQuery outside a transaction.
func AppendReadyForQuery(b []byte) []byte { return AppendMessage(b, kindReadyForQuery, []byte{'I'}) }

// AppendEmptyQueryResponse appends the answer to an empty query, without ReadyForQuery.
func AppendEmptyQueryResponse(b []byte) []byte { return AppendMessage(b, kindEmptyQueryResponse) }

// AppendErrorResponse appends an ErrorResponse of the severity ERROR or, if the connection ends with it, FATAL. detail
// may be empty.
func AppendErrorResponse(b []byte, fatal bool, code, message, detail string) []byte {
	severity := severityError
	if fatal {
		severity = severityFatal
	}
	body := "S" + severity + "\x00V" + severity + "\x00C" + code + "\x00M" + message + "\x00"
	if detail != "" {
		body += "D" + detail + "\x00"
	}
	return AppendMessage(b, kindErrorResponse, []byte(body), zero)
}

// AppendQuery appends a simple query.
func AppendQuery(b []byte, text string) []byte {
	return AppendMessage(b, kindQuery, []byte(text), zero)
}

// AppendQueryHeader appends the header of a simple query whose text has so many bytes, final zero included.
func AppendQueryHeader(b []byte, textSize int) []byte {
	return binary.BigEndian.AppendUint32(append(b, kindQuery), uint32(textSize+lengthSize))
}
