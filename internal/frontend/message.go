package frontend

import (
	"fmt"

	"stoatdale.example/stoatdale/internal/pg"
)

// Types of the frontend messages that are told apart, by the protocol's first byte.
const (
	messageQuery     = 'Q'
	messageTerminate = 'X'
	messageSync      = 'S'
)

// messageHeader is the size of a message's type and length, in bytes.
const messageHeader = 5

// processMessage processes one message of the input, and reports whether there may be another.
func (c *conn) processMessage() (more bool) {
	if c.state == stateStartup {
		return c.processStartup()
	}
	if c.input.Len() == 0 {
		return false
	}
	if kind := c.input.FirstPiece()[0]; !isKnownMessage(kind) {
		c.protocolError(pg.CodeProtocolViolation, fmt.Sprintf("unknown message type %q", kind))
		return false
	}
	message, err := pg.PeekMessage(&c.input, c.server.limits.Sizes.ClientMessage)
	if err != nil {
		c.protocolError(pg.CodeProtocolViolation, err.Error())
		return false
	}
	if !message.Complete {
		return false
	}
	if message.Kind == messageTerminate {
		c.close()
		return false
	}
	c.handleMessage(message.Kind, message.Size)
	c.input.Discard(message.Size)
	return true
}

// handleMessage carries a complete message out. Only simple queries are served: an extended query gets one error, and
// its other messages are ignored until Sync.
func (c *conn) handleMessage(kind byte, size int) {
	switch {
	case kind == messageQuery:
		c.state = stateOpen
		c.processQuery(size)
	case kind == messageSync:
		c.state = stateOpen
		c.send(pg.AppendReadyForQuery(nil))
	case c.state == stateSkippingToSync:
	default:
		c.state = stateSkippingToSync
		c.server.counters.InvalidQueries++
		c.send(pg.AppendErrorResponse(nil, false, pg.CodeFeatureNotSupported, "only simple queries are served", ""))
	}
}

func isKnownMessage(kind byte) bool {
	return kind == messageQuery || kind == messageTerminate || isExtendedQuery(kind)
}

// isExtendedQuery reports whether a message belongs to the extended query protocol.
func isExtendedQuery(kind byte) bool {
	switch kind {
	case 'P', 'B', 'E', 'D', 'C', 'H', messageSync: // Parse, Bind, Execute, Describe, Close, Flush
		return true
	}
	return false
}

// processStartup processes what comes before the first message: the start-up packet, or a request for encryption or
// cancellation.
func (c *conn) processStartup() (more bool) {
	startup, ok, err := pg.ReadStartup(&c.input, c.server.limits.Sizes.StartupPacket)
	switch {
	case err != nil:
		c.protocolError(pg.CodeProtocolViolation, err.Error())
		return false
	case !ok:
		return false
	case startup.Kind == pg.StartupEncryption:
		c.send([]byte{'N'}) // encryption is not supported
		return true
	case startup.Kind == pg.StartupCancel:
		c.server.cancelCommands(startup.Key)
		c.close()
		return false
	}
	c.state = stateOpen
	c.key = c.server.newCancelKey(c)
	c.send(pg.AppendStartupReply(nil, c.key))
	return true
}

// protocolError sends an error and ends the connection after the replies that are owed.
func (c *conn) protocolError(code, message string) {
	c.server.counters.InvalidQueries++
	c.finalError(code, message)
}
