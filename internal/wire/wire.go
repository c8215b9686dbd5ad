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
type Address [6]byte

// Entry is one line of a list.
type Endpoint struct {
	Address   Address
	Zone      int
	Shard     int
	State     int
	Weight    float64
	StartedAt uint64
	Primary   bool
}

// Ended is how one dispatch ended.
type AttemptEnded struct {
	Command         uint32
	Attempt         int
	Address         Address
	Result          int
	Elapsed         uint64
	Final           bool
	PositionAndRole uint32
}

// Asked is a command as a client sent it.
type Command struct {
	ID             uint32
	Group          int
	Tenant         int
	Session        uint64
	Deadline       uint64
	Shard          int
	LastWriteAgeMs float64
	Flags          byte
}

// Handler takes the records of a batch in their order.
type Handler interface {
	SelectInstance(instance uint32) error
	StartInstance(seed uint64, params []byte) error
	CrashInstance() error
	DefineList(id int, entries []Endpoint) error
	UpdateList(mode byte, id int) error
	Command(Command) error
	FirstByte(id uint32, leg int) error
	AttemptEnded(AttemptEnded) error
	ClientGone(id uint32) error
	TimerFired(ref uint32) error
	HealthChecked(h Address, code int, took uint64, load []float32) error
}

// Record codes of a batch.
const (
	recordFirstByte = iota + 1
	recordPeerMessage
	recordStartInstance
	recordAttemptEnded
	recordSelectInstance
	recordCrashInstance
	recordTimerFired
	recordClientGone
	recordCommand
	recordUpdateList
	recordDefineList
	recordHealthChecked
)

const (
	headerSize   = 16
	endpointSize = 28
	chunkSize    = 1 << 20
)

// Batch is one frame from the simulator.
type Batch struct {
	Clock uint64
	count uint32
	body  []byte
}

// ReadBatch reads one frame. It returns io.EOF only at the end of input between frames.
func ReadBatch(r io.Reader, buf []byte) (Batch, error) {
	var head [headerSize]byte
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
		n := min(left, chunkSize)
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

func (c *cursor) host() (h Address) {
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

func (c *cursor) entries() []Endpoint {
	n := int(c.u32())
	if c.bad || n > (len(c.b)-c.at)/endpointSize {
		c.bad = true
		return nil
	}
	out := make([]Endpoint, n)
	for i := range out {
		e := &out[i]
		e.Address = c.host()
		e.Zone = c.u16()
		c.u8()
		e.Shard = c.u16()
		e.State = int(c.u8())
		e.Weight = float64(c.f32())
		e.StartedAt = c.u64()
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
			return fmt.Errorf("record %d (code %d) at byte %d: %w", i, code, headerSize+start, err)
		}
	}
	if c.at != len(c.b) {
		return fmt.Errorf("%d trailing bytes at byte %d", len(c.b)-c.at, headerSize+c.at)
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
	case recordFirstByte:
		id, leg := c.u32(), int(c.u8())
		c.host()
		c.u64()
		return func() error { return h.FirstByte(id, leg) }
	case recordPeerMessage:
		c.u16()
		c.take(c.u16())
		return func() error { return nil }
	case recordStartInstance:
		seed := c.u64()
		params := c.take(int(c.u32()))
		return func() error { return h.StartInstance(seed, params) }
	case recordAttemptEnded:
		e := AttemptEnded{Command: c.u32(), Attempt: int(c.u8()), Address: c.host(), Result: c.u16(), Elapsed: c.u64(), Final: c.u8() != 0}
		e.PositionAndRole = c.u32()
		c.loads()
		return func() error { return h.AttemptEnded(e) }
	case recordSelectInstance:
		i := c.u32()
		return func() error { return h.SelectInstance(i) }
	case recordCrashInstance:
		return h.CrashInstance
	case recordTimerFired:
		ref := c.u32()
		return func() error { return h.TimerFired(ref) }
	case recordClientGone:
		id := c.u32()
		return func() error { return h.ClientGone(id) }
	case recordCommand:
		a := Command{ID: c.u32(), Group: c.u16(), Tenant: int(c.u32()), Session: c.u64(), Deadline: c.u64()}
		c.u64()
		a.Shard, a.LastWriteAgeMs, a.Flags = int(c.f32()), float64(c.f32()), c.u8()
		return func() error { return h.Command(a) }
	case recordUpdateList:
		mode := c.u8()
		c.u32()
		id := c.u16()
		return func() error { return h.UpdateList(mode, id) }
	case recordDefineList:
		id, list := c.u16(), c.entries()
		return func() error { return h.DefineList(id, list) }
	case recordHealthChecked:
		code, took, host := c.u16(), c.u64(), c.host()
		load := c.loads()
		return func() error { return h.HealthChecked(host, code, took, load) }
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
func (r *Reply) SelectInstance(i uint32) { r.b = binary.LittleEndian.AppendUint32(append(r.b, 13), i) }

// Attempt sends a command to a host; it times out at the clock time until.
func (r *Reply) Forward(id uint32, h Address, until uint64) {
	r.b = binary.LittleEndian.AppendUint32(append(r.b, 1), id)
	r.b = binary.LittleEndian.AppendUint64(append(r.b, h[:]...), until)
}

// Abort ends a command as failed.
func (r *Reply) Fail(id uint32) { r.b = binary.LittleEndian.AppendUint32(append(r.b, 3), id) }

// Recall calls one attempt off.
func (r *Reply) CancelAttempt(id uint32, leg int) {
	r.b = append(binary.LittleEndian.AppendUint32(append(r.b, 4), id), byte(leg))
}

// PushBack ends a command as throttled.
func (r *Reply) Reject(id uint32, comeBack uint64) {
	r.b = binary.LittleEndian.AppendUint32(append(r.b, 6), id)
	r.b = binary.LittleEndian.AppendUint64(r.b, comeBack)
}

// Alarm asks for a timer after delay nanoseconds.
func (r *Reply) SetTimer(delay uint64, ref uint32) {
	r.b = binary.LittleEndian.AppendUint64(append(r.b, 7), delay)
	r.b = binary.LittleEndian.AppendUint32(r.b, ref)
}

// Follow subscribes to the list.
func (r *Reply) Subscribe() { r.b = append(r.b, 8, 1) }

// Check probes a host.
func (r *Reply) HealthCheck(h Address) { r.b = append(append(r.b, 11), h[:]...) }

// Panic reports that an instance cannot go on.
func (r *Reply) ReportFault(text string) {
	const most = math.MaxUint16
	if len(text) > most {
		text = text[:most]
	}
	r.b = binary.LittleEndian.AppendUint16(append(r.b, 10), uint16(len(text)))
	r.b = append(r.b, text...)
}

// Append adds another reply's actions.
func (r *Reply) Append(o *Reply) { r.b = append(r.b, o.b[4:]...) }
