package discovery

import (
	"errors"
	"strconv"

	"stoatdale.example/stoatdale/internal/endpoint"
	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/http1"
)

// listPath is the path at which discovery serves the list.
const listPath = "/registry/instances"

// HTTP statuses; net/http would be linked into the router for these constants alone.
const (
	statusOK                 = 200
	statusServiceUnavailable = 503
)

const millisecondsPerSecond = 1000

// connect begins to open a connection. Ready is called when it is open or has failed.
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

// disconnect closes the connection if there is one, and drops all that was sent or received in part.
func (w *Watch) disconnect() {
	w.loop.StopTimer(w.timer)
	if w.fd != noSocket {
		w.loop.Close(w.fd)
		w.fd = noSocket
	}
	w.in.Free()
	w.out.Free()
	w.resetReply()
}

// resetReply has the next byte that is received begin a new reply.
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
	if writable && w.out.Len() > 0 {
		w.flush()
	}
	if readable && w.fd != noSocket {
		w.receive()
	}
}

// finishConnect learns whether the connection is open, and sends the first request on it.
func (w *Watch) finishConnect() {
	if err := w.loop.ConnectError(w.fd); err != nil {
		w.fail(err)
		return
	}
	w.connected = true
	w.sendRequest()
}

// sendRequest asks for the complete list, or for changes after the last one, for which discovery may hold the call.
func (w *Watch) sendRequest() {
	path, timeout := listPath, w.limits.Durations.SilenceTimeout
	if w.hasList() {
		hold := w.limits.Durations.LongPollHold
		path += "?from=" + strconv.FormatInt(w.generation, 10) + "&hold_ms=" + strconv.Itoa(int(hold*millisecondsPerSecond))
		timeout += hold
	}
	w.out.Write([]byte(http1.GetRequest(w.address.String(), path)))
	w.loop.SetTimer(w.timer, w.loop.Now()+timeout)
	w.flush()
}

// flush writes what the socket takes of the request, and waits for the rest.
func (w *Watch) flush() {
	if err := w.loop.Write(w.fd, &w.out); err != nil {
		w.fail(err)
		return
	}
	w.loop.SetInterest(w.fd, true, w.out.Len() > 0)
}

// receive reads from the connection and handles the reply once it is complete.
func (w *Watch) receive() {
	received, readErr := w.loop.Read(w.fd, &w.in, w.limits.Sizes.ReadPerTurn)
	if received > 0 {
		w.extendTimer()
	}
	complete, err := w.reply.Parse(&w.in, w.limits.Sizes.DiscoveryReply, w.limits.Sizes.DiscoveryLine)
	if err != nil {
		w.fail(err)
		return
	}
	if errors.Is(readErr, eventloop.ErrPeerClosed) { // and not a reset, before which bytes may be missing
		complete = w.reply.ConnectionEnded() || complete
	}
	switch {
	case complete:
		w.handleReply(readErr == nil)
	case readErr != nil:
		w.fail(readErr)
	}
}

// extendTimer is called when a part of a reply was received: more must come within the silence timeout, and the whole
// reply within the reply timeout.
func (w *Watch) extendTimer() {
	now := w.loop.Now()
	if w.replyDeadline == 0 {
		w.replyDeadline = now + w.limits.Durations.ReplyTimeout
	}
	w.loop.SetTimer(w.timer, min(w.replyDeadline, now+w.limits.Durations.SilenceTimeout))
}

// handleReply hands a complete reply on and begins the next call at once, on the same connection if that is open and
// nothing else was received on it.
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
	if open && !reply.Close && w.in.Len() == 0 {
		w.sendRequest()
		return
	}
	w.disconnect()
	w.Poll()
}

// parseReply returns the list in a reply if it is complete or follows from the last one. A complete list may go back to
// an earlier generation.
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
