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
		return func() modelcheck.System { return newWatch(b, fault) }
	},
}

// watching is the system: one watch, and two addresses of discovery that know the same list.
type watching struct {
	bounds     Bounds
	fault      string
	wire       *wire
	w          *discovery.Watch
	check      invariant.ListChecker
	at         int // address that is watched
	faults     int
	ticks      int
	generation int64 // of the list
	calls      map[int]*call
	order      []int
	lists      int
}

// call is discovery's end of a connection.
type call struct {
	to    int // address
	read  int
	asked []int64 // generations; -1: whole
	half  []byte
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n + 1)}), 8500)
}

func newWatch(b Bounds, fault string) *watching {
	s := &watching{bounds: b, fault: fault, wire: newWire(), check: invariant.ListChecker{Endpoints: 2}, generation: 5, calls: map[int]*call{}}
	limits := &config.Limits{
		Sizes: config.Sizes{
			ReadPerTurn: 1 << 16, DiscoveryReply: 1 << 16, DiscoveryLine: 1 << 10,
		},
		Durations: config.Durations{
			SilenceTimeout: 1, ReplyTimeout: 1, LongPollHold: 5, MinBackoff: 0.5, MaxBackoff: 1,
		},
	}
	s.w = discovery.New(s.wire, limits, address(0), false, buffer.NewPool(512, 1<<16), s, zerolog.New(io.Discard))
	s.wire.keepOpen, s.wire.timeless = fault == "unclosed", fault == "timeless"
	s.w.Poll()
	s.look()
	return s
}

// Listed implements discovery.ListHandler.
func (s *watching) HandleList(l endpoint.List) {
	s.lists++
	from := ""
	if len(l.Endpoints) > 0 {
		from = l.Endpoints[0].Zone
	}
	watched := strconv.Itoa(s.at)
	if from == "" {
		from = watched // changes of none
	}
	s.check.ListDelivered(l.Complete, l.Generation, len(l.Endpoints), from, watched)
}

// ListFailed implements discovery.ListHandler.
func (s *watching) HandleCallFailure() { s.check.ListInvalidated() }

var fromParameter = regexp.MustCompile(`from=(\d+)`)

// look has discovery take in what was written.
func (s *watching) look() {
	open := 0
	for _, fd := range s.wire.fds() {
		k, c := s.wire.socks[fd], s.calls[fd]
		open++
		if c == nil {
			c = &call{to: s.at}
			s.calls[fd] = c
			s.order = append(s.order, fd)
		}
		for {
			i := bytes.Index(k.sent[c.read:], []byte("\r\n\r\n"))
			if i < 0 {
				break
			}
			after := int64(-1)
			if m := fromParameter.FindSubmatch(k.sent[c.read : c.read+i]); m != nil {
				after, _ = strconv.ParseInt(string(m[1]), 10, 64)
			}
			s.check.CallSent(after < 0, after)
			c.asked = append(c.asked, after)
			c.read += i + 4
		}
	}
	s.check.CheckConnections(open)
}

// reply is what discovery says to a call.
func (s *watching) reply(c *call, after int64) []byte {
	entry := func(id string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.9:1","zone":"%d","cell":1,"lifecycle":"ready"}`, id, c.to)
	}
	body := fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s,%s]}`, s.generation, entry("a"), entry("b"))
	if after >= 0 {
		body = fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, s.generation, s.fault == "part", entry("b"))
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Steps implements modelcheck.System.
func (s *watching) Steps() []string {
	var out stepList
	for i, fd := range s.order {
		if k := s.wire.socks[fd]; k != nil && k.handler != nil {
			s.addCallSteps(&out, i, k, s.calls[fd])
		}
	}
	out.addIf(s.bounds.may("move", s.faults), "move")
	_, hasTimer := s.wire.next()
	out.addIf(hasTimer && s.ticks < s.bounds.Ticks, "tick")
	return out
}

// addCallSteps adds what may happen on the connection of a call.
func (s *watching) addCallSteps(out *stepList, i int, k *sock, c *call) {
	may := func(kind string) bool { return s.bounds.may(kind, s.faults) }
	if !k.up {
		out.add("up %d", i)
		out.addIf(may("refuse"), "refuse %d", i)
		return
	}
	out.addIf(len(k.in) > 0 || k.ended, "see %d", i)
	if k.ended {
		return
	}
	if len(c.half) > 0 {
		out.add("rest %d", i)
	} else if len(c.asked) > 0 && s.lists < 3 {
		out.add("answer %d", i)
		for _, kind := range []string{"half", "sick", "spoil", "old"} {
			out.addIf(may(kind), "%s %d", kind, i)
		}
	}
	out.addIf(may("end"), "end %d", i)
}

// Take implements modelcheck.System.
func (s *watching) Take(step string) {
	var n int
	what := modelcheck.Kind(step)
	_, _ = fmt.Sscanf(step[len(what):], "%d", &n)
	var k *sock
	var c *call
	if n < len(s.order) {
		k, c = s.wire.socks[s.order[n]], s.calls[s.order[n]]
	}
	switch what {
	case "tick":
		s.ticks++
		s.wire.fire(nil) // there is one
	case "move":
		s.faults++
		s.move()
	case "up":
		k.up, k.room = true, 1<<16
		k.handler.Ready(false, true)
	case "refuse":
		s.faults++
		if s.fault == "hidden" {
			s.check.ListInvalidated()
			k.up, k.room = true, 1<<16
		} else {
			k.refused = true
		}
		k.handler.Ready(false, true)
	case "see":
		k.handler.Ready(true, false)
	case "rest":
		k.in, c.half = append(k.in, c.half...), nil
	case "end":
		s.faults++
		k.ended = true
	default:
		s.answer(what, k, c)
	}
	s.look()
}

func (s *watching) move() {
	var old []byte
	for _, fd := range s.wire.fds() {
		old = append(old, s.wire.socks[fd].in...)
	}
	s.at = 1 - s.at
	s.check.ListInvalidated()
	s.w.SetAddress(address(s.at))
	s.look()
	if s.fault == "old-bytes" {
		for _, fd := range s.wire.fds() {
			s.wire.socks[fd].in = append([]byte{}, old...)
		}
	}
}

func (s *watching) answer(what string, k *sock, c *call) {
	after := c.asked[0]
	c.asked = c.asked[1:]
	if after >= 0 {
		s.generation++
	}
	a := s.reply(c, after)
	if what != "answer" {
		s.faults++
	}
	switch what {
	case "answer":
		k.in = append(k.in, a...)
	case "half":
		k.in = append(k.in, a[:len(a)/2]...)
		c.half = a[len(a)/2:]
	case "sick":
		k.in = append(k.in, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"...)
	case "spoil":
		k.in = append(k.in, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{a}"...)
	case "old": // changes to a call for the whole list, or of an earlier time
		body := fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[]}`, s.generation-3)
		k.in = fmt.Appendf(k.in, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// watchRules leave out what is the same in all states or stands for the same thing elsewhere.
var watchRules = &modelcheck.Rules{FloatGrain: 1e-9, Ignored: modelcheck.Fields{
	"buffer.Chain":    {"pool"},
	"discovery.Watch": {"handler", "limits", "log", "loop", "timer"},
	"models.sock":     {"handler"},
	"models.watching": {"bounds", "fault"},
	"models.wire":     {"timers"},
}}

// Fingerprint implements modelcheck.System.
func (s *watching) Fingerprint(h *modelcheck.Hash) {
	h.Rules = watchRules
	h.Value(s)
	next, ok := s.wire.next()
	h.Value(ok)
	h.Float(next - s.wire.now)
}

// Broken implements modelcheck.System.
func (s *watching) Broken() (string, string) { return s.check.Broken() }

// Ended implements modelcheck.System: a list of the address that is watched has been taken.
func (s *watching) Ended() bool { return s.lists > 0 }
