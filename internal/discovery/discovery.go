// Package discovery watches the endpoint list that the discovery service serves over HTTP: it fetches the complete list and
// then long-polls for changes. It runs on the event loop's goroutine.
//
// A call that gets no reply in time may be lost, or the service may be slow. The watch therefore makes another call, but goes
// on waiting for the reply to a few late ones: the first reply counts, whichever call it belongs to.
package discovery

import (
	"net/netip"
	"slices"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/endpoint"
	"stoatdale.example/stoatdale/internal/eventloop"
)

// ListHandler receives the results of a watch's calls. Its methods are called on the event loop's goroutine.
type ListHandler interface {
	// HandleList handles a complete list, or the changes since the previous list.
	HandleList(list endpoint.List)
	// HandleCallFailure is called once for each call that has failed or is late, unless a later call has taken its place. The
	// watch has already logged that. A list may still come from a call that is late.
	HandleCallFailure()
}

// NoGeneration is the generation of a watch that has no list, and that of a call for the complete list.
const NoGeneration = -1

// MaxCalls is the largest number of calls that a watch has in progress at a time.
const MaxCalls = 4

// maxPolledCalls is the number of calls in progress beside which a watch on demand puts off the next one if the service is slow.
// Many routers share a service that is polled, and a call more from each of them makes a slow service slower.
const maxPolledCalls = 2

// Watch is a watch of the endpoint list. By default it polls continuously and repeats failed calls with backoff. A watch on
// demand also polls continuously, but makes no call after a failed one until Poll is called.
type Watch struct {
	loop     eventloop.Network
	limits   *config.Limits
	blocks   *buffer.Pool
	address  netip.AddrPort
	handler  ListHandler
	log      zerolog.Logger
	onDemand bool

	current *call   // the last call, unless it has failed or is late
	earlier []*call // calls before it, oldest first, that may still be answered

	generation   int64 // generation of the last list, or NoGeneration
	listOutdated bool  // changes may have been missed since the last list
	delay        replyDelay
	backoff      float64          // seconds until the next call if the current one fails
	timer        *eventloop.Timer // ends the time for the current call's reply, or the backoff
	closed       bool
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
		blocks:     blocks,
		address:    address,
		handler:    handler,
		log:        log,
		onDemand:   onDemand,
		generation: NoGeneration,
		backoff:    limits.Durations.MinBackoff,
	}
	w.timer = eventloop.NewTimer(w.timerFired)
	return w
}

// Poll starts a call, unless one is in progress that is not late, or the watch is closed. During a backoff, it starts the call
// immediately. If a watch on demand has maxPolledCalls in progress and the service is slow, the call starts once the first of
// them has waited for LateReplyWait.
func (w *Watch) Poll() {
	if w.current != nil || w.closed {
		return
	}
	if w.onDemand && len(w.earlier) >= maxPolledCalls && w.isSlow() {
		if startAt := w.earlier[0].lateAt + w.limits.Durations.LateReplyWait; w.loop.Now() < startAt {
			w.loop.SetTimer(w.timer, startAt)
			return
		}
	}
	w.startCall()
}

// isSlow reports whether the service is known to be late with its replies for longer than a call may be silent.
func (w *Watch) isSlow() bool { return w.delay.seconds > w.limits.Durations.SilenceTimeout }

// SetAddress abandons the calls in progress and immediately requests the complete list from another address. The list that
// the handler received last stays in force until the new address replies.
func (w *Watch) SetAddress(address netip.AddrPort) {
	w.address = address
	w.closeCalls()
	w.generation = NoGeneration
	w.delay = replyDelay{}
	w.backoff = w.limits.Durations.MinBackoff
	w.Poll()
}

// Close ends the watch, which no longer calls its handler.
func (w *Watch) Close() {
	w.closed = true
	w.closeCalls()
}

// closeCalls closes all calls and stops the timer.
func (w *Watch) closeCalls() {
	w.loop.StopTimer(w.timer)
	if w.current != nil {
		w.current.close()
		w.current = nil
	}
	w.closeEarlier(len(w.earlier))
}

// closeEarlier closes the oldest calls, as many as are given, of those whose reply is awaited beside the current call.
func (w *Watch) closeEarlier(count int) {
	for _, c := range w.earlier[:count] {
		c.close()
	}
	w.earlier = slices.Delete(w.earlier, 0, count)
}

// base returns the generation after which the next call asks for changes, or NoGeneration if it has to ask for the complete
// list.
func (w *Watch) base() int64 {
	if w.listOutdated {
		return NoGeneration
	}
	return w.generation
}

// startCall makes a call on a new connection the current one. It reports whether the connection is being opened.
func (w *Watch) startCall() bool {
	c, err := w.newCall()
	if err != nil {
		w.currentFailed(err)
		return false
	}
	w.current = c
	c.lateAt = w.loop.Clock() + w.limits.Durations.SilenceTimeout
	w.loop.SetTimer(w.timer, c.lateAt)
	return true
}

// requestSent is called when the request of a call is sent.
func (w *Watch) requestSent(c *call) {
	if c == w.current && !c.successor {
		w.awaitReply(c)
	}
}

// awaitReply sets the time at which the current call is late, counted from its request.
func (w *Watch) awaitReply(c *call) {
	silence := w.limits.Durations.SilenceTimeout
	c.lateAt = c.sentAt + c.hold + w.patience(c)
	if w.startsSuccessors() && c.asksForChanges() {
		w.loop.SetTimer(w.timer, c.sentAt+c.hold+silence)
		return
	}
	w.loop.SetTimer(w.timer, c.lateAt)
}

// patience returns how long the service may be silent before a call is late. If the service holds the call, the watch allows
// for its delay. A call for the complete list is repeated soon all the same, since the service may be down, and its return has
// to be noticed in time.
func (w *Watch) patience(c *call) float64 {
	durations := &w.limits.Durations
	if !c.asksForChanges() {
		return durations.SilenceTimeout
	}
	return durations.SilenceTimeout + min(w.delay.seconds, durations.MaxReplyDelay)
}

// startsSuccessors reports whether the next call for changes is made when the hold of the last one is over, instead of after
// its reply. Otherwise a change that comes after a reply has left the service would wait for that reply, and then for the
// reply to the next call. A polled service is spared the additional calls.
func (w *Watch) startsSuccessors() bool { return !w.onDemand && w.isSlow() }

// timerFired is called when the backoff is over, when the current call needs a successor, or when it is late.
func (w *Watch) timerFired() {
	switch {
	case w.current == nil:
		w.Poll()
	case w.loop.Now() < w.current.lateAt:
		w.startSuccessor()
	default:
		w.currentLate()
	}
}

// startSuccessor makes a call for the changes after the same list while the reply to the current call is still expected. The
// time by which that reply has to come stays the same.
func (w *Watch) startSuccessor() {
	before := w.current
	w.keepEarlier(before)
	w.current = nil
	if !w.startCall() {
		return
	}
	w.current.successor = true
	w.current.lateAt = before.lateAt
	w.loop.SetTimer(w.timer, before.lateAt)
}

// currentLate reports the current call as failed, but goes on waiting for its reply.
func (w *Watch) currentLate() {
	c := w.current
	c.reported = true
	w.keepEarlier(c)
	w.current = nil
	w.currentFailed(ErrNoReply)
}

// keepEarlier adds the current call to the earlier ones. If there are too many, the oldest is closed once it has waited
// long, and until then the one after it: so one call has time for a very late reply.
func (w *Watch) keepEarlier(c *call) {
	if len(w.earlier) == MaxCalls-1 {
		surplus := 1
		if w.loop.Now()-w.earlier[0].lateAt > w.limits.Durations.LateReplyWait {
			surplus = 0
		}
		w.earlier[surplus].close()
		w.earlier = slices.Delete(w.earlier, surplus, surplus+1)
	}
	w.earlier = append(w.earlier, c)
}
