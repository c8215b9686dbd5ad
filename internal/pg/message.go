// Package pg parses and writes the messages of version 3 of PostgreSQL's wire protocol that simple queries need. Only
// ReceiveMessage does I/O.
package pg

import (
	"encoding/binary"
	"fmt"
	"io"

	"stoatdale.example/stoatdale/internal/buffer"
)

// Message types.
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

// Sizes of the parts of a message, in bytes.
const (
	lengthSize = 4              // the length field, whose value counts the field itself but not the type
	headerSize = 1 + lengthSize // the type and the length
)

// MessageHeader is the type and size of a message. The zero value means that the header is incomplete.
type MessageHeader struct {
	Kind     byte // type of the message
	Size     int  // size of the message in bytes, including the header
	Complete bool // all bytes of the message have been received
}

// PeekMessage returns the header of the first message of a chain and leaves the message on the chain. Once the header is
// complete, a length that is impossible or above maxLength is reported as a *MessageError that wraps ErrMessageLength.
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

// ReceiveMessage reads one complete message, whose body may have at most maxBody bytes. It blocks, so the event loop must not
// call it. Its errors wrap those of the reader, or ErrMessageLength.
func ReceiveMessage(r io.Reader, maxBody int) (kind byte, body []byte, err error) {
	var header [headerSize]byte
	if _, err = io.ReadFull(r, header[:]); err != nil {
		return 0, nil, fmt.Errorf("reading a message header: %w", err)
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
		return 0, nil, fmt.Errorf("reading the body of a message %q: %w", kind, err)
	}
	return kind, body, nil
}

// AppendMessage appends a message whose body is the concatenation of the given pieces.
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

// stringTerminator is the zero byte that ends each string in a message.
var stringTerminator = []byte{0}

// AppendParameterStatus appends a ParameterStatus message.
func AppendParameterStatus(b []byte, name, value string) []byte {
	return AppendMessage(b, kindParameterStatus, []byte(name), stringTerminator, []byte(value), stringTerminator)
}

// AppendReadyForQuery appends a ReadyForQuery message with the status I, which means outside a transaction.
func AppendReadyForQuery(b []byte) []byte { return AppendMessage(b, kindReadyForQuery, []byte{'I'}) }

// AppendEmptyQueryResponse appends the answer to an empty query, without ReadyForQuery.
func AppendEmptyQueryResponse(b []byte) []byte { return AppendMessage(b, kindEmptyQueryResponse) }

// AppendErrorResponse appends an ErrorResponse message. Its severity is FATAL, which announces that the connection is closed
// after it, or ERROR. The message has no detail field if detail is empty.
func AppendErrorResponse(b []byte, fatal bool, code, message, detail string) []byte {
	severity := severityError
	if fatal {
		severity = severityFatal
	}
	body := "S" + severity + "\x00V" + severity + "\x00C" + code + "\x00M" + message + "\x00"
	if detail != "" {
		body += "D" + detail + "\x00"
	}
	return AppendMessage(b, kindErrorResponse, []byte(body), stringTerminator)
}

// AppendQuery appends a Query message.
func AppendQuery(b []byte, text string) []byte {
	return AppendMessage(b, kindQuery, []byte(text), stringTerminator)
}

// AppendQueryHeader appends the header of a Query message whose text has textSize bytes, including the final zero byte.
func AppendQueryHeader(b []byte, textSize int) []byte {
	return binary.BigEndian.AppendUint32(append(b, kindQuery), uint32(textSize+lengthSize))
}
