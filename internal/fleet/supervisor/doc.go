// Package supervisor holds the decisions of an agent: Supervisor decides when to start, reload and end the process of a
// router, and RequestHandler answers the requests of the operators' tools. The package does no input or output and
// reads no clock: the caller passes all times, in seconds on the agent's clock. Events are method calls that return a
// Transition: whether the caller must store the record first, and which actions it carries out after that. The caller
// reports the outcome of each action as a further event.
//
// A router is taken out of service only by a step that was stored before. A restarted agent resolves the step that was
// pending when it ended: a step that had changed nothing is not applied, a step that may have changed something is
// continued, and a router that still serves is not terminated.
package supervisor
