package front

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/site"
)

func TestThoseThatNeverAskedMakeRoomFirst(t *testing.T) {
	d := newHarness(t, func(l *site.Limits) { l.Counts.ClientConnections = 2 })
	_, asked := d.client(pg.Hello(nil), pg.Query(nil, ""))
	d.runUntil(func() bool { return d.server.idle.Len() == 1 })
	_, silent := d.client()
	d.runUntil(func() bool { return d.server.silent.Len() == 1 })
	d.client()
	d.readAll(silent)
	assert.EqualValues(t, 1, d.counters.ClientsShed)
	assert.Empty(t, asked, "it asked, and stays")
}

func TestClientsThatAskOnceAndStayMakeRoom(t *testing.T) {
	d := newHarness(t, func(l *site.Limits) { l.Counts.IdleClients = 2 })
	_, first := d.client(pg.Hello(nil), pg.Query(nil, ""))
	d.runUntil(func() bool { return d.server.idle.Len() == 1 })
	for range 2 {
		d.client(pg.Hello(nil), pg.Query(nil, ""))
	}
	d.readAll(first)
	d.runUntil(func() bool { return d.server.idle.Len() == 2 })
	assert.EqualValues(t, 1, d.counters.ClientsShed)
}
