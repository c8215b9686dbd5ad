package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/site"
)

func TestHalfAMessageIsAnErrorInTime(t *testing.T) {
	for what, half := range map[string][]byte{
		"start-up": pg.Hello(nil)[:20], "query": append(pg.Hello(nil), query("1", "c=look,d=300")[:30]...),
	} {
		d := newHarness(t, func(l *site.Limits) { l.Durations.FirstQueryTimeout = 0.05 })
		_, heard := d.client(half)
		assert.Contains(t, d.readAll(heard), pg.CodeProtocol, what)
		assert.EqualValues(t, 1, d.counters.MessageTimeouts, what)
	}
	d := newHarness(t, func(l *site.Limits) { l.Durations.MessageTimeout = 0.05 })
	c, heard := d.client(pg.Hello(nil), pg.Query(nil, ""))
	go func() { // drips, which renews nothing
		for _, b := range query("1", "c=look,d=300") {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	assert.Contains(t, d.readAll(heard), pg.CodeProtocol)
	assert.Zero(t, d.counters.Received)
}

func TestClientThatNeverAsksIsClosed(t *testing.T) {
	d := newHarness(t, func(l *site.Limits) { l.Durations.FirstQueryTimeout = 0.05 })
	_, nothing := d.client()
	_, hello := d.client(pg.Hello(nil))
	assert.Empty(t, d.readAll(nothing))
	assert.NotEmpty(t, d.readAll(hello), "the welcome")
	assert.EqualValues(t, 2, d.counters.FirstQueryTimeouts)
	assert.Zero(t, d.server.OpenConnections())
	assert.Zero(t, d.server.silent.Len()+d.server.idle.Len()+d.server.closing.Len())
}

// The rest of a message comes in the turn in which its time is over: it was whole in time.
func TestMessageThatLiesInTheSocketIsNotCutShort(t *testing.T) {
	d := newHarness(t, func(*site.Limits) {})
	d.startBackend(func(s *fakeBackend) { s.answer = valueRow })
	whole := query("a1", "c=look,d=300000")
	c, heard := d.client(startupThen(pg.Query(nil, ""), whole[:20]))
	var k *conn
	d.runUntil(func() bool {
		for k = range d.server.conns {
			return k.phase == phaseReadingMessage
		}
		return false
	})
	d.loop.Post(func() {
		_, err := c.Write(whole[20:])
		assert.NoError(t, err)
		k.timerExpired()
	})
	d.runUntil(d.acceptedCommands(1))
	assert.Zero(t, d.counters.MessageTimeouts)
	d.server.Shutdown()
	assert.Contains(t, d.readAll(heard), "value of a1")
}
