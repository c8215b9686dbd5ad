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
	Name: "member", Description: "connections to one backend; the adversary controls the backend, the network and time",
	Faults: map[string]Fault{
		"previous-reply": {
			"data that arrives between two commands goes unnoticed, and the next command takes it for its reply",
			Bounds{Commands: []string{"look", "look"}, Faults: 1, Ticks: 1},
		},
		"early-write": {
			"the last byte of a statement counts as written but is not",
			Bounds{Commands: []string{"look"}, Faults: 1},
		},
		"late-write": {
			"the last byte of a statement is written but counts as unwritten",
			Bounds{Commands: []string{"look"}, Faults: 1},
		},
		"twice": {
			"a canceled attempt ends again when its connection does",
			Bounds{Commands: []string{"look"}, Faults: 1},
		},
		"kept": {
			"a closed connection stays open",
			Bounds{Commands: []string{"look"}, Faults: 1},
		},
	},
	New: func(b Bounds, fault string) func() modelcheck.System {
		return func() modelcheck.System { return newBackendSystem(b, fault) }
	},
}

// backendSystem is the system "member": attempts to one backend over the connections of package backend.
type backendSystem struct {
	bounds      Bounds
	fault       string
	network     *fakeNetwork
	pool        *backend.Pool
	buffers     *buffer.Pool
	attempts    []*backendAttempt
	faults      int
	ticks       int
	checker     invariant.AttemptChecker
	descriptors []int               // descriptors of all connections, closed ones too, in the order of their dials
	closed      bool                // the pool was closed, after all attempts had ended
	ends        map[int]*backendEnd // by descriptor
}

// backendAttempt is the attempt of one command.
type backendAttempt struct {
	attempt   *backend.Attempt
	statement buffer.Chain
	state     int // 0: not yet sent, 1: in flight, 2: ended
}

// backendEnd is the backend's end of a connection.
type backendEnd struct {
	startupRead  bool
	parsedBytes  int      // number of bytes of fakeSocket.written that the backend has parsed
	queries      []string // queries not yet answered; "" stands for the startup packet
	unsentAnswer []byte   // second half of an answer whose first half was sent
	written      []byte   // copy of fakeSocket.written that is kept when the connection is closed
}

const backendStatement = "SELECT doc FROM items WHERE id = '%c' /* id=%d,c=look,d=900,cluster=2 */\x00"

func newBackendSystem(b Bounds, fault string) *backendSystem {
	s := &backendSystem{
		bounds: b, fault: fault, network: newFakeNetwork(), buffers: buffer.NewPool(512, 1<<16), ends: map[int]*backendEnd{},
	}
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
		a := &backendAttempt{statement: s.buffers.NewChain()}
		text := fmt.Sprintf(backendStatement, 'a'+i, i+1)
		a.statement.Write([]byte(text))
		waitStart := strings.Index(text, "d=900") + 2
		a.attempt = &backend.Attempt{CommandID: uint32(i), Statement: &a.statement, WaitStart: waitStart, WaitEnd: waitStart + 3}
		s.attempts = append(s.attempts, a)
	}
	return s
}

// backendResults receives the results of attempts.
type backendResults struct{ *backendSystem }

// MaySend implements backend.ResultHandler.
func (backendResults) MaySend(*backend.Attempt) bool { return true }

// AttemptEnded implements backend.ResultHandler.
func (s backendResults) AttemptEnded(attempt *backend.Attempt, result router.Result, _ float64, answer *pg.Answer) {
	a := s.attempts[attempt.CommandID]
	a.state = 2
	neverRan := result == router.ConnectFailed || result == router.NeverSent
	if result != router.Overloaded { // this result already means that the command never ran
		s.checker.AttemptEnded(int(attempt.CommandID), neverRan, s.statementWritten(int(attempt.CommandID)))
	}
	if s.fault == "twice" && result == router.Canceled {
		s.checker.AttemptEnded(int(attempt.CommandID), false, s.statementWritten(int(attempt.CommandID)))
		s.checker.AttemptEnded(int(attempt.CommandID), false, s.statementWritten(int(attempt.CommandID)))
	}
	if answer == nil {
		return
	}
	if result == router.Answered {
		var row []byte
		for answer.Row.Len() > 0 {
			piece := answer.Row.FirstPiece()
			row = append(row, piece...)
			answer.Row.Discard(len(piece))
		}
		value := "?"
		if i := bytes.Index(row, []byte("value ")); i >= 0 && i+7 <= len(row) {
			value = string(row[i+6 : i+7])
		}
		s.checker.AttemptAnswered(int(attempt.CommandID), value, string(rune('a'+int(attempt.CommandID))))
	}
	answer.Row.Free()
}

// HealthChecked implements backend.ResultHandler.
func (backendResults) HealthChecked(int, router.Result, float64, string) {}

// statementWritten reports whether a command's statement was ever written completely on any connection.
func (s *backendSystem) statementWritten(id int) bool {
	marker := []byte(fmt.Sprintf("id=%d,", id+1))
	complete := false
	for _, data := range s.writtenData() {
		if i := bytes.Index(data, marker); i >= 0 && bytes.IndexByte(data[i:], 0) >= 0 {
			complete = true
		}
	}
	return complete
}

// writtenData returns the data written on each connection, closed ones included.
func (s *backendSystem) writtenData() [][]byte {
	var all [][]byte
	for _, fd := range s.descriptors {
		all = append(all, s.ends[fd].written)
	}
	return all
}

// parseWritten lets the backend parse what was written on its connections.
func (s *backendSystem) parseWritten() {
	for _, fd := range s.network.descriptors() {
		socket := s.network.sockets[fd]
		end := s.ends[fd]
		if end == nil {
			end = &backendEnd{}
			s.ends[fd] = end
			s.descriptors = append(s.descriptors, fd)
		}
		end.written = append([]byte{}, socket.written...)
		for {
			rest := socket.written[end.parsedBytes:]
			if !end.startupRead {
				if len(rest) < 4 || len(rest) < int(binary.BigEndian.Uint32(rest)) {
					break
				}
				end.parsedBytes += int(binary.BigEndian.Uint32(rest))
				end.startupRead = true
				end.queries = append(end.queries, "")
				continue
			}
			if len(rest) < 5 || len(rest) < 1+int(binary.BigEndian.Uint32(rest[1:])) {
				break
			}
			length := 1 + int(binary.BigEndian.Uint32(rest[1:]))
			end.queries = append(end.queries, string(rest[5:length-1]))
			end.parsedBytes += length
		}
	}
}

// answerTo returns the backend's answer to a query; the query "" stands for the startup packet.
func answerTo(query string) []byte {
	if query == "" {
		return pg.AppendStartupReply(nil, pg.CancelKey{})
	}
	value := "value " + strings.SplitN(query, "'", 3)[1]
	reply := pg.AppendMessage(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
	reply = pg.AppendMessage(reply, 'D', binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value))), []byte(value))
	reply = pg.AppendMessage(reply, 'C', []byte("SELECT 1\x00"))
	return pg.AppendReadyForQuery(pg.AppendParameterStatus(reply, "recovery", "on"))
}

// Steps implements modelcheck.System.
func (s *backendSystem) Steps() []string {
	var steps stepList
	for i, a := range s.attempts {
		steps.addIf(a.state == 0, "send %d", i)
		steps.addIf(a.state == 1 && s.bounds.mayInject("recall", s.faults), "recall %d", i)
	}
	for _, fd := range s.network.descriptors() {
		s.addConnectionSteps(&steps, fd)
	}
	_, hasTimer := s.network.nextTimer()
	steps.addIf(hasTimer && s.ticks < s.bounds.Ticks, "tick")
	steps.addIf(s.allEnded() && !s.closed, "close")
	return steps
}

// addConnectionSteps adds what may happen on a connection.
func (s *backendSystem) addConnectionSteps(steps *stepList, fd int) {
	socket, ordinal := s.network.sockets[fd], s.ordinal(fd)
	mayInject := func(kind string) bool { return s.bounds.mayInject(kind, s.faults) }
	if socket.handler == nil { // closed; only the fault kept leaves the socket open
		return
	}
	if !socket.connected {
		steps.add("up %d", ordinal)
		steps.addIf(mayInject("refuse"), "refuse %d", ordinal)
		return
	}
	steps.addIf(len(socket.unread) > 0 || socket.peerClosed, "see %d", ordinal)
	if socket.wantWrite && socket.writable == 0 {
		steps.add("room %d", ordinal)
		steps.add("most %d", ordinal)
	}
	if socket.peerClosed {
		return
	}
	s.addAnswerSteps(steps, s.ends[fd], ordinal)
	steps.addIf(mayInject("end"), "end %d", ordinal)
}

// addAnswerSteps adds what the backend may send.
func (s *backendSystem) addAnswerSteps(steps *stepList, end *backendEnd, ordinal int) {
	switch {
	case len(end.unsentAnswer) > 0:
		steps.add("rest %d", ordinal)
	case len(end.queries) > 0:
		steps.add("answer %d", ordinal)
		for _, kind := range []string{"half", "full", "spoil", "double"} {
			steps.addIf(s.bounds.mayInject(kind, s.faults), "%s %d", kind, ordinal)
		}
	default: // while an attempt is in flight, the router cannot tell an unsolicited answer from that to the attempt
		steps.addIf(end.startupRead && s.bounds.mayInject("echo", s.faults) && s.noneInFlight(), "echo %d", ordinal)
	}
}

// noneInFlight reports whether no attempt is in flight.
func (s *backendSystem) noneInFlight() bool {
	for _, a := range s.attempts {
		if a.state == 1 {
			return false
		}
	}
	return true
}

func (s *backendSystem) allEnded() bool {
	for _, a := range s.attempts {
		if a.state != 2 {
			return false
		}
	}
	return true
}

// ordinal returns a connection's index in descriptors, or -1. Steps name connections by it, so that their names do not depend
// on which descriptor numbers were used before.
func (s *backendSystem) ordinal(fd int) int {
	for i, descriptor := range s.descriptors {
		if descriptor == fd {
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
		a := s.attempts[n]
		a.state, a.attempt.Deadline = 1, s.network.now+0.9
		s.pool.Send(a.attempt)
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

// takeNetworkStep takes a step of the network on a connection.
func (s *backendSystem) takeNetworkStep(kind string, fd int) {
	socket := s.network.sockets[fd]
	switch kind {
	case "up":
		socket.connected, socket.writable = true, 60 // bytes: more than a startup packet, less than a statement
		socket.handler.Ready(false, true)
	case "refuse":
		s.faults++
		socket.refused = true
		socket.handler.Ready(false, true)
	case "see":
		socket.handler.Ready(true, false)
	case "room":
		socket.writable = 1 << 16
		socket.handler.Ready(false, true)
	case "most":
		s.writeAllButOneByte(fd, socket)
	}
}

// writeAllButOneByte lets a connection write all of its pending data except the last byte.
func (s *backendSystem) writeAllButOneByte(fd int, socket *fakeSocket) {
	socket.writable = 1 << 16
	if unwritten := s.unwrittenBytes(fd); unwritten > 1 {
		socket.writable = unwritten - 1
	}
	socket.handler.Ready(false, true)
	if remaining := s.network.sockets[fd]; remaining != nil {
		remaining.writable = 0
	}
}

func (s *backendSystem) close() {
	s.closed = true
	s.pool.CloseIdle()
	for _, a := range s.attempts {
		a.statement.Free()
	}
	s.checker.CheckLeaks(len(s.network.sockets), len(s.network.timers), s.buffers.BlocksInUse())
}

// unwrittenBytes returns how many bytes of a statement a connection has still to write. All statements have the same length.
func (s *backendSystem) unwrittenBytes(fd int) int {
	socket := s.network.sockets[fd]
	return 5 + len(fmt.Sprintf(backendStatement, 'a', 1)) - len(socket.written[s.ends[fd].parsedBytes:])
}

// takeBackendStep takes a step of the backend on a connection.
func (s *backendSystem) takeBackendStep(kind string, fd int, socket *fakeSocket) {
	end := s.ends[fd]
	if kind != "answer" && kind != "rest" {
		s.faults++
	}
	query := ""
	if len(end.queries) > 0 {
		query = end.queries[0]
	}
	switch kind {
	case "rest":
		socket.unread = append(socket.unread, end.unsentAnswer...)
		end.unsentAnswer = nil
		return
	case "echo":
		socket.unread = append(socket.unread, answerTo(fmt.Sprintf(backendStatement, 'z', 9))...)
		return
	case "end":
		socket.peerClosed = true
		return
	}
	answer := answerTo(query)
	end.queries = end.queries[1:]
	switch kind {
	case "answer":
		socket.unread = append(socket.unread, answer...)
	case "double":
		socket.unread = append(append(socket.unread, answer...), answer...)
	case "half":
		socket.unread = append(socket.unread, answer[:len(answer)/2]...)
		end.unsentAnswer = answer[len(answer)/2:]
	case "full":
		socket.unread = append(socket.unread,
			pg.AppendReadyForQuery(pg.AppendErrorResponse(nil, false, pg.CodeTooManyConnections, "no room", ""))...)
	case "spoil":
		socket.unread = append(socket.unread, "D\xff\xff\xff\xff"...)
	}
}

// backendRules ignore fields that are the same in all states or that repeat state which is hashed elsewhere.
var backendRules = &modelcheck.Rules{FloatGrain: 1e-9, Ignored: modelcheck.Fields{
	"buffer.Chain":         {"pool"},
	"backend.Attempt":      {"conn"},
	"backend.Pool":         {"blocks", "counters", "limits", "loop", "results"},
	"backend.conn":         {"pool", "timer"},
	"models.backendSystem": {"bounds", "buffers", "fault"},
	"models.fakeSocket":    {"handler"},
	"models.fakeNetwork":   {"timers"},
}}

// Fingerprint implements modelcheck.System. It adds each connection's handler and timer here, since backendRules ignore them
// in the network.
func (s *backendSystem) Fingerprint(h *modelcheck.Hash) {
	h.Rules = backendRules
	h.Value(s)
	for _, fd := range s.descriptors {
		if socket := s.network.sockets[fd]; socket != nil {
			h.Value(socket.handler)
			firesAt, set := s.network.timers[s.network.connectionTimer(fd)]
			h.Value(set)
			h.Float(firesAt)
		}
	}
	for _, a := range s.attempts {
		h.Uint(uint64(a.state))
	}
}

// Broken implements modelcheck.System.
func (s *backendSystem) Broken() (string, string) { return s.checker.Broken() }

// Ended implements modelcheck.System.
func (s *backendSystem) Ended() bool { return s.closed }
