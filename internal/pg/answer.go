package pg

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"

	"stoatdale.example/stoatdale/internal/buffer"
)

// Answer is what a member says to one query or to the start-up packet, collected until it is whole.
type Answer struct {
	Row        buffer.Chain // RowDescription, DataRow and CommandComplete as they came
	ErrorCode  string       // of an ErrorResponse
	Fatal      bool         // the member ends the connection after that
	PositionMs int64        // Unix milliseconds; 0: not told
	Role       string       // as told: off from a primary, on from a replica
	LoadReport string       // a report told beside the answer
	described, rows, completed,
	valueAt, value int // where the one value stands in the row, and its length
	whole bool
}

// ErrMalformedAnswer says that an answer is not one row in order, or an error.
var ErrMalformedAnswer = errors.New("malformed answer")

// RejectedWith says that the member turned the query away with a code before any part of a row.
func (a *Answer) RejectedWith(code string) bool {
	return a.whole && a.ErrorCode == code && a.described == 0
}

// HasRow says that the answer holds a row and nothing else.
func (a *Answer) HasRow() bool { return a.whole && a.ErrorCode == "" && a.oneRow() }

func (a *Answer) oneRow() bool { return a.described == 1 && a.rows == 1 && a.completed == 1 }

// Value is the one value of the row: what a probe is answered with.
func (a *Answer) Value() string {
	b := make([]byte, 0, a.value)
	a.Row.Each(a.valueAt, a.value, func(p []byte) { b = append(b, p...) })
	return string(b)
}

// Take takes whole messages of most bytes at the most off a chain. Those that are looked into are notes, and
// shorter; rows are passed on unseen. done says that the answer is at its end. What cannot be part of an answer
// is an error as soon as its head tells, whatever length it promises.
func (a *Answer) Take(in *buffer.Chain, most, note int) (done bool, err error) {
	for in.Len() > 0 {
		if err := a.expect(in.First()[0]); err != nil {
			return false, err
		}
		kind, size, ok, err := NextMessage(in, most)
		if err != nil || size == 0 {
			return false, err
		}
		if err := a.fits(in, kind, size, note); err != nil || !ok {
			return false, err
		}
		done, err := a.message(in, kind, size)
		if err != nil {
			return false, err
		}
		in.Skip(size)
		if done {
			a.whole = true
			return true, nil
		}
	}
	return false, nil
}

// expect says whether a kind of message may come next: the parts of the row come in one order, and nothing of
// it after an error.
func (a *Answer) expect(kind byte) error {
	ok := false
	switch kind {
	case 'T':
		ok = a.described == 0 && a.ErrorCode == ""
	case 'D':
		ok = a.described == 1 && a.rows == 0 && a.ErrorCode == ""
	case 'C':
		ok = a.rows == 1 && a.completed == 0 && a.ErrorCode == ""
	case 'R', 'S', 'E', 'Z', 'I', 'N', 'A', 'K':
		ok = true
	}
	if !ok {
		return fmt.Errorf("%w: a message %q out of place", ErrMalformedAnswer, kind)
	}
	return nil
}

// rowHead is a DataRow's head: kind, length, the number of columns, the length of the one.
const rowHead = headLen + 6

// fits checks a message's length as soon as its head is there.
func (a *Answer) fits(in *buffer.Chain, kind byte, size, note int) error {
	ok := true
	switch kind {
	case 'R', 'S', 'E', 'T', 'C':
		ok = size <= note
	case 'Z':
		ok = size == headLen+1
	case 'I':
		ok = size == headLen
	case 'D':
		var head [rowHead]byte
		if ok = size >= len(head); ok && in.Peek(head[:]) == len(head) {
			value := int(int32(binary.BigEndian.Uint32(head[headLen+2:])))
			ok = binary.BigEndian.Uint16(head[headLen:]) == 1 && (value == size-len(head) || value == -1 && size == len(head))
		}
	}
	if !ok {
		return fmt.Errorf("%w: %d bytes in a message %q", ErrMalformedAnswer, size, kind)
	}
	return nil
}

func (a *Answer) message(in *buffer.Chain, kind byte, size int) (done bool, err error) {
	switch kind {
	case 'N', 'A', 'K', 'I':
		return false, nil
	case 'D':
		a.rows++
		a.valueAt, a.value = a.Row.Len()+rowHead, size-rowHead
		in.CopyTo(&a.Row, 0, size)
		return false, nil
	}
	note := make([]byte, size)
	in.Peek(note)
	note = note[headLen:]
	ok := true
	switch kind {
	case 'T':
		a.described++
		ok = oneColumn(note)
		in.CopyTo(&a.Row, 0, size)
	case 'C':
		a.completed++
		ok = len(note) > 1 && bytes.IndexByte(note, 0) == len(note)-1
		in.CopyTo(&a.Row, 0, size)
	case 'R':
		ok = len(note) >= 4 && binary.BigEndian.Uint32(note) == 0 // no password is asked for
	case 'S':
		a.status(note)
	case 'E':
		ok = a.fail(note)
		done = ok && a.Fatal
	case 'Z':
		ok = bytes.IndexByte([]byte("ITE"), note[0]) >= 0 &&
			(a.described+a.rows+a.completed == 0 || a.ErrorCode != "" || a.oneRow())
		done = true
	}
	if !ok {
		return false, fmt.Errorf("%w: in a message %q", ErrMalformedAnswer, kind)
	}
	return done, nil
}

// oneColumn says whether a RowDescription describes one column.
func oneColumn(note []byte) bool {
	const count, rest = 2, 18 // bytes before the name and behind its final zero
	return len(note) > count && binary.BigEndian.Uint16(note) == 1 &&
		bytes.IndexByte(note[count:], 0) == len(note)-count-1-rest
}

func (a *Answer) status(note []byte) {
	parts := bytes.SplitN(note, zero, 3)
	if len(parts) < 3 {
		return
	}
	value := string(parts[1])
	switch string(parts[0]) {
	case "lsn_ms":
		if p, err := strconv.ParseInt(value, 10, 64); err == nil && p > 0 {
			a.PositionMs = p
		}
	case "recovery":
		a.Role = value
	case "health":
		a.LoadReport = value
	}
}

// fail reads an error, and says whether it is one: fields that end with a zero, a code among them.
func (a *Answer) fail(note []byte) bool {
	for len(note) > 1 {
		field, rest, ended := bytes.Cut(note, zero)
		if !ended || len(field) == 0 {
			return false
		}
		switch value := string(field[1:]); field[0] {
		case 'C':
			a.ErrorCode = value
		case 'S', 'V':
			a.Fatal = a.Fatal || value == "FATAL" || value == "PANIC"
		}
		note = rest
	}
	return len(note) == 1 && note[0] == 0 && len(a.ErrorCode) == codeLen
}

// codeLen is the length of an error's code.
const codeLen = 5
