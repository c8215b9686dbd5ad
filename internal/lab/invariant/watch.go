package invariant

import "fmt"

// Names of the properties of the list's watch, in words.
const (
	ListCompleteOrFollows = "a list is whole, or follows the one before it"
	ListFromWatchedAddress    = "after a move no list of the address before is taken"
	CompleteListAsked  = "after a failure or a move the whole list is asked for"
	OneCallAtATime     = "one call of the list is out at a time"
)

// ListChecker watches calls for the list and what is handed on.
type ListChecker struct {
	Endpoints int // of a whole list
	broken  string
	how     string
	last    int64
	known   bool
}

// Broken names the first property that was broken, and how.
func (l *ListChecker) Broken() (property, how string) { return l.broken, l.how }

func (l *ListChecker) breaks(property, format string, args ...any) {
	if l.broken == "" {
		l.broken, l.how = property, fmt.Sprintf(format, args...)
	}
}

// CallSent notes a call: for the whole list, or for what comes after a generation.
func (l *ListChecker) CallSent(whole bool, after int64) {
	if !l.known && !whole {
		l.breaks(CompleteListAsked, "changes after %d are asked for, and no whole list is known", after)
	}
}

// ListInvalidated notes that what is known no longer counts: a call failed, or the address changed.
func (l *ListChecker) ListInvalidated() { l.known = false }

// CheckConnections notes how many connections are open.
func (l *ListChecker) CheckConnections(n int) {
	if n > 1 {
		l.breaks(OneCallAtATime, "%d connections are open", n)
	}
}

// ListDelivered notes a list that is handed on: from which address, and which is watched.
func (l *ListChecker) ListDelivered(whole bool, generation int64, members int, from, watched string) {
	switch {
	case from != watched:
		l.breaks(ListFromWatchedAddress, "a list from %s is taken while %s is watched", from, watched)
	case whole && members != l.Endpoints:
		l.breaks(ListCompleteOrFollows, "a whole list has %d members of %d", members, l.Endpoints)
	case !whole && (!l.known || generation < l.last):
		l.breaks(ListCompleteOrFollows, "changes up to %d come after %d (whole list known: %v)", generation, l.last, l.known)
	}
	l.known, l.last = true, generation
}
