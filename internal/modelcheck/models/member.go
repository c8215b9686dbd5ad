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

var backendKind = Kind{
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
		return func() modelcheck.System { return newBackendSystem(b, fault) }
	},
}

// backendSystem is the system: dispatches to one member over the connections of package backend.
type backendSystem struct {
	bounds      Bounds
	fault       string
	network     *fakeNetwork
	pool        *backend.Pool
	buffers     *buffer.Pool
	attempts    []*backendAttempt
	faults      int
	ticks       int
	checker     invariant.Dispatches
	descriptors []int // descriptors, in the order in which they came
	closed      bool
	ends        map[int]*backendEnd
}

// backendAttempt is one command's dispatch.
type backendAttempt struct {
	attempt   *backend.Attempt
	statement buffer.Chain
	state     int // 0: not yet sent, 1: out, 2: ended
}

// backendEnd is the member's end of a connection: what it has made of what was written.
type backendEnd struct {
	startupRead  bool
	parsedBytes  int // bytes of sent that were understood
	queries      []string
	unsentAnswer []byte // of an answer, still to come
	written      []byte
}

const backendStatement = "SELECT doc FROM items WHERE id = '%c' /* id=%d,c=look,d=900,cluster=2 */\x00"

func newBackendSystem(b Bounds, fault string) *backendSystem {
	s := &backendSystem{bounds: b, fault: fault, network: newFakeNetwork(), buffers: buffer.NewPool(512, 1<<16), ends: map[int]*backendEnd{}}
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
	s.network.alwaysQuiet, s.network.dropsLastByte = fault == "previous-reply", fault == "early-write"
	s.network.countsLastByteUnsent, s.network.keepsOpen = fault == "late-write", fault == "kept"
	s.pool = backend.New(s.network, limits, s.buffers, backendResults{s}, &metrics.Counters{})
	s.pool.SetAddress(0, netip.MustParseAddrPort("127.0.0.1:5432"), false)
	for i := range b.Commands {
		x := &backendAttempt{statement: s.buffers.NewChain()}
		text := fmt.Sprintf(backendStatement, 'a'+i, i+1)
		x.statement.Write([]byte(text))
		from := strings.Index(text, "d=900") + 2
		x.attempt = &backend.Attempt{CommandID: uint32(i), Statement: &x.statement, WaitStart: from, WaitEnd: from + 3}
		s.attempts = append(s.attempts, x)
	}
	return s
}

// backendResults is told how dispatches end.
type backendResults struct{ *backendSystem }

// Wanted implements backend.ResultHandler.
func (backendResults) Wanted(*backend.Attempt) bool { return true }

// AttemptEnded implements backend.ResultHandler.
func (s backendResults) AttemptEnded(d *backend.Attempt, e router.Result, _ float64, a *pg.Answer) {
	x := s.attempts[d.CommandID]
	x.state = 2
	never := e == router.ConnectFailed || e == router.NeverSent
	if e != router.Overloaded { // which says itself that it never ran
		s.checker.Ended(int(d.CommandID), never, s.statementWritten(int(d.CommandID)))
	}
	if s.fault == "twice" && e == router.Canceled {
		s.checker.Ended(int(d.CommandID), false, s.statementWritten(int(d.CommandID)))
		s.checker.Ended(int(d.CommandID), false, s.statementWritten(int(d.CommandID)))
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
		s.checker.Answered(int(d.CommandID), value, string(rune('a'+int(d.CommandID))))
	}
	a.Row.Free()
}

// HealthChecked implements backend.ResultHandler.
func (backendResults) HealthChecked(int, router.Result, float64, string) {}

// statementWritten tells whether a command's statement was statementWritten whole on any connection, ever.
func (s *backendSystem) statementWritten(id int) bool {
	mark := []byte(fmt.Sprintf("id=%d,", id+1))
	whole := false
	for _, x := range s.writtenData() {
		if i := bytes.Index(x, mark); i >= 0 && bytes.IndexByte(x[i:], 0) >= 0 {
			whole = true
		}
	}
	return whole
}

// writtenData is what was written on each connection, those that were closed included.
func (s *backendSystem) writtenData() [][]byte {
	var out [][]byte
	for _, fd := range s.descriptors {
		out = append(out, s.ends[fd].written)
	}
	return out
}

// parseWritten has the member take in what was written.
func (s *backendSystem) parseWritten() {
	for _, fd := range s.network.descriptors() {
		k := s.network.sockets[fd]
		p := s.ends[fd]
		if p == nil {
			p = &backendEnd{}
			s.ends[fd] = p
			s.descriptors = append(s.descriptors, fd)
		}
		p.written = append([]byte{}, k.written...)
		for {
			rest := k.written[p.parsedBytes:]
			if !p.startupRead {
				if len(rest) < 4 || len(rest) < int(binary.BigEndian.Uint32(rest)) {
					break
				}
				p.parsedBytes += int(binary.BigEndian.Uint32(rest))
				p.startupRead = true
				p.queries = append(p.queries, "")
				continue
			}
			if len(rest) < 5 || len(rest) < 1+int(binary.BigEndian.Uint32(rest[1:])) {
				break
			}
			n := 1 + int(binary.BigEndian.Uint32(rest[1:]))
			p.queries = append(p.queries, string(rest[5:n-1]))
			p.parsedBytes += n
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
func (s *backendSystem) Steps() []string {
	var out stepList
	for i, x := range s.attempts {
		out.addIf(x.state == 0, "send %d", i)
		out.addIf(x.state == 1 && s.bounds.mayInject("recall", s.faults), "recall %d", i)
	}
	for _, fd := range s.network.descriptors() {
		s.addConnectionSteps(&out, fd)
	}
	_, hasTimer := s.network.nextTimer()
	out.addIf(hasTimer && s.ticks < s.bounds.Ticks, "tick")
	out.addIf(s.allEnded() && !s.closed, "close")
	return out
}

// addConnectionSteps adds what may happen on a connection.
func (s *backendSystem) addConnectionSteps(out *stepList, fd int) {
	k, at := s.network.sockets[fd], s.ordinal(fd)
	may := func(kind string) bool { return s.bounds.mayInject(kind, s.faults) }
	if k.handler == nil { // closed, but for a fault
		return
	}
	if !k.connected {
		out.add("up %d", at)
		out.addIf(may("refuse"), "refuse %d", at)
		return
	}
	out.addIf(len(k.unread) > 0 || k.peerClosed, "see %d", at)
	if k.wantWrite && k.writable == 0 {
		out.add("room %d", at)
		out.add("most %d", at)
	}
	if k.peerClosed {
		return
	}
	s.addAnswerSteps(out, s.ends[fd], at)
	out.addIf(may("end"), "end %d", at)
}

// addAnswerSteps adds what the member may say.
func (s *backendSystem) addAnswerSteps(out *stepList, p *backendEnd, at int) {
	switch {
	case len(p.unsentAnswer) > 0:
		out.add("rest %d", at)
	case len(p.queries) > 0:
		out.add("answer %d", at)
		for _, kind := range []string{"half", "full", "spoil", "double"} {
			out.addIf(s.bounds.mayInject(kind, s.faults), "%s %d", kind, at)
		}
	default: // the protocol cannot tell a copy that comes later
		out.addIf(p.startupRead && s.bounds.mayInject("echo", s.faults) && s.noneInFlight(), "echo %d", at)
	}
}

// noneInFlight tells whether no dispatch is out.
func (s *backendSystem) noneInFlight() bool {
	for _, x := range s.attempts {
		if x.state == 1 {
			return false
		}
	}
	return true
}

func (s *backendSystem) allEnded() bool {
	for _, x := range s.attempts {
		if x.state != 2 {
			return false
		}
	}
	return true
}

// ordinal is a connection's place in the order in which they came: names of steps must not depend on numbers of
// descriptors that were used before.
func (s *backendSystem) ordinal(fd int) int {
	for i, x := range s.descriptors {
		if x == fd {
			return i
		}
	}
	return -1
}

// Take implements modelcheck.System.
func (s *backendSystem) Take(step string) {
	kind, n, _ := parseStep(step)
	fd := 0
	if n < len(s.descriptors) {
		fd = s.descriptors[n]
	}
	switch kind {
	case "send":
		x := s.attempts[n]
		x.state, x.attempt.Deadline = 1, s.network.now+0.9
		s.pool.Send(x.attempt)
	case "recall":
		s.faults++
		s.pool.Cancel(s.attempts[n].attempt)
	case "tick":
		s.ticks++
		s.network.fireNextTimers(s.descriptors)
	case "close":
		s.close()
	case "up", "refuse", "see", "room", "most":
		s.takeNetworkStep(kind, fd)
	default:
		s.takeBackendStep(kind, fd, s.network.sockets[fd])
	}
	s.parseWritten()
}

// takeNetworkStep is what the network does to a connection.
func (s *backendSystem) takeNetworkStep(kind string, fd int) {
	k := s.network.sockets[fd]
	switch kind {
	case "up":
		k.connected, k.writable = true, 60 // more than a start-up packet, less than a statement
		k.handler.Ready(false, true)
	case "refuse":
		s.faults++
		k.refused = true
		k.handler.Ready(false, true)
	case "see":
		k.handler.Ready(true, false)
	case "room":
		k.writable = 1 << 16
		k.handler.Ready(false, true)
	case "most":
		s.writeAllButOneByte(fd, k)
	}
}

// writeAllButOneByte takes all that a connection has to write but one byte.
func (s *backendSystem) writeAllButOneByte(fd int, k *fakeSocket) {
	k.writable = 1 << 16
	if left := s.unwrittenBytes(fd); left > 1 {
		k.writable = left - 1
	}
	k.handler.Ready(false, true)
	if after := s.network.sockets[fd]; after != nil {
		after.writable = 0
	}
}

func (s *backendSystem) close() {
	s.closed = true
	s.pool.CloseIdle()
	for _, x := range s.attempts {
		x.statement.Free()
	}
	s.checker.Left(len(s.network.sockets), len(s.network.timers), s.buffers.BlocksInUse())
}

// unwrittenBytes is how much of a statement a connection has still to write; a statement's length is known.
func (s *backendSystem) unwrittenBytes(fd int) int {
	k := s.network.sockets[fd]
	return 5 + len(fmt.Sprintf(backendStatement, 'a', 1)) - len(k.written[s.ends[fd].parsedBytes:])
}

// takeBackendStep is what the takeBackendStep itself does.
func (s *backendSystem) takeBackendStep(what string, fd int, k *fakeSocket) {
	p := s.ends[fd]
	if what != "answer" && what != "rest" {
		s.faults++
	}
	question := ""
	if len(p.queries) > 0 {
		question = p.queries[0]
	}
	switch what {
	case "rest":
		k.unread = append(k.unread, p.unsentAnswer...)
		p.unsentAnswer = nil
		return
	case "echo":
		k.unread = append(k.unread, answerTo(fmt.Sprintf(backendStatement, 'z', 9))...)
		return
	case "end":
		k.peerClosed = true
		return
	}
	a := answerTo(question)
	p.queries = p.queries[1:]
	switch what {
	case "answer":
		k.unread = append(k.unread, a...)
	case "double":
		k.unread = append(append(k.unread, a...), a...)
	case "half":
		k.unread = append(k.unread, a[:len(a)/2]...)
		p.unsentAnswer = a[len(a)/2:]
	case "full":
		k.unread = append(k.unread, pg.AppendReadyForQuery(pg.AppendErrorResponse(nil, false, pg.CodeTooManyConnections, "no room", ""))...)
	case "spoil":
		k.unread = append(k.unread, "D\xff\xff\xff\xff"...)
	}
}

// backendRules leave out what is the same in all states or stands for the same thing elsewhere.
var backendRules = &modelcheck.Rules{FloatGrain: 1e-9, Ignored: modelcheck.Fields{
	"buffer.Chain":         {"pool"},
	"backend.Attempt":      {"conn"},
	"backend.Pool":         {"blocks", "counters", "limits", "loop", "results"},
	"backend.conn":         {"pool", "timer"},
	"models.backendSystem": {"bounds", "buffers", "fault"},
	"models.fakeSocket":    {"handler"},
	"models.fakeNetwork":   {"timers"},
}}

// Fingerprint implements modelcheck.System. A connection stands for its handler; timers for their times.
func (s *backendSystem) Fingerprint(h *modelcheck.Hash) {
	h.Rules = backendRules
	h.Value(s)
	for _, fd := range s.descriptors {
		if k := s.network.sockets[fd]; k != nil {
			h.Value(k.handler)
			at, set := s.network.timers[s.network.connectionTimer(fd)]
			h.Value(set)
			h.Float(at)
		}
	}
	for _, x := range s.attempts {
		h.Uint(uint64(x.state))
	}
}

// Broken implements modelcheck.System.
func (s *backendSystem) Broken() (string, string) { return s.checker.Broken() }

// Ended implements modelcheck.System.
func (s *backendSystem) Ended() bool { return s.closed }
