// Package frontend accepts client connections that use PostgreSQL's wire protocol. It submits their commands to a
// dispatcher and writes the results to the clients in the order of the commands. It makes no routing decisions.
//
// All its code runs on the goroutine of the event loop. Times are seconds on the event loop's clock.
package frontend

import (
	"container/list"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/dispatcher"
	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/metrics"
	"stoatdale.example/stoatdale/internal/pg"
)

// Dispatcher executes the commands that clients send.
type Dispatcher interface {
	// LookupShard returns the index of the shard with the cluster number that clients use, and false if there is none.
	LookupShard(cluster int) (shard int, ok bool)
	// IsInFlight reports whether a command with this id of a client is in flight.
	IsInFlight(clientID string) bool
	// MayHaveRun reports whether a command with this id of a client has ended lately that may have run and must not run twice.
	MayHaveRun(clientID string) bool
	// Submit starts a command and takes ownership of it. The dispatcher later passes one result to the command's Responder,
	// unless ClientGone is called for the command first.
	Submit(command *dispatcher.Command)
	// ClientGone notifies the dispatcher that the client of these commands has left or canceled them, and expects no results.
	ClientGone(commands []*dispatcher.Command)
	// CloseIdleBackend closes an idle connection to a backend, and reports whether there was one that could be spared.
	CloseIdleBackend() bool
	// SecondsSince returns the seconds that have passed since a Unix time in seconds. It is negative for a time in the future.
	SecondsSince(unix float64) float64
}

// Options are the dependencies and settings of a server. All that they refer to must outlive the server.
type Options struct {
	Limits     *config.Limits
	Settings   *config.Settings // names and properties of the command groups; see Server.ReloadGroups
	Buffers    *buffer.Pool
	Dispatcher Dispatcher
	Counters   *metrics.Counters
	Log        zerolog.Logger
	// DrawCancelKey returns a random key that nobody can guess.
	DrawCancelKey func() pg.CancelKey
}

// Server is the client listener and the client connections.
type Server struct {
	Address netip.AddrPort // the listening address, with the port that the kernel chose if none was given

	loop       eventloop.ServerNetwork
	limits     *config.Limits
	settings   *config.Settings
	buffers    *buffer.Pool
	dispatcher Dispatcher
	counters   *metrics.Counters
	log        zerolog.Logger

	groups map[string]int // index of each command group, by name
	// backlogPausedAt is when accepting paused while connections waited that have not all been accepted since; else 0.
	backlogPausedAt float64
	listener        int              // descriptor, or noDescriptor once it is closed
	resumeTimer     *eventloop.Timer // ends a pause of accepting
	conns           map[*conn]bool

	drawCancelKey    func() pg.CancelKey
	connsByCancelKey map[pg.CancelKey]*conn

	// Shed queues: connections that may be closed to free a descriptor. The queues are tried in this order, and in each
	// the connection that has been there the longest is first.
	closing list.List // in stateClosing: the server waits for the client to close
	silent  list.List // have never sent a query
	idle    list.List // between commands
	partial list.List // have sent part of a message

	// stalled holds the connections whose client has not read all of the output, the longest without progress first. They
	// may be closed to release buffers.
	stalled list.List

	awaitingBuffers []*conn // not read because buffers are scarce
	awaitingRoom    []*conn // accept no pipelined command because the buffers have no room for its answer
	pending         []*conn // have output or unprocessed messages for the next turn

	pendingStartedAt float64 // when this turn's call of ProcessPending began, on the loop's clock

	pipelinedInFlight int     // number of incomplete replies that were behind others when their commands arrived
	answerBlocks      float64 // number of buffer blocks that a large one of the latest answers took

	// State of the graceful shutdown. The listener is closed first. After the deadline clients are no longer read.
	listenerClosed bool
	deadlinePassed bool
	drainDeadline  float64          // 0 if Shutdown has not been called
	drainTimer     *eventloop.Timer // calls continueDrain
}

// Listen opens a server on an address and adds its listener to the event loop. It fails if the address cannot be listened
// on.
func Listen(address netip.AddrPort, network eventloop.ServerNetwork, options Options) (*Server, error) {
	s := &Server{
		loop:       network,
		limits:     options.Limits,
		settings:   options.Settings,
		buffers:    options.Buffers,
		dispatcher: options.Dispatcher,
		counters:   options.Counters,
		log:        options.Log,
		groups:     map[string]int{},
		conns:      map[*conn]bool{},

		drawCancelKey:    options.DrawCancelKey,
		connsByCancelKey: map[pg.CancelKey]*conn{},
	}
	s.ReloadGroups()
	s.resumeTimer = eventloop.NewTimer(func() { s.setAccepting(true) })
	s.drainTimer = eventloop.NewTimer(s.continueDrain)
	var err error
	if s.listener, err = s.listenWithRetries(address); err != nil {
		return nil, err
	}
	if s.Address, err = network.LocalAddress(s.listener); err != nil {
		return nil, err
	}
	return s, network.Add(s.listener, s, true, false)
}

// Retries of opening the listening socket after a local failure.
const (
	listenRetryTime     = time.Second           // total time for which opening is retried
	listenRetryInterval = 10 * time.Millisecond // pause between two tries
)

// listenWithRetries opens the listening socket. If that fails for a cause that eventloop.IsLocalFailure recognizes, such as
// a lack of descriptors, it retries for listenRetryTime. It returns other errors without a retry, such as that of an
// address in use.
func (s *Server) listenWithRetries(address netip.AddrPort) (listener int, err error) {
	for start := time.Now(); ; time.Sleep(listenRetryInterval) {
		listener, err = s.loop.Listen(address, s.limits.Counts.ListenBacklog)
		if !eventloop.IsLocalFailure(err) || time.Since(start) > listenRetryTime {
			return listener, err
		}
	}
}

// ReloadGroups rebuilds the index of command groups from the current settings. It must be called after the settings have
// changed.
func (s *Server) ReloadGroups() {
	clear(s.groups)
	for i, name := range s.settings.GroupNames {
		s.groups[name] = i
	}
}

// OpenConnections returns the number of client connections.
func (s *Server) OpenConnections() int { return len(s.conns) }

// CountBuffers adds the buffer blocks that the client connections hold to the counts.
func (s *Server) CountBuffers(counts *metrics.BufferBlocks) {
	for c := range s.conns {
		counts.ClientInput += uint64(c.input.Blocks())
		counts.Unsent += uint64(c.output.Blocks())
		for _, r := range c.replies {
			counts.HeldReplies += uint64(r.data.Blocks())
		}
	}
}

// ListenerClosed reports whether a shutdown has closed the listener, so that no new clients are accepted.
func (s *Server) ListenerClosed() bool { return s.listenerClosed }

// HasPending reports whether output or messages remain for the next turn, in which case the event loop should not wait.
func (s *Server) HasPending() bool { return len(s.pending) > 0 }

// turnIsLong reports whether work that can wait should be left to the next turn. The handling of events and what follows it
// are timed apart: however long the events take, each turn has time for answers.
func (s *Server) turnIsLong() bool {
	startedAt := max(s.loop.Now(), s.pendingStartedAt)
	return s.loop.Clock()-startedAt > s.limits.Durations.LongTurn
}

// ProcessPending processes output and messages that remained from the last turn, and resumes reading on connections that
// waited for buffers. It must be called once per turn. Once the turn is long, the rest remains for the next one.
func (s *Server) ProcessPending() {
	s.pendingStartedAt = s.loop.Clock()
	pending := s.pending
	s.pending = nil
	for len(pending) > 0 {
		c := pending[0]
		pending = pending[1:]
		c.resume()
		if s.turnIsLong() {
			break
		}
	}
	s.pending = append(pending, s.pending...)
	s.relieveBuffers()
}
