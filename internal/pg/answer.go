package pg

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strconv"

	"stoatdale.example/stoatdale/internal/buffer"
)

// Answer is what a backend sends in answer to one query or to the start-up packet, collected until it is complete. Only
// one row of one column, or an error, is an answer to a query. A new Answer needs a Row from a buffer pool; the other
// fields are filled by Take.
type Answer struct {
	Row        buffer.Chain // RowDescription, DataRow and CommandComplete as they came
	ErrorCode  string       // of an ErrorResponse; empty: none came
	Fatal      bool         // the backend ends the connection after the error
	PositionMs int64        // the backend's replication position, Unix milliseconds; 0: not reported
	Role       string       // "off" from a primary, "on" from a replica, as its parameter "recovery" says; empty: not reported
	LoadReport string       // a load report that came beside the answer; empty: none came

	descriptions int // RowDescriptions so far
	rows         int // DataRows so far
	completions  int // CommandCompletes so far
	valueOffset  int // where the row's value begins in Row
	valueSize    int // its length in bytes
	complete     bool
}

// RejectedWith reports whether the backend rejected the query with an error code before any part of a row.
func (a *Answer) RejectedWith(code string) bool {
	return a.complete && a.ErrorCode == code && a.descriptions == 0
}

// HasRow reports whether the answer is complete and holds one row and no error.
func (a *Answer) HasRow() bool { return a.complete && a.ErrorCode == "" && a.hasCompleteRow() }

// hasCompleteRow reports whether each part of a row has come once.
func (a *Answer) hasCompleteRow() bool {
	return a.descriptions == 1 && a.rows == 1 && a.completions == 1
}

// isEmpty reports whether no part of a row has come.
func (a *Answer) isEmpty() bool { return a.descriptions+a.rows+a.completions == 0 }

// Value returns the one value of the row.
func (a *Answer) Value() string {
	value := make([]byte, 0, a.valueSize)
	a.Row.EachPiece(a.valueOffset, a.valueSize, func(piece []byte) { value = append(value, piece...) })
	return string(value)
}

// Take takes complete messages off a chain and reports whether the answer is complete; what follows it stays. Messages
// have at most maxLength bytes, and those that are parsed at most maxParsed: values are passed on unread. A message that
// cannot be part of the answer is a *MessageError as soon as its header tells, whatever length it promises.
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

// checkOrder checks whether a message of a type may come next: the parts of the row come once and in order, and none of
// them after an error.
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

// A DataRow's header: the message's, the number of columns, and the length of the first.
const (
	columnCountSize   = 2
	dataRowHeaderSize = headerSize + columnCountSize + lengthSize
	nullValueLength   = -1
)

// checkSize checks a message's size as soon as its header is complete, a DataRow's as soon as its own header is.
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

// isOneColumnRow reports whether a DataRow's header goes with its size: one column, whose value fills the message. It is
// true while the header is not complete.
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

// takeMessage takes in a complete message, which stays on the chain.
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

// parseBody parses a message's body and reports whether it is well formed.
func (a *Answer) parseBody(kind byte, body []byte) bool {
	switch kind {
	case kindRowDescription:
		a.descriptions++
		return describesOneColumn(body)
	case kindCommandComplete:
		a.completions++
		return len(body) > 1 && bytes.IndexByte(body, 0) == len(body)-1
	case kindAuthentication:
		return len(body) >= 4 && binary.BigEndian.Uint32(body) == 0 // AuthenticationOk: no password is asked for
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
	const fieldTailSize = 18 // bytes of a column's description after its name
	if len(body) <= columnCountSize || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	field := body[columnCountSize:]
	return bytes.IndexByte(field, 0) == len(field)-1-fieldTailSize
}

// parseParameterStatus takes in the parameters that the router looks at, and ignores others and malformed ones.
func (a *Answer) parseParameterStatus(body []byte) {
	parts := bytes.SplitN(body, zero, 3)
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

// Severities of errors.
const (
	severityError = "ERROR"
	severityFatal = "FATAL"
	severityPanic = "PANIC"
)

// errorCodeSize is the length of an error's code, in bytes.
const errorCodeSize = 5

// parseError takes in an ErrorResponse and reports whether it is well formed: fields that end with a zero, a code among
// them.
func (a *Answer) parseError(body []byte) bool {
	for len(body) > 1 {
		field, rest, ended := bytes.Cut(body, zero)
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
