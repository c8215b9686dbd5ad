package frontend

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

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
	assert.Equal(t, 3, strings.Count(h.readAll(received), pg.CodeInvalidParameterValue))
	h.runUntil(func() bool { return h.server.OpenConnections() == 0 })
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
