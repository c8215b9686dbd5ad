package discovery

import (
	"errors"
	"strconv"

	"stoatdale.example/stoatdale/internal/endpoint"
	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/http1"
)

// listPath is the HTTP path of the endpoint list.
const listPath = "/registry/instances"

// HTTP status codes. The constants of net/http are not used, since that package would be linked into the router for them
// alone.
const (
	statusOK                 = 200
	statusServiceUnavailable = 503
)

const millisecondsPerSecond = 1000

// connect starts opening a connection. The event loop calls Ready when the connection is open or has failed.
func (w *Watch) connect() error {
	fd, err := w.loop.Dial(w.address)
	if err != nil {
		return err
	}
	if err := w.loop.Add(fd, w, true, true); err != nil {
		w.loop.CloseUnwatched(fd)
		return err
	}
	w.fd, w.connected = fd, false
	return nil
}

// disconnect closes the connection, if there is one, stops the timer, and discards partly sent and partly received messages.
func (w *Watch) disconnect() {
	w.loop.StopTimer(w.timer)
	if w.fd != noSocket {
		w.loop.Close(w.fd)
		w.fd = noSocket
	}
	w.input.Free()
	w.output.Free()
	w.resetReply()
}

// resetReply discards the current reply, so that the next byte received begins a new one.
func (w *Watch) resetReply() {
	w.reply = http1.Response{}
	w.replyDeadline = 0
}

// Ready implements eventloop.Handler.
func (w *Watch) Ready(readable, writable bool) {
	if !w.connected {
		w.finishConnect()
		return
	}
	if writable && w.output.Len() > 0 {
		w.flush()
	}
	if readable && w.fd != noSocket {
		w.receive()
	}
}

// finishConnect sends the first request if the connection is open, and fails the call if it could not be opened.
func (w *Watch) finishConnect() {
	if err := w.loop.ConnectError(w.fd); err != nil {
		w.fail(err)
		return
	}
	w.connected = true
	w.sendRequest()
}

// sendRequest requests the complete list if the watch has no list. Otherwise it requests the changes after the last list, and
// the discovery service may hold the call for LongPollHold until there are any.
func (w *Watch) sendRequest() {
	path, timeout := listPath, w.limits.Durations.SilenceTimeout
	if w.hasList() {
		hold := w.limits.Durations.LongPollHold
		path += "?from=" + strconv.FormatInt(w.generation, 10) + "&hold_ms=" + strconv.Itoa(int(hold*millisecondsPerSecond))
		timeout += hold
	}
	w.output.Write([]byte(http1.GetRequest(w.address.String(), path)))
	w.loop.SetTimer(w.timer, w.loop.Now()+timeout)
	w.flush()
}

// flush writes as much of the request as the socket accepts. If some is left, it waits until the socket is writable.
func (w *Watch) flush() {
	if err := w.loop.Write(w.fd, &w.output); err != nil {
		w.fail(err)
		return
	}
	w.loop.SetInterest(w.fd, true, w.output.Len() > 0)
}

// receive reads from the connection and handles the reply once it is complete.
func (w *Watch) receive() {
	received, readErr := w.loop.Read(w.fd, &w.input, w.limits.Sizes.ReadPerTurn)
	if received > 0 {
		w.extendTimer()
	}
	complete, err := w.reply.Parse(&w.input, w.limits.Sizes.DiscoveryReply, w.limits.Sizes.DiscoveryLine)
	if err != nil {
		w.fail(err)
		return
	}
	if errors.Is(readErr, eventloop.ErrPeerClosed) { // after a reset, by contrast, bytes may be missing
		complete = w.reply.ConnectionEnded() || complete
	}
	switch {
	case complete:
		w.handleReply(readErr == nil)
	case readErr != nil:
		w.fail(readErr)
	}
}

// extendTimer sets the timer after a part of a reply was received: the next part must come within SilenceTimeout, and the
// whole reply within ReplyTimeout.
func (w *Watch) extendTimer() {
	now := w.loop.Now()
	if w.replyDeadline == 0 {
		w.replyDeadline = now + w.limits.Durations.ReplyTimeout
	}
	w.loop.SetTimer(w.timer, min(w.replyDeadline, now+w.limits.Durations.SilenceTimeout))
}

// handleReply passes the list of a complete reply to the handler and starts the next call immediately. It reuses the
// connection if that is still open and no bytes followed the reply.
func (w *Watch) handleReply(open bool) {
	reply := w.reply
	w.resetReply()
	list, err := w.parseReply(&reply)
	if err != nil {
		w.fail(err)
		return
	}
	w.generation = list.Generation
	w.backoff = w.limits.Durations.MinBackoff
	w.handler.HandleList(list)
	if open && !reply.Close && w.input.Len() == 0 {
		w.sendRequest()
		return
	}
	w.disconnect()
	w.Poll()
}

// parseReply returns the list in a reply. The list has to be complete, or hold changes that follow the last list. A complete
// list may have an earlier generation than the last one.
func (w *Watch) parseReply(reply *http1.Response) (endpoint.List, error) {
	if reply.Status != statusOK {
		return endpoint.List{}, &StatusError{Status: reply.Status}
	}
	list, err := endpoint.Parse(reply.Body)
	if err != nil {
		return endpoint.List{}, err
	}
	follows := w.hasList() && list.Generation >= w.generation
	if !list.Complete && !follows {
		return endpoint.List{}, &GenerationError{Got: list.Generation, Have: w.generation}
	}
	return list, nil
}
