package invariant

import "fmt"

// Names of the properties of the list's watch, in words.
const (
	ListFollows = "a list is whole, or follows the one before it"
	ListFrom    = "after a move no list of the address before is taken"
	WholeAsked  = "after a failure or a move the whole list is asked for"
	OneCall     = "one call of the list is out at a time"
)

// Lists watches calls for the list and what is handed on.
type Lists struct {
	Members int // of a whole list
	broken  string
	how     string
	last    int64
	known   bool
}

// Broken names the first property that was broken, and how.
func (l *Lists) Broken() (property, how string) { return l.broken, l.how }

func (l *Lists) breaks(property, format string, args ...any) {
	if l.broken == "" {
		l.broken, l.how = property, fmt.Sprintf(format, args...)
	}
}

// Called notes a call: for the whole list, or for what comes after a generation.
func (l *Lists) Called(whole bool, after int64) {
	if !l.known && !whole {
		l.breaks(WholeAsked, "changes after %d are asked for, and no whole list is known", after)
	}
}

// Lost notes that what is known no longer counts: a call failed, or the address changed.
func (l *Lists) Lost() { l.known = false }

// Open notes how many connections are open.
func (l *Lists) Open(n int) {
	if n > 1 {
		l.breaks(OneCall, "%d connections are open", n)
	}
}

// Handed notes a list that is handed on: from which address, and which is watched.
func (l *Lists) Handed(whole bool, generation int64, members int, from, watched string) {
	switch {
	case from != watched:
		l.breaks(ListFrom, "a list from %s is taken while %s is watched", from, watched)
	case whole && members != l.Members:
		l.breaks(ListFollows, "a whole list has %d members of %d", members, l.Members)
	case !whole && (!l.known || generation < l.last):
		l.breaks(ListFollows, "changes up to %d come after %d (whole list known: %v)", generation, l.last, l.known)
	}
	l.known, l.last = true, generation
}
