// Package invariant holds the properties that must hold whatever happens, each once, as a text and as a checker. A checker
// records events as seen from outside a component, never what the component reports of itself, and does no I/O.
package invariant

import "fmt"

// Properties of rollouts. Stored traces hold these texts; in them, a hall is a zone.
const (
	OneInstance = "one instance at a time is in a step"
	OneHolder   = "an epoch has one holder, and only it acts"
	NoFloor     = "no step takes a hall or the whole under its floor"
	OneProcess  = "an instance has one process at most"
	Resolved    = "what was begun is on record before it is begun"
)

// Fleet checks the steps of a rollout as agents begin and end them.
type Fleet struct {
	Floor     int // instances that must serve at all times
	openSteps map[int]string
	holders   map[uint64]string
	violated  string
	detail    string
}

// NewFleet returns a checker of a fleet in which at least minAvailable instances must serve.
func NewFleet(minAvailable int) *Fleet {
	return &Fleet{Floor: minAvailable, openSteps: map[int]string{}, holders: map[uint64]string{}}
}

// Broken returns the first property that was violated and the details; both are empty if none was.
func (f *Fleet) Broken() (property, detail string) { return f.violated, f.detail }

func (f *Fleet) recordViolation(property, format string, args ...any) {
	if f.violated == "" {
		f.violated, f.detail = property, fmt.Sprintf(format, args...)
	}
}

// Acted records that an agent granted a change to a lease holder under an epoch.
func (f *Fleet) Acted(epoch uint64, holder string) {
	if previous, known := f.holders[epoch]; known && previous != holder {
		f.recordViolation(OneHolder, "epoch %d was held by %s and is now held by %s", epoch, previous, holder)
	}
	f.holders[epoch] = holder
}

// Begun checks and records that an instance's step begins.
func (f *Fleet) Begun(instance int, step string) {
	for other, otherStep := range f.openSteps {
		if other != instance {
			f.recordViolation(OneInstance, "instance %d begins step %s while instance %d is in step %s", instance, step, other, otherStep)
		}
	}
	f.openSteps[instance] = step
}

// Ended records that an instance's step has ended.
func (f *Fleet) Ended(instance int) { delete(f.openSteps, instance) }

// Taken checks the stop of a serving router, given how many other routers serve.
func (f *Fleet) Taken(instance, othersServing int) {
	if othersServing < f.Floor {
		f.recordViolation(NoFloor, "instance %d is taken out of service while only %d others serve, and at least %d must", instance, othersServing, f.Floor)
	}
}

// Started checks the start of an instance's process, given how many processes of the instance run already.
func (f *Fleet) Started(instance, running int) {
	if running > 0 {
		f.recordViolation(OneProcess, "instance %d has %d processes and another is started", instance, running)
	}
}

// Sent checks that a majority of agents had stored a step's record when the step is sent.
func (f *Fleet) Sent(step string, recorded bool) {
	if !recorded {
		f.recordViolation(Resolved, "step %s is sent although no majority has stored its record", step)
	}
}
