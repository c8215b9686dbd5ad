// Package service is the router as a library. Load reads a configuration, New opens the listener, and Run serves until
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

// Config is the configuration of a router; Load reads it.
type Config = config.Config

// ConfigError is an error in the configuration, with the file and the key at fault. Errors returned by Load match it by
// errors.As.
type ConfigError = config.Error

// Load reads the configuration from environment variables, which env looks up, and from the file that they name. Its
// errors are of type *ConfigError.
func Load(env func(string) string) (Config, error) { return config.Load(env) }

// LogWriter returns a writer to a file descriptor for logs. It drops lines rather than wait for a slow reader.
func LogWriter(descriptor uintptr) io.Writer { return eventloop.DroppingWriter(descriptor) }

// Router is one router that serves clients on sockets. Only the goroutine that runs Run may access its fields, except
// for stopped; the other exported methods pass their work to that goroutine.
type Router struct {
	config     Config
	loop       *eventloop.Loop
	buffers    *buffer.Pool
	dispatcher *dispatcher.Dispatcher
	frontend   *frontend.Server
	counters   Counters
	log        zerolog.Logger
	draining   bool
	stopped    chan struct{} // closed when Run has returned
}

// New returns a router that listens on the configured address; Run serves. New fails if it cannot listen there.
func New(config Config, log zerolog.Logger) (*Router, error) {
	loop, err := eventloop.New(config.Limits.Counts.EventsPerTurn)
	if err != nil {
		return nil, err
	}
	r := &Router{
		config:  config,
		loop:    loop,
		buffers: buffer.NewPool(config.Limits.Sizes.BufferBlock, config.Limits.Counts.BufferBlocks),
		log:     log,
		stopped: make(chan struct{}),
	}
	r.counters.SetGroups(config.Settings.GroupNames)
	r.dispatcher = dispatcher.New(&r.config, loop, r.buffers, &r.counters, log)
	r.frontend, err = frontend.Listen(config.Listen, loop, frontend.Options{
		Limits:     &r.config.Limits,
		Settings:   &r.config.Settings,
		Buffers:    r.buffers,
		Dispatcher: r.dispatcher,
		Counters:   &r.counters,
		Log:        log,

		DrawCancelKey: drawCancelKey,
	})
	if err != nil {
		return nil, err
	}
	log.Info().Str("name", config.Name).Stringer("listen", r.frontend.Address).Msg("serving")
	return r, nil
}

// drawCancelKey returns a random cancel key from the system's secure source, which never fails on Linux.
func drawCancelKey() (key pg.CancelKey) {
	_, _ = rand.Read(key[:])
	return key
}

// Run serves until the router has drained or the event loop fails. It may be called only once.
func (r *Router) Run() error {
	defer close(r.stopped)
	err := r.loop.Run(r.afterEvents)
	r.dispatcher.Close()
	r.logCounters()
	return err
}

// afterEvents completes a turn of the event loop after its events have been handled. It returns the time, on the
// loop's clock, by which the next turn must run.
func (r *Router) afterEvents(now float64) float64 {
	r.frontend.ProcessPending()
	nextTurn := r.dispatcher.RunTurn(now)
	if r.frontend.HasPending() {
		nextTurn = now
	}
	if r.draining && r.idle() {
		r.loop.Stop()
	}
	return nextTurn
}

// idle reports whether the router has no open listener, no client and no command in flight, so that Run can end.
func (r *Router) idle() bool {
	return r.frontend.ListenerClosed() && r.frontend.OpenConnections() == 0 && r.dispatcher.InFlight() == 0
}

// Drain begins a graceful shutdown. The router accepts clients for a while longer (the limit AcceptLinger), answers the
// commands in flight and closes connections that have none; then Run returns. Drain may be called from any goroutine,
// and more than once.
func (r *Router) Drain() {
	r.loop.Post(func() {
		if r.draining {
			return
		}
		r.draining = true
		r.log.Info().Int("in_flight", r.dispatcher.InFlight()).Msg("draining")
		stopAccepting := r.loop.Now() + r.config.Limits.Durations.AcceptLinger
		r.loop.SetTimer(eventloop.NewTimer(r.frontend.Shutdown), stopAccepting)
	})
}
