package modelcheck

import "strings"

// System is a system to be explored. It must be deterministic: the same steps lead to the same state. It is used by one
// goroutine at a time.
type System interface {
	// Steps returns the names of the steps that are possible now, always in the same order and each once.
	Steps() []string
	// Take takes one of the possible steps.
	Take(step string)
	// Fingerprint adds everything that decides the system's future to a hash.
	Fingerprint(h *Hash)
	// Broken returns a property that no longer holds and how it is broken. Both are empty if all properties hold.
	Broken() (property, detail string)
	// Ended reports whether the system is in an end state, in which everything that must happen has happened.
	Ended() bool
}

// Commuter is a System that knows which of its steps commute. Two steps commute if, wherever both are possible, either
// order of them leads to the same state and neither makes the other possible or impossible. Steps that commute are
// taken in one order only: all states are still visited, by fewer steps.
type Commuter interface {
	// Commute reports whether two steps commute.
	Commute(a, b string) bool
}

// Settler is a System that must reach an end state from every state if it is left undisturbed. Settle runs the system
// without disturbance for as long as that may take, also beyond the bounds, and returns the property that was not
// fulfilled and how; both are empty if the system settled. It is called in every state. The system must not be used
// after it.
type Settler interface {
	Settle() (property, detail string)
}

// Settle calls the method Settle of a system that is a Settler. It returns empty texts if the system settles or is no
// Settler.
func Settle(s System) (property, detail string) {
	if settler, ok := s.(Settler); ok {
		return settler.Settle()
	}
	return "", ""
}

// Kind returns the kind of a step: its name up to the first space.
func Kind(step string) string {
	kind, _, _ := strings.Cut(step, " ")
	return kind
}
