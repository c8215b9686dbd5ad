package frontend

import (
	"fmt"

	"stoatdale.example/stoatdale/internal/pg"
)

// Message types that are handled differently from others. The type is the first byte of a message.
const (
	messageQuery     = 'Q'
	messageTerminate = 'X'
	messageSync      = 'S'
)

// messageHeader is the size of the header of a message, its type and its length, in bytes.
const messageHeader = 5

// processMessage processes the first message in the input if it is complete. It reports whether another may follow.
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

// handleMessage handles a complete message. Only simple queries are supported: the first message of an extended query gets
// an error, and its other messages are ignored until Sync.
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

// isExtendedQuery reports whether a message type belongs to the extended query protocol.
func isExtendedQuery(kind byte) bool {
	switch kind {
	case 'P', 'B', 'E', 'D', 'C', 'H', messageSync: // Parse, Bind, Execute, Describe, Close, Flush
		return true
	}
	return false
}

// processStartup processes a packet that precedes the first message: the start-up packet, an encryption request or a cancel
// request. It reports whether another packet or message may follow.
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
	c.cancelKey = c.server.newCancelKey(c)
	c.send(pg.AppendStartupReply(nil, c.cancelKey))
	return true
}

// protocolError sends an error after the outstanding replies, and then ends the connection.
func (c *conn) protocolError(code, message string) {
	c.server.counters.InvalidQueries++
	c.finalError(code, message)
}
