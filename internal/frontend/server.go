// Package frontend accepts clients over PostgreSQL's wire protocol. It hands their commands to a dispatcher and writes the
// results back in the order of the commands; it decides nothing about routing.
//
// Everything in it belongs to the goroutine of the event loop. Times are seconds on the event loop's clock.
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

// Dispatcher carries out the commands that clients send.
type Dispatcher interface {
	// LookupShard returns the index of the shard that a client's cluster number names, and false if there is none.
	LookupShard(cluster int) (shard int, ok bool)
	// IsInFlight reports whether a command of this name is in flight.
	IsInFlight(name string) bool
	// Submit takes a command over. It gives the command one result by way of the command's Responder.
	Submit(command *dispatcher.Command)
	// ClientGone notifies the dispatcher that the client of these commands has gone: no result is expected any more.
	ClientGone(commands []*dispatcher.Command)
	// CloseIdleBackend closes an idle connection to a backend, and reports whether there was one to spare.
	CloseIdleBackend() bool
	// SecondsSince returns how many seconds ago a Unix time in seconds was; negative if it lies in the future.
	SecondsSince(unix float64) float64
}

// Options are what a server works with. All of it must outlive the server.
type Options struct {
	Limits     *config.Limits
	Settings   *config.Settings // names and properties of the command groups; see Server.ReloadGroups
	Buffers    *buffer.Pool
	Dispatcher Dispatcher
	Counters   *metrics.Counters
	Log        zerolog.Logger
	// DrawCancelKey draws a key that nobody can guess.
	DrawCancelKey func() pg.CancelKey
}

// Server is a client listener and its connections.
type Server struct {
	Address netip.AddrPort // where it listens, with the port that the kernel chose if none was given

	loop       eventloop.ServerNetwork
	limits     *config.Limits
	settings   *config.Settings
	buffers    *buffer.Pool
	dispatcher Dispatcher
	counters   *metrics.Counters
	log        zerolog.Logger

	groups      map[string]int   // indices of the command groups by name
	listener    int              // descriptor; noDescriptor once it is closed
	resumeTimer *eventloop.Timer // ends a pause in accepting
	conns       map[*conn]bool

	drawCancelKey func() pg.CancelKey
	cancelable    map[pg.CancelKey]*conn // connections by their keys

	// Connections that may be closed to free a descriptor, in the order in which the queues are tried. Each holds
	// the connection first that has been in it for the longest.
	closing list.List // the server has ended them and waits for the client to close
	silent  list.List // have not sent a query since they were accepted
	idle    list.List // between commands

	awaitingBuffers []*conn // not read because buffers are scarce
	pending         []*conn // have messages left for the next turn

	// The graceful shutdown: the listener is closed first, and after the deadline clients are no longer read.
	listenerClosed bool
	deadlinePassed bool
	drainDeadline  float64          // 0: Shutdown has not been called
	drainTimer     *eventloop.Timer // goes on with the shutdown
}

// Listen opens a server on one address and watches it by the event loop. It fails if the address cannot be listened on.
func Listen(address netip.AddrPort, events eventloop.ServerNetwork, options Options) (*Server, error) {
	s := &Server{
		loop:       events,
		limits:     options.Limits,
		settings:   options.Settings,
		buffers:    options.Buffers,
		dispatcher: options.Dispatcher,
		counters:   options.Counters,
		log:        options.Log,
		groups:     map[string]int{},
		conns:      map[*conn]bool{},

		drawCancelKey: options.DrawCancelKey,
		cancelable:    map[pg.CancelKey]*conn{},
	}
	s.ReloadGroups()
	s.resumeTimer = eventloop.NewTimer(func() { s.setAccepting(true) })
	s.drainTimer = eventloop.NewTimer(s.continueDrain)
	var err error
	if s.listener, err = s.listenPatiently(address); err != nil {
		return nil, err
	}
	if s.Address, err = events.LocalAddress(s.listener); err != nil {
		return nil, err
	}
	return s, events.Add(s.listener, s, true, false)
}

// Times of a start whose machine refuses a socket.
const (
	listenPatience = time.Second
	listenPause    = 10 * time.Millisecond
)

// listenPatiently opens the listening socket. It waits out a moment in which the machine has none to give.
func (s *Server) listenPatiently(address netip.AddrPort) (listener int, err error) {
	for began := time.Now(); ; time.Sleep(listenPause) {
		listener, err = s.loop.Listen(address, s.limits.Counts.ListenBacklog)
		if !eventloop.IsLocalFailure(err) || time.Since(began) > listenPatience {
			return listener, err
		}
	}
}

// ReloadGroups takes the names of the command groups from the settings as they are now. It is called after the settings
// have changed.
func (s *Server) ReloadGroups() {
	clear(s.groups)
	for i, name := range s.settings.GroupNames {
		s.groups[name] = i
	}
}

// OpenConnections returns the number of client connections.
func (s *Server) OpenConnections() int { return len(s.conns) }

// ListenerClosed reports whether a shutdown has closed the listener: no new clients are accepted.
func (s *Server) ListenerClosed() bool { return s.listenerClosed }

// ProcessPending processes messages that were left over in the last turn, and resumes reading where buffers were scarce.
// It is called once a turn, and reports whether messages are left again, so that the event loop should not wait.
func (s *Server) ProcessPending() bool {
	pending := s.pending
	s.pending = nil
	for _, c := range pending {
		c.hasPending = false
		c.processUnlessClosed()
	}
	if len(s.awaitingBuffers) > 0 && !s.buffers.Scarce() {
		waiting := s.awaitingBuffers
		s.awaitingBuffers = nil
		for _, c := range waiting {
			c.awaitsBuffers = false
			c.processUnlessClosed()
		}
	}
	return len(s.pending) > 0
}
