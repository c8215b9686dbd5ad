package frontend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/pg"
)

func TestIncompleteMessageTimesOutWithAnError(t *testing.T) {
	for message, half := range map[string][]byte{
		"start-up": pg.AppendStartupMessage(nil)[:20],
		"query":    append(pg.AppendStartupMessage(nil), query("1", "c=look,d=300")[:30]...),
	} {
		h := newHarness(t, func(l *config.Limits) { l.Durations.FirstQueryTimeout = 0.05 })
		_, received := h.client(half)
		assert.Contains(t, h.readAll(received), pg.CodeProtocolViolation, message)
		assert.EqualValues(t, 1, h.counters.MessageTimeouts, message)
	}
	h := newHarness(t, func(l *config.Limits) { l.Durations.MessageTimeout = 0.05 })
	conn, received := h.client(pg.AppendStartupMessage(nil), pg.AppendQuery(nil, ""))
	go func() { // single bytes do not renew the timeout
		for _, b := range query("1", "c=look,d=300") {
			if _, err := conn.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	assert.Contains(t, h.readAll(received), pg.CodeProtocolViolation)
	assert.Zero(t, h.counters.Received)
}

func TestClientWithoutQueryTimesOut(t *testing.T) {
	h := newHarness(t, func(l *config.Limits) { l.Durations.FirstQueryTimeout = 0.05 })
	_, notStarted := h.client()
	_, startedUp := h.client(pg.AppendStartupMessage(nil))
	assert.Empty(t, h.readAll(notStarted))
	assert.NotEmpty(t, h.readAll(startedUp), "the reply to the start-up packet")
	assert.EqualValues(t, 2, h.counters.FirstQueryTimeouts)
	assert.Zero(t, h.server.OpenConnections())
	assert.Zero(t, h.server.silent.Len()+h.server.idle.Len()+h.server.closing.Len())
}

// The rest of a message arrives in the turn in which its timeout expires. The message was complete in time.
func TestMessageInTheSocketDoesNotTimeOut(t *testing.T) {
	h := newHarness(t, noChange)
	h.startBackend(func(b *fakeBackend) { b.answer = valueRow })
	message := patientQuery("a1")
	client, received := h.client(startupThen(pg.AppendQuery(nil, ""), message[:20]))
	var accepted *conn
	h.runUntil(func() bool {
		for accepted = range h.server.conns {
			return accepted.phase == phaseReadingMessage
		}
		return false
	})
	h.loop.Post(func() {
		_, err := client.Write(message[20:])
		require.NoError(t, err)
		accepted.timerExpired()
	})
	h.runUntil(h.acceptedCommands(1))
	assert.Zero(t, h.counters.MessageTimeouts)
	h.server.Shutdown()
	assert.Contains(t, h.readAll(received), "value of a1")
}

// A client stops in the middle of a message while its previous command is in flight. The timeout of the message runs in
// that time too, so the error follows right after the answer.
func TestIncompleteMessageBehindACommandInFlightTimesOutInItsTime(t *testing.T) {
	h := newHarness(t, func(l *config.Limits) { l.Durations.MessageTimeout = 0.3 })
	release := make(chan struct{})
	backend := h.startBackend(func(b *fakeBackend) { b.answer = valueRowAfter(release) })
	_, received := h.client(startupThen(patientQuery("a1"), patientQuery("a2")[:20]))
	h.runUntil(backend.hasReceived(1))
	sentAt := h.loop.Now()
	h.runUntil(func() bool { return h.loop.Now() > sentAt+0.25 })
	close(release)
	got := h.readAll(received)
	assert.Less(t, h.loop.Now(), sentAt+0.5, "the timeout did not start over with the answer")
	assert.Contains(t, got, "value of a1")
	assert.Contains(t, got, pg.CodeProtocolViolation)
}
