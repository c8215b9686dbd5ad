package invariant

import (
	"fmt"
	"slices"
)

// Properties of the watch of the endpoint list. Stored traces hold these texts; in them, a whole list is a complete one.
const (
	ListCompleteOrFollows  = "a list is whole, or follows the one before it"
	ListFromWatchedAddress = "after a move no list of the address before is taken"
	CompleteListAsked      = "after a failure or a move the whole list is asked for"
	FewCallsAtATime        = "only a few calls of the list are out at a time"
	OvertakenCallsClosed   = "a call is closed once a later call is answered, or the address moves"
	LateReplyAwaited       = "a call is not given up while its reply may be on its way"
)

// ListChecker checks the calls to discovery for the endpoint list and the lists that the watch delivers.
type ListChecker struct {
	Endpoints      int // endpoints in a complete list
	MaxCalls       int // calls that may be in progress at a time
	violated       string
	detail         string
	lastGeneration int64      // generation of the list that was delivered last
	hasList        bool       // a list of the watched address was delivered
	listKnown      bool       // neither a failed call nor a new address has invalidated the last list
	calls          []listCall // calls in progress, oldest first
	overtaken      []int      // connections that have to be closed by the end of the step
	delivered      []int      // connections on which a list was delivered in this step
}

// listCall is a call in progress.
type listCall struct {
	connection int
	sent       bool  // the request was sent
	after      int64 // generation after which the call asks for changes; meaningful only if it was sent
}

// Broken returns the first property that was violated and the details; both are empty if none was.
func (c *ListChecker) Broken() (property, detail string) { return c.violated, c.detail }

func (c *ListChecker) recordViolation(property, format string, args ...any) {
	if c.violated == "" {
		c.violated, c.detail = property, fmt.Sprintf(format, args...)
	}
}

// indexOf returns the index of the call on a connection, or -1 if there is none.
func (c *ListChecker) indexOf(connection int) int {
	return slices.IndexFunc(c.calls, func(call listCall) bool { return call.connection == connection })
}

// ConnectionOpened checks and records that the watch opens a connection.
func (c *ListChecker) ConnectionOpened(connection int) {
	c.calls = append(c.calls, listCall{connection: connection})
	if len(c.calls) > c.MaxCalls {
		c.recordViolation(FewCallsAtATime, "%d connections are open at the same time", len(c.calls))
	}
}

// ConnectionClosed checks and records that the watch has closed a connection. failed tells whether the call on it has failed.
func (c *ListChecker) ConnectionClosed(connection int, failed bool) {
	call := c.calls[c.indexOf(connection)]
	excused := failed || !call.sent || slices.Contains(c.overtaken, connection) || slices.Contains(c.delivered, connection)
	if !excused && len(c.calls) < c.MaxCalls {
		c.recordViolation(LateReplyAwaited, "connection %d is closed with %d calls in progress", connection, len(c.calls))
	}
	c.calls = slices.DeleteFunc(c.calls, func(call listCall) bool { return call.connection == connection })
}

// CallSent checks and records a call that asks for the complete list or, if complete is false, for the changes after a
// generation. A further call on a connection is the youngest one.
func (c *ListChecker) CallSent(connection int, complete bool, after int64) {
	if !c.listKnown && !complete {
		c.recordViolation(CompleteListAsked, "a call asks for the changes after generation %d, but no complete list is known", after)
	}
	call := listCall{connection: connection, sent: true, after: after}
	i := c.indexOf(connection)
	if !c.calls[i].sent {
		c.calls[i] = call
		return
	}
	c.calls = append(slices.Delete(c.calls, i, i+1), call)
}

// ListInvalidated records that the known list no longer counts, since a call failed.
func (c *ListChecker) ListInvalidated() { c.listKnown = false }

// AddressMoved records that the watch was given another address.
func (c *ListChecker) AddressMoved() {
	c.listKnown, c.hasList = false, false
	for _, call := range c.calls {
		c.overtaken = append(c.overtaken, call.connection)
	}
}

// ListDelivered checks and records a list that the watch delivers from a connection. from is the address that sent it, watched
// the address that the watch uses now.
func (c *ListChecker) ListDelivered(connection int, complete bool, generation int64, endpoints int, from, watched string) {
	i := c.indexOf(connection)
	follows := c.hasList && c.calls[i].after <= c.lastGeneration && generation >= c.lastGeneration
	switch {
	case from != watched:
		c.recordViolation(ListFromWatchedAddress, "a list from address %s is delivered while address %s is watched", from, watched)
	case complete && endpoints != c.Endpoints:
		c.recordViolation(ListCompleteOrFollows, "a complete list has %d endpoints of %d", endpoints, c.Endpoints)
	case !complete && !follows:
		c.recordViolation(ListCompleteOrFollows, "changes after generation %d up to %d come after generation %d (list known: %v)",
			c.calls[i].after, generation, c.lastGeneration, c.hasList)
	}
	c.listKnown, c.hasList, c.lastGeneration = true, true, generation
	c.delivered = append(c.delivered, connection)
	for _, call := range c.calls[:i] {
		c.overtaken = append(c.overtaken, call.connection)
	}
}

// StepEnded checks that the calls that were overtaken in a step have been closed.
func (c *ListChecker) StepEnded() {
	for _, connection := range c.overtaken {
		if c.indexOf(connection) >= 0 {
			c.recordViolation(OvertakenCallsClosed, "connection %d is still open", connection)
		}
	}
	c.overtaken, c.delivered = nil, nil
}
