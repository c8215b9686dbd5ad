// Package discovery watches the endpoint list that the discovery service serves over HTTP: it fetches the complete list and
// then long-polls for changes. It runs on the event loop's goroutine and has at most one connection.
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

// ListHandler receives the results of a watch's calls. Its methods are called on the event loop's goroutine.
type ListHandler interface {
	// HandleList handles a complete list, or the changes since the previous list.
	HandleList(list endpoint.List)
	// HandleCallFailure is called once for each failed call. The watch has already logged the failure.
	HandleCallFailure()
}

// NoGeneration is the generation of a watch that has no list and therefore requests the complete one.
const NoGeneration = -1

// noSocket is the descriptor of a watch without a connection.
const noSocket = -1

// Watch is a watch of the endpoint list. By default it polls continuously and repeats failed calls with backoff. A watch on
// demand also polls continuously, but makes no call after a failed one until Poll is called.
type Watch struct {
	loop     eventloop.Network
	limits   *config.Limits
	address  netip.AddrPort
	handler  ListHandler
	log      zerolog.Logger
	onDemand bool

	fd            int  // noSocket if there is no connection
	connected     bool // the connection is open, not still being opened
	input, output buffer.Chain
	reply         http1.Response
	replyDeadline float64          // loop time by which the reply must be complete; 0 if no reply has begun
	generation    int64            // generation of the last list, or NoGeneration
	backoff       float64          // seconds until the next call if the current one fails
	timer         *eventloop.Timer // times out the current call, or ends the backoff
	closed        bool
}

// New returns a watch of the endpoint list that the discovery service at address serves. It makes no call until Poll is
// called.
func New(
	loop eventloop.Network, limits *config.Limits, address netip.AddrPort, onDemand bool,
	blocks *buffer.Pool, handler ListHandler, log zerolog.Logger,
) *Watch {
	w := &Watch{
		loop:       loop,
		limits:     limits,
		address:    address,
		handler:    handler,
		log:        log,
		onDemand:   onDemand,
		fd:         noSocket,
		input:      blocks.NewChain(),
		output:     blocks.NewChain(),
		generation: NoGeneration,
		backoff:    limits.Durations.MinBackoff,
	}
	w.timer = eventloop.NewTimer(w.timerFired)
	return w
}

// Poll starts a call, unless one is in progress or the watch is closed. During a backoff, it starts the call immediately.
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

// SetAddress abandons the call in progress and immediately requests the complete list from another address. The list that
// the handler received last stays in force until the new address replies.
func (w *Watch) SetAddress(address netip.AddrPort) {
	w.address = address
	w.disconnect()
	w.generation = NoGeneration
	w.backoff = w.limits.Durations.MinBackoff
	w.Poll()
}

// Close ends the watch, which no longer calls its handler.
func (w *Watch) Close() {
	w.closed = true
	w.disconnect()
}

// hasList reports whether the watch has a list to which changes can be applied.
func (w *Watch) hasList() bool { return w.generation >= 0 }

// timerFired is called when the current call takes too long, or when the backoff is over.
func (w *Watch) timerFired() {
	if w.fd != noSocket {
		w.fail(ErrNoReply)
		return
	}
	w.Poll()
}

// fail ends the current call as failed, and schedules the next one unless the watch is on demand. The next call requests the
// complete list, since changes may have been missed, unless this one was refused (see wasRefused).
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

// wasRefused reports whether an overloaded discovery service refused a call on demand. No change is lost by that: a poll for
// the changes after the last list returns everything that was missed, and the watch then continues from there. Requesting the
// complete list would need two calls, one for the list and one to poll for changes. All routers share the service, and it
// refuses the second call if the first has filled its queue.
func (w *Watch) wasRefused(cause error) bool {
	var status *StatusError
	return w.onDemand && errors.As(cause, &status) && status.Status == statusServiceUnavailable
}
