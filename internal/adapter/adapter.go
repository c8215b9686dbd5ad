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
	h := &host{instances: map[uint32]*instance{}, lists: map[int][]wire.Endpoint{}}
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
type host struct {
	clock     uint64
	instances map[uint32]*instance
	lists     map[int][]wire.Endpoint
	active    []*instance
	current   *instance
	currentID uint32
	selected  bool
	reply     wire.Reply
}

func (h *host) answer(b wire.Batch) ([]byte, error) {
	h.clock, h.current, h.selected, h.active = b.Clock, nil, false, h.active[:0]
	if err := b.Decode(h); err != nil {
		return nil, err
	}
	h.reply.Reset()
	for _, in := range h.active {
		in.finish(&h.reply)
	}
	return h.reply.Frame(), nil
}

// At implements wire.Handler.
func (h *host) SelectInstance(i uint32) error {
	h.currentID, h.selected = i, true
	if h.current = h.instances[i]; h.current != nil {
		h.activate(h.current)
	}
	return nil
}

func (h *host) activate(in *instance) {
	if !in.active {
		in.active = true
		h.active = append(h.active, in)
	}
	in.now = seconds(int64(h.clock - in.startClock))
}

func (h *host) instance() (*instance, error) {
	if !h.selected {
		return nil, errors.New("event before any instance was named")
	}
	if h.current == nil {
		return nil, fmt.Errorf("event for unknown instance %d", h.currentID)
	}
	return h.current, nil
}

// Up implements wire.Handler.
func (h *host) StartInstance(seed uint64, raw []byte) error {
	if !h.selected {
		return errors.New("start before any instance was named")
	}
	h.drop()
	in := newInstance(h.currentID, h.clock)
	told, err := site.ParseSettings(raw)
	if err == nil {
		told.PositionEpoch = seconds(int64(told.PositionZeroNs) - int64(h.clock))
		in.reportFields, in.groupCount = told.ReportFields, len(told.CommandGroups)
		in.router = router.New(told.Config, seed)
		in.commands = hand.New(in.router, in)
	}
	if err != nil {
		in.fault = err.Error()
	}
	h.instances[h.currentID], h.current = in, in
	h.activate(in)
	return nil
}

// Crash implements wire.Handler.
func (h *host) CrashInstance() error {
	if _, err := h.instance(); err != nil {
		return err
	}
	h.drop()
	return nil
}

// drop forgets the current instance and all that it was about to say.
func (h *host) drop() {
	if h.current != nil {
		h.current.crashed = true
		delete(h.instances, h.currentID)
		h.current = nil
	}
}

// List implements wire.Handler.
func (h *host) DefineList(id int, entries []wire.Endpoint) error {
	h.lists[id] = entries
	return nil
}

// Modes of an update.
const (
	listChanges = iota
	listComplete
	listCached
	listFailed
)

// Update implements wire.Handler.
func (h *host) UpdateList(mode byte, id int) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	if mode > listFailed {
		return fmt.Errorf("unknown list mode %d", mode)
	}
	if mode == listFailed {
		return in.guard(func() { in.router.EndpointListFailed(in.now) })
	}
	list, ok := h.lists[id]
	if !ok {
		return fmt.Errorf("update names list %d, which was never defined", id)
	}
	return in.guard(func() { in.updateList(list, mode != listChanges, mode == listCached) })
}

// Job implements wire.Handler.
func (h *host) Command(a wire.Command) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	if in.fault == "" && a.Group >= in.groupCount {
		return fmt.Errorf("command %d names command group %d of %d", a.ID, a.Group, in.groupCount)
	}
	return in.guard(func() { in.command(a) })
}

// First implements wire.Handler; nothing is streamed here.
func (h *host) FirstByte(uint32, int) error { _, err := h.instance(); return err }

// Alarm implements wire.Handler; what is due is seen to at the batch's end.
func (h *host) TimerFired(ref uint32) error {
	in, err := h.instance()
	if err == nil && ref == in.timerNumber {
		in.timerAt = math.Inf(1)
	}
	return err
}

// Expired implements wire.Handler.
func (h *host) ClientGone(id uint32) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	return in.guard(func() { in.commands.ClientGone(in.now, id) })
}

// Closed implements wire.Handler.
func (h *host) AttemptEnded(e wire.AttemptEnded) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	if e.Result >= len(results) {
		return fmt.Errorf("unknown outcome %d", e.Result)
	}
	return in.guard(func() { in.attemptEnded(e) })
}

// Probed implements wire.Handler.
func (h *host) HealthChecked(host wire.Address, code int, took uint64, load []float32) error {
	in, err := h.instance()
	if err != nil {
		return err
	}
	if code >= len(results) {
		return fmt.Errorf("unknown outcome %d of a probe", code)
	}
	return in.guard(func() { in.healthChecked(host, results[code], took, load) })
}

const secondsPerNanosecond = 1e-9

func seconds(ns int64) float64 { return float64(ns) * secondsPerNanosecond }

// instance is one router with its timers and commands in hand.
type instance struct {
	id           uint32
	startClock   uint64
	now          float64
	router       *router.Router
	reportFields []string
	groupCount   int
	fault        string
	crashed      bool
	active       bool
	commands     *hand.Tracker
	timerAt      float64
	timerNumber  uint32 // number of the alarm that counts
	addresses    *index.Table[wire.Address]
	shards       *index.Table[int]
	actions      wire.Reply
}

func newInstance(id uint32, clock uint64) *instance {
	in := &instance{id: id, startClock: clock, timerAt: math.Inf(1),
		addresses: index.New[wire.Address](), shards: index.New[int]()}
	in.actions.Reset()
	return in
}

// guard turns a fault of the module into the instance's last words.
func (in *instance) guard(call func()) error {
	if in.fault != "" {
		return nil
	}
	defer func() {
		if p := recover(); p != nil {
			in.fault = fmt.Sprint("decision code failed: ", p)
		}
	}()
	call()
	return nil
}

func (in *instance) updateList(list []wire.Endpoint, whole, cached bool) {
	facts := make([]router.EndpointInfo, len(list))
	for i, e := range list {
		started := math.Inf(-1)
		if e.StartedAt != 0 {
			started = seconds(int64(e.StartedAt - in.startClock))
		}
		facts[i] = router.EndpointInfo{Index: in.addresses.At(e.Address), Shard: in.shards.At(e.Shard), Zone: e.Zone,
			State: router.EndpointState(e.State), StartedAt: started, Primary: e.Primary}
	}
	in.router.UpdateEndpoints(in.now, facts, whole, cached)
}

func (in *instance) command(a wire.Command) {
	const repeatMark = 2
	set, ok := in.shards.Find(a.Shard)
	if !ok {
		set = -1
	}
	in.commands.Add(in.now, a.ID, router.Command{Group: a.Group, Shard: set,
		Session: a.Session, ArrivedAt: in.now, ClientDeadline: seconds(int64(a.Deadline - in.startClock)),
		LastWriteAge: a.LastWriteAgeMs / 1000, ClientRetry: a.Flags&repeatMark != 0})
}

// endings translates the wire's outcome codes.
var results = [...]router.Result{router.Answered, router.Errored, router.Overloaded, router.TimedOut,
	router.ConnectFailed, router.ConnectionLost, router.Canceled, router.NeverSent, router.NotServed}

func (in *instance) attemptEnded(e wire.AttemptEnded) {
	o := router.AttemptResult{Attempt: e.Attempt, Result: results[e.Result], Elapsed: seconds(int64(e.Elapsed)),
		Final: e.Final, Role: router.Role(e.PositionAndRole & 3), Position: -1}
	if p := e.PositionAndRole >> 2; p != 0 {
		o.Position = float64(p) / 1000
	}
	in.commands.AttemptEnded(in.now, e.Command, o)
}

func (in *instance) healthChecked(host wire.Address, ending router.Result, took uint64, load []float32) {
	node, known := in.addresses.Find(host)
	if !known {
		return
	}
	position, primary := -1.0, false
	for i, v := range load {
		if i < len(in.reportFields) && in.reportFields[i] == "x0" {
			position = float64(v)
		}
		if i < len(in.reportFields) && in.reportFields[i] == "x1" {
			primary = v == 1
		}
	}
	in.router.HealthChecked(in.now, node, ending, seconds(int64(took)), position, primary)
}

func (in *instance) clock(at float64) uint64 {
	return in.startClock + uint64(math.Round(at/secondsPerNanosecond))
}

// Forward implements hand.Executor.
func (in *instance) Forward(id uint32, _, node int, until float64) {
	in.actions.Forward(id, in.addresses.Name(node), in.clock(until))
}

// Cancel implements hand.Executor.
func (in *instance) Cancel(id uint32, leg int) { in.actions.CancelAttempt(id, leg) }

// Reject implements hand.Executor.
func (in *instance) Reject(id uint32, comeBack float64) {
	in.actions.Reject(id, uint64(comeBack/secondsPerNanosecond))
}

// Fail implements hand.Executor.
func (in *instance) Fail(id uint32) { in.actions.Fail(id) }

// finish asks about what is due, does the upkeep and sets the next alarm.
func (in *instance) finish(reply *wire.Reply) {
	in.active = false
	if in.crashed {
		return
	}
	_ = in.guard(in.settle)
	if in.fault != "" {
		in.actions.Reset()
		in.actions.ReportFault(in.fault)
	}
	const header = 4
	if in.actions.Len() > header {
		reply.SelectInstance(in.id)
		reply.Append(&in.actions)
		in.actions.Reset()
	}
}

func (in *instance) settle() {
	next, keep := in.commands.ReviewDue(in.now)
	for _, node := range keep.HealthCheck {
		in.actions.HealthCheck(in.addresses.Name(node))
	}
	for _, node := range keep.Release {
		in.addresses.Free(node)
	}
	if keep.Subscribe {
		in.actions.Subscribe()
	}
	if next < in.timerAt {
		in.timerAt = next
		in.timerNumber++
		in.actions.SetTimer(uint64(math.Max(0, math.Ceil((next-in.now)/secondsPerNanosecond))), in.timerNumber)
	}
}
