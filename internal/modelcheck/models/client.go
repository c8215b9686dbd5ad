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
	Name:        "client",
	Description: "client connections and the frontend; the adversary controls clients, the dispatcher, the network and time",
	Faults: map[string]Fault{
		"swapped":    {"an answer goes to another command than its own", Bounds{Clients: 1, Commands: []string{"look", "look"}}},
		"lost-byte":  {"the last byte of an answer counts as written but is not", Bounds{Clients: 1, Commands: []string{"empty"}}},
		"unclosed":   {"a closed connection stays open", Bounds{Clients: 1, Commands: []string{"quit"}, Faults: 1}},
		"left-twice": {"a command whose client has left is still answered", Bounds{Clients: 1, Commands: []string{"look"}, Faults: 1}},
		"unheard":    {"the dispatcher does not learn that a client left", Bounds{Clients: 1, Commands: []string{"look"}, Faults: 2}},
	},
	New: func(b Bounds, fault string) func() modelcheck.System {
		return func() modelcheck.System { return newClientSystem(b, fault) }
	},
}

// clientSystem is the system "client": the frontend and its clients. The dispatcher is part of the adversary.
type clientSystem struct {
	bounds     Bounds
	fault      string
	network    *fakeServerNetwork
	frontend   *frontend.Server
	buffers    *buffer.Pool
	checker    invariant.ClientChecker
	clients    []*scriptedClient
	received   []*receivedCommand
	faults     int
	ticks      int
	drained    bool
	cancelKeys byte // number of keys drawn so far
}

// fakeServerNetwork is a fakeNetwork with a listener.
type fakeServerNetwork struct {
	*fakeNetwork
	listener          int
	backlog           []int       // clients that wait to be accepted, in order
	clientDescriptors map[int]int // descriptor of each client's connection, by client
}

// scriptedClient is a client that sends the messages listed in the bounds, in order.
type scriptedClient struct {
	fd           int
	connected    bool
	messagesSent int    // number of messages sent completely; the startup packet is the first
	halfSent     bool   // half of the next message is sent
	wasSlow      bool   // it once sent half a message and may have been closed for it
	received     []byte // every byte that the frontend has written to it
}

// receivedCommand is a command that the frontend passed to the dispatcher.
type receivedCommand struct {
	command *dispatcher.Command
	name    string // the id that its client gave it
	open    bool   // it has not ended yet
}

func newClientSystem(b Bounds, fault string) *clientSystem {
	s := &clientSystem{
		bounds: b, fault: fault,
		network: &fakeServerNetwork{fakeNetwork: newFakeNetwork(), clientDescriptors: map[int]int{}}, buffers: buffer.NewPool(512, 1<<16),
	}
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
	settings := &config.Settings{GroupNames: []string{"look"}}
	settings.CommandGroups = []router.CommandGroup{{ClientTimeout: 1, LatencyObjective: 0.5}}
	var err error
	s.frontend, err = frontend.Listen(netip.MustParseAddrPort("127.0.0.1:5432"), s.network, frontend.Options{
		Limits:     limits,
		Settings:   settings,
		Buffers:    s.buffers,
		Dispatcher: fakeDispatcher{s},
		Counters:   &metrics.Counters{},
		Log:        zerolog.New(io.Discard),

		DrawCancelKey: func() pg.CancelKey { s.cancelKeys++; return pg.CancelKey{s.cancelKeys} },
	})
	if err != nil {
		panic(err) // the fake network never fails to listen
	}
	for range b.Clients {
		s.clients = append(s.clients, &scriptedClient{})
	}
	return s
}

// Listen implements eventloop.ServerNetwork, as do the methods below.
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

// fakeDispatcher is the dispatcher that the frontend calls; the adversary decides what it does.
type fakeDispatcher struct{ *clientSystem }

// LookupShard implements frontend.Dispatcher, as do the methods below.
func (fakeDispatcher) LookupShard(int) (int, bool) { return 0, true }

func (s fakeDispatcher) IsInFlight(id string) bool {
	for _, received := range s.received {
		if received.open && received.command.ID == id {
			return true
		}
	}
	return false
}

func (fakeDispatcher) MayHaveRun(string) bool { return false }

func (s fakeDispatcher) Submit(command *dispatcher.Command) {
	s.received = append(s.received, &receivedCommand{command: command, name: command.ID, open: true})
}

func (s fakeDispatcher) ClientGone(commands []*dispatcher.Command) {
	for _, received := range s.received {
		if slices.Contains(commands, received.command) && s.fault != "unheard" {
			s.checker.CommandEnded(received.name)
			received.open = s.fault == "left-twice"
			received.command.Statement.Free()
		}
	}
}
func (fakeDispatcher) CloseIdleBackend() bool       { return false }
func (fakeDispatcher) SecondsSince(float64) float64 { return 1 }

// clientMessages are the client messages that bounds may name besides command groups.
var clientMessages = []string{"empty", "bad", "extended", "quit", "garbage"}

// message returns a client's n-th message; message 0 is the startup packet.
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
		return pg.AppendQuery(nil, fmt.Sprintf("SELECT doc FROM items WHERE id = '%c' /* id=%d%d,c=look,d=900,cluster=2 */",
			'a'+n, client+1, n))
	}
}

// allowedAnswer returns a function that reports whether an answer to a client's n-th message is allowed.
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

// parseAnswers parses the complete answers in what a client was sent. A fatal error is complete without a ReadyForQuery.
func parseAnswers(raw []byte) (answers []invariant.Answer) {
	var answer invariant.Answer
	for len(raw) >= 5 {
		n := 1 + int(binary.BigEndian.Uint32(raw[1:]))
		if n < 5 || n > 1<<16 || !bytes.ContainsRune([]byte("RSKZTDCIE"), rune(raw[0])) {
			return append(answers, invariant.Answer{Garbled: true})
		}
		if len(raw) < n {
			return answers
		}
		body := raw[5:n]
		switch raw[0] {
		case 'D':
			if len(body) >= 6 {
				answer.Value = string(body[6:])
			}
		case 'I':
			answer.Empty = true
		case 'E':
			for _, field := range strings.Split(string(body), "\x00") {
				if field != "" && field[0] == 'C' {
					answer.Code = field[1:]
				}
			}
			if answer.Code == pg.CodeProtocolViolation { // it is fatal: no ReadyForQuery follows
				answers, answer = append(answers, answer), invariant.Answer{}
			}
		case 'Z':
			answers, answer = append(answers, answer), invariant.Answer{}
		}
		raw = raw[n:]
	}
	return answers
}

// Steps implements modelcheck.System.
func (s *clientSystem) Steps() []string {
	var steps stepList
	for i, c := range s.clients {
		if c.connected {
			s.addClientSteps(&steps, i, c)
		} else {
			steps.addIf(!s.drained, "come %d", i)
		}
	}
	for i, received := range s.received {
		if received.open {
			steps.add("answer %d", i)
			steps.add("throttle %d", i)
			steps.add("fail %d", i)
		}
	}
	steps.addIf(!s.drained && s.bounds.mayInject("drain", s.faults), "drain")
	_, hasTimer := s.network.nextTimer()
	steps.addIf(hasTimer && s.ticks < s.bounds.Ticks, "tick")
	return steps
}

// addClientSteps adds what a connected client may do and what may happen to its connection.
func (s *clientSystem) addClientSteps(steps *stepList, i int, c *scriptedClient) {
	socket := s.network.sockets[c.fd]
	if socket == nil || socket.handler == nil {
		return
	}
	mayInject := func(kind string) bool { return s.bounds.mayInject(kind, s.faults) }
	steps.addIf(len(socket.unread) > 0 && socket.wantRead || socket.peerClosed, "see %d", i)
	steps.addIf(socket.wantWrite && socket.writable == 0, "take %d", i)
	if socket.peerClosed {
		return
	}
	hasMore := c.messagesSent <= len(s.bounds.Commands)
	steps.addIf(hasMore, "say %d", i)
	steps.addIf(hasMore && !c.halfSent && mayInject("half"), "half %d", i)
	steps.addIf(mayInject("leave"), "leave %d", i)
	steps.addIf(socket.writable > 0 && mayInject("stall"), "stall %d", i)
}

// Commute implements modelcheck.Commuter. What one client sends does not change the connection of another.
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

// connect lets a client connect.
func (s *clientSystem) connect(n int) {
	c := s.clients[n]
	c.connected = true
	s.network.backlog = append(s.network.backlog, n)
	s.frontend.Ready(true, false)
	c.fd = s.network.clientDescriptors[n]
	if socket := s.network.sockets[c.fd]; socket != nil {
		socket.writable = 1 << 16
	}
}

// sendMessage lets a client send its next message: all of it, its first half, or the half that is left.
func (s *clientSystem) sendMessage(n int, half bool) {
	c := s.clients[n]
	message := s.message(n, c.messagesSent)
	switch {
	case c.halfSent:
		message = message[len(message)/2:]
		c.halfSent = false
		c.messagesSent++
	case half:
		s.faults++
		message = message[:len(message)/2]
		c.halfSent, c.wasSlow = true, true
	default:
		c.messagesSent++
	}
	socket := s.network.sockets[c.fd]
	socket.unread = append(socket.unread, message...)
}

// takeNetworkStep takes a step of the network or of the client on a connection.
func (s *clientSystem) takeNetworkStep(kind string, socket *fakeSocket) {
	switch kind {
	case "see":
		if handler, ok := socket.handler.(eventloop.HangupHandler); ok && socket.peerClosed {
			handler.HungUp()
			return
		}
		socket.handler.Ready(true, false)
	case "stall":
		s.faults++
		socket.writable = 0
	case "take":
		socket.writable = 1 << 16
		socket.handler.Ready(false, true)
	case "leave":
		s.faults++
		socket.peerClosed = true
	}
}

// endCommand lets the dispatcher answer, reject or fail a command.
func (s *clientSystem) endCommand(kind string, n int) {
	ended := s.received[n]
	answered := ended
	if s.fault == "swapped" {
		for _, other := range s.received {
			if other != ended && other.open {
				answered = other
			}
		}
	}
	s.checker.CommandEnded(ended.name)
	ended.open = false
	switch kind {
	case "throttle":
		s.frontend.Reject(ended.command, 0)
	case "fail":
		s.frontend.Fail(ended.command)
	default:
		row := s.buffers.NewChain()
		reply := pg.AppendMessage(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
		reply = pg.AppendMessage(reply, 'D',
			binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(answered.name))), []byte(answered.name))
		row.Write(pg.AppendMessage(reply, 'C', []byte("SELECT 1\x00")))
		s.frontend.Answer(ended.command, &row)
	}
	ended.command.Statement.Free()
}

// checkClients checks what clients were sent, and that nothing is held once the frontend has drained.
func (s *clientSystem) checkClients() {
	for i, c := range s.clients {
		if socket := s.network.sockets[c.fd]; c.connected && socket != nil {
			c.received = append(c.received[:0], socket.written...)
		}
		var allowed []func(invariant.Answer) bool
		for n := range c.messagesSent {
			allowedForMessage := s.allowedAnswer(i, n)
			allowed = append(allowed, func(a invariant.Answer) bool {
				return allowedForMessage(a) || c.wasSlow && a.Code == pg.CodeProtocolViolation
			})
		}
		if c.halfSent { // half a message may already be rejected
			allowed = append(allowed, func(a invariant.Answer) bool { return a.Code == pg.CodeProtocolViolation })
		}
		s.checker.CheckAnswers(i, parseAnswers(c.received), allowed)
	}
	if s.drained && s.frontend.OpenConnections() == 0 {
		open := 0
		for _, received := range s.received {
			if received.open {
				open++
			}
		}
		s.checker.CheckLeaks(len(s.network.sockets), len(s.network.timers), s.buffers.BlocksInUse(), open)
	}
}

// descriptors returns the clients' connections.
func (s *clientSystem) descriptors() (fds []int) {
	for _, c := range s.clients {
		fds = append(fds, c.fd)
	}
	return fds
}

// Broken implements modelcheck.System.
func (s *clientSystem) Broken() (string, string) { return s.checker.Broken() }

// Ended implements modelcheck.System: the frontend has drained.
func (s *clientSystem) Ended() bool { return s.drained && s.frontend.OpenConnections() == 0 }

// clientRules ignore the lists of connections that may be shed, since there is room for all clients here, and fields that are
// the same in all states or that repeat state which is hashed elsewhere.
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
		socket := s.network.sockets[c.fd]
		h.Value(socket)
		if socket != nil && socket.handler != nil {
			h.Value(socket.handler)
			firesAt, set := s.network.timers[s.network.connectionTimer(c.fd)]
			h.Value(set)
			h.Float(firesAt)
		}
	}
	var timers []float64
	for _, at := range s.network.timers {
		timers = append(timers, at)
	}
	sort.Float64s(timers)
	h.Value(timers)
}
