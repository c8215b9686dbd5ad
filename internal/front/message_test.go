package front

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/site"
)

func TestWhatMembersMustNotSeeIsAnErrorOfTheFront(t *testing.T) {
	d := newHarness(t, func(*site.Limits) {})
	d.client(pg.Hello(nil), query("a1", "c=look,d=300000"))
	d.runUntil(func() bool { return d.counters.Received == 1 })
	for what, b := range map[string][]byte{
		"id in hand": query("a1", "c=look,d=300"), "no key": query("b", "c=order,d=300"), "absurd wait": query("b", "c=look,d=2000000"),
		"no id": pg.Query(nil, "SELECT 1 /* c=look,d=300,cluster=2 */"), "group": query("b", "c=gaze,d=300"),
		"set": pg.Query(nil, "SELECT 1 /* id=b,c=look,d=300,cluster=77 */"),
	} {
		_, heard := d.client(pg.Hello(nil), b, []byte("X\x00\x00\x00\x04"))
		said := d.readAll(heard)
		assert.True(t, strings.Contains(said, pg.CodeValue) || strings.Contains(said, pg.CodeSyntax), "%s: %q", what, said)
	}
	assert.EqualValues(t, 1, d.counters.Received)
	assert.EqualValues(t, 6, d.counters.InvalidQueries)
}

func TestClientThatRepeatsWhatIsNoCommandIsEnded(t *testing.T) {
	d := newHarness(t, func(l *site.Limits) { l.Counts.InvalidQueries = 3 })
	bad := query("b", "c=gaze,d=300")
	c, heard := d.client(pg.Hello(nil), bad, bad, bad, bad)
	d.runUntil(func() bool { return d.server.closing.Len() == 1 })
	go func() { _, _ = c.Write(make([]byte, 64<<20)) }() // far more than is read away
	assert.Equal(t, 3, strings.Count(d.readAll(heard), pg.CodeValue))
	d.runUntil(func() bool { return d.server.OpenConnections() == 0 })
}

func TestOneClientHasItsShareOfATurn(t *testing.T) {
	d := newHarness(t, func(l *site.Limits) { l.Counts.MessagesPerTurn = 4 })
	d.client(append(pg.Hello(nil), strings.Repeat(string(pg.Query(nil, "")), 50)...))
	d.runUntil(func() bool { return len(d.server.pending) > 0 })
	turns := 0
	d.runUntil(func() bool { turns++; return len(d.server.pending) == 0 })
	assert.Greater(t, turns, 8)
}
