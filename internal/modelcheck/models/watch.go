package models

import (
	"bytes"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"strconv"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/discovery"
	"stoatdale.example/stoatdale/internal/endpoint"
	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/modelcheck"
)

var watchKind = Kind{
	Name:        "watch",
	Description: "the watch of the endpoint list and its change of address; the adversary controls discovery, the network and time",
	Faults: map[string]Fault{
		"old-bytes": {"data that the previous address sent is read from the new connection", Bounds{Faults: 1, Only: []string{"move"}}},
		"unclosed":  {"a closed connection stays open", Bounds{Faults: 1, Ticks: 1}},
		"part":      {"a reply that holds only changes claims to be complete", Bounds{Faults: 1}},
		"timeless":  {"a timer that is set never fires", Bounds{Faults: 1}},
		"hidden":    {"a call that discovery refused does not count as failed", Bounds{Faults: 2}},
		"impatient": {"a call is closed when it is late", Bounds{Ticks: 1}},
		"crowd":     {"discovery takes fewer calls at a time than the watch makes", Bounds{Ticks: 6, Depth: 6}},
	},
	New: func(b Bounds, fault string) func() modelcheck.System {
		return func() modelcheck.System { return newWatchSystem(b, fault) }
	},
}

// watchSystem is the system "watch": one watch of the endpoint list, and discovery at two addresses that hold the same list.
type watchSystem struct {
	bounds         Bounds
	fault          string
	network        *fakeNetwork
	watch          *discovery.Watch
	checker        invariant.ListChecker
	watchedAddress int // 0 or 1
	faults         int
	ticks          int
	generation     int64                 // generation of discovery's list
	ends           map[int]*discoveryEnd // by descriptor
	descriptors    []int                 // descriptors of all connections, closed ones too, in the order of their dials
	reading        int                   // descriptor that the watch is reading from
	delivered      int64                 // generation of the last list that was delivered
	listsReceived  int
}

// discoveryEnd is discovery's end of a connection.
type discoveryEnd struct {
	address     int     // the address that the router dialed: 0 or 1
	parsedBytes int     // number of bytes of fakeSocket.written that discovery has parsed
	calls       []int64 // generations after which pending calls ask for changes; -1 if a call asks for the complete list
	unsentReply []byte  // second half of a reply whose first half was sent
	answered    int64   // generation of the last reply; 0 if there was none
	failed      bool    // the call has failed, or its reply is useless
	closed      bool    // the watch has closed the connection
}

func discoveryAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n + 1)}), 8500)
}

func newWatchSystem(b Bounds, fault string) *watchSystem {
	s := &watchSystem{
		bounds: b, fault: fault, network: newFakeNetwork(), checker: invariant.ListChecker{Endpoints: 2, MaxCalls: discovery.MaxCalls},
		generation: 5, ends: map[int]*discoveryEnd{},
	}
	limits := &config.Limits{
		Sizes: config.Sizes{
			ReadPerTurn: 1 << 16, DiscoveryReply: 1 << 16, DiscoveryLine: 1 << 10,
		},
		Durations: config.Durations{
			SilenceTimeout: 1, MaxReplyDelay: 3, ReplyTimeout: 1, LateReplyWait: 4, LongPollHold: 5, MinBackoff: 0.5, MaxBackoff: 1,
		},
	}
	s.watch = discovery.New(s.network, limits, discoveryAddress(0), false, buffer.NewPool(512, 1<<16), s, zerolog.New(io.Discard))
	s.network.keepsOpen, s.network.timersNeverFire = fault == "unclosed", fault == "timeless"
	if fault == "crowd" {
		s.checker.MaxCalls--
	}
	s.watch.Poll()
	s.checkConnections()
	return s
}

// HandleList implements discovery.ListHandler.
func (s *watchSystem) HandleList(list endpoint.List) {
	s.listsReceived++
	s.delivered = list.Generation
	sender := ""
	if len(list.Endpoints) > 0 {
		sender = list.Endpoints[0].Zone
	}
	watched := strconv.Itoa(s.watchedAddress)
	if sender == "" {
		sender = watched // no endpoint names the address
	}
	s.checker.ListDelivered(s.reading, list.Complete, list.Generation, len(list.Endpoints), sender, watched)
}

// HandleCallFailure implements discovery.ListHandler.
func (s *watchSystem) HandleCallFailure() { s.checker.ListInvalidated() }

var fromParameter = regexp.MustCompile(`from=(\d+)`)

// checkConnections reports to the checker which connections were closed and opened in a step, and lets discovery parse what was
// written on those that are open.
func (s *watchSystem) checkConnections() {
	for _, fd := range s.descriptors {
		if end := s.ends[fd]; !end.closed && s.network.sockets[fd] == nil {
			end.closed = true
			outdated := end.answered > 0 && end.answered < s.delivered
			s.checker.ConnectionClosed(fd, end.failed || outdated)
		}
	}
	for _, fd := range s.network.descriptors() {
		if s.ends[fd] == nil {
			s.ends[fd] = &discoveryEnd{address: s.watchedAddress}
			s.descriptors = append(s.descriptors, fd)
			s.checker.ConnectionOpened(fd)
		}
		s.parseCalls(fd)
	}
	s.checker.StepEnded()
}

// parseCalls lets discovery parse what was written on a connection.
func (s *watchSystem) parseCalls(fd int) {
	socket, end := s.network.sockets[fd], s.ends[fd]
	for {
		length := bytes.Index(socket.written[end.parsedBytes:], []byte("\r\n\r\n"))
		if length < 0 {
			return
		}
		after := int64(-1)
		if match := fromParameter.FindSubmatch(socket.written[end.parsedBytes : end.parsedBytes+length]); match != nil {
			after, _ = strconv.ParseInt(string(match[1]), 10, 64)
		}
		s.checker.CallSent(fd, after < 0, after)
		end.calls = append(end.calls, after)
		end.parsedBytes += length + 4
	}
}

// listReply returns discovery's reply to a call for the changes after a generation, or for the complete list if after is -1.
// The zone of its endpoints names the address.
func (s *watchSystem) listReply(end *discoveryEnd, after int64) []byte {
	entry := func(id string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.9:1","zone":"%d","cell":1,"lifecycle":"ready"}`, id, end.address)
	}
	body := fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s,%s]}`, s.generation, entry("a"), entry("b"))
	if after >= 0 {
		body = fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, s.generation, s.fault == "part", entry("b"))
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Steps implements modelcheck.System.
func (s *watchSystem) Steps() []string {
	var steps stepList
	for i, fd := range s.descriptors {
		if socket := s.network.sockets[fd]; socket != nil && socket.handler != nil {
			s.addCallSteps(&steps, i, socket, s.ends[fd])
		}
	}
	steps.addIf(s.bounds.mayInject("move", s.faults), "move")
	_, hasTimer := s.network.nextTimer()
	steps.addIf(hasTimer && s.ticks < s.bounds.Ticks, "tick")
	return steps
}

// addCallSteps adds what may happen on a connection.
func (s *watchSystem) addCallSteps(steps *stepList, ordinal int, socket *fakeSocket, end *discoveryEnd) {
	mayInject := func(kind string) bool { return s.bounds.mayInject(kind, s.faults) }
	if !socket.connected {
		steps.add("up %d", ordinal)
		steps.addIf(mayInject("refuse"), "refuse %d", ordinal)
		return
	}
	steps.addIf(len(socket.unread) > 0 || socket.peerClosed, "see %d", ordinal)
	if socket.peerClosed {
		return
	}
	if len(end.unsentReply) > 0 {
		steps.add("rest %d", ordinal)
	} else if len(end.calls) > 0 && s.listsReceived < 3 {
		steps.add("answer %d", ordinal)
		for _, kind := range []string{"half", "sick", "spoil", "old"} {
			steps.addIf(mayInject(kind), "%s %d", kind, ordinal)
		}
	}
	steps.addIf(mayInject("end"), "end %d", ordinal)
}

// Take implements modelcheck.System.
func (s *watchSystem) Take(step string) {
	var n int
	kind := modelcheck.Kind(step)
	_, _ = fmt.Sscanf(step[len(kind):], "%d", &n)
	var socket *fakeSocket
	var end *discoveryEnd
	if n < len(s.descriptors) {
		socket, end = s.network.sockets[s.descriptors[n]], s.ends[s.descriptors[n]]
	}
	switch kind {
	case "tick":
		s.ticks++
		s.letTimePass()
	case "move":
		s.faults++
		s.moveAddress()
	case "up":
		socket.connected, socket.writable = true, 1<<16
		socket.handler.Ready(false, true)
	case "refuse":
		s.faults++
		end.failed = true
		if s.fault == "hidden" {
			s.checker.ListInvalidated()
			socket.connected, socket.writable = true, 1<<16
		} else {
			socket.refused = true
		}
		socket.handler.Ready(false, true)
	case "see":
		s.reading = s.descriptors[n]
		socket.handler.Ready(true, false)
	case "rest":
		socket.unread, end.unsentReply = append(socket.unread, end.unsentReply...), nil
	case "end":
		s.faults++
		socket.peerClosed, end.failed = true, true
	default:
		s.takeDiscoveryStep(kind, socket, end)
	}
	s.checkConnections()
}

// letTimePass lets time pass to the watch's timer, which is the only one.
func (s *watchSystem) letTimePass() {
	before := s.network.descriptors()
	s.network.fireNextTimers(nil)
	if s.fault == "impatient" && len(before) > 0 {
		s.network.Close(before[0])
	}
}

func (s *watchSystem) moveAddress() {
	var oldUnread []byte
	for _, fd := range s.network.descriptors() {
		oldUnread = append(oldUnread, s.network.sockets[fd].unread...)
	}
	s.watchedAddress = 1 - s.watchedAddress
	s.checker.AddressMoved()
	s.watch.SetAddress(discoveryAddress(s.watchedAddress))
	if s.fault == "old-bytes" {
		for _, fd := range s.network.descriptors() {
			s.network.sockets[fd].unread = append([]byte{}, oldUnread...)
		}
	}
}

func (s *watchSystem) takeDiscoveryStep(kind string, socket *fakeSocket, end *discoveryEnd) {
	after := end.calls[0]
	end.calls = end.calls[1:]
	if after >= 0 {
		s.generation++
	}
	end.answered = s.generation
	reply := s.listReply(end, after)
	if kind != "answer" {
		s.faults++
	}
	switch kind {
	case "answer":
		socket.unread = append(socket.unread, reply...)
	case "half":
		socket.unread = append(socket.unread, reply[:len(reply)/2]...)
		end.unsentReply = reply[len(reply)/2:]
	case "sick":
		end.failed = true
		socket.unread = append(socket.unread, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"...)
	case "spoil":
		end.failed = true
		socket.unread = append(socket.unread, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{a}"...)
	case "old": // changes instead of the complete list, or an earlier generation
		end.failed = true
		body := fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[]}`, s.generation-3)
		socket.unread = fmt.Appendf(socket.unread, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// watchRules ignore fields that are the same in all states or that repeat state which is hashed elsewhere.
var watchRules = &modelcheck.Rules{FloatGrain: 1e-9, Ignored: modelcheck.Fields{
	"buffer.Chain":       {"pool"},
	"discovery.Watch":    {"blocks", "handler", "limits", "log", "loop", "timer"},
	"discovery.call":     {"watch"},
	"models.fakeSocket":  {"handler"},
	"models.watchSystem": {"bounds", "fault"},
	"models.fakeNetwork": {"timers"},
}}

// Fingerprint implements modelcheck.System.
func (s *watchSystem) Fingerprint(h *modelcheck.Hash) {
	h.Rules = watchRules
	h.Value(s)
	next, ok := s.network.nextTimer()
	h.Value(ok)
	h.Float(next - s.network.now)
}

// Broken implements modelcheck.System.
func (s *watchSystem) Broken() (string, string) { return s.checker.Broken() }

// Ended implements modelcheck.System: a list of the watched address has been delivered.
func (s *watchSystem) Ended() bool { return s.listsReceived > 0 }
