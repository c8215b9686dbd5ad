package models

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sort"
	"strings"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/dispatcher"
	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/frontend"
	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/metrics"
	"stoatdale.example/stoatdale/internal/modelcheck"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

var clientKind = Kind{
	Name: "client", Words: "client connections and the front, with clients, the core, the network and time as the adversary",
	Faults: map[string]Fault{
		"swapped":    {"an answer goes to another command than its own", Bounds{Clients: 1, Commands: []string{"look", "look"}}},
		"lost-byte":  {"the last byte of an answer counts as written, and is not", Bounds{Clients: 1, Commands: []string{"empty"}}},
		"unclosed":   {"a connection that is closed stays open", Bounds{Clients: 1, Commands: []string{"quit"}, Faults: 1}},
		"left-twice": {"a command whose client has left is answered all the same", Bounds{Clients: 1, Commands: []string{"look"}, Faults: 1}},
		"unheard":    {"a client that leaves is not told to the core", Bounds{Clients: 1, Commands: []string{"look"}, Faults: 2}},
	},
	New: func(b Bounds, fault string) func() modelcheck.System {
		return func() modelcheck.System { return newClient(b, fault) }
	},
}

// clients is the system: a front and its clients; the core is the adversary's.
type clients struct {
	bounds   Bounds
	fault    string
	wire     *listening
	front    *frontend.Server
	blocks   *buffer.Pool
	check    invariant.ClientChecker
	clients  []*scriptedClient
	received []*receivedCommand
	faults   int
	ticks    int
	drained  bool
	keys     byte // cancel keys drawn
}

// listening is a wire with a listener.
type listening struct {
	*wire
	listener int
	coming   []int // clients that wait to be accepted
	fds      map[int]int
}

// scriptedClient is one client: what it says, in order, and how much of that it has said.
type scriptedClient struct {
	fd           int
	connected    bool
	messagesSent int // messages, the start-up packet first
	halfSent     bool
	wasSlow      bool   // it has said half a message, and may be cut short for it
	received     []byte // all that it was ever sent
}

// receivedCommand is a command that the front took.
type receivedCommand struct {
	c    *dispatcher.Command
	name string
	open bool
}

func newClient(b Bounds, fault string) *clients {
	s := &clients{bounds: b, fault: fault, wire: &listening{wire: newWire(), fds: map[int]int{}}, blocks: buffer.NewPool(512, 1<<16)}
	s.wire.keepOpen, s.wire.loseByte = fault == "unclosed", fault == "lost-byte"
	limits := &config.Limits{
		Sizes: config.Sizes{
			BufferBlock: 512, ClientMessage: 4096, StartupPacket: 1000, StatementComment: 512, ReadPerTurn: 1 << 16,
			UnsentAnswers: 1 << 16,
		},
		Counts: config.Counts{
			AcceptsPerTurn: 4, ListenBacklog: 4, MessagesPerTurn: 8, PipelinedCommands: 4, InvalidQueries: 3,
			SharedDescriptors: 99, ClientConnections: 9, IdleClients: 9,
		},
		Durations: config.Durations{
			MaxClientTimeout: 10, AnswerMargin: 0.005, FirstQueryTimeout: 2, MessageTimeout: 2, WriteStallTimeout: 3,
			IdleTimeout: 5, ShedGrace: 0.01, CloseLinger: 1, MinBackoff: 0.5, DrainDeadline: 0.15,
		},
	}
	told := &config.Settings{GroupNames: []string{"look"}}
	told.CommandGroups = []router.CommandGroup{{ClientTimeout: 1, LatencyObjective: 0.5}}
	var err error
	s.front, err = frontend.Listen(netip.MustParseAddrPort("127.0.0.1:5432"), s.wire, frontend.Options{
		Limits:     limits,
		Settings:   told,
		Buffers:    s.blocks,
		Dispatcher: clientCore{s},
		Counters:   &metrics.Counters{},
		Log:        zerolog.New(io.Discard),

		DrawCancelKey: func() pg.CancelKey { s.keys++; return pg.CancelKey{s.keys} },
	})
	if err != nil {
		panic(err) // the wire refuses nothing
	}
	for range b.Clients {
		s.clients = append(s.clients, &scriptedClient{})
	}
	return s
}

// Listen implements eventloop.ServerNetwork, as the others do.
func (l *listening) Listen(netip.AddrPort, int) (int, error) {
	l.last++
	l.listener = l.last
	return l.listener, nil
}
func (l *listening) LocalAddress(int) (netip.AddrPort, error) { return netip.AddrPort{}, nil }
func (l *listening) HasBacklog(int) bool                      { return len(l.coming) > 0 }
func (l *listening) PeerClosed(fd int) bool                   { return l.socks[fd].ended }
func (l *listening) ReadySince() float64                      { return l.now }
func (l *listening) CloseWrite(int)                           {}
func (l *listening) Accept(int) (int, bool, error) {
	if len(l.coming) == 0 {
		return -1, false, nil
	}
	client := l.coming[0]
	l.coming = l.coming[1:]
	l.last++
	l.fds[client] = l.last
	return l.last, true, nil
}

// clientCore is the core that the front speaks to: the adversary.
type clientCore struct{ *clients }

// LookupShard implements frontend.Dispatcher, as the others do.
func (clientCore) LookupShard(int) (int, bool) { return 0, true }

func (s clientCore) IsInFlight(name string) bool {
	for _, t := range s.received {
		if t.open && t.c.ID == name {
			return true
		}
	}
	return false
}

func (s clientCore) Submit(c *dispatcher.Command) {
	s.received = append(s.received, &receivedCommand{c: c, name: c.ID, open: true})
}

func (s clientCore) ClientGone(cs []*dispatcher.Command) {
	for _, t := range s.received {
		if slices.Contains(cs, t.c) && s.fault != "unheard" {
			s.check.CommandEnded(t.name)
			t.open = s.fault == "left-twice"
			t.c.Statement.Free()
		}
	}
}
func (clientCore) CloseIdleBackend() bool       { return false }
func (clientCore) SecondsSince(float64) float64 { return 1 }

// clientSays are the messages of clients in bounds, beside commands.
var clientSays = []string{"empty", "bad", "extended", "quit", "garbage"}

// message is what a client says as its n-th, the start-up packet first.
func (s *clients) message(client, n int) []byte {
	if n == 0 {
		return pg.AppendStartupMessage(nil)
	}
	switch kind := s.bounds.Commands[n-1]; kind {
	case "empty":
		return pg.AppendQuery(nil, "")
	case "bad":
		return pg.AppendQuery(nil, "SELECT 1")
	case "extended":
		return pg.AppendMessage(pg.AppendMessage(nil, 'P', []byte("x\x00\x00\x00\x00")), 'S')
	case "quit":
		return pg.AppendMessage(nil, 'X')
	case "garbage":
		return []byte("?\x00\x00\x00\x04")
	default:
		return pg.AppendQuery(nil, fmt.Sprintf("SELECT doc FROM items WHERE id = '%c' /* id=%d%d,c=look,d=900,cluster=2 */", 'a'+n, client+1, n))
	}
}

// may is what a client's n-th message may be answered with.
func (s *clients) may(client, n int) func(invariant.Answer) bool {
	if n == 0 {
		return func(a invariant.Answer) bool { return a == invariant.Answer{} }
	}
	kind := s.bounds.Commands[n-1]
	return func(a invariant.Answer) bool {
		switch kind {
		case "empty":
			return a.Empty
		case "bad":
			return a.Code == pg.CodeSyntaxError
		case "extended":
			return a.Code == pg.CodeFeatureNotSupported
		case "quit", "garbage":
			return a.Code == pg.CodeProtocolViolation
		}
		return a.Value == fmt.Sprintf("%d%d", client+1, n) || a.Code == pg.CodeTooManyConnections || a.Code == pg.CodeSystemError
	}
}

// answers reads what a client was sent. What is not yet whole is left out; an error that is fatal needs no more.
func answers(raw []byte) (out []invariant.Answer) {
	var a invariant.Answer
	for len(raw) >= 5 {
		n := 1 + int(binary.BigEndian.Uint32(raw[1:]))
		if n < 5 || n > 1<<16 || !bytes.ContainsRune([]byte("RSKZTDCIE"), rune(raw[0])) {
			return append(out, invariant.Answer{Garbled: true})
		}
		if len(raw) < n {
			return out
		}
		body := raw[5:n]
		switch raw[0] {
		case 'D':
			if len(body) >= 6 {
				a.Value = string(body[6:])
			}
		case 'I':
			a.Empty = true
		case 'E':
			for _, f := range strings.Split(string(body), "\x00") {
				if f != "" && f[0] == 'C' {
					a.Code = f[1:]
				}
			}
			if a.Code == pg.CodeProtocolViolation { // no ReadyForQuery comes after it
				out, a = append(out, a), invariant.Answer{}
			}
		case 'Z':
			out, a = append(out, a), invariant.Answer{}
		}
		raw = raw[n:]
	}
	return out
}

// Steps implements modelcheck.System.
func (s *clients) Steps() []string {
	var out stepList
	for i, c := range s.clients {
		if c.connected {
			s.addClientSteps(&out, i, c)
		} else {
			out.addIf(!s.drained, "come %d", i)
		}
	}
	for i, t := range s.received {
		if t.open {
			out.add("answer %d", i)
			out.add("throttle %d", i)
			out.add("fail %d", i)
		}
	}
	out.addIf(!s.drained && s.bounds.may("drain", s.faults), "drain")
	_, hasTimer := s.wire.next()
	out.addIf(hasTimer && s.ticks < s.bounds.Ticks, "tick")
	return out
}

// addClientSteps adds what a client may do that has come, and what may become of its connection.
func (s *clients) addClientSteps(out *stepList, i int, c *scriptedClient) {
	k := s.wire.socks[c.fd]
	if k == nil || k.handler == nil {
		return
	}
	may := func(kind string) bool { return s.bounds.may(kind, s.faults) }
	out.addIf(len(k.in) > 0 && k.wantRead || k.ended, "see %d", i)
	out.addIf(k.wantWrite && k.room == 0, "take %d", i)
	if k.ended {
		return
	}
	hasMore := c.messagesSent <= len(s.bounds.Commands)
	out.addIf(hasMore, "say %d", i)
	out.addIf(hasMore && !c.halfSent && may("half"), "half %d", i)
	out.addIf(may("leave"), "leave %d", i)
	out.addIf(k.room > 0 && may("stall"), "stall %d", i)
}

// Commute implements modelcheck.Commuter: what one client sends is nothing to the connection of another.
func (s *clients) Commute(a, b string) bool {
	if modelcheck.Kind(a) != "say" {
		a, b = b, a
	}
	if modelcheck.Kind(a) != "say" || a[len(a)-1] == b[len(b)-1] {
		return false
	}
	switch modelcheck.Kind(b) {
	case "say", "see", "half", "stall", "take", "leave":
		return true
	}
	return false
}

// Take implements modelcheck.System.
func (s *clients) Take(step string) {
	kind, n, _ := parseStep(step)
	switch kind {
	case "drain":
		s.faults++
		s.drained = true
		s.front.Shutdown()
	case "tick":
		s.ticks++
		s.wire.fire(s.order())
	case "answer", "throttle", "fail":
		s.core(kind, n)
	case "come":
		s.come(n)
	case "say", "half":
		s.say(n, kind == "half")
	default:
		s.onConnection(kind, s.wire.socks[s.clients[n].fd])
	}
	s.front.ProcessPending()
	s.judge()
}

// come has a client connect.
func (s *clients) come(n int) {
	c := s.clients[n]
	c.connected = true
	s.wire.coming = append(s.wire.coming, n)
	s.front.Ready(true, false)
	c.fd = s.wire.fds[n]
	if k := s.wire.socks[c.fd]; k != nil {
		k.room = 1 << 16
	}
}

// say has a client send its next message, the first half of it or the second.
func (s *clients) say(n int, half bool) {
	c := s.clients[n]
	m := s.message(n, c.messagesSent)
	switch {
	case c.halfSent:
		m = m[len(m)/2:]
		c.halfSent = false
		c.messagesSent++
	case half:
		s.faults++
		m = m[:len(m)/2]
		c.halfSent, c.wasSlow = true, true
	default:
		c.messagesSent++
	}
	k := s.wire.socks[c.fd]
	k.in = append(k.in, m...)
}

// onConnection is what the network and the client's side do to a connection.
func (s *clients) onConnection(kind string, k *sock) {
	switch kind {
	case "see":
		if handler, ok := k.handler.(eventloop.HangupHandler); ok && k.ended {
			handler.HungUp()
			return
		}
		k.handler.Ready(true, false)
	case "stall":
		s.faults++
		k.room = 0
	case "take":
		k.room = 1 << 16
		k.handler.Ready(false, true)
	case "leave":
		s.faults++
		k.ended = true
	}
}

// core is what the core does with a command that it has in hand.
func (s *clients) core(what string, n int) {
	t := s.received[n]
	to := t
	if s.fault == "swapped" {
		for _, o := range s.received {
			if o != t && o.open {
				to = o
			}
		}
	}
	s.check.CommandEnded(t.name)
	t.open = false
	switch what {
	case "throttle":
		s.front.Reject(t.c, 0)
	case "fail":
		s.front.Fail(t.c)
	default:
		row := s.blocks.NewChain()
		b := pg.AppendMessage(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
		b = pg.AppendMessage(b, 'D', binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(to.name))), []byte(to.name))
		row.Write(pg.AppendMessage(b, 'C', []byte("SELECT 1\x00")))
		s.front.Answer(t.c, &row)
	}
	t.c.Statement.Free()
}

// judge reads what clients were sent, and looks at what is left once all have gone.
func (s *clients) judge() {
	for i, c := range s.clients {
		if k := s.wire.socks[c.fd]; c.connected && k != nil {
			c.received = append(c.received[:0], k.sent...)
		}
		var may []func(invariant.Answer) bool
		for n := range c.messagesSent {
			own := s.may(i, n)
			may = append(may, func(a invariant.Answer) bool { return own(a) || c.wasSlow && a.Code == pg.CodeProtocolViolation })
		}
		if c.halfSent { // its own half message may be found wrong
			may = append(may, func(a invariant.Answer) bool { return a.Code == pg.CodeProtocolViolation })
		}
		s.check.CheckAnswers(i, answers(c.received), may)
	}
	if s.drained && s.front.OpenConnections() == 0 {
		open := 0
		for _, t := range s.received {
			if t.open {
				open++
			}
		}
		s.check.CheckLeaks(len(s.wire.socks), len(s.wire.timers), s.blocks.BlocksInUse(), open)
	}
}

// order is the clients' connections.
func (s *clients) order() (fds []int) {
	for _, c := range s.clients {
		fds = append(fds, c.fd)
	}
	return fds
}

// Broken implements modelcheck.System.
func (s *clients) Broken() (string, string) { return s.check.Broken() }

// Ended implements modelcheck.System: the front has drained.
func (s *clients) Ended() bool { return s.drained && s.front.OpenConnections() == 0 }

// clientRules leave out the lists of those that may make room, for there is room for all, and what is the same in all
// states or stands for the same thing elsewhere.
var clientRules = &modelcheck.Rules{FloatGrain: 1e-9, Ignored: modelcheck.Fields{
	"buffer.Chain":       {"pool"},
	"dispatcher.Command": {"Owner", "Responder"},
	"frontend.conn":      {"fd", "server", "shedElement", "shedQueue", "timer"},
	"models.clients":     {"blocks", "bounds", "fault", "front", "wire"},
	"models.sock":        {"handler"},
}}

// Fingerprint implements modelcheck.System.
func (s *clients) Fingerprint(h *modelcheck.Hash) {
	h.Rules = clientRules
	h.Float(s.wire.now)
	h.Value(s)
	for _, c := range s.clients {
		k := s.wire.socks[c.fd]
		h.Value(k)
		if k != nil && k.handler != nil {
			h.Value(k.handler)
			at, set := s.wire.timers[s.wire.timer(c.fd)]
			h.Value(set)
			h.Float(at)
		}
	}
	var rest []float64
	for _, at := range s.wire.timers {
		rest = append(rest, at)
	}
	sort.Float64s(rest)
	h.Value(rest)
}
