// Package metrics holds the router's counters and writes them to its log.
package metrics

import "slices"

// Counters is what a router has received, sent and answered since its start. Values only grow, except for those marked
// as gauges, which are filled in when a snapshot is taken. The event loop's goroutine owns them; others get copies.
type Counters struct {
	// Client connections.
	ClientsAccepted uint64
	ClientsOpen     uint64 // gauge
	ClientsShed     uint64 // closed to free file descriptors

	// Client connections that were closed because a time limit ran out.
	MessageTimeouts    uint64 // did not finish a message in time
	FirstQueryTimeouts uint64 // sent nothing after they connected
	IdleTimeouts       uint64 // sent nothing after an answer
	WriteStallTimeouts uint64 // did not read their answers

	// Commands. Received is the sum of Answered, Rejected, Failed, Abandoned and InFlight.
	Received          uint64
	ReceivedByGroup   []uint64 // by index into GroupNames
	GroupNames        []string
	Answered          uint64 // with a backend's answer
	Rejected          uint64 // with Retry-After: not run, safe to repeat
	Failed            uint64 // with an error: a command that is not idempotent may have run
	Abandoned         uint64 // the client left before the answer
	InFlight          uint64 // gauge: commands without a final answer
	InvalidQueries    uint64 // messages that were not a command and were answered with an error
	ClientsLeftUnsent uint64 // clients that left with a command that had not been sent to any backend

	// Attempts: one command sent to one backend.
	Attempts         uint64
	AttemptsCanceled uint64
	AttemptResults   [len(attemptResultKeys)]uint64 // by router.Result

	// Backend connections.
	BackendConnects        uint64 // connections begun
	BackendConnectFailures uint64
	BackendConnectionsOpen uint64 // gauge
	BackendIdleClosed      uint64 // closed by the router after their idle time
	BackendUnsolicited     uint64 // idle connections that the backend closed, or on which it sent data that nobody asked for
	BackendInvalidAnswers  uint64 // answers that could not be read
	PositionsRejected      uint64 // positions and load reports that are malformed or lie in the future
	HealthChecks           uint64
	HealthChecksFailed     uint64

	// The endpoint list.
	EndpointsKnown  uint64 // gauge: endpoints that have a row
	EndpointRows    uint64 // gauge: rows for endpoints, unused ones included
	ListsReceived   uint64
	ListCallsFailed uint64

	// Configuration.
	Reloads            uint64
	ReloadsRejected    uint64
	SettingsMigrations uint64 // reloads after which commands are routed by changed settings

	// The process.
	BufferBlocksInUse  uint64  // gauge
	LongestTurnSeconds float64 // the event loop's longest turn
}

// SetGroups has commands be counted under the groups of other settings. A group of the same name keeps its count.
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

// Clone returns a copy that shares nothing with the counters that changes.
func (c *Counters) Clone() Counters {
	clone := *c
	clone.ReceivedByGroup = slices.Clone(c.ReceivedByGroup)
	return clone
}
