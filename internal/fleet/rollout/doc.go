// Package rollout decides what happens next in a rollout. A Planner compares the rollout with observations of the
// fleet's instances, and their age, and decides to begin a step, to wait, or to end or pause the rollout with a reason.
// The package does no input or output and reads no clock: times are seconds on the clock of the caller. Instances,
// zones and agents are referred to by their indices.
//
// A rollout changes one instance at a time. An instance without a recent observation counts as not serving when the
// planner checks the minimum numbers of serving instances. For every other check it counts as possibly busy: no step
// begins while an instance is unknown, unless an operator has excluded the instance. If the result of a step is
// unknown, the planner finds it out before it changes another instance.
package rollout
