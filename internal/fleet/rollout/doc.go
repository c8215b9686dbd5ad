// Package rollout decides what happens next in a rollout. From observations of the fleet's instances, with their age,
// and from what is wanted, a Planner derives the next step, a wait, or an end with its reason. The package does no
// input or output and reads no clock: times are seconds on the clock of the caller. Instances, zones and agents
// are referred to by their indices.
//
// A rollout changes one instance at a time. An instance that is not known counts as not serving where minimums of
// serving instances are checked, and as possibly busy for everything else: nothing begins while an instance is
// unknown, unless an operator has excluded it. A step whose result is not known is resolved before another
// instance is touched.
package rollout
