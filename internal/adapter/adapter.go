// Package adapter hosts router instances on the simulator's wire. It decodes
// records into calls, keeps the alarms and encodes what comes back. The commands
// are kept in hand by package hand; nothing is decided here.
package adapter

import (
	"errors"
	"fmt"
	"io"
	"math"

	"stoatdale.example/stoatdale/internal/hand"
	"stoatdale.example/stoatdale/internal/index"
	"stoatdale.example/stoatdale/internal/router"
	"stoatdale.example/stoatdale/internal/site"
	"stoatdale.example/stoatdale/internal/wire"
)

// Serve answers batches from in on out until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	h := &hub{live: map[uint32]*instance{}, lists: map[int][]wire.Entry{}}
	var buf []byte
	for frame := 0; ; frame++ {
		b, err := wire.ReadBatch(in, buf)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", frame, err)
		}
		buf = b.Buffer()
		reply, err := h.answer(b)
		if err != nil {
			return fmt.Errorf("frame %d: %w", frame, err)
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("frame %d: writing the reply: %w", frame, err)
		}
	}
}

// hub spreads a batch over its instances.
type hub struct {
	clock   uint64
	live    map[uint32]*instance
	lists   map[int][]wire.Entry
	touched []*instance
	cur     *instance
	curID   uint32
	named   bool
	reply   wire.Reply
}

func (h *hub) answer(b wire.Batch) ([]byte, error) {
	h.clock, h.cur, h.named, h.touched = b.Clock, nil, false, h.touched[:0]
	if err := b.Decode(h); err != nil {
		return nil, err
	}
	h.reply.Reset()
	for _, in := range h.touched {
		in.finish(&h.reply)
	}
	return h.reply.Frame(), nil
}

// At implements wire.Handler.
func (h *hub) At(i uint32) error {
	h.curID, h.named = i, true
	if h.cur = h.live[i]; h.cur != nil {
		h.touch(h.cur)
	}
	return nil
}

func (h *hub) touch(in *instance) {
	if !in.touched {
		in.touched = true
		h.touched = append(h.touched, in)
	}
	in.now = seconds(int64(h.clock - in.base))
}

func (h *hub) instance() (*instance, error) {
	if !h.named {
		return nil, errors.New("event before any instance was named")
	}
	if h.cur == nil {
		return nil, fmt.Errorf("event for unknown instance %d", h.curID)
	}
	return h.cur, nil
}

// Up implements wire.Handler.
func (h *hub) Up(seed uint64, raw []byte) error {
	if !h.named {
		return errors.New("start before any instance was named")
	}
	h.drop()
	in := newInstance(h.curID, h.clock)
	told, err := site.ParseSettings(raw)
	if err == nil {
		told.PositionEpoch = seconds(int64(told.PositionZeroNs) - int64(h.clock))
		in.fields, in.groups = told.ReportFields, len(told.CommandGroups)
		in.router = router.New(told.Config, seed)
		in.hand = hand.New(in.router, in)
	}
	if err != nil {
		in.broken = err.Error()
	}
	h.live[h.curID], h.cur = in, in
	h.touch(in)
	return nil
}

// Crash implements wire.Handler.
func (h *hub) Crash() error {
	if _, err := h.instance(); err != nil {
		return err
	}
	h.drop()
	return nil
}

// drop forgets the current instance and all that it was about to say.
func (h *hub) drop() {
	if h.cur != nil {
		h.cur.dead = true
		delete(h.live, h.curID)
		h.cur = nil
	}
}

// List implements wire.Handler.
func (h *hub) List(id int, entries []wire.Entry) error {
	h.lists[id] = entries
	return nil
}

// Modes of an update.
const (
	modeDelta = iota
	modeFull
	modeCached
	modeFailed
)

// Update implements wire.Handler.
func (h *hub) Update(mode byte, id int) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	if mode > modeFailed {
		return fmt.Errorf("unknown list mode %d", mode)
	}
	if mode == modeFailed {
		return in.guard(func() { in.router.EndpointListFailed(in.now) })
	}
	list, ok := h.lists[id]
	if !ok {
		return fmt.Errorf("update names list %d, which was never defined", id)
	}
	return in.guard(func() { in.update(list, mode != modeDelta, mode == modeCached) })
}

// Job implements wire.Handler.
func (h *hub) Job(a wire.Asked) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	if in.broken == "" && a.Class >= in.groups {
		return fmt.Errorf("command %d names command group %d of %d", a.ID, a.Class, in.groups)
	}
	return in.guard(func() { in.job(a) })
}

// First implements wire.Handler; nothing is streamed here.
func (h *hub) First(uint32, int) error { _, err := h.instance(); return err }

// Alarm implements wire.Handler; what is due is seen to at the batch's end.
func (h *hub) Alarm(ref uint32) error {
	in, err := h.instance()
	if err == nil && ref == in.alarms {
		in.alarm = math.Inf(1)
	}
	return err
}

// Expired implements wire.Handler.
func (h *hub) Expired(id uint32) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	return in.guard(func() { in.hand.ClientGone(in.now, id) })
}

// Closed implements wire.Handler.
func (h *hub) Closed(e wire.Ended) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	if e.Code >= len(endings) {
		return fmt.Errorf("unknown outcome %d", e.Code)
	}
	return in.guard(func() { in.closed(e) })
}

// Probed implements wire.Handler.
func (h *hub) Probed(host wire.Host, code int, took uint64, load []float32) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	if code >= len(endings) {
		return fmt.Errorf("unknown outcome %d of a probe", code)
	}
	return in.guard(func() { in.probed(host, endings[code], took, load) })
}

const nano = 1e-9

func seconds(ns int64) float64 { return float64(ns) * nano }

// instance is one router with its timers and commands in hand.
type instance struct {
	id      uint32
	base    uint64
	now     float64
	router  *router.Router
	fields  []string
	groups  int
	broken  string
	dead    bool
	touched bool
	hand    *hand.Tracker
	alarm   float64
	alarms  uint32 // number of the alarm that counts
	hosts   *index.Table[wire.Host]
	sets    *index.Table[int]
	out     wire.Reply
}

func newInstance(id uint32, clock uint64) *instance {
	in := &instance{id: id, base: clock, alarm: math.Inf(1),
		hosts: index.New[wire.Host](), sets: index.New[int]()}
	in.out.Reset()
	return in
}

// guard turns a fault of the module into the instance's last words.
func (in *instance) guard(call func()) error {
	if in.broken != "" {
		return nil
	}
	defer func() {
		if p := recover(); p != nil {
			in.broken = fmt.Sprint("decision code failed: ", p)
		}
	}()
	call()
	return nil
}

func (in *instance) update(list []wire.Entry, whole, cached bool) {
	facts := make([]router.EndpointInfo, len(list))
	for i, e := range list {
		started := math.Inf(-1)
		if e.Started != 0 {
			started = seconds(int64(e.Started - in.base))
		}
		facts[i] = router.EndpointInfo{Index: in.hosts.At(e.Host), Shard: in.sets.At(e.Cell), Zone: e.Zone,
			State: router.EndpointState(e.State), StartedAt: started, Primary: e.Primary}
	}
	in.router.UpdateEndpoints(in.now, facts, whole, cached)
}

func (in *instance) job(a wire.Asked) {
	const repeatMark = 2
	set, ok := in.sets.Find(a.Cell)
	if !ok {
		set = -1
	}
	in.hand.Add(in.now, a.ID, router.Command{Group: a.Class, Shard: set,
		Session: a.Session, ArrivedAt: in.now, ClientDeadline: seconds(int64(a.Due - in.base)),
		LastWriteAge: a.WriteAge / 1000, ClientRetry: a.Marks&repeatMark != 0})
}

// endings translates the wire's outcome codes.
var endings = [...]router.Result{router.Answered, router.Errored, router.Overloaded, router.TimedOut,
	router.ConnectFailed, router.ConnectionLost, router.Canceled, router.NeverSent, router.NotServed}

func (in *instance) closed(e wire.Ended) {
	o := router.AttemptResult{Attempt: e.Leg, Result: endings[e.Code], Elapsed: seconds(int64(e.Took)),
		Final: e.Over, Role: router.Role(e.Note & 3), Position: -1}
	if p := e.Note >> 2; p != 0 {
		o.Position = float64(p) / 1000
	}
	in.hand.AttemptEnded(in.now, e.ID, o)
}

func (in *instance) probed(host wire.Host, ending router.Result, took uint64, load []float32) {
	node, known := in.hosts.Find(host)
	if !known {
		return
	}
	position, primary := -1.0, false
	for i, v := range load {
		if i < len(in.fields) && in.fields[i] == "x0" {
			position = float64(v)
		}
		if i < len(in.fields) && in.fields[i] == "x1" {
			primary = v == 1
		}
	}
	in.router.HealthChecked(in.now, node, ending, seconds(int64(took)), position, primary)
}

func (in *instance) stamp(at float64) uint64 { return in.base + uint64(math.Round(at/nano)) }

// Forward implements hand.Executor.
func (in *instance) Forward(id uint32, _, node int, until float64) {
	in.out.Attempt(id, in.hosts.Name(node), in.stamp(until))
}

// Cancel implements hand.Executor.
func (in *instance) Cancel(id uint32, leg int) { in.out.Recall(id, leg) }

// Reject implements hand.Executor.
func (in *instance) Reject(id uint32, comeBack float64) { in.out.PushBack(id, uint64(comeBack/nano)) }

// Fail implements hand.Executor.
func (in *instance) Fail(id uint32) { in.out.Abort(id) }

// finish asks about what is due, does the upkeep and sets the next alarm.
func (in *instance) finish(reply *wire.Reply) {
	in.touched = false
	if in.dead {
		return
	}
	_ = in.guard(in.settle)
	if in.broken != "" {
		in.out.Reset()
		in.out.Panic(in.broken)
	}
	const header = 4
	if in.out.Len() > header {
		reply.As(in.id)
		reply.Append(&in.out)
		in.out.Reset()
	}
}

func (in *instance) settle() {
	next, keep := in.hand.ReviewDue(in.now)
	for _, node := range keep.HealthCheck {
		in.out.Check(in.hosts.Name(node))
	}
	for _, node := range keep.Release {
		in.hosts.Free(node)
	}
	if keep.Subscribe {
		in.out.Follow()
	}
	if next < in.alarm {
		in.alarm = next
		in.alarms++
		in.out.Alarm(uint64(math.Max(0, math.Ceil((next-in.now)/nano))), in.alarms)
	}
}
