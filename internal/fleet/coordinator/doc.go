// Package coordinator drives a rollout on the operator's side. A Coordinator joins the lease (package lease) and the decisions
// (package rollout) to the messages of package protocol, without a socket or a clock: calls to be made come back as values,
// replies and failures are handed in, and times are seconds on the clock of the caller.
//
// A coordinator may stop at any point. What it was doing is in the record that a majority of agents stores, and another
// coordinator continues from there. What an agent reports counts only once the agent has granted the coordinator's
// epoch: only then is it certain that no earlier holder can begin anything there.
package coordinator
