package metrics

import (
	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/router"
)

// attemptResultKeys are the log keys of the entries of AttemptResults.
var attemptResultKeys = [...]string{
	router.Answered:       "answered",
	router.Errored:        "errored",
	router.Overloaded:     "overloaded",
	router.TimedOut:       "timed_out",
	router.ConnectFailed:  "connect_failed",
	router.ConnectionLost: "connection_lost",
	router.Canceled:       "canceled",
	router.NeverSent:      "never_sent",
	router.NotServed:      "not_served",
}

const millisecondsPerSecond = 1000

// MarshalZerologObject adds the counters to a log line. The keys answered, throttled, failed and bad_input must not be
// renamed: the fleet's agents, which may run another release than the router, read them.
func (c *Counters) MarshalZerologObject(line *zerolog.Event) {
	c.logClients(line)
	c.logCommands(line)
	c.logAttempts(line)
	c.logBackends(line)
	c.logEndpointList(line)
	c.logProcess(line)
}

func (c *Counters) logClients(line *zerolog.Event) {
	line.Uint64("clients_accepted", c.ClientsAccepted)
	line.Uint64("clients_open", c.ClientsOpen)
	line.Uint64("clients_shed", c.ClientsShed)
	line.Uint64("stalled_clients_shed", c.StalledShed)
	line.Uint64("message_timeouts", c.MessageTimeouts)
	line.Uint64("first_query_timeouts", c.FirstQueryTimeouts)
	line.Uint64("idle_timeouts", c.IdleTimeouts)
	line.Uint64("write_stall_timeouts", c.WriteStallTimeouts)
}

func (c *Counters) logCommands(line *zerolog.Event) {
	byGroup := zerolog.Dict()
	for group, received := range c.ReceivedByGroup {
		byGroup.Uint64(c.GroupNames[group], received)
	}
	line.Uint64("received", c.Received)
	line.Dict("received_by_group", byGroup)
	line.Uint64("answered", c.Answered)
	line.Uint64("answers_dropped", c.AnswersDropped)
	line.Uint64("throttled", c.Rejected)
	line.Uint64("failed", c.Failed)
	line.Uint64("abandoned", c.Abandoned)
	line.Uint64("in_flight", c.InFlight)
	line.Uint64("bad_input", c.InvalidQueries)
	line.Uint64("clients_left_unsent", c.ClientsLeftUnsent)
}

func (c *Counters) logAttempts(line *zerolog.Event) {
	results := zerolog.Dict()
	for result, attempts := range c.AttemptResults {
		results.Uint64(attemptResultKeys[result], attempts)
	}
	line.Uint64("attempts", c.Attempts)
	line.Uint64("attempts_canceled", c.AttemptsCanceled)
	line.Uint64("sends_outdated", c.SendsOutdated)
	line.Uint64("sends_without_client", c.SendsWithoutClient)
	line.Dict("attempt_results", results)
}

func (c *Counters) logBackends(line *zerolog.Event) {
	line.Uint64("backend_connects", c.BackendConnects)
	line.Uint64("backend_connect_failures", c.BackendConnectFailures)
	line.Uint64("backend_connections_open", c.BackendConnectionsOpen)
	line.Uint64("backend_idle_closed", c.BackendIdleClosed)
	line.Uint64("backend_unsolicited", c.BackendUnsolicited)
	line.Uint64("backend_invalid_answers", c.BackendInvalidAnswers)
	line.Uint64("positions_rejected", c.PositionsRejected)
	line.Uint64("health_checks", c.HealthChecks)
	line.Uint64("health_checks_failed", c.HealthChecksFailed)
}

func (c *Counters) logEndpointList(line *zerolog.Event) {
	line.Uint64("endpoints_known", c.EndpointsKnown)
	line.Uint64("endpoint_rows", c.EndpointRows)
	line.Uint64("lists_received", c.ListsReceived)
	line.Uint64("list_calls_failed", c.ListCallsFailed)
}

func (c *Counters) logProcess(line *zerolog.Event) {
	line.Uint64("reloads", c.Reloads)
	line.Uint64("reloads_rejected", c.ReloadsRejected)
	line.Uint64("settings_migrations", c.SettingsMigrations)
	line.Uint64("heap_bytes", c.HeapBytes)
	line.Uint64("runtime_bytes", c.RuntimeBytes)
	line.Uint64("buffer_blocks_in_use", c.BufferBlocksInUse)
	line.Uint64("blocks_client_input", c.BufferBlocks.ClientInput)
	line.Uint64("blocks_statements", c.BufferBlocks.Statements)
	line.Uint64("blocks_backends", c.BufferBlocks.Backends)
	line.Uint64("blocks_held_replies", c.BufferBlocks.HeldReplies)
	line.Uint64("blocks_unsent", c.BufferBlocks.Unsent)
	line.Float64("longest_turn_ms", c.LongestTurnSeconds*millisecondsPerSecond)
}
