// Package coordinator drives a rollout on the operator's side. A Coordinator acquires the lease (package lease), carries out
// the decisions of the planner (package rollout) and exchanges the messages of package protocol with the agents. It uses no
// socket and no clock: Tick returns the calls to make, the caller passes replies and failures to HandleReply and
// HandleFailure, and times are seconds on the clock of the caller.
//
// A coordinator may stop at any point. A majority of agents stores a record of what it was doing, and another coordinator
// continues from that record. While a coordinator drives a rollout, it uses an agent's report only if the agent has granted
// the coordinator's epoch. Before that, an earlier holder could still begin a step at the agent.
package coordinator
