package discovery

import (
	"errors"
	"slices"

	"stoatdale.example/stoatdale/internal/endpoint"
)

// HTTP status codes. The constants of net/http are not used, since that package would be linked into the router for them
// alone.
const (
	statusOK                 = 200
	statusServiceUnavailable = 503
)

// partReceived is called when a part of a reply was received. It returns false if the call had to be closed since parts of
// other replies fill the memory.
func (w *Watch) partReceived(c *call) bool {
	c.recordPart(w.loop.Now())
	if !w.limitReplies(c) {
		return false
	}
	if c == w.current { // the next part must come soon, and the whole reply within ReplyTimeout
		deadline := c.begunAt + w.limits.Durations.ReplyTimeout
		c.lateAt = min(deadline, c.receivedAt+w.patience(c))
		w.loop.SetTimer(w.timer, c.lateAt)
	}
	return true
}

// limitReplies keeps the replies of all calls together within the size of one. It closes calls whose reply has stopped, and
// then the last call. It returns false if it has closed c.
func (w *Watch) limitReplies(c *call) bool {
	for w.replyBytes() > w.limits.Sizes.DiscoveryReply {
		surplus := w.surplusReply()
		if surplus == nil {
			return true
		}
		w.callFailed(surplus, ErrTooManyReplies)
		if surplus == c {
			return false
		}
	}
	return true
}

// replyBytes returns the size of all replies as far as they have arrived.
func (w *Watch) replyBytes() int {
	size := 0
	for _, c := range w.calls() {
		size += c.replyBytes()
	}
	return size
}

// calls returns all calls, oldest first.
func (w *Watch) calls() []*call {
	calls := slices.Clone(w.earlier)
	if w.current != nil {
		calls = append(calls, w.current)
	}
	return calls
}

// surplusReply returns the call that is to be closed if the replies take too much memory: the oldest one whose reply has
// stopped, or else the last one. It returns nil if only one reply has begun.
func (w *Watch) surplusReply() *call {
	var begun []*call
	for _, c := range w.calls() {
		if c.replyBytes() > 0 {
			begun = append(begun, c)
		}
	}
	if len(begun) < 2 {
		return nil
	}
	for _, c := range begun {
		if w.loop.Now()-c.receivedAt > w.limits.Durations.SilenceTimeout {
			return c
		}
	}
	return begun[len(begun)-1]
}

// replyReceived passes the list of a complete reply to the handler, closes the calls before this one, and makes sure that a
// call for the changes that follow is in progress.
func (w *Watch) replyReceived(c *call, open bool) {
	list, err := w.parseReply(c)
	if err != nil {
		w.callFailed(c, err)
		return
	}
	now := w.loop.Now()
	w.delay.observe(now-c.sentAt, now-c.begunAt, c.hold)
	if c.reported {
		w.log.Info().Float64("seconds", now-c.sentAt).Int64("generation", list.Generation).Msg("late reply of discovery")
	}
	w.backoff = w.limits.Durations.MinBackoff
	before := w.remove(c)
	if !w.isOvertaken(c, list) {
		w.listReceived(list, before)
	}
	w.followUp(c, c.reusable(open))
}

// remove takes a call out of the calls in progress, and returns the number of those before it.
func (w *Watch) remove(c *call) (before int) {
	if c == w.current {
		w.current = nil
		return len(w.earlier)
	}
	before = slices.Index(w.earlier, c)
	w.earlier = slices.Delete(w.earlier, before, before+1)
	return before
}

// listReceived passes a list to the handler. It closes the calls that are of no use any more: the given number of oldest
// ones, those that have not been sent, and those for changes after a generation that the list does not have, since the service
// was restarted and its generations began anew.
func (w *Watch) listReceived(list endpoint.List, before int) {
	w.generation, w.listOutdated = list.Generation, false
	w.handler.HandleList(list)
	w.closeEarlier(before)
	w.earlier = slices.DeleteFunc(w.earlier, func(c *call) bool {
		useless := c.sentAt == 0 || c.from > w.generation
		if useless {
			c.close()
		}
		return useless
	})
	for _, c := range w.calls() {
		c.crossed = true
	}
}

// isOvertaken reports whether a later list has arrived before this one: it has a higher generation, and arrived while this
// call was in progress. Otherwise an earlier generation means that generations began anew.
func (w *Watch) isOvertaken(c *call, list endpoint.List) bool {
	return list.Generation < w.generation && (!list.Complete || c.crossed)
}

// followUp starts the next call after a reply, on the same connection if that is reusable. If the current call is younger and
// asks for changes that follow the list, it is the next call.
func (w *Watch) followUp(c *call, reusable bool) {
	if next := w.current; next != nil {
		if next.asksForChanges() && next.from <= w.generation {
			c.close()
			w.confirmSuccessor()
			return
		}
		w.replaceCurrent()
	}
	w.loop.StopTimer(w.timer)
	if !reusable {
		c.close()
		w.Poll()
		return
	}
	c.exchange = exchange{from: NoGeneration}
	w.current = c
	c.sendRequest()
}

// confirmSuccessor gives the current call its own time for a reply, since the service has replied to the call before it.
func (w *Watch) confirmSuccessor() {
	c := w.current
	if !c.successor {
		return
	}
	c.successor = false
	if c.begunAt == 0 {
		w.awaitReply(c)
	}
}

// replaceCurrent makes way for another current call. A call for the complete list may still be answered. A call for changes is
// closed, since the last list does not have its generation (see listReceived), and so is one that has not been sent.
func (w *Watch) replaceCurrent() {
	c := w.current
	w.current = nil
	if c.asksForChanges() || c.sentAt == 0 {
		c.close()
		return
	}
	w.keepEarlier(c)
}

// parseReply returns the list in a call's reply. The list has to be complete, or hold the changes that the call asks for. A
// complete list may have an earlier generation than the last one.
func (w *Watch) parseReply(c *call) (endpoint.List, error) {
	if c.reply.Status != statusOK {
		return endpoint.List{}, &StatusError{Status: c.reply.Status}
	}
	list, err := endpoint.Parse(c.reply.Body)
	if err != nil {
		return endpoint.List{}, err
	}
	if !list.Complete && (!c.asksForChanges() || list.Generation < c.from) {
		return endpoint.List{}, &GenerationError{Got: list.Generation, Have: c.from}
	}
	return list, nil
}

// callFailed closes a call that has failed. If it is the current one, the next one is scheduled.
func (w *Watch) callFailed(c *call, cause error) {
	c.close()
	if c == w.current {
		w.current = nil
		w.currentFailed(cause)
		return
	}
	w.log.Debug().Err(&CallError{Address: w.address, Err: cause}).Msg("late call to discovery failed")
	w.remove(c)
}

// currentFailed reports that the current call has failed or is late, and schedules the next one unless the watch is on
// demand. The next call requests the complete list, since changes may have been missed, unless this one was refused (see
// wasRefused).
func (w *Watch) currentFailed(cause error) {
	w.log.Warn().Err(&CallError{Address: w.address, Err: cause}).Msg("call to discovery failed")
	w.loop.StopTimer(w.timer)
	if !w.wasRefused(cause) {
		w.listOutdated = true
	}
	if !w.onDemand {
		w.loop.SetTimer(w.timer, w.loop.Clock()+w.backoff)
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
