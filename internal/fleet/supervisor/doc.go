// Package supervisor decides for an agent: what it does with the processes of its routers (Supervisor) and how it answers
// the operators' tools (RequestHandler). It does no input or output and reads no clock: times are seconds on the
// clock of the agent. Every event returns a Transition: what must be stored first, and which actions to carry out
// then. The outcome of an action is handed in as the next event.
//
// A router is taken out of service only by a step that was stored before. An agent that starts again resolves the
// step that it had begun: a step that had changed nothing is not applied, one that may have is continued, and a
// router that turns out to serve is left alone.
package supervisor
