package frontend

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/pg"
)

func TestInvalidQueryIsRejectedAndNotForwarded(t *testing.T) {
	h := newHarness(t, noChange)
	h.client(pg.AppendStartupMessage(nil), patientQuery("a1"))
	h.runUntil(h.acceptedCommands(1))
	for fault, message := range map[string][]byte{
		"id of a command in flight": query("a1", "c=look,d=300"),
		"no idempotency key":        query("b", "c=order,d=300"),
		"timeout beyond the limit":  query("b", "c=look,d=2000000"),
		"no id":                     pg.AppendQuery(nil, "SELECT 1 /* c=look,d=300,cluster=2 */"),
		"unknown group":             query("b", "c=gaze,d=300"),
		"unknown cluster":           pg.AppendQuery(nil, "SELECT 1 /* id=b,c=look,d=300,cluster=77 */"),
	} {
		terminate := pg.AppendMessage(nil, messageTerminate)
		_, received := h.client(pg.AppendStartupMessage(nil), message, terminate)
		reply := h.readAll(received)
		rejected := strings.Contains(reply, pg.CodeInvalidParameterValue) || strings.Contains(reply, pg.CodeSyntaxError)
		assert.True(t, rejected, "%s: %q", fault, reply)
	}
	assert.EqualValues(t, 1, h.counters.Received)
	assert.EqualValues(t, 6, h.counters.InvalidQueries)
}

func TestClientRepeatingInvalidQueriesIsClosed(t *testing.T) {
	h := newHarness(t, func(l *config.Limits) {
		l.Counts.InvalidQueries = 3
		l.Durations.CloseLinger = 0.3
	})
	invalid := query("b", "c=gaze,d=300")
	conn, received := h.client(pg.AppendStartupMessage(nil), invalid, invalid, invalid, invalid)
	h.runUntil(func() bool { return h.server.closing.Len() == 1 })
	go func() { _, _ = conn.Write(make([]byte, 64<<20)) }() // far more than the socket buffers hold; the router reads none of it
	assert.Equal(t, 4, strings.Count(h.readAll(received), pg.CodeInvalidParameterValue), "of four queries read at once")
	h.runUntil(func() bool { return h.server.OpenConnections() == 0 })
}

// Guards against commands that were read and get no answer, because the connection ends after too many invalid queries before
// them (review case 8).
func TestQueriesBehindInvalidOnesAreAnswered(t *testing.T) {
	const limit, valid = 3, 20
	h := newHarness(t, func(l *config.Limits) {
		l.Counts.InvalidQueries = limit
		l.Counts.MessagesPerTurn = 4
	})
	invalid := strings.Repeat(string(query("b", "c=gaze,d=300")), limit)
	_, received := h.client(startupThen([]byte(invalid), []byte(strings.Repeat(string(pg.AppendQuery(nil, "")), valid))))
	reply := h.readAll(received)
	assert.Equal(t, limit, strings.Count(reply, pg.CodeInvalidParameterValue))
	assert.Equal(t, valid, strings.Count(reply, string(pg.AppendEmptyQueryResponse(nil))))
}

// Guards against a sound client that is disconnected for naming a cluster of which the late endpoint list has not told yet
// (review case 8).
func TestUnknownClusterDoesNotEndTheConnection(t *testing.T) {
	const limit, unknown = 3, 40
	h := newHarness(t, func(l *config.Limits) { l.Counts.InvalidQueries = limit })
	early := strings.Repeat(string(pg.AppendQuery(nil, "SELECT 1 /* id=b,c=look,d=300,cluster=77 */")), unknown)
	conn, received := h.client(startupThen([]byte(early)))
	h.runUntil(func() bool { return h.counters.InvalidQueries == unknown })
	_, err := conn.Write(append(pg.AppendQuery(nil, ""), pg.AppendMessage(nil, messageTerminate)...))
	require.NoError(t, err)
	reply := h.readAll(received)
	assert.Equal(t, unknown, strings.Count(reply, pg.CodeInvalidParameterValue))
	assert.Equal(t, 1, strings.Count(reply, string(pg.AppendEmptyQueryResponse(nil))))
}

func TestMessagesOfOneClientPerTurnAreLimited(t *testing.T) {
	h := newHarness(t, func(l *config.Limits) { l.Counts.MessagesPerTurn = 4 })
	h.client(append(pg.AppendStartupMessage(nil), strings.Repeat(string(pg.AppendQuery(nil, "")), 50)...))
	h.runUntil(func() bool { return len(h.server.pending) > 0 })
	turns := 0
	h.runUntil(func() bool {
		turns++
		return len(h.server.pending) == 0
	})
	assert.Greater(t, turns, 8)
}
