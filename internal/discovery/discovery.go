// Package discovery watches the list of members over HTTP.
package discovery

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/http1"
	"stoatdale.example/stoatdale/internal/loop"
	"stoatdale.example/stoatdale/internal/roster"
	"stoatdale.example/stoatdale/internal/site"
)

const listPath = "/registry/instances"

// ListHandler is told of each list and of each failed call.
type ListHandler interface {
	HandleList(list roster.List)
	HandleCallFailure()
}

// Watch is one watch of the list. Where the list comes by itself it goes on for good; where it must be
// asked for, Poll begins it and a failure ends it.
type Watch struct {
	loop     loop.Wire
	limits   *site.Limits
	address  netip.AddrPort
	handler  ListHandler
	log      zerolog.Logger
	onDemand bool

	fd            int // -1: no connection
	connected     bool
	in, out       buffer.Chain
	reply         http1.Reply
	replyDeadline float64 // when the reply has to be whole; 0: none has begun
	generation    int64   // -1: the whole list is wanted
	backoff       float64
	timer         *loop.Timer
	closed        bool
}

// New returns a watch that has not begun. With onDemand each call must be asked for.
func New(l loop.Wire, limits *site.Limits, at netip.AddrPort, onAsk bool, blocks *buffer.Pool, sink ListHandler,
	log zerolog.Logger,
) *Watch {
	w := &Watch{
		loop: l, limits: limits, address: at, handler: sink, log: log, onDemand: onAsk, fd: -1,
		in: blocks.New(), out: blocks.New(), generation: -1, backoff: limits.Durations.MinBackoff,
	}
	w.timer = loop.NewTimer(w.timerFired)
	return w
}

// Poll begins the watch unless it is on.
func (w *Watch) Poll() {
	if w.fd >= 0 || w.closed {
		return
	}
	fd, err := w.loop.Dial(w.address)
	if err == nil {
		if err = w.loop.Add(fd, w, true, true); err != nil {
			w.loop.Discard(fd)
		}
	}
	if err != nil {
		w.fail(err)
		return
	}
	w.fd, w.connected = fd, false
	w.loop.Set(w.timer, w.loop.Now()+w.limits.Durations.SilenceTimeout)
}

// SetAddress turns to another address: it is called at once for the whole list, whatever pause failures of the old
// one had left. Until it answers the last list stands.
func (w *Watch) SetAddress(at netip.AddrPort) {
	w.address = at
	w.disconnect()
	w.generation, w.backoff = -1, w.limits.Durations.MinBackoff
	w.Poll()
}

// Close ends the watch.
func (w *Watch) Close() {
	w.closed = true
	w.disconnect()
}

func (w *Watch) disconnect() {
	w.loop.Unset(w.timer)
	if w.fd >= 0 {
		w.loop.Close(w.fd)
		w.fd = -1
	}
	w.in.Free()
	w.out.Free()
	w.reply, w.replyDeadline = http1.Reply{}, 0
}

// timerFired is called when a call took too long or the pause before the next is over.
func (w *Watch) timerFired() {
	if w.fd >= 0 {
		w.fail(errors.New("no reply"))
		return
	}
	w.Poll()
}

// fail gives a call up. The next starts anew with the whole list, since changes may have been missed.
func (w *Watch) fail(err error) {
	w.log.Warn().Err(err).Msg("call to discovery failed")
	w.disconnect()
	w.generation = -1
	if !w.onDemand {
		w.loop.Set(w.timer, w.loop.Now()+w.backoff)
		w.backoff = min(2*w.backoff, w.limits.Durations.MaxBackoff)
	}
	w.handler.HandleCallFailure()
}

// Ready implements loop.Handler.
func (w *Watch) Ready(readable, writable bool) {
	if !w.connected {
		if err := w.loop.Dialled(w.fd); err != nil {
			w.fail(err)
			return
		}
		w.connected = true
		w.sendRequest()
		return
	}
	if writable && w.out.Len() > 0 {
		w.flush()
	}
	if readable && w.fd >= 0 {
		w.read()
	}
}

// sendRequest asks for the whole list, or waits for what comes after the last.
func (w *Watch) sendRequest() {
	p, wait := listPath, w.limits.Durations.SilenceTimeout
	if w.generation >= 0 {
		p += fmt.Sprintf("?from=%d&hold_ms=%d", w.generation, int(w.limits.Durations.LongPollHold*1000))
		wait += w.limits.Durations.LongPollHold
	}
	w.out.Write([]byte(http1.Get(w.address.String(), p)))
	w.loop.Set(w.timer, w.loop.Now()+wait)
	w.flush()
}

func (w *Watch) flush() {
	if err := w.loop.Write(w.fd, &w.out); err != nil {
		w.fail(err)
		return
	}
	w.loop.Want(w.fd, true, w.out.Len() > 0)
}

func (w *Watch) read() {
	got, err := w.loop.Read(w.fd, &w.in, w.limits.Sizes.ReadPerTurn)
	if now := w.loop.Now(); got > 0 { // a reply has begun: it must go on, and not for good
		if w.replyDeadline == 0 {
			w.replyDeadline = now + w.limits.Durations.ReplyTimeout
		}
		w.loop.Set(w.timer, min(w.replyDeadline, now+w.limits.Durations.SilenceTimeout))
	}
	whole, bad := w.reply.Take(&w.in, w.limits.Sizes.DiscoveryReply, w.limits.Sizes.DiscoveryLine)
	whole = whole || bad == nil && errors.Is(err, loop.ErrEnded) && w.reply.End() // a reset ends no reply
	switch {
	case bad != nil:
		w.fail(bad)
	case whole:
		w.handleReply(err != nil)
	case err != nil:
		w.fail(err)
	}
}

// handleReply hands a whole reply on and calls again at once.
func (w *Watch) handleReply(ended bool) {
	reply := w.reply
	w.reply, w.replyDeadline = http1.Reply{}, 0
	if reply.Status != 200 {
		w.fail(fmt.Errorf("status %d", reply.Status))
		return
	}
	list, err := roster.Parse(reply.Body)
	if err != nil {
		w.fail(err)
		return
	}
	whole := w.generation < 0
	if !list.Complete && (whole || list.Generation < w.generation) {
		w.fail(fmt.Errorf("changes up to %d after %d", list.Generation, w.generation))
		return
	}
	w.generation, w.backoff = list.Generation, w.limits.Durations.MinBackoff
	w.handler.HandleList(list)
	if ended || reply.Close || w.in.Len() > 0 {
		w.disconnect()
		w.Poll()
		return
	}
	w.sendRequest()
}
