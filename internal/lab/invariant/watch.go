package invariant

import "fmt"

// Properties of the watch of the endpoint list. Stored traces hold these texts; in them, a whole list is a complete one.
const (
	ListCompleteOrFollows  = "a list is whole, or follows the one before it"
	ListFromWatchedAddress = "after a move no list of the address before is taken"
	CompleteListAsked      = "after a failure or a move the whole list is asked for"
	OneCallAtATime         = "one call of the list is out at a time"
)

// ListChecker checks the calls to discovery for the endpoint list and the lists that the watch delivers.
type ListChecker struct {
	Endpoints      int // endpoints in a complete list
	violated       string
	detail         string
	lastGeneration int64 // generation of the list that was delivered last
	listKnown      bool  // a complete list was delivered, and neither a failed call nor a new address has invalidated it
}

// Broken returns the first property that was violated and the details; both are empty if none was.
func (c *ListChecker) Broken() (property, detail string) { return c.violated, c.detail }

func (c *ListChecker) recordViolation(property, format string, args ...any) {
	if c.violated == "" {
		c.violated, c.detail = property, fmt.Sprintf(format, args...)
	}
}

// CallSent checks a call that asks for the complete list or, if complete is false, for the changes after a generation.
func (c *ListChecker) CallSent(complete bool, after int64) {
	if !c.listKnown && !complete {
		c.recordViolation(CompleteListAsked, "a call asks for the changes after generation %d, but no complete list is known", after)
	}
}

// ListInvalidated records that the known list no longer counts: a call failed, or the address changed.
func (c *ListChecker) ListInvalidated() { c.listKnown = false }

// CheckConnections checks the number of open connections.
func (c *ListChecker) CheckConnections(connections int) {
	if connections > 1 {
		c.recordViolation(OneCallAtATime, "%d connections are open at the same time", connections)
	}
}

// ListDelivered checks and records a list that the watch delivers. from is the address that sent it, watched the address that
// the watch uses now.
func (c *ListChecker) ListDelivered(complete bool, generation int64, endpoints int, from, watched string) {
	switch {
	case from != watched:
		c.recordViolation(ListFromWatchedAddress, "a list from address %s is delivered while address %s is watched", from, watched)
	case complete && endpoints != c.Endpoints:
		c.recordViolation(ListCompleteOrFollows, "a complete list has %d endpoints of %d", endpoints, c.Endpoints)
	case !complete && (!c.listKnown || generation < c.lastGeneration):
		c.recordViolation(ListCompleteOrFollows, "changes up to generation %d come after generation %d (complete list known: %v)",
			generation, c.lastGeneration, c.listKnown)
	}
	c.listKnown, c.lastGeneration = true, generation
}
