package discovery

import (
	"errors"
	"strconv"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/http1"
)

// listPath is the HTTP path of the endpoint list.
const listPath = "/registry/instances"

const millisecondsPerSecond = 1000

// noSocket is the descriptor of a call without a connection.
const noSocket = -1

// call is one call to the discovery service on a connection of its own. After its reply, the connection may carry the next
// call. A call does not watch the time; its watch does.
type call struct {
	exchange

	watch         *Watch
	fd            int  // noSocket if there is no connection
	connected     bool // the connection is open, not still being opened
	input, output buffer.Chain
}

// exchange is the state of one request and its reply. Times are loop times.
type exchange struct {
	reply http1.Response
	// from is the generation after which the call asks for changes; NoGeneration if it asks for the complete list, or the request
	// has not been sent.
	from       int64
	hold       float64 // seconds for which the service may hold the call
	sentAt     float64 // when the request was sent; 0 before
	begunAt    float64 // when the first part of the reply was received; 0 before
	receivedAt float64 // when the last part was received; 0 before
	lateAt     float64 // when the call is late unless there is a reply by then
	reported   bool    // the handler was notified that the call is late
	successor  bool    // the call was started while the reply to the call before it is still expected
	crossed    bool    // a list has arrived from another call while this one was in progress
}

// newCall starts opening a connection for a call. The event loop calls Ready when the connection is open or has failed.
func (w *Watch) newCall() (*call, error) {
	fd, err := w.loop.Dial(w.address)
	if err != nil {
		return nil, err
	}
	c := &call{watch: w, fd: fd, exchange: exchange{from: NoGeneration}, input: w.blocks.NewChain(), output: w.blocks.NewChain()}
	if err := w.loop.Add(fd, c, true, true); err != nil {
		w.loop.CloseUnwatched(fd)
		return nil, err
	}
	return c, nil
}

// asksForChanges reports whether the call asks for changes. The service holds it until there are any.
func (c *call) asksForChanges() bool { return c.from >= 0 }

// close closes the connection, if there is one, and discards partly sent and partly received messages.
func (c *call) close() {
	if c.fd != noSocket {
		c.watch.loop.Close(c.fd)
		c.fd = noSocket
	}
	c.input.Free()
	c.output.Free()
	c.reply = http1.Response{}
}

// replyBytes returns the size of the part of the reply that has arrived.
func (c *call) replyBytes() int { return len(c.reply.Body) + c.input.Len() }

// Ready implements eventloop.Handler.
func (c *call) Ready(readable, writable bool) {
	if !c.connected {
		c.finishConnect()
		return
	}
	if writable && c.output.Len() > 0 {
		c.flush()
	}
	if readable && c.fd != noSocket {
		c.receive()
	}
}

// finishConnect sends the request if the connection is open, and fails the call if it could not be opened.
func (c *call) finishConnect() {
	if err := c.watch.loop.ConnectError(c.fd); err != nil {
		c.watch.callFailed(c, err)
		return
	}
	c.connected = true
	c.sendRequest()
}

// sendRequest requests the complete list or the changes after the last one, as the watch demands. The service may hold a call
// for changes until there are any.
func (c *call) sendRequest() {
	path := listPath
	c.from = c.watch.base()
	if c.asksForChanges() {
		c.hold = c.watch.limits.Durations.LongPollHold
		path += "?from=" + strconv.FormatInt(c.from, 10) + "&hold_ms=" + strconv.Itoa(int(c.hold*millisecondsPerSecond))
	}
	c.output.Write([]byte(http1.GetRequest(c.watch.address.String(), path)))
	c.sentAt = c.watch.loop.Clock() // not Now: a turn that was held up is no silence of the service
	c.watch.requestSent(c)
	c.flush()
}

// flush writes as much of the request as the socket accepts. If some is left, it waits until the socket is writable.
func (c *call) flush() {
	if err := c.watch.loop.Write(c.fd, &c.output); err != nil {
		c.watch.callFailed(c, err)
		return
	}
	c.watch.loop.SetInterest(c.fd, true, c.output.Len() > 0)
}

// receive reads from the connection and passes the reply to the watch once it is complete.
func (c *call) receive() {
	w := c.watch
	received, readErr := w.loop.Read(c.fd, &c.input, w.limits.Sizes.ReadPerTurn)
	if received > 0 && !w.partReceived(c) {
		return
	}
	complete, err := c.reply.Parse(&c.input, w.limits.Sizes.DiscoveryReply, w.limits.Sizes.DiscoveryLine)
	if err != nil {
		w.callFailed(c, err)
		return
	}
	if errors.Is(readErr, eventloop.ErrPeerClosed) { // after a reset, by contrast, bytes may be missing
		complete = c.reply.ConnectionEnded() || complete
	}
	switch {
	case complete:
		w.replyReceived(c, readErr == nil)
	case readErr != nil:
		w.callFailed(c, readErr)
	}
}

// recordPart records that a part of the reply was received.
func (c *call) recordPart(now float64) {
	if c.begunAt == 0 {
		c.begunAt = now
	}
	c.receivedAt = now
}

// reusable reports whether the connection may carry another call after a reply: it is still open, and no bytes followed the
// reply.
func (c *call) reusable(open bool) bool { return open && !c.reply.Close && c.input.Len() == 0 }
