// Package discovery watches the endpoint list that a discovery agent serves over HTTP: it fetches the complete list and
// then long-polls for changes. It runs on the event loop's goroutine and holds one connection at most.
package discovery

import (
	"errors"
	"net/netip"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/endpoint"
	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/http1"
)

// ListHandler takes what a watch brings. Its methods are called on the event loop's goroutine.
type ListHandler interface {
	// HandleList takes a complete list, or the changes since the list before.
	HandleList(list endpoint.List)
	// HandleCallFailure is called once for each call that failed, which the watch has logged.
	HandleCallFailure()
}

// NoGeneration stands for the generation of a watch that has no list, and asks for the complete one.
const NoGeneration = -1

// noSocket is the descriptor of a watch without a connection.
const noSocket = -1

// Watch is a watch of the endpoint list. By default it polls for good and repeats failed calls with backoff. A watch on
// demand stops at a failed call until Poll is called again.
type Watch struct {
	loop     eventloop.Network
	limits   *config.Limits
	address  netip.AddrPort
	handler  ListHandler
	log      zerolog.Logger
	onDemand bool

	fd            int // noSocket: no connection
	connected     bool
	in, out       buffer.Chain
	reply         http1.Response
	replyDeadline float64          // loop time at which the reply must be complete; 0: none has begun
	generation    int64            // of the last list, or NoGeneration
	backoff       float64          // seconds before the next call if the present one fails
	timer         *eventloop.Timer // ends the call that is out, or the backoff
	closed        bool
}

// New returns a watch of the list at an address, which does nothing until Poll is called.
func New(
	l eventloop.Network, limits *config.Limits, address netip.AddrPort, onDemand bool, blocks *buffer.Pool, handler ListHandler, log zerolog.Logger,
) *Watch {
	w := &Watch{
		loop:       l,
		limits:     limits,
		address:    address,
		handler:    handler,
		log:        log,
		onDemand:   onDemand,
		fd:         noSocket,
		in:         blocks.NewChain(),
		out:        blocks.NewChain(),
		generation: NoGeneration,
		backoff:    limits.Durations.MinBackoff,
	}
	w.timer = eventloop.NewTimer(w.timerFired)
	return w
}

// Poll begins a call unless one is out or the watch is closed. It cuts a backoff short.
func (w *Watch) Poll() {
	if w.fd != noSocket || w.closed {
		return
	}
	if err := w.connect(); err != nil {
		w.fail(err)
		return
	}
	w.loop.SetTimer(w.timer, w.loop.Now()+w.limits.Durations.SilenceTimeout)
}

// SetAddress gives up the call that is out and asks another address for the complete list at once. The list that was
// handed on last stays in force until the new address answers.
func (w *Watch) SetAddress(address netip.AddrPort) {
	w.address = address
	w.disconnect()
	w.generation = NoGeneration
	w.backoff = w.limits.Durations.MinBackoff
	w.Poll()
}

// Close ends the watch. It calls its handler no more.
func (w *Watch) Close() {
	w.closed = true
	w.disconnect()
}

// hasList reports whether the watch knows a list that changes can follow.
func (w *Watch) hasList() bool { return w.generation >= 0 }

// timerFired is called when the call that is out takes too long, or when the backoff is over.
func (w *Watch) timerFired() {
	if w.fd != noSocket {
		w.fail(ErrNoReply)
		return
	}
	w.Poll()
}

// fail gives the call up. The next one asks for the complete list, since changes may have been missed, unless the call
// was refused.
func (w *Watch) fail(cause error) {
	w.log.Warn().Err(&CallError{Address: w.address, Err: cause}).Msg("call to discovery failed")
	w.disconnect()
	if !w.wasRefused(cause) {
		w.generation = NoGeneration
	}
	if !w.onDemand {
		w.loop.SetTimer(w.timer, w.loop.Now()+w.backoff)
		w.backoff = min(2*w.backoff, w.limits.Durations.MaxBackoff)
	}
	w.handler.HandleCallFailure()
}

// wasRefused reports whether a call on demand was refused by a crowded discovery service. That loses nothing: a poll for
// what follows the last list brings all that was missed, and goes on as the watch. A complete list and a poll after it
// would cost a service that all routers share two calls, and the second is refused where the first has filled its queue.
func (w *Watch) wasRefused(cause error) bool {
	var status *StatusError
	return w.onDemand && errors.As(cause, &status) && status.Status == statusServiceUnavailable
}
