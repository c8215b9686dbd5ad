// Package front serves clients over PostgreSQL's wire protocol. It takes commands in for the core and
// gives their answers back in the order of the commands; it decides nothing.
package front

import (
	"container/list"
	"net/netip"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/core"
	"stoatdale.example/stoatdale/internal/count"
	"stoatdale.example/stoatdale/internal/loop"
	"stoatdale.example/stoatdale/internal/site"
)

// Dispatcher is what a front needs of the core.
type Dispatcher interface {
	Set(cluster int) (int, bool)
	Open(name string) bool
	Take(c *core.Command)
	Left(cs []*core.Command) // the client of these has gone
	MakeRoom() bool
	Age(unix float64) float64
}

// Server is a listener and its clients.
type Server struct {
	Address    netip.AddrPort // where it listens
	loop       loop.ListenWire
	limits     *site.Limits
	buffers    *buffer.Pool
	dispatcher Dispatcher
	counters   *count.Counters
	log        zerolog.Logger
	groups     map[string]int
	settings   *site.Settings

	listener    int // -1: closed
	resumeTimer *loop.Timer
	conns       map[*conn]bool
	// Conns that may make room, in the order in which they do, and in each list the one that is there for the
	// longest first: ended ones, those that never asked, those between commands.
	closing, silent, idle list.List
	awaitingBuffers       []*conn // not read for want of buffers
	pending               []*conn // with messages left for the next turn
	// The end: it stops listening, and when the last call is deadlinePassed nothing more is read.
	listenerClosed, deadlinePassed bool
	drainDeadline                  float64 // when that is; 0: not told to end
	drainTimer                     *loop.Timer
}

// Listen opens a front on one address.
func Listen(at netip.AddrPort, l loop.ListenWire, limits *site.Limits, blocks *buffer.Pool, o Dispatcher,
	told *site.Settings, c *count.Counters, log zerolog.Logger,
) (*Server, error) {
	f := &Server{
		loop: l, limits: limits, buffers: blocks, dispatcher: o, counters: c, log: log, groups: map[string]int{},
		settings: told, conns: map[*conn]bool{},
	}
	f.ReloadGroups()
	f.resumeTimer = loop.NewTimer(func() { f.setAccepting(true) })
	f.drainTimer = loop.NewTimer(f.continueDrain)
	var err error
	if f.listener, err = l.Listen(at, limits.Counts.ListenBacklog); err != nil {
		return nil, err
	}
	if f.Address, err = l.Bound(f.listener); err != nil {
		return nil, err
	}
	return f, l.Add(f.listener, f, true, false)
}

// ReloadGroups takes the command groups' names from the settings as they are now.
func (f *Server) ReloadGroups() {
	clear(f.groups)
	for i, name := range f.settings.GroupNames {
		f.groups[name] = i
	}
}

// OpenConnections is the number of client connections.
func (f *Server) OpenConnections() int { return len(f.conns) }

// ListenerClosed says that the front has ended: it takes no new clients in.
func (f *Server) ListenerClosed() bool { return f.listenerClosed }

// ProcessPending goes on with messages that were left over, and reads on where buffers were scarce. It says whether
// messages are left again, so that the loop should not wait.
func (f *Server) ProcessPending() bool {
	again := f.pending
	f.pending = nil
	for _, c := range again {
		c.hasPending = false
		if c.state != stateClosed {
			c.process()
		}
	}
	if len(f.awaitingBuffers) > 0 && !f.buffers.Scarce() {
		again, f.awaitingBuffers = f.awaitingBuffers, nil
		for _, c := range again {
			c.awaitsBuffers = false
			if c.state != stateClosed {
				c.process()
			}
		}
	}
	return len(f.pending) > 0
}
