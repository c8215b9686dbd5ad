// Package invariant holds the properties that must hold whatever happens, each written once, in words and in
// code. They look at what was seen from outside, never at what a part says of itself, and have no I/O.
package invariant

import "fmt"

// Names of the properties, in words.
const (
	OneInstanceInStep = "one instance at a time is in a step"
	OneHolderPerEpoch   = "an epoch has one holder, and only it acts"
	KeepsMinAvailable     = "no step takes a hall or the whole under its floor"
	OneProcessPerInstance  = "an instance has one process at most"
	RecordedBeforeBegun    = "what was begun is on record before it is begun"
)

// RolloutChecker watches the steps of a rollout as agents begin and end them.
type RolloutChecker struct {
	MinAvailable   int
	open    map[int]string
	holders map[uint64]string
	broken  string
	how     string
}

// NewRolloutChecker watches a fleet with a floor of serving instances.
func NewRolloutChecker(floor int) *RolloutChecker {
	return &RolloutChecker{MinAvailable: floor, open: map[int]string{}, holders: map[uint64]string{}}
}

// Broken names the first property that was broken, and how.
func (f *RolloutChecker) Broken() (property, how string) { return f.broken, f.how }

func (f *RolloutChecker) breaks(property, format string, args ...any) {
	if f.broken == "" {
		f.broken, f.how = property, fmt.Sprintf(format, args...)
	}
}

// ChangeGranted notes that an agent let a holder act under an epoch.
func (f *RolloutChecker) ChangeGranted(epoch uint64, holder string) {
	if h, taken := f.holders[epoch]; taken && h != holder {
		f.breaks(OneHolderPerEpoch, "epoch %d was %s's and is %s's", epoch, h, holder)
	}
	f.holders[epoch] = holder
}

// StepBegun notes that an instance's step begins.
func (f *RolloutChecker) StepBegun(instance int, step string) {
	for other, s := range f.open {
		if other != instance {
			f.breaks(OneInstanceInStep, "instance %d begins %s while instance %d is in %s", instance, step, other, s)
		}
	}
	f.open[instance] = step
}

// StepEnded notes that an instance's step has ended.
func (f *RolloutChecker) StepEnded(instance int) { delete(f.open, instance) }

// RouterStopped notes that a serving router is told to end, and how many others serve.
func (f *RolloutChecker) RouterStopped(instance, others int) {
	if others < f.MinAvailable {
		f.breaks(KeepsMinAvailable, "instance %d is taken out of service with %d others serving, and the floor is %d", instance, others, f.MinAvailable)
	}
}

// ProcessStarted notes that a process is started where so many run already.
func (f *RolloutChecker) ProcessStarted(instance, running int) {
	if running > 0 {
		f.breaks(OneProcessPerInstance, "instance %d has %d processes and gets another", instance, running)
	}
}

// StepSent notes that a step is sent, and whether a majority keeps its record.
func (f *RolloutChecker) StepSent(step string, kept bool) {
	if !kept {
		f.breaks(RecordedBeforeBegun, "%s is sent, and no majority keeps its record", step)
	}
}
