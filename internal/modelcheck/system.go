package modelcheck

import "strings"

// System is what is explored. It must be deterministic: the same steps lead to the same state. It is used by one goroutine
// at a time.
type System interface {
	// Steps lists what may happen now, always in the same order, each name once.
	Steps() []string
	// Take has one of them happen.
	Take(step string)
	// Fingerprint adds all that decides the future to a hash.
	Fingerprint(h *Hash)
	// Broken names a property that does not hold any more, and how; empty if all hold.
	Broken() (property, how string)
	// Ended tells whether what is promised to come has come.
	Ended() bool
}

// Commuter is a System that knows of steps that commute: after either order of the two, both being possible, the state is
// the same, and neither makes the other possible or impossible. Steps that commute are taken in one order only. All states
// are still seen; fewer steps are taken.
type Commuter interface {
	Commute(a, b string) bool
}

// Settler is a System with a promise: from every state, left alone, it comes to the promised end. Settle lets it go
// on with nobody against it for as long as that may take, beyond the bounds, and names what did not come. It is
// asked in every state; the system is not used after it.
type Settler interface {
	Settle() (property, how string)
}

// Settled asks a system for its promise, if it has one. Empty: it is kept, or there is none.
func Settled(s System) (property, how string) {
	if x, ok := s.(Settler); ok {
		return x.Settle()
	}
	return "", ""
}

// Kind is a step's name up to the first blank.
func Kind(step string) string {
	kind, _, _ := strings.Cut(step, " ")
	return kind
}
