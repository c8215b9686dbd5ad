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
		return func() modelcheck.System { return newClientSystem(b, fault) }
	},
}

// clientSystem is the system: a front and its clientSystem; the core is the adversary's.
type clientSystem struct {
	bounds     Bounds
	fault      string
	network    *fakeServerNetwork
	frontend   *frontend.Server
	buffers    *buffer.Pool
	checker    invariant.Clients
	clients    []*scriptedClient
	received   []*receivedCommand
	faults     int
	ticks      int
	drained    bool
	cancelKeys byte // cancel keys drawn
}

// fakeServerNetwork is a wire with a listener.
type fakeServerNetwork struct {
	*fakeNetwork
	listener          int
	backlog           []int // clients that wait to be accepted
	clientDescriptors map[int]int
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
	command *dispatcher.Command
	name    string
	open    bool
}

func newClientSystem(b Bounds, fault string) *clientSystem {
	s := &clientSystem{bounds: b, fault: fault, network: &fakeServerNetwork{fakeNetwork: newFakeNetwork(), clientDescriptors: map[int]int{}}, buffers: buffer.NewPool(512, 1<<16)}
	s.network.keepsOpen, s.network.losesLastByte = fault == "unclosed", fault == "lost-byte"
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
	s.frontend, err = frontend.Listen(netip.MustParseAddrPort("127.0.0.1:5432"), s.network, frontend.Options{
		Limits:     limits,
		Settings:   told,
		Buffers:    s.buffers,
		Dispatcher: fakeDispatcher{s},
		Counters:   &metrics.Counters{},
		Log:        zerolog.New(io.Discard),

		DrawCancelKey: func() pg.CancelKey { s.cancelKeys++; return pg.CancelKey{s.cancelKeys} },
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
func (l *fakeServerNetwork) Listen(netip.AddrPort, int) (int, error) {
	l.lastDescriptor++
	l.listener = l.lastDescriptor
	return l.listener, nil
}
func (l *fakeServerNetwork) LocalAddress(int) (netip.AddrPort, error) { return netip.AddrPort{}, nil }
func (l *fakeServerNetwork) HasBacklog(int) bool                      { return len(l.backlog) > 0 }
func (l *fakeServerNetwork) PeerClosed(fd int) bool                   { return l.sockets[fd].peerClosed }
func (l *fakeServerNetwork) ReadySince() float64                      { return l.now }
func (l *fakeServerNetwork) CloseWrite(int)                           {}
func (l *fakeServerNetwork) Accept(int) (int, bool, error) {
	if len(l.backlog) == 0 {
		return -1, false, nil
	}
	client := l.backlog[0]
	l.backlog = l.backlog[1:]
	l.lastDescriptor++
	l.clientDescriptors[client] = l.lastDescriptor
	return l.lastDescriptor, true, nil
}

// fakeDispatcher is the core that the front speaks to: the adversary.
type fakeDispatcher struct{ *clientSystem }

// LookupShard implements frontend.Dispatcher, as the others do.
func (fakeDispatcher) LookupShard(int) (int, bool) { return 0, true }

func (s fakeDispatcher) IsInFlight(name string) bool {
	for _, t := range s.received {
		if t.open && t.command.ID == name {
			return true
		}
	}
	return false
}

func (s fakeDispatcher) Submit(c *dispatcher.Command) {
	s.received = append(s.received, &receivedCommand{command: c, name: c.ID, open: true})
}

func (s fakeDispatcher) ClientGone(cs []*dispatcher.Command) {
	for _, t := range s.received {
		if slices.Contains(cs, t.command) && s.fault != "unheard" {
			s.checker.Ended(t.name)
			t.open = s.fault == "left-twice"
			t.command.Statement.Free()
		}
	}
}
func (fakeDispatcher) CloseIdleBackend() bool       { return false }
func (fakeDispatcher) SecondsSince(float64) float64 { return 1 }

// clientMessages are the messages of clients in bounds, beside commands.
var clientMessages = []string{"empty", "bad", "extended", "quit", "garbage"}

// message is what a client says as its n-th, the start-up packet first.
func (s *clientSystem) message(client, n int) []byte {
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

// allowedAnswer is what a client's n-th message allowedAnswer be answered with.
func (s *clientSystem) allowedAnswer(client, n int) func(invariant.Answer) bool {
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

// parseAnswers reads what a client was sent. What is not yet whole is left out; an error that is fatal needs no more.
func parseAnswers(raw []byte) (out []invariant.Answer) {
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
func (s *clientSystem) Steps() []string {
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
	out.addIf(!s.drained && s.bounds.mayInject("drain", s.faults), "drain")
	_, hasTimer := s.network.nextTimer()
	out.addIf(hasTimer && s.ticks < s.bounds.Ticks, "tick")
	return out
}

// addClientSteps adds what a client may do that has come, and what may become of its connection.
func (s *clientSystem) addClientSteps(out *stepList, i int, c *scriptedClient) {
	k := s.network.sockets[c.fd]
	if k == nil || k.handler == nil {
		return
	}
	may := func(kind string) bool { return s.bounds.mayInject(kind, s.faults) }
	out.addIf(len(k.unread) > 0 && k.wantRead || k.peerClosed, "see %d", i)
	out.addIf(k.wantWrite && k.writable == 0, "take %d", i)
	if k.peerClosed {
		return
	}
	hasMore := c.messagesSent <= len(s.bounds.Commands)
	out.addIf(hasMore, "say %d", i)
	out.addIf(hasMore && !c.halfSent && may("half"), "half %d", i)
	out.addIf(may("leave"), "leave %d", i)
	out.addIf(k.writable > 0 && may("stall"), "stall %d", i)
}

// Commute implements modelcheck.Commuter: what one client sends is nothing to the connection of another.
func (s *clientSystem) Commute(a, b string) bool {
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
func (s *clientSystem) Take(step string) {
	kind, n, _ := parseStep(step)
	switch kind {
	case "drain":
		s.faults++
		s.drained = true
		s.frontend.Shutdown()
	case "tick":
		s.ticks++
		s.network.fireNextTimers(s.descriptors())
	case "answer", "throttle", "fail":
		s.endCommand(kind, n)
	case "come":
		s.connect(n)
	case "say", "half":
		s.sendMessage(n, kind == "half")
	default:
		s.takeNetworkStep(kind, s.network.sockets[s.clients[n].fd])
	}
	s.frontend.ProcessPending()
	s.checkClients()
}

// connect has a client connect.
func (s *clientSystem) connect(n int) {
	c := s.clients[n]
	c.connected = true
	s.network.backlog = append(s.network.backlog, n)
	s.frontend.Ready(true, false)
	c.fd = s.network.clientDescriptors[n]
	if k := s.network.sockets[c.fd]; k != nil {
		k.writable = 1 << 16
	}
}

// sendMessage has a client send its next message, the first half of it or the second.
func (s *clientSystem) sendMessage(n int, half bool) {
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
	k := s.network.sockets[c.fd]
	k.unread = append(k.unread, m...)
}

// takeNetworkStep is what the network and the client's side do to a connection.
func (s *clientSystem) takeNetworkStep(kind string, k *fakeSocket) {
	switch kind {
	case "see":
		if handler, ok := k.handler.(eventloop.HangupHandler); ok && k.peerClosed {
			handler.HungUp()
			return
		}
		k.handler.Ready(true, false)
	case "stall":
		s.faults++
		k.writable = 0
	case "take":
		k.writable = 1 << 16
		k.handler.Ready(false, true)
	case "leave":
		s.faults++
		k.peerClosed = true
	}
}

// endCommand is what the endCommand does with a command that it has in hand.
func (s *clientSystem) endCommand(what string, n int) {
	t := s.received[n]
	to := t
	if s.fault == "swapped" {
		for _, o := range s.received {
			if o != t && o.open {
				to = o
			}
		}
	}
	s.checker.Ended(t.name)
	t.open = false
	switch what {
	case "throttle":
		s.frontend.Reject(t.command, 0)
	case "fail":
		s.frontend.Fail(t.command)
	default:
		row := s.buffers.NewChain()
		b := pg.AppendMessage(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
		b = pg.AppendMessage(b, 'D', binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(to.name))), []byte(to.name))
		row.Write(pg.AppendMessage(b, 'C', []byte("SELECT 1\x00")))
		s.frontend.Answer(t.command, &row)
	}
	t.command.Statement.Free()
}

// checkClients reads what clients were sent, and looks at what is left once all have gone.
func (s *clientSystem) checkClients() {
	for i, c := range s.clients {
		if k := s.network.sockets[c.fd]; c.connected && k != nil {
			c.received = append(c.received[:0], k.written...)
		}
		var may []func(invariant.Answer) bool
		for n := range c.messagesSent {
			own := s.allowedAnswer(i, n)
			may = append(may, func(a invariant.Answer) bool { return own(a) || c.wasSlow && a.Code == pg.CodeProtocolViolation })
		}
		if c.halfSent { // its own half message may be found wrong
			may = append(may, func(a invariant.Answer) bool { return a.Code == pg.CodeProtocolViolation })
		}
		s.checker.Read(i, parseAnswers(c.received), may)
	}
	if s.drained && s.frontend.OpenConnections() == 0 {
		open := 0
		for _, t := range s.received {
			if t.open {
				open++
			}
		}
		s.checker.Left(len(s.network.sockets), len(s.network.timers), s.buffers.BlocksInUse(), open)
	}
}

// descriptors is the clients' connections.
func (s *clientSystem) descriptors() (fds []int) {
	for _, c := range s.clients {
		fds = append(fds, c.fd)
	}
	return fds
}

// Broken implements modelcheck.System.
func (s *clientSystem) Broken() (string, string) { return s.checker.Broken() }

// Ended implements modelcheck.System: the front has drained.
func (s *clientSystem) Ended() bool { return s.drained && s.frontend.OpenConnections() == 0 }

// clientRules leave out the lists of those that may make room, for there is room for all, and what is the same in all
// states or stands for the same thing elsewhere.
var clientRules = &modelcheck.Rules{FloatGrain: 1e-9, Ignored: modelcheck.Fields{
	"buffer.Chain":        {"pool"},
	"dispatcher.Command":  {"Owner", "Responder"},
	"frontend.conn":       {"fd", "server", "shedElement", "shedQueue", "timer"},
	"models.clientSystem": {"bounds", "buffers", "fault", "frontend", "network"},
	"models.fakeSocket":   {"handler"},
}}

// Fingerprint implements modelcheck.System.
func (s *clientSystem) Fingerprint(h *modelcheck.Hash) {
	h.Rules = clientRules
	h.Float(s.network.now)
	h.Value(s)
	for _, c := range s.clients {
		k := s.network.sockets[c.fd]
		h.Value(k)
		if k != nil && k.handler != nil {
			h.Value(k.handler)
			at, set := s.network.timers[s.network.connectionTimer(c.fd)]
			h.Value(set)
			h.Float(at)
		}
	}
	var rest []float64
	for _, at := range s.network.timers {
		rest = append(rest, at)
	}
	sort.Float64s(rest)
	h.Value(rest)
}
