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
	Name: "watch", Words: "the watch of the list and its move by a reload, with discovery, the network and time as the adversary",
	Faults: map[string]Fault{
		"old-bytes": {"what the address before had sent is read from the new connection", Bounds{Faults: 1, Only: []string{"move"}}},
		"unclosed":  {"a connection that is closed stays open", Bounds{Faults: 1, Ticks: 1}},
		"part":      {"a reply that holds changes only calls itself whole", Bounds{Faults: 1}},
		"timeless":  {"a timer that is set never fires", Bounds{Faults: 1}},
		"hidden":    {"a call that discovery refused is not noticed to have failed", Bounds{Faults: 2}},
	},
	New: func(b Bounds, fault string) func() modelcheck.System {
		return func() modelcheck.System { return newWatchSystem(b, fault) }
	},
}

// watchSystem is the system: one watch, and two addresses of discovery that know the same list.
type watchSystem struct {
	bounds         Bounds
	fault          string
	network        *fakeNetwork
	watch          *discovery.Watch
	checker        invariant.Lists
	watchedAddress int // address that is watched
	faults         int
	ticks          int
	generation     int64 // of the list
	ends           map[int]*discoveryEnd
	descriptors    []int
	listsReceived  int
}

// discoveryEnd is discovery's end of a connection.
type discoveryEnd struct {
	address     int // address
	parsedBytes int
	calls       []int64 // generations; -1: whole
	unsentReply []byte
}

func discoveryAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n + 1)}), 8500)
}

func newWatchSystem(b Bounds, fault string) *watchSystem {
	s := &watchSystem{bounds: b, fault: fault, network: newFakeNetwork(), checker: invariant.Lists{Members: 2}, generation: 5, ends: map[int]*discoveryEnd{}}
	limits := &config.Limits{
		Sizes: config.Sizes{
			ReadPerTurn: 1 << 16, DiscoveryReply: 1 << 16, DiscoveryLine: 1 << 10,
		},
		Durations: config.Durations{
			SilenceTimeout: 1, ReplyTimeout: 1, LongPollHold: 5, MinBackoff: 0.5, MaxBackoff: 1,
		},
	}
	s.watch = discovery.New(s.network, limits, discoveryAddress(0), false, buffer.NewPool(512, 1<<16), s, zerolog.New(io.Discard))
	s.network.keepsOpen, s.network.timersNeverFire = fault == "unclosed", fault == "timeless"
	s.watch.Poll()
	s.parseCalls()
	return s
}

// Listed implements discovery.ListHandler.
func (s *watchSystem) HandleList(l endpoint.List) {
	s.listsReceived++
	from := ""
	if len(l.Endpoints) > 0 {
		from = l.Endpoints[0].Zone
	}
	watched := strconv.Itoa(s.watchedAddress)
	if from == "" {
		from = watched // changes of none
	}
	s.checker.Handed(l.Complete, l.Generation, len(l.Endpoints), from, watched)
}

// ListFailed implements discovery.ListHandler.
func (s *watchSystem) HandleCallFailure() { s.checker.Lost() }

var fromParameter = regexp.MustCompile(`from=(\d+)`)

// parseCalls has discovery take in what was written.
func (s *watchSystem) parseCalls() {
	open := 0
	for _, fd := range s.network.descriptors() {
		k, c := s.network.sockets[fd], s.ends[fd]
		open++
		if c == nil {
			c = &discoveryEnd{address: s.watchedAddress}
			s.ends[fd] = c
			s.descriptors = append(s.descriptors, fd)
		}
		for {
			i := bytes.Index(k.written[c.parsedBytes:], []byte("\r\n\r\n"))
			if i < 0 {
				break
			}
			after := int64(-1)
			if m := fromParameter.FindSubmatch(k.written[c.parsedBytes : c.parsedBytes+i]); m != nil {
				after, _ = strconv.ParseInt(string(m[1]), 10, 64)
			}
			s.checker.Called(after < 0, after)
			c.calls = append(c.calls, after)
			c.parsedBytes += i + 4
		}
	}
	s.checker.Open(open)
}

// listReply is what discovery says to a call.
func (s *watchSystem) listReply(c *discoveryEnd, after int64) []byte {
	entry := func(id string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.9:1","zone":"%d","cell":1,"lifecycle":"ready"}`, id, c.address)
	}
	body := fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s,%s]}`, s.generation, entry("a"), entry("b"))
	if after >= 0 {
		body = fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, s.generation, s.fault == "part", entry("b"))
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Steps implements modelcheck.System.
func (s *watchSystem) Steps() []string {
	var out stepList
	for i, fd := range s.descriptors {
		if k := s.network.sockets[fd]; k != nil && k.handler != nil {
			s.addCallSteps(&out, i, k, s.ends[fd])
		}
	}
	out.addIf(s.bounds.mayInject("move", s.faults), "move")
	_, hasTimer := s.network.nextTimer()
	out.addIf(hasTimer && s.ticks < s.bounds.Ticks, "tick")
	return out
}

// addCallSteps adds what may happen on the connection of a call.
func (s *watchSystem) addCallSteps(out *stepList, i int, k *fakeSocket, c *discoveryEnd) {
	may := func(kind string) bool { return s.bounds.mayInject(kind, s.faults) }
	if !k.connected {
		out.add("up %d", i)
		out.addIf(may("refuse"), "refuse %d", i)
		return
	}
	out.addIf(len(k.unread) > 0 || k.peerClosed, "see %d", i)
	if k.peerClosed {
		return
	}
	if len(c.unsentReply) > 0 {
		out.add("rest %d", i)
	} else if len(c.calls) > 0 && s.listsReceived < 3 {
		out.add("answer %d", i)
		for _, kind := range []string{"half", "sick", "spoil", "old"} {
			out.addIf(may(kind), "%s %d", kind, i)
		}
	}
	out.addIf(may("end"), "end %d", i)
}

// Take implements modelcheck.System.
func (s *watchSystem) Take(step string) {
	var n int
	what := modelcheck.Kind(step)
	_, _ = fmt.Sscanf(step[len(what):], "%d", &n)
	var k *fakeSocket
	var c *discoveryEnd
	if n < len(s.descriptors) {
		k, c = s.network.sockets[s.descriptors[n]], s.ends[s.descriptors[n]]
	}
	switch what {
	case "tick":
		s.ticks++
		s.network.fireNextTimers(nil) // there is one
	case "move":
		s.faults++
		s.moveAddress()
	case "up":
		k.connected, k.writable = true, 1<<16
		k.handler.Ready(false, true)
	case "refuse":
		s.faults++
		if s.fault == "hidden" {
			s.checker.Lost()
			k.connected, k.writable = true, 1<<16
		} else {
			k.refused = true
		}
		k.handler.Ready(false, true)
	case "see":
		k.handler.Ready(true, false)
	case "rest":
		k.unread, c.unsentReply = append(k.unread, c.unsentReply...), nil
	case "end":
		s.faults++
		k.peerClosed = true
	default:
		s.takeDiscoveryStep(what, k, c)
	}
	s.parseCalls()
}

func (s *watchSystem) moveAddress() {
	var old []byte
	for _, fd := range s.network.descriptors() {
		old = append(old, s.network.sockets[fd].unread...)
	}
	s.watchedAddress = 1 - s.watchedAddress
	s.checker.Lost()
	s.watch.SetAddress(discoveryAddress(s.watchedAddress))
	s.parseCalls()
	if s.fault == "old-bytes" {
		for _, fd := range s.network.descriptors() {
			s.network.sockets[fd].unread = append([]byte{}, old...)
		}
	}
}

func (s *watchSystem) takeDiscoveryStep(what string, k *fakeSocket, c *discoveryEnd) {
	after := c.calls[0]
	c.calls = c.calls[1:]
	if after >= 0 {
		s.generation++
	}
	a := s.listReply(c, after)
	if what != "answer" {
		s.faults++
	}
	switch what {
	case "answer":
		k.unread = append(k.unread, a...)
	case "half":
		k.unread = append(k.unread, a[:len(a)/2]...)
		c.unsentReply = a[len(a)/2:]
	case "sick":
		k.unread = append(k.unread, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"...)
	case "spoil":
		k.unread = append(k.unread, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{a}"...)
	case "old": // changes to a call for the whole list, or of an earlier time
		body := fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[]}`, s.generation-3)
		k.unread = fmt.Appendf(k.unread, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// watchRules leave out what is the same in all states or stands for the same thing elsewhere.
var watchRules = &modelcheck.Rules{FloatGrain: 1e-9, Ignored: modelcheck.Fields{
	"buffer.Chain":       {"pool"},
	"discovery.Watch":    {"handler", "limits", "log", "loop", "timer"},
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

// Ended implements modelcheck.System: a list of the address that is watched has been taken.
func (s *watchSystem) Ended() bool { return s.listsReceived > 0 }
