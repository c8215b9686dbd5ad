// Package simproto is the codec of the simulator's frames. A frame is a header and packed little-endian records. The
// package knows only the layouts; it makes no decisions.
package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	headerSize = 16      // bytes of a batch's header: the body's length, the number of records and the clock
	chunkSize  = 1 << 20 // the most bytes of a body that are read, and made room for, at a time
)

// Errors of a record.
var (
	ErrOverrun       = errors.New("overruns its frame")
	ErrUnknownRecord = errors.New("unknown event")
)

// RecordError is the error of one record of a batch. Err is ErrOverrun, ErrUnknownRecord or the handler's error.
type RecordError struct {
	Index  uint32 // index of the record in its batch
	Code   byte   // code of the record's kind
	Offset int    // offset of the record in its frame, in bytes
	Err    error
}

// Error implements error. The text names the record and its offset.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record %d (code %d) at byte %d: %v", e.Index, e.Code, e.Offset, e.Err)
}

// Unwrap returns Err.
func (e *RecordError) Unwrap() error { return e.Err }

// Batch is one frame from the simulator.
type Batch struct {
	Clock uint64 // the simulator's clock, in nanoseconds
	count uint32 // number of records
	body  []byte
}

// ReadBatch reads one frame. The body is stored in buffer, which grows as needed and must not be used while the batch
// is. ReadBatch returns io.EOF only if the input ends between frames.
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

// readBody reads a number of bytes. It grows the buffer only as bytes arrive, so that a wrong length in a header does
// not allocate memory for bytes that never come.
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

// Buffer returns the batch's memory, so that the next ReadBatch can reuse it.
func (b Batch) Buffer() []byte { return b.body }

// Decode passes each record to the handler until the first error. An error in a record is a *RecordError.
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

// decodeRecord reads the fields of one record and calls the handler's method for it.
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
