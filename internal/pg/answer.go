package pg

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strconv"

	"stoatdale.example/stoatdale/internal/buffer"
)

// Answer collects the messages that a backend sends in answer to one query or to the start-up packet, until the answer is
// complete. The answer to a query has to be one row of one column, or an error. The caller sets Row to a chain of a buffer
// pool; Take fills the other fields.
type Answer struct {
	Row        buffer.Chain // RowDescription, DataRow and CommandComplete as received
	ErrorCode  string       // SQLSTATE of the ErrorResponse; empty if none was received
	Fatal      bool         // the backend closes the connection after the error
	PositionMs int64        // the backend's replication position in Unix milliseconds; 0 if not reported
	Role       string       // the backend's parameter "recovery": "off" on a primary, "on" on a replica; empty if not reported
	LoadReport string       // the load report sent with the answer; empty if none was received

	descriptions int // number of RowDescriptions received
	rows         int // number of DataRows received
	completions  int // number of CommandCompletes received
	valueOffset  int // offset of the row's value in Row, in bytes
	valueSize    int // size of the row's value, in bytes
	complete     bool
}

// RejectedWith reports whether the backend rejected the query with the given error code before it sent any part of a row.
func (a *Answer) RejectedWith(code string) bool {
	return a.complete && a.ErrorCode == code && a.descriptions == 0
}

// HasRow reports whether the answer is complete and consists of one row without an error.
func (a *Answer) HasRow() bool { return a.complete && a.ErrorCode == "" && a.hasCompleteRow() }

// hasCompleteRow reports whether each part of a row has been received once.
func (a *Answer) hasCompleteRow() bool {
	return a.descriptions == 1 && a.rows == 1 && a.completions == 1
}

// isEmpty reports whether no part of a row has been received.
func (a *Answer) isEmpty() bool { return a.descriptions+a.rows+a.completions == 0 }

// Value returns the value in the row's only column.
func (a *Answer) Value() string {
	value := make([]byte, 0, a.valueSize)
	a.Row.EachPiece(a.valueOffset, a.valueSize, func(piece []byte) { value = append(value, piece...) })
	return string(value)
}

// Take removes complete messages from a chain, adds them to the answer and reports whether the answer is complete. Bytes
// after the answer stay on the chain. A message may have at most maxLength bytes. Messages that Take parses may have at
// most maxParsed bytes; values are not parsed. Take returns a *MessageError as soon as a message's header shows that it
// cannot be part of the answer, however long the message claims to be.
func (a *Answer) Take(in *buffer.Chain, maxLength, maxParsed int) (complete bool, err error) {
	for in.Len() > 0 {
		if err := a.checkOrder(in.FirstPiece()[0]); err != nil {
			return false, err
		}
		message, err := PeekMessage(in, maxLength)
		if err != nil || message.Size == 0 {
			return false, err
		}
		if err := checkSize(in, message, maxParsed); err != nil || !message.Complete {
			return false, err
		}
		if err := a.takeMessage(in, message); err != nil {
			return false, err
		}
		in.Discard(message.Size)
		if a.complete {
			return true, nil
		}
	}
	return false, nil
}

// checkOrder returns an error if a message of the given type may not come next. The parts of a row may come once each and
// in order, and none of them after an error.
func (a *Answer) checkOrder(kind byte) error {
	inOrder := false
	switch kind {
	case kindRowDescription:
		inOrder = a.descriptions == 0 && a.ErrorCode == ""
	case kindDataRow:
		inOrder = a.descriptions == 1 && a.rows == 0 && a.ErrorCode == ""
	case kindCommandComplete:
		inOrder = a.rows == 1 && a.completions == 0 && a.ErrorCode == ""
	case kindAuthentication, kindParameterStatus, kindErrorResponse, kindReadyForQuery, kindEmptyQueryResponse,
		kindNoticeResponse, kindNotificationResponse, kindBackendKeyData:
		inOrder = true
	}
	if !inOrder {
		reason := fmt.Sprintf("a message %q out of place", kind)
		return &MessageError{Kind: kind, Reason: reason, Err: ErrMalformedAnswer}
	}
	return nil
}

// Sizes in bytes of a DataRow's header, which consists of the message header, the number of columns, and the length of the
// first value. A null value has the length -1.
const (
	columnCountSize   = 2
	dataRowHeaderSize = headerSize + columnCountSize + lengthSize
	nullValueLength   = -1
)

// checkSize returns an error if a message has a size that its type does not allow. It needs the message header only, and
// for a DataRow also the column header.
func checkSize(in *buffer.Chain, message MessageHeader, maxParsed int) error {
	fits := true
	switch message.Kind {
	case kindAuthentication, kindParameterStatus, kindErrorResponse, kindRowDescription, kindCommandComplete:
		fits = message.Size <= maxParsed
	case kindReadyForQuery:
		fits = message.Size == headerSize+1
	case kindEmptyQueryResponse:
		fits = message.Size == headerSize
	case kindDataRow:
		fits = isOneColumnRow(in, message.Size)
	}
	if !fits {
		return lengthError(ErrMalformedAnswer, message.Kind, message.Size)
	}
	return nil
}

// isOneColumnRow reports whether a DataRow of the given size has one column whose value fills the rest of the message. It
// returns true while the DataRow's header is incomplete.
func isOneColumnRow(in *buffer.Chain, size int) bool {
	var header [dataRowHeaderSize]byte
	if size < dataRowHeaderSize {
		return false
	}
	if in.Peek(header[:]) < dataRowHeaderSize {
		return true
	}
	columns := binary.BigEndian.Uint16(header[headerSize:])
	length := int(int32(binary.BigEndian.Uint32(header[headerSize+columnCountSize:])))
	isNull := length == nullValueLength && size == dataRowHeaderSize
	return columns == 1 && (length == size-dataRowHeaderSize || isNull)
}

// takeMessage adds a complete message to the answer. The message stays on the chain.
func (a *Answer) takeMessage(in *buffer.Chain, message MessageHeader) error {
	switch message.Kind {
	case kindNoticeResponse, kindNotificationResponse, kindBackendKeyData, kindEmptyQueryResponse:
		return nil
	case kindDataRow:
		a.rows++
		a.valueOffset = a.Row.Len() + dataRowHeaderSize
		a.valueSize = message.Size - dataRowHeaderSize
		in.CopyTo(&a.Row, 0, message.Size)
		return nil
	case kindRowDescription, kindCommandComplete:
		in.CopyTo(&a.Row, 0, message.Size)
	}
	parsed := make([]byte, message.Size)
	in.Peek(parsed)
	if !a.parseBody(message.Kind, parsed[headerSize:]) {
		reason := fmt.Sprintf("in a message %q", message.Kind)
		return &MessageError{Kind: message.Kind, Reason: reason, Err: ErrMalformedAnswer}
	}
	return nil
}

// parseBody parses the body of a message and reports whether it is well formed and may occur at this place.
func (a *Answer) parseBody(kind byte, body []byte) bool {
	switch kind {
	case kindRowDescription:
		a.descriptions++
		return describesOneColumn(body)
	case kindCommandComplete:
		a.completions++
		return len(body) > 1 && bytes.IndexByte(body, 0) == len(body)-1
	case kindAuthentication:
		return len(body) >= 4 && binary.BigEndian.Uint32(body) == 0 // AuthenticationOk: the backend requires no password
	case kindParameterStatus:
		a.parseParameterStatus(body)
	case kindErrorResponse:
		ok := a.parseError(body)
		a.complete = ok && a.Fatal
		return ok
	case kindReadyForQuery:
		isStatus := bytes.IndexByte([]byte("ITE"), body[0]) >= 0
		a.complete = isStatus && (a.isEmpty() || a.ErrorCode != "" || a.hasCompleteRow())
		return a.complete
	}
	return true
}

// describesOneColumn reports whether a RowDescription's body describes one column.
func describesOneColumn(body []byte) bool {
	const fieldTailSize = 18 // bytes that follow the name in a column's description
	if len(body) <= columnCountSize || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	field := body[columnCountSize:]
	return bytes.IndexByte(field, 0) == len(field)-1-fieldTailSize
}

// parseParameterStatus stores the value of a parameter that the router uses. It ignores other and malformed parameters.
func (a *Answer) parseParameterStatus(body []byte) {
	parts := bytes.SplitN(body, stringTerminator, 3)
	if len(parts) < 3 {
		return
	}
	value := string(parts[1])
	switch string(parts[0]) {
	case "lsn_ms":
		if position, err := strconv.ParseInt(value, 10, 64); err == nil && position > 0 {
			a.PositionMs = position
		}
	case "recovery":
		a.Role = value
	case "health":
		a.LoadReport = value
	}
}

// Severities in an ErrorResponse.
const (
	severityError = "ERROR"
	severityFatal = "FATAL"
	severityPanic = "PANIC"
)

// errorCodeSize is the size of a SQLSTATE, in bytes.
const errorCodeSize = 5

// parseError stores the code and severity of an ErrorResponse and reports whether the message is well formed: each field
// ends with a zero byte, and one of them is the code.
func (a *Answer) parseError(body []byte) bool {
	for len(body) > 1 {
		field, rest, ended := bytes.Cut(body, stringTerminator)
		if !ended || len(field) == 0 {
			return false
		}
		value := string(field[1:])
		switch field[0] {
		case 'C':
			a.ErrorCode = value
		case 'S', 'V':
			a.Fatal = a.Fatal || value == severityFatal || value == severityPanic
		}
		body = rest
	}
	return len(body) == 1 && body[0] == 0 && len(a.ErrorCode) == errorCodeSize
}
