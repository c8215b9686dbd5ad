// Package lease implements the majority lease that decides who may change a fleet: the agent's side (Lease) and
// the requester's side (Campaign). It does no input or output and reads no clock. Callers hand in the time in
// seconds on their own clock; times of different clocks are never compared.
//
// A lease is identified by its epoch. An agent grants an epoch to one holder only and from then on denies every
// request with a lower one, so two majorities cannot grant the same epoch to two holders: the epoch is a fencing
// token. What a holder is doing is kept in a Record that it has a majority store before it acts. The next holder
// reads the record from the majority that grants its lease and so learns of every step that may have begun. An
// agent that cannot be reached may still be carrying out a step; package rollout begins nothing while that is so.
package lease
