package frontend

import (
	"testing"

	"github.com/stretchr/testify/assert"

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
