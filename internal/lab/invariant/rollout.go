// Package invariant holds the properties that must hold whatever happens, each once, as a text and as a checker. A checker
// records events as seen from outside a component, never what the component reports of itself, and does no I/O.
package invariant

import "fmt"

// Properties of rollouts. Stored traces hold these texts; in them, a hall is a zone.
const (
	OneInstanceInStep     = "one instance at a time is in a step"
	OneHolderPerEpoch     = "an epoch has one holder, and only it acts"
	KeepsMinAvailable     = "no step takes a hall or the whole under its floor"
	OneProcessPerInstance = "an instance has one process at most"
	RecordedBeforeBegun   = "what was begun is on record before it is begun"
)

// RolloutChecker checks the steps of a rollout as agents begin and end them.
type RolloutChecker struct {
	MinAvailable int               // instances that must serve at all times
	openSteps    map[int]string    // step under way, by instance
	holders      map[uint64]string // lease holder, by epoch
	violated     string
	detail       string
}

// NewRolloutChecker returns a checker of a fleet in which at least minAvailable instances must serve.
func NewRolloutChecker(minAvailable int) *RolloutChecker {
	return &RolloutChecker{MinAvailable: minAvailable, openSteps: map[int]string{}, holders: map[uint64]string{}}
}

// Broken returns the first property that was violated and the details; both are empty if none was.
func (c *RolloutChecker) Broken() (property, detail string) { return c.violated, c.detail }

func (c *RolloutChecker) recordViolation(property, format string, args ...any) {
	if c.violated == "" {
		c.violated, c.detail = property, fmt.Sprintf(format, args...)
	}
}

// ChangeGranted records that an agent granted a change to a lease holder under an epoch.
func (c *RolloutChecker) ChangeGranted(epoch uint64, holder string) {
	if previous, known := c.holders[epoch]; known && previous != holder {
		c.recordViolation(OneHolderPerEpoch, "epoch %d was held by %s and is now held by %s", epoch, previous, holder)
	}
	c.holders[epoch] = holder
}

// StepBegun checks and records that an instance's step begins.
func (c *RolloutChecker) StepBegun(instance int, step string) {
	for other, otherStep := range c.openSteps {
		if other != instance {
			c.recordViolation(OneInstanceInStep, "instance %d begins step %s while instance %d is in step %s",
				instance, step, other, otherStep)
		}
	}
	c.openSteps[instance] = step
}

// StepEnded records that an instance's step has ended.
func (c *RolloutChecker) StepEnded(instance int) { delete(c.openSteps, instance) }

// RouterStopped checks the stop of a serving router, given how many other routers serve.
func (c *RolloutChecker) RouterStopped(instance, othersServing int) {
	if othersServing < c.MinAvailable {
		c.recordViolation(KeepsMinAvailable, "instance %d is taken out of service while only %d others serve, and at least %d must",
			instance, othersServing, c.MinAvailable)
	}
}

// ProcessStarted checks the start of an instance's process, given how many processes of the instance run already.
func (c *RolloutChecker) ProcessStarted(instance, running int) {
	if running > 0 {
		c.recordViolation(OneProcessPerInstance, "instance %d has %d processes and another is started", instance, running)
	}
}

// StepSent checks that a majority of agents had stored a step's record when the step is sent.
func (c *RolloutChecker) StepSent(step string, recorded bool) {
	if !recorded {
		c.recordViolation(RecordedBeforeBegun, "step %s is sent although no majority has stored its record", step)
	}
}
