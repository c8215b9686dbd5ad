// Package invariant holds the properties that must hold whatever happens, each written once, in words and in
// code. They look at what was seen from outside, never at what a part says of itself, and have no I/O.
package invariant

import "fmt"

// Names of the properties, in words.
const (
	OneInstance = "one instance at a time is in a step"
	OneHolder   = "an epoch has one holder, and only it acts"
	NoFloor     = "no step takes a hall or the whole under its floor"
	OneProcess  = "an instance has one process at most"
	Resolved    = "what was begun is on record before it is begun"
)

// Fleet watches the steps of a rollout as agents begin and end them.
type Fleet struct {
	Floor   int
	open    map[int]string
	holders map[uint64]string
	broken  string
	how     string
}

// NewFleet watches a fleet with a floor of serving instances.
func NewFleet(floor int) *Fleet {
	return &Fleet{Floor: floor, open: map[int]string{}, holders: map[uint64]string{}}
}

// Broken names the first property that was broken, and how.
func (f *Fleet) Broken() (property, how string) { return f.broken, f.how }

func (f *Fleet) breaks(property, format string, args ...any) {
	if f.broken == "" {
		f.broken, f.how = property, fmt.Sprintf(format, args...)
	}
}

// Acted notes that an agent let a holder act under an epoch.
func (f *Fleet) Acted(epoch uint64, holder string) {
	if h, taken := f.holders[epoch]; taken && h != holder {
		f.breaks(OneHolder, "epoch %d was %s's and is %s's", epoch, h, holder)
	}
	f.holders[epoch] = holder
}

// Begun notes that an instance's step begins.
func (f *Fleet) Begun(instance int, step string) {
	for other, s := range f.open {
		if other != instance {
			f.breaks(OneInstance, "instance %d begins %s while instance %d is in %s", instance, step, other, s)
		}
	}
	f.open[instance] = step
}

// Ended notes that an instance's step has ended.
func (f *Fleet) Ended(instance int) { delete(f.open, instance) }

// Taken notes that a serving router is told to end, and how many others serve.
func (f *Fleet) Taken(instance, others int) {
	if others < f.Floor {
		f.breaks(NoFloor, "instance %d is taken out of service with %d others serving, and the floor is %d", instance, others, f.Floor)
	}
}

// Started notes that a process is started where so many run already.
func (f *Fleet) Started(instance, running int) {
	if running > 0 {
		f.breaks(OneProcess, "instance %d has %d processes and gets another", instance, running)
	}
}

// Sent notes that a step is sent, and whether a majority keeps its record.
func (f *Fleet) Sent(step string, kept bool) {
	if !kept {
		f.breaks(Resolved, "%s is sent, and no majority keeps its record", step)
	}
}
