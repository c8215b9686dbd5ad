// Package lease implements the majority lease that decides which operator's tool may change a fleet: the agent's side
// (Lease) and the requester's side (Campaign). The package does no input or output and reads no clock. Callers pass
// the time in seconds on their own clock; times of different clocks are never compared.
//
// A lease is identified by its epoch. An agent grants an epoch to one holder only and from then on denies every
// request with a lower epoch, so two majorities cannot grant the same epoch to two holders: the epoch is a fencing
// token. Before a holder acts, a majority of agents must have stored a Record of what it is about to do. The next
// holder reads the record from the majority that grants its lease and so finds every step that may have begun. An
// agent that cannot be reached may still be executing a step; package rollout begins no other step in that case.
package lease
