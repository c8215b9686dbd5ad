// Package simproto is the codec of the simulator's frames: little-endian, packed, records one after another. It knows
// layouts and makes no decisions.
package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	headerSize = 16      // of a batch: the body's length, the number of records, the clock
	chunkSize  = 1 << 20 // most bytes that the buffer grows by before they have arrived
)

// Faults of a record.
var (
	ErrOverrun       = errors.New("overruns its frame")
	ErrUnknownRecord = errors.New("unknown event")
)

// RecordError is a fault at one record of a batch. Err is ErrOverrun, ErrUnknownRecord or what the handler returned.
type RecordError struct {
	Index  uint32 // of the record in its batch
	Code   byte   // the record's kind
	Offset int    // of the record in its frame, in bytes
	Err    error
}

// Error names the record and its place.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record %d (code %d) at byte %d: %v", e.Index, e.Code, e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// Batch is one frame from the simulator.
type Batch struct {
	Clock uint64 // nanoseconds
	count uint32 // of records
	body  []byte
}

// ReadBatch reads one frame into a buffer, which grows where needed and belongs to the batch from then on. It returns
// io.EOF only at the end of the input between frames.
func ReadBatch(r io.Reader, buffer []byte) (Batch, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("truncated frame header: %w", err)
	}
	length := binary.LittleEndian.Uint32(header[0:])
	body, err := readBody(r, buffer[:0], int(length))
	if err != nil {
		return Batch{}, err
	}
	return Batch{
		Clock: binary.LittleEndian.Uint64(header[8:]),
		count: binary.LittleEndian.Uint32(header[4:]),
		body:  body,
	}, nil
}

// readBody grows its buffer only as bytes arrive, so that a false length costs no memory.
func readBody(r io.Reader, buffer []byte, missing int) ([]byte, error) {
	for missing > 0 {
		size := min(missing, chunkSize)
		start := len(buffer)
		if cap(buffer) < start+size {
			grown := make([]byte, start, 2*(start+size))
			copy(grown, buffer)
			buffer = grown
		}
		buffer = buffer[:start+size]
		if _, err := io.ReadFull(r, buffer[start:]); err != nil {
			return nil, fmt.Errorf("truncated frame body, %d bytes missing: %w", missing, err)
		}
		missing -= size
	}
	return buffer, nil
}

// Buffer gives the batch's memory back for the next read.
func (b Batch) Buffer() []byte { return b.body }

// Decode hands each record to the handler, up to the first fault, which is a *RecordError where it lies in a record.
func (b Batch) Decode(h Handler) error {
	c := &cursor{data: b.body}
	for i := range b.count {
		start := c.offset
		code := recordCode(c.uint8())
		if err := c.decodeRecord(code, h); err != nil {
			return &RecordError{Index: i, Code: byte(code), Offset: headerSize + start, Err: err}
		}
	}
	if trailing := c.remaining(); trailing > 0 {
		return fmt.Errorf("%d trailing bytes at byte %d", trailing, headerSize+c.offset)
	}
	return nil
}

// decodeRecord reads the fields of one record and hands it on.
func (c *cursor) decodeRecord(code recordCode, h Handler) error {
	if c.overrun {
		return ErrOverrun
	}
	if int(code) >= len(decoders) || decoders[code] == nil {
		return ErrUnknownRecord
	}
	handle := decoders[code](c)
	if c.overrun {
		return ErrOverrun
	}
	return handle(h)
}
