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
	Row      buffer.Chain // RowDescription, DataRow and CommandComplete as they came
	Code     string       // of an ErrorResponse
	Fatal    bool         // the member ends the connection after that
	Position int64        // Unix milliseconds; 0: not told
	Role     string       // as told: off from a primary, on from a replica
	Health   string       // a report told beside the answer
	described, rows, completed,
	valueAt, value int // where the one value stands in the row, and its length; 0: none, or longer than a note
	whole bool
}

// ErrShape says that an answer is not one row in order, or an error.
var ErrShape = errors.New("malformed answer")

// Served says that the answer holds a row and nothing else.
func (a *Answer) Served() bool { return a.whole && a.Code == "" && a.oneRow() }

func (a *Answer) oneRow() bool { return a.described == 1 && a.rows == 1 && a.completed == 1 }

// Report is the one value of the row, if it is no longer than a note: what a probe is answered with.
func (a *Answer) Report() string {
	b := make([]byte, 0, a.value)
	a.Row.Each(a.valueAt, a.value, func(p []byte) { b = append(b, p...) })
	return string(b)
}

// Take takes whole messages of most bytes at the most off a chain. Those that are looked into are notes, and
// shorter; rows are passed on unseen. done says that the answer is at its end.
func (a *Answer) Take(in *buffer.Chain, most, note int) (done bool, err error) {
	for {
		kind, size, ok, err := Next(in, most)
		if err != nil || !ok {
			return false, err
		}
		done, err := a.message(in, kind, size, note)
		if err != nil {
			return false, err
		}
		in.Skip(size)
		if done {
			a.whole = true
			return true, nil
		}
	}
}

func (a *Answer) message(in *buffer.Chain, kind byte, size, most int) (done bool, err error) {
	switch kind {
	case 'T', 'D', 'C':
		return false, a.part(in, kind, size, most)
	case 'N', 'A', 'K':
		return false, nil
	case 'R', 'S', 'E', 'Z', 'I':
	default:
		return false, fmt.Errorf("%w: a message %q", ErrShape, kind)
	}
	if size > most {
		return false, fmt.Errorf("%w: %d bytes in a message %q", ErrShape, size, kind)
	}
	note := make([]byte, size)
	in.Peek(note)
	note = note[headLen:]
	switch kind {
	case 'R':
		if len(note) < 4 || binary.BigEndian.Uint32(note) != 0 {
			return false, fmt.Errorf("%w: a password is asked for", ErrShape)
		}
	case 'S':
		a.status(note)
	case 'E':
		a.fail(note)
		return a.Fatal, nil
	case 'Z':
		if a.described+a.rows+a.completed > 0 && a.Code == "" && !a.oneRow() {
			return false, fmt.Errorf("%w: %d rows", ErrShape, a.rows)
		}
		return true, nil
	}
	return false, nil
}

// part keeps a part of the row; they come in one order, and the row has one column.
func (a *Answer) part(in *buffer.Chain, kind byte, size, most int) error {
	ok := false
	switch kind {
	case 'T':
		a.described++
		ok = a.described == 1 && a.rows == 0 && a.completed == 0
	case 'D':
		a.rows++
		var head [headLen + 6]byte
		got := in.Peek(head[:])
		value := int(int32(binary.BigEndian.Uint32(head[headLen+2:])))
		ok = a.described == 1 && a.rows == 1 && a.completed == 0 && got == len(head) && size >= len(head) &&
			binary.BigEndian.Uint16(head[headLen:]) == 1 && (value == size-len(head) || value == -1)
		if ok && value >= 0 && value <= most {
			a.valueAt, a.value = a.Row.Len()+len(head), value
		}
	case 'C':
		a.completed++
		ok = a.rows == 1 && a.completed == 1
	}
	if !ok || a.Code != "" {
		return fmt.Errorf("%w: a message %q out of place", ErrShape, kind)
	}
	in.CopyTo(&a.Row, 0, size)
	return nil
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
			a.Position = p
		}
	case "recovery":
		a.Role = value
	case "health":
		a.Health = value
	}
}

func (a *Answer) fail(note []byte) {
	a.Code = "?"
	for _, field := range bytes.Split(note, zero) {
		if len(field) < 2 {
			continue
		}
		switch value := string(field[1:]); field[0] {
		case 'C':
			a.Code = value
		case 'S', 'V':
			a.Fatal = a.Fatal || value == "FATAL" || value == "PANIC"
		}
	}
}
