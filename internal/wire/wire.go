// Package wire is the codec of the simulator's frames: little-endian, packed,
// records one after another. It knows layouts and nothing of decisions.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Host is a database host's address and port as the wire carries them.
type Host [6]byte

// Entry is one line of a list.
type Entry struct {
	Host    Host
	Zone    int
	Cell    int
	State   int
	Weight  float64
	Started uint64
	Primary bool
}

// Ended is how one dispatch ended.
type Ended struct {
	ID   uint32
	Leg  int
	Host Host
	Code int
	Took uint64
	Over bool
	Note uint32
}

// Asked is a command as a client sent it.
type Asked struct {
	ID       uint32
	Class    int
	Tenant   int
	Session  uint64
	Due      uint64
	Cell     int
	WriteAge float64
	Marks    byte
}

// Handler takes the records of a batch in their order.
type Handler interface {
	At(instance uint32) error
	Up(seed uint64, params []byte) error
	Crash() error
	List(id int, entries []Entry) error
	Update(mode byte, id int) error
	Job(Asked) error
	First(id uint32, leg int) error
	Closed(Ended) error
	Expired(id uint32) error
	Alarm(ref uint32) error
	Probed(h Host, code int, took uint64, load []float32) error
}

// Record codes of a batch.
const (
	codeFirst = iota + 1
	codePeer
	codeUp
	codeClosed
	codeFor
	codeCrash
	codeAlarm
	codeExpired
	codeJob
	codeUpdate
	codeList
	codeProbed
)

const (
	headerLen = 16
	entryLen  = 28
	chunkLen  = 1 << 20
)

// Batch is one frame from the simulator.
type Batch struct {
	Clock uint64
	count uint32
	body  []byte
}

// ReadBatch reads one frame. It returns io.EOF only at the end of input between frames.
func ReadBatch(r io.Reader, buf []byte) (Batch, error) {
	var head [headerLen]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("truncated frame header: %w", err)
	}
	length := binary.LittleEndian.Uint32(head[0:])
	b := Batch{count: binary.LittleEndian.Uint32(head[4:]), Clock: binary.LittleEndian.Uint64(head[8:])}
	body, err := readBody(r, buf[:0], int(length))
	if err != nil {
		return Batch{}, err
	}
	b.body = body
	return b, nil
}

// readBody grows its buffer only as bytes arrive, so that a false length costs no memory.
func readBody(r io.Reader, buf []byte, left int) ([]byte, error) {
	for left > 0 {
		n := min(left, chunkLen)
		start := len(buf)
		if cap(buf) < start+n {
			grown := make([]byte, start, 2*(start+n))
			copy(grown, buf)
			buf = grown
		}
		buf = buf[:start+n]
		if _, err := io.ReadFull(r, buf[start:]); err != nil {
			return nil, fmt.Errorf("truncated frame body, %d bytes missing: %w", left, err)
		}
		left -= n
	}
	return buf, nil
}

// Buffer gives the batch's memory back for the next read.
func (b Batch) Buffer() []byte { return b.body }

type cursor struct {
	b   []byte
	at  int
	bad bool
}

func (c *cursor) take(n int) []byte {
	if c.bad || n < 0 || n > len(c.b)-c.at {
		c.bad = true
		return nil
	}
	s := c.b[c.at : c.at+n]
	c.at += n
	return s
}

func (c *cursor) u8() byte {
	if s := c.take(1); s != nil {
		return s[0]
	}
	return 0
}

func (c *cursor) u16() int {
	if s := c.take(2); s != nil {
		return int(binary.LittleEndian.Uint16(s))
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if s := c.take(4); s != nil {
		return binary.LittleEndian.Uint32(s)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if s := c.take(8); s != nil {
		return binary.LittleEndian.Uint64(s)
	}
	return 0
}

func (c *cursor) f32() float32 { return math.Float32frombits(c.u32()) }

func (c *cursor) host() (h Host) {
	copy(h[:], c.take(len(h)))
	return h
}

func (c *cursor) loads() []float32 {
	n := int(c.u8())
	if n == 0 || c.bad || n*4 > len(c.b)-c.at {
		c.bad = c.bad || n > 0
		return nil
	}
	out := make([]float32, n)
	for i := range out {
		out[i] = c.f32()
	}
	return out
}

func (c *cursor) entries() []Entry {
	n := int(c.u32())
	if c.bad || n > (len(c.b)-c.at)/entryLen {
		c.bad = true
		return nil
	}
	out := make([]Entry, n)
	for i := range out {
		e := &out[i]
		e.Host = c.host()
		e.Zone = c.u16()
		c.u8()
		e.Cell = c.u16()
		e.State = int(c.u8())
		e.Weight = float64(c.f32())
		e.Started = c.u64()
		e.Primary = c.f32() == 1
	}
	return out
}

// Decode hands each record to h. An error names the record and its place.
func (b Batch) Decode(h Handler) error {
	c := &cursor{b: b.body}
	for i := uint32(0); i < b.count; i++ {
		start := c.at
		code := c.u8()
		if err := c.record(code, h); err != nil {
			return fmt.Errorf("record %d (code %d) at byte %d: %w", i, code, headerLen+start, err)
		}
	}
	if c.at != len(c.b) {
		return fmt.Errorf("%d trailing bytes at byte %d", len(c.b)-c.at, headerLen+c.at)
	}
	return nil
}

var errOverrun = errors.New("overruns its frame")

func (c *cursor) record(code byte, h Handler) error {
	call := c.fields(code, h)
	if c.bad {
		return errOverrun
	}
	if call == nil {
		return errors.New("unknown event")
	}
	return call()
}

func (c *cursor) fields(code byte, h Handler) func() error {
	switch code {
	case codeFirst:
		id, leg := c.u32(), int(c.u8())
		c.host()
		c.u64()
		return func() error { return h.First(id, leg) }
	case codePeer:
		c.u16()
		c.take(c.u16())
		return func() error { return nil }
	case codeUp:
		seed := c.u64()
		params := c.take(int(c.u32()))
		return func() error { return h.Up(seed, params) }
	case codeClosed:
		e := Ended{ID: c.u32(), Leg: int(c.u8()), Host: c.host(), Code: c.u16(), Took: c.u64(), Over: c.u8() != 0}
		e.Note = c.u32()
		c.loads()
		return func() error { return h.Closed(e) }
	case codeFor:
		i := c.u32()
		return func() error { return h.At(i) }
	case codeCrash:
		return h.Crash
	case codeAlarm:
		ref := c.u32()
		return func() error { return h.Alarm(ref) }
	case codeExpired:
		id := c.u32()
		return func() error { return h.Expired(id) }
	case codeJob:
		a := Asked{ID: c.u32(), Class: c.u16(), Tenant: int(c.u32()), Session: c.u64(), Due: c.u64()}
		c.u64()
		a.Cell, a.WriteAge, a.Marks = int(c.f32()), float64(c.f32()), c.u8()
		return func() error { return h.Job(a) }
	case codeUpdate:
		mode := c.u8()
		c.u32()
		id := c.u16()
		return func() error { return h.Update(mode, id) }
	case codeList:
		id, list := c.u16(), c.entries()
		return func() error { return h.List(id, list) }
	case codeProbed:
		code, took, host := c.u16(), c.u64(), c.host()
		load := c.loads()
		return func() error { return h.Probed(host, code, took, load) }
	}
	return nil
}

// Reply collects the actions that answer one batch.
type Reply struct{ b []byte }

// Reset empties the reply, leaving room for its header.
func (r *Reply) Reset() { r.b = append(r.b[:0], 0, 0, 0, 0) }

// Frame returns the reply with its length filled in.
func (r *Reply) Frame() []byte {
	binary.LittleEndian.PutUint32(r.b, uint32(len(r.b)-4))
	return r.b
}

// Len is the number of bytes so far.
func (r *Reply) Len() int { return len(r.b) }

// As names the instance of the actions that follow.
func (r *Reply) As(i uint32) { r.b = binary.LittleEndian.AppendUint32(append(r.b, 13), i) }

// Attempt sends a command to a host; it times out at the clock time until.
func (r *Reply) Attempt(id uint32, h Host, until uint64) {
	r.b = binary.LittleEndian.AppendUint32(append(r.b, 1), id)
	r.b = binary.LittleEndian.AppendUint64(append(r.b, h[:]...), until)
}

// Abort ends a command as failed.
func (r *Reply) Abort(id uint32) { r.b = binary.LittleEndian.AppendUint32(append(r.b, 3), id) }

// Recall calls one attempt off.
func (r *Reply) Recall(id uint32, leg int) {
	r.b = append(binary.LittleEndian.AppendUint32(append(r.b, 4), id), byte(leg))
}

// PushBack ends a command as throttled.
func (r *Reply) PushBack(id uint32, comeBack uint64) {
	r.b = binary.LittleEndian.AppendUint32(append(r.b, 6), id)
	r.b = binary.LittleEndian.AppendUint64(r.b, comeBack)
}

// Alarm asks for a timer after delay nanoseconds.
func (r *Reply) Alarm(delay uint64, ref uint32) {
	r.b = binary.LittleEndian.AppendUint64(append(r.b, 7), delay)
	r.b = binary.LittleEndian.AppendUint32(r.b, ref)
}

// Follow subscribes to the list.
func (r *Reply) Follow() { r.b = append(r.b, 8, 1) }

// Check probes a host.
func (r *Reply) Check(h Host) { r.b = append(append(r.b, 11), h[:]...) }

// Panic reports that an instance cannot go on.
func (r *Reply) Panic(text string) {
	const most = math.MaxUint16
	if len(text) > most {
		text = text[:most]
	}
	r.b = binary.LittleEndian.AppendUint16(append(r.b, 10), uint16(len(text)))
	r.b = append(r.b, text...)
}

// Append adds another reply's actions.
func (r *Reply) Append(o *Reply) { r.b = append(r.b, o.b[4:]...) }
