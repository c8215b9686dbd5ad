// Package service is the router as a library. Load reads a configuration, New opens the listener and Run serves until
// Drain has been called and the router has shut down gracefully.
package service

import (
	"crypto/rand"
	"io"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/dispatcher"
	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/frontend"
	"stoatdale.example/stoatdale/internal/pg"
)

// Config is what a router is started with; Load reads it.
type Config = config.Config

// ConfigError is a fault in the configuration, with the file and the key. Load returns it, matched by errors.As.
type ConfigError = config.Error

// Load reads the environment and the document that it names. Its errors are of type *ConfigError.
func Load(env func(string) string) (Config, error) { return config.Load(env) }

// LogWriter returns a writer for logs that drops lines rather than wait for a slow reader of the descriptor.
func LogWriter(descriptor uintptr) io.Writer { return eventloop.DroppingWriter(descriptor) }

// Router is one router on sockets. Everything but stopped belongs to the goroutine that runs Run; the exported methods
// hand their work over to it.
type Router struct {
	config   Config
	loop     *eventloop.Loop
	buffers  *buffer.Pool
	core     *dispatcher.Dispatcher
	front    *frontend.Server
	counters Counters
	log      zerolog.Logger
	draining bool
	stopped  chan struct{} // closed when Run has returned
}

// New opens a router's listener; Run serves. It fails if the address cannot be listened on.
func New(config Config, log zerolog.Logger) (*Router, error) {
	events, err := eventloop.New(config.Limits.Counts.EventsPerTurn)
	if err != nil {
		return nil, err
	}
	r := &Router{
		config:  config,
		loop:    events,
		buffers: buffer.NewPool(config.Limits.Sizes.BufferBlock, config.Limits.Counts.BufferBlocks),
		log:     log,
		stopped: make(chan struct{}),
	}
	r.counters.SetGroups(config.Settings.GroupNames)
	r.core = dispatcher.New(&r.config, events, r.buffers, &r.counters, log)
	r.front, err = frontend.Listen(config.Listen, events, frontend.Options{
		Limits:     &r.config.Limits,
		Settings:   &r.config.Settings,
		Buffers:    r.buffers,
		Dispatcher: r.core,
		Counters:   &r.counters,
		Log:        log,

		DrawCancelKey: drawCancelKey,
	})
	if err != nil {
		return nil, err
	}
	log.Info().Str("name", config.Name).Stringer("listen", r.front.Address).Msg("serving")
	return r, nil
}

// drawCancelKey draws a key from the system's secure source, which never fails on Linux.
func drawCancelKey() (key pg.CancelKey) {
	_, _ = rand.Read(key[:])
	return key
}

// Run serves until the router has drained, or the event loop fails. It is called once.
func (r *Router) Run() error {
	defer close(r.stopped)
	err := r.loop.Run(r.afterEvents)
	r.core.Close()
	r.logCounters()
	return err
}

// afterEvents does what one turn of the event loop has left to do, and returns when the next turn is due at the
// latest.
func (r *Router) afterEvents(now float64) float64 {
	unfinished := r.front.ProcessPending()
	next := r.core.RunTurn(now)
	if unfinished {
		next = now
	}
	if r.draining && r.idle() {
		r.loop.Stop()
	}
	return next
}

// idle reports whether nothing is left to wait for: no listener, no client and no command in flight.
func (r *Router) idle() bool {
	return r.front.ListenerClosed() && r.front.OpenConnections() == 0 && r.core.InFlight() == 0
}

// Drain begins a graceful shutdown: the router goes on accepting clients for a while, answers the commands in flight,
// closes connections between commands, and then Run returns. It may be called from any goroutine, and more than once.
func (r *Router) Drain() {
	r.loop.Post(func() {
		if r.draining {
			return
		}
		r.draining = true
		r.log.Info().Int("in_flight", r.core.InFlight()).Msg("draining")
		stopAccepting := r.loop.Now() + r.config.Limits.Durations.AcceptLinger
		r.loop.SetTimer(eventloop.NewTimer(r.front.Shutdown), stopAccepting)
	})
}
