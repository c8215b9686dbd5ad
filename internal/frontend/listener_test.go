package frontend

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/pg"
)

func TestSilentClientIsShedBeforeAnIdleOne(t *testing.T) {
	h := newHarness(t, func(l *config.Limits) { l.Counts.ClientConnections = 2 })
	_, idle := h.client(pg.AppendStartupMessage(nil), pg.AppendQuery(nil, ""))
	h.runUntil(func() bool { return h.server.idle.Len() == 1 })
	_, silent := h.client()
	h.runUntil(func() bool { return h.server.silent.Len() == 1 })
	h.client()
	h.readAll(silent)
	assert.EqualValues(t, 1, h.counters.ClientsShed)
	assert.Empty(t, idle, "the client that sent a query stays connected")
}

func TestOldestIdleClientIsShedAboveTheLimit(t *testing.T) {
	h := newHarness(t, func(l *config.Limits) { l.Counts.IdleClients = 2 })
	_, first := h.client(pg.AppendStartupMessage(nil), pg.AppendQuery(nil, ""))
	h.runUntil(func() bool { return h.server.idle.Len() == 1 })
	for range 2 {
		h.client(pg.AppendStartupMessage(nil), pg.AppendQuery(nil, ""))
	}
	h.readAll(first)
	h.runUntil(func() bool { return h.server.idle.Len() == 2 })
	assert.EqualValues(t, 1, h.counters.ClientsShed)
}

// Guards against sound clients that cannot send their first query at the limit of connections, since the router closes them
// before the answer to their start-up has reached them.
func TestNewClientHasTimeForItsFirstQuery(t *testing.T) {
	const grace, untilQuery = 0.2, 0.05
	for name, startup := range map[string][]byte{"silent": nil, "started": pg.AppendStartupMessage(nil)} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(l *config.Limits) {
				l.Counts.ClientConnections = 1
				l.Durations.ShedGrace = grace / 100
				l.Durations.FirstQueryShedGrace = grace
			})
			conn, received := h.client(startup)
			h.runUntil(func() bool { return h.server.silent.Len() == 1 })
			h.client(startupThen(pg.AppendQuery(nil, "")))
			start := h.loop.Now()
			h.runUntil(func() bool { return h.loop.Now() > start+untilQuery })
			rest := pg.AppendQuery(nil, "")
			if startup == nil {
				rest = startupThen(rest)
			}
			_, err := conn.Write(rest)
			require.NoError(t, err)
			assert.Contains(t, h.readAll(received), string(pg.AppendEmptyQueryResponse(nil)), "the client with time")
			assert.EqualValues(t, 2, h.counters.ClientsAccepted, "the client that waits")
		})
	}
}

// A client that sends no query gives way to one that waits, after its grace period.
func TestClientWithoutQueryIsShedAfterItsGrace(t *testing.T) {
	const grace = 0.05
	h := newHarness(t, func(l *config.Limits) {
		l.Counts.ClientConnections = 1
		l.Durations.ShedGrace = grace / 100
		l.Durations.FirstQueryShedGrace = grace
	})
	_, received := h.client(pg.AppendStartupMessage(nil))
	h.runUntil(func() bool { return h.server.silent.Len() == 1 })
	start := h.loop.Now()
	h.client(startupThen(pg.AppendQuery(nil, "")))
	h.readAll(received)
	assert.GreaterOrEqual(t, h.loop.Now()-start, grace/2)
	assert.EqualValues(t, 1, h.counters.ClientsShed)
}
