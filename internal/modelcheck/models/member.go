package models

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"
	"strings"

	"stoatdale.example/stoatdale/internal/backend"
	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/metrics"
	"stoatdale.example/stoatdale/internal/modelcheck"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

var memberKind = Kind{
	Name: "member", Words: "connections to one member, with the member, the network below them and time as the adversary",
	Faults: map[string]Fault{
		"previous-reply": {
			"what a connection brings between two commands is not noticed: the next takes it for its own",
			Bounds{Commands: []string{"look", "look"}, Faults: 1, Ticks: 1},
		},
		"early-write": {
			"the last byte of a statement counts as written, and is not",
			Bounds{Commands: []string{"look"}, Faults: 1},
		},
		"late-write": {
			"the last byte of what is written counts as unwritten",
			Bounds{Commands: []string{"look"}, Faults: 1},
		},
		"twice": {
			"a dispatch that was called off ends once more as its connection does",
			Bounds{Commands: []string{"look"}, Faults: 1},
		},
		"kept": {
			"a connection that is closed stays open",
			Bounds{Commands: []string{"look"}, Faults: 1},
		},
	},
	New: func(b Bounds, fault string) func() modelcheck.System {
		return func() modelcheck.System { return newMember(b, fault) }
	},
}

// members is the system: dispatches to one member over the connections of package backend.
type members struct {
	bounds Bounds
	fault  string
	wire   *wire
	m      *backend.Pool
	blocks *buffer.Pool
	sends  []*sending
	faults int
	ticks  int
	check  invariant.AttemptChecker
	order  []int // descriptors, in the order in which they came
	closed bool
	pg     map[int]*peer
}

// sending is one command's dispatch.
type sending struct {
	d     *backend.Attempt
	text  buffer.Chain
	state int // 0: not yet sent, 1: out, 2: ended
}

// peer is the member's end of a connection: what it has made of what was written.
type peer struct {
	greeted bool
	read    int // bytes of sent that were understood
	asked   []string
	half    []byte // of an answer, still to come
	last    []byte
}

const memberStatement = "SELECT doc FROM items WHERE id = '%c' /* id=%d,c=look,d=900,cluster=2 */\x00"

func newMember(b Bounds, fault string) *members {
	s := &members{bounds: b, fault: fault, wire: newWire(), blocks: buffer.NewPool(512, 1<<16), pg: map[int]*peer{}}
	limits := &config.Limits{
		Sizes: config.Sizes{
			ReadPerTurn: 1 << 16, BackendMessage: 1 << 16, InspectedMessage: 1 << 10, BufferBlock: 4 << 10,
		},
		Counts: config.Counts{
			BackendConnections: 4, SharedDescriptors: 9,
		},
		Durations: config.Durations{
			ConnectTimeout: 1, HealthCheckTimeout: 1, BackendIdleTimeout: 3, ReuseDelay: 0, StatementWriteTimeout: 1,
		},
	}
	s.wire.deafQuiet, s.wire.earlyByte = fault == "previous-reply", fault == "early-write"
	s.wire.lateByte, s.wire.keepOpen = fault == "late-write", fault == "kept"
	s.m = backend.New(s.wire, limits, s.blocks, memberSink{s}, &metrics.Counters{})
	s.m.SetAddress(0, netip.MustParseAddrPort("127.0.0.1:5432"), false)
	for i := range b.Commands {
		x := &sending{text: s.blocks.NewChain()}
		text := fmt.Sprintf(memberStatement, 'a'+i, i+1)
		x.text.Write([]byte(text))
		from := strings.Index(text, "d=900") + 2
		x.d = &backend.Attempt{CommandID: uint32(i), Statement: &x.text, WaitStart: from, WaitEnd: from + 3}
		s.sends = append(s.sends, x)
	}
	return s
}

// memberSink is told how dispatches end.
type memberSink struct{ *members }

// Wanted implements backend.ResultHandler.
func (memberSink) Wanted(*backend.Attempt) bool { return true }

// AttemptEnded implements backend.ResultHandler.
func (s memberSink) AttemptEnded(d *backend.Attempt, e router.Result, _ float64, a *pg.Answer) {
	x := s.sends[d.CommandID]
	x.state = 2
	never := e == router.ConnectFailed || e == router.NeverSent
	if e != router.Overloaded { // which says itself that it never ran
		s.check.AttemptEnded(int(d.CommandID), never, s.written(int(d.CommandID)))
	}
	if s.fault == "twice" && e == router.Canceled {
		s.check.AttemptEnded(int(d.CommandID), false, s.written(int(d.CommandID)))
		s.check.AttemptEnded(int(d.CommandID), false, s.written(int(d.CommandID)))
	}
	if a == nil {
		return
	}
	if e == router.Answered {
		var row []byte
		for a.Row.Len() > 0 {
			first := a.Row.FirstPiece()
			row = append(row, first...)
			a.Row.Discard(len(first))
		}
		value := "?"
		if i := bytes.Index(row, []byte("value ")); i >= 0 && i+7 <= len(row) {
			value = string(row[i+6 : i+7])
		}
		s.check.AttemptAnswered(int(d.CommandID), value, string(rune('a'+int(d.CommandID))))
	}
	a.Row.Free()
}

// HealthChecked implements backend.ResultHandler.
func (memberSink) HealthChecked(int, router.Result, float64, string) {}

// written tells whether a command's statement was written whole on any connection, ever.
func (s *members) written(id int) bool {
	mark := []byte(fmt.Sprintf("id=%d,", id+1))
	whole := false
	for _, x := range s.seen() {
		if i := bytes.Index(x, mark); i >= 0 && bytes.IndexByte(x[i:], 0) >= 0 {
			whole = true
		}
	}
	return whole
}

// seen is what was written on each connection, those that were closed included.
func (s *members) seen() [][]byte {
	var out [][]byte
	for _, fd := range s.order {
		out = append(out, s.pg[fd].last)
	}
	return out
}

// look has the member take in what was written.
func (s *members) look() {
	for _, fd := range s.wire.fds() {
		k := s.wire.socks[fd]
		p := s.pg[fd]
		if p == nil {
			p = &peer{}
			s.pg[fd] = p
			s.order = append(s.order, fd)
		}
		p.last = append([]byte{}, k.sent...)
		for {
			rest := k.sent[p.read:]
			if !p.greeted {
				if len(rest) < 4 || len(rest) < int(binary.BigEndian.Uint32(rest)) {
					break
				}
				p.read += int(binary.BigEndian.Uint32(rest))
				p.greeted = true
				p.asked = append(p.asked, "")
				continue
			}
			if len(rest) < 5 || len(rest) < 1+int(binary.BigEndian.Uint32(rest[1:])) {
				break
			}
			n := 1 + int(binary.BigEndian.Uint32(rest[1:]))
			p.asked = append(p.asked, string(rest[5:n-1]))
			p.read += n
		}
	}
}

// answer is what the member says to a question; "" is the start-up.
func answerTo(question string) []byte {
	if question == "" {
		return pg.AppendStartupReply(nil, pg.CancelKey{})
	}
	v := "value " + strings.SplitN(question, "'", 3)[1]
	b := pg.AppendMessage(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
	b = pg.AppendMessage(b, 'D', binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(v))), []byte(v))
	b = pg.AppendMessage(b, 'C', []byte("SELECT 1\x00"))
	return pg.AppendReadyForQuery(pg.AppendParameterStatus(b, "recovery", "on"))
}

// Steps implements modelcheck.System.
func (s *members) Steps() []string {
	var out stepList
	for i, x := range s.sends {
		out.addIf(x.state == 0, "send %d", i)
		out.addIf(x.state == 1 && s.bounds.may("recall", s.faults), "recall %d", i)
	}
	for _, fd := range s.wire.fds() {
		s.addConnectionSteps(&out, fd)
	}
	_, hasTimer := s.wire.next()
	out.addIf(hasTimer && s.ticks < s.bounds.Ticks, "tick")
	out.addIf(s.done() && !s.closed, "close")
	return out
}

// addConnectionSteps adds what may happen on a connection.
func (s *members) addConnectionSteps(out *stepList, fd int) {
	k, at := s.wire.socks[fd], s.at(fd)
	may := func(kind string) bool { return s.bounds.may(kind, s.faults) }
	if k.handler == nil { // closed, but for a fault
		return
	}
	if !k.up {
		out.add("up %d", at)
		out.addIf(may("refuse"), "refuse %d", at)
		return
	}
	out.addIf(len(k.in) > 0 || k.ended, "see %d", at)
	if k.wantWrite && k.room == 0 {
		out.add("room %d", at)
		out.add("most %d", at)
	}
	if k.ended {
		return
	}
	s.addAnswers(out, s.pg[fd], at)
	out.addIf(may("end"), "end %d", at)
}

// addAnswers adds what the member may say.
func (s *members) addAnswers(out *stepList, p *peer, at int) {
	switch {
	case len(p.half) > 0:
		out.add("rest %d", at)
	case len(p.asked) > 0:
		out.add("answer %d", at)
		for _, kind := range []string{"half", "full", "spoil", "double"} {
			out.addIf(s.bounds.may(kind, s.faults), "%s %d", kind, at)
		}
	default: // the protocol cannot tell a copy that comes later
		out.addIf(p.greeted && s.bounds.may("echo", s.faults) && s.idle(), "echo %d", at)
	}
}

// idle tells whether no dispatch is out.
func (s *members) idle() bool {
	for _, x := range s.sends {
		if x.state == 1 {
			return false
		}
	}
	return true
}

func (s *members) done() bool {
	for _, x := range s.sends {
		if x.state != 2 {
			return false
		}
	}
	return true
}

// at is a connection's place in the order in which they came: names of steps must not depend on numbers of
// descriptors that were used before.
func (s *members) at(fd int) int {
	for i, x := range s.order {
		if x == fd {
			return i
		}
	}
	return -1
}

// Take implements modelcheck.System.
func (s *members) Take(step string) {
	kind, n, _ := parseStep(step)
	fd := 0
	if n < len(s.order) {
		fd = s.order[n]
	}
	switch kind {
	case "send":
		x := s.sends[n]
		x.state, x.d.Deadline = 1, s.wire.now+0.9
		s.m.Send(x.d)
	case "recall":
		s.faults++
		s.m.Cancel(s.sends[n].d)
	case "tick":
		s.ticks++
		s.wire.fire(s.order)
	case "close":
		s.close()
	case "up", "refuse", "see", "room", "most":
		s.onConnection(kind, fd)
	default:
		s.member(kind, fd, s.wire.socks[fd])
	}
	s.look()
}

// onConnection is what the network does to a connection.
func (s *members) onConnection(kind string, fd int) {
	k := s.wire.socks[fd]
	switch kind {
	case "up":
		k.up, k.room = true, 60 // more than a start-up packet, less than a statement
		k.handler.Ready(false, true)
	case "refuse":
		s.faults++
		k.refused = true
		k.handler.Ready(false, true)
	case "see":
		k.handler.Ready(true, false)
	case "room":
		k.room = 1 << 16
		k.handler.Ready(false, true)
	case "most":
		s.takeMost(fd, k)
	}
}

// takeMost takes all that a connection has to write but one byte.
func (s *members) takeMost(fd int, k *sock) {
	k.room = 1 << 16
	if left := s.unwritten(fd); left > 1 {
		k.room = left - 1
	}
	k.handler.Ready(false, true)
	if after := s.wire.socks[fd]; after != nil {
		after.room = 0
	}
}

func (s *members) close() {
	s.closed = true
	s.m.CloseIdle()
	for _, x := range s.sends {
		x.text.Free()
	}
	s.check.CheckLeaks(len(s.wire.socks), len(s.wire.timers), s.blocks.BlocksInUse())
}

// unwritten is how much of a statement a connection has still to write; a statement's length is known.
func (s *members) unwritten(fd int) int {
	k := s.wire.socks[fd]
	return 5 + len(fmt.Sprintf(memberStatement, 'a', 1)) - len(k.sent[s.pg[fd].read:])
}

// member is what the member itself does.
func (s *members) member(what string, fd int, k *sock) {
	p := s.pg[fd]
	if what != "answer" && what != "rest" {
		s.faults++
	}
	question := ""
	if len(p.asked) > 0 {
		question = p.asked[0]
	}
	switch what {
	case "rest":
		k.in = append(k.in, p.half...)
		p.half = nil
		return
	case "echo":
		k.in = append(k.in, answerTo(fmt.Sprintf(memberStatement, 'z', 9))...)
		return
	case "end":
		k.ended = true
		return
	}
	a := answerTo(question)
	p.asked = p.asked[1:]
	switch what {
	case "answer":
		k.in = append(k.in, a...)
	case "double":
		k.in = append(append(k.in, a...), a...)
	case "half":
		k.in = append(k.in, a[:len(a)/2]...)
		p.half = a[len(a)/2:]
	case "full":
		k.in = append(k.in, pg.AppendReadyForQuery(pg.AppendErrorResponse(nil, false, pg.CodeTooManyConnections, "no room", ""))...)
	case "spoil":
		k.in = append(k.in, "D\xff\xff\xff\xff"...)
	}
}

// memberRules leave out what is the same in all states or stands for the same thing elsewhere.
var memberRules = &modelcheck.Rules{FloatGrain: 1e-9, Ignored: modelcheck.Fields{
	"buffer.Chain":    {"pool"},
	"backend.Attempt": {"conn"},
	"backend.Pool":    {"blocks", "counters", "limits", "loop", "results"},
	"backend.conn":    {"pool", "timer"},
	"models.members":  {"blocks", "bounds", "fault"},
	"models.sock":     {"handler"},
	"models.wire":     {"timers"},
}}

// Fingerprint implements modelcheck.System. A connection stands for its handler; timers for their times.
func (s *members) Fingerprint(h *modelcheck.Hash) {
	h.Rules = memberRules
	h.Value(s)
	for _, fd := range s.order {
		if k := s.wire.socks[fd]; k != nil {
			h.Value(k.handler)
			at, set := s.wire.timers[s.wire.timer(fd)]
			h.Value(set)
			h.Float(at)
		}
	}
	for _, x := range s.sends {
		h.Uint(uint64(x.state))
	}
}

// Broken implements modelcheck.System.
func (s *members) Broken() (string, string) { return s.check.Broken() }

// Ended implements modelcheck.System.
func (s *members) Ended() bool { return s.closed }
