// Package metrics holds the router's counters and writes them to its log.
package metrics

import "slices"

// Counters are the counts of what a router has received, sent and answered since its start. Values only grow, except
// for gauges, which are filled in when a snapshot is taken. Only the event loop's goroutine may access them; other
// goroutines get copies.
type Counters struct {
	// Client connections.
	ClientsAccepted uint64
	ClientsOpen     uint64 // gauge
	ClientsShed     uint64 // closed to free file descriptors
	StalledShed     uint64 // closed to free buffers, because they did not read their answers

	// Client connections that were closed because a time limit ran out.
	MessageTimeouts    uint64 // the client did not finish a message in time
	FirstQueryTimeouts uint64 // the client sent no query after it connected
	IdleTimeouts       uint64 // the client sent nothing after an answer
	WriteStallTimeouts uint64 // the client did not read its answers

	// Commands. Received is the sum of Answered, Rejected, Failed, Abandoned and InFlight.
	Received        uint64
	ReceivedByGroup []uint64 // by index into GroupNames
	GroupNames      []string
	Answered        uint64 // answered by a backend
	AnswersDropped  uint64 // those of Answered whose client got an error, because buffers were scarce
	Rejected        uint64 // answered with a retry hint: the command did not run and can be sent again
	Failed          uint64 // answered with an error: a command that is not idempotent may have run
	Abandoned       uint64 // the client left or canceled the command before the answer
	InFlight        uint64 // gauge: commands without a final answer
	InvalidQueries  uint64 // messages that were not a valid command and were answered with an error
	// ClientsLeftUnsent counts the times that a client left or canceled while one of its commands had no attempt, or an
	// attempt whose statement was not completely written. An earlier attempt of the command may have been rejected.
	ClientsLeftUnsent uint64

	// Attempts: one command sent to one backend.
	Attempts         uint64
	AttemptsCanceled uint64
	// SendsWithoutClient counts attempts that were not sent, or not completely, because their client had left, or might have
	// left behind input that had not been read.
	SendsWithoutClient uint64
	SendsOutdated      uint64                         // reads that were not sent, or not completely, because their endpoint no longer covered them
	AttemptResults     [len(attemptResultKeys)]uint64 // by router.Result

	// Backend connections.
	BackendConnects        uint64 // connection attempts
	BackendConnectFailures uint64
	BackendConnectionsOpen uint64 // gauge
	BackendIdleClosed      uint64 // closed by the router after the idle timeout
	BackendUnsolicited     uint64 // idle connections that the backend closed or on which it sent unsolicited data
	BackendInvalidAnswers  uint64 // answers that could not be parsed
	PositionsRejected      uint64 // positions and load reports that are malformed or lie in the future
	HealthChecks           uint64
	HealthChecksFailed     uint64

	// The endpoint list.
	EndpointsKnown  uint64 // gauge: endpoints that have a row in the endpoint table
	EndpointRows    uint64 // gauge: rows of the endpoint table, including unused ones
	ListsReceived   uint64
	ListCallsFailed uint64

	// Configuration.
	Reloads            uint64
	ReloadsRejected    uint64
	SettingsMigrations uint64 // reloads that applied changed settings to new commands

	// The process.
	HeapBytes          uint64       // gauge: memory of heap objects, including those that await garbage collection
	RuntimeBytes       uint64       // gauge: memory that the Go runtime holds
	BufferBlocksInUse  uint64       // gauge
	BufferBlocks       BufferBlocks // gauge: who holds the blocks in use
	LongestTurnSeconds float64      // duration of the event loop's longest turn
}

// BufferBlocks tells which data the buffer blocks in use hold, as numbers of blocks.
type BufferBlocks struct {
	ClientInput uint64 // read from clients and not processed yet
	Statements  uint64 // statements of commands in flight
	Backends    uint64 // statements being written to backends, and answers being read from them
	HeldReplies uint64 // replies that wait for earlier replies on their client connections
	Unsent      uint64 // replies that clients have not read yet
}

// SetGroups replaces the command groups by which commands are counted. A group that keeps its name keeps its count.
func (c *Counters) SetGroups(names []string) {
	received := map[string]uint64{}
	for i, name := range c.GroupNames {
		received[name] = c.ReceivedByGroup[i]
	}
	c.GroupNames = names
	c.ReceivedByGroup = make([]uint64, len(names))
	for i, name := range names {
		c.ReceivedByGroup[i] = received[name]
	}
}

// Clone returns a copy that later changes of the counters do not affect.
func (c *Counters) Clone() Counters {
	clone := *c
	clone.ReceivedByGroup = slices.Clone(c.ReceivedByGroup)
	return clone
}
