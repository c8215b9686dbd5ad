package frontend

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/endpoint"
	"stoatdale.example/stoatdale/internal/pg"
)

// mostReceivedInATurn runs the event loop until n commands have been received and rejected, and returns the largest number of
// commands that one turn received.
func (h *harness) mostReceivedInATurn(n int) int {
	h.t.Helper()
	most, before := 0, h.counters.Received
	h.runUntil(func() bool {
		most = max(most, int(h.counters.Received-before))
		before = h.counters.Received
		return h.counters.Rejected == uint64(n)
	})
	return most
}

// rejectedWrites returns writes of a client whose timeout is so short that they are rejected at once by a harness without a
// ready endpoint.
func rejectedWrites(client, n int) []byte {
	sent := startupThen()
	for i := range n {
		sent = append(sent, query(fmt.Sprintf("a%02x%02x", client, i), "c=order,d=1,k=5c")...)
	}
	return sent
}

// Guards against a turn that goes on until a client has no more input, because each command that is rejected at once makes
// room for the next one on its connection.
func TestTurnTakesNoMoreCommandsThanMayBeInFlight(t *testing.T) {
	const commands, inFlight = 40, 8
	h := newHarness(t, func(l *config.Limits) { l.Counts.PipelinedCommands = inFlight })
	h.publishState(endpoint.StateDraining)
	_, received := h.client(rejectedWrites(0, commands))
	assert.LessOrEqual(t, h.mostReceivedInATurn(commands), inFlight)
	h.server.Shutdown()
	assert.Equal(t, commands, strings.Count(h.readAll(received), pg.CodeTooManyConnections))
}

// Guards against a turn that takes up what all connections have waiting, however long that takes.
func TestLongTurnLeavesAnswersAndCommandsToTheNext(t *testing.T) {
	const clients, commands, inFlight = 6, 20, 2
	h := newHarness(t, func(l *config.Limits) {
		l.Counts.PipelinedCommands = inFlight
		l.Durations.LongTurn = 0 // each turn is long
	})
	h.publishState(endpoint.StateDraining)
	var all []<-chan string
	for client := range clients {
		_, received := h.client(rejectedWrites(client, commands))
		all = append(all, received)
	}
	h.runUntil(func() bool { return h.counters.ClientsAccepted == clients })
	assert.LessOrEqual(t, h.mostReceivedInATurn(clients*commands), 2*inFlight, "of one new client and one that has waited")
	h.server.Shutdown()
	for _, received := range all {
		assert.Equal(t, commands, strings.Count(h.readAll(received), pg.CodeTooManyConnections))
	}
}

// Guards against a router that hardly answers any more because handling the events of each turn takes long.
func TestAnswersAreNotHeldUpByTurnsWithManyEvents(t *testing.T) {
	const clients, mostTurns = 40, 10
	const longTurn = 5 * time.Millisecond
	h := newHarness(t, func(l *config.Limits) {
		l.Counts.ClientConnections = clients
		l.Durations.LongTurn = longTurn.Seconds()
	})
	h.publishState(endpoint.StateDraining)
	var conns []net.Conn
	for range clients {
		conn, _ := h.client(pg.AppendStartupMessage(nil))
		conns = append(conns, conn)
	}
	h.runUntil(func() bool { return h.server.silent.Len() == clients })
	for client, conn := range conns {
		_, err := conn.Write(query(fmt.Sprintf("a%02x", client), "c=order,d=1,k=5c"))
		require.NoError(t, err)
	}
	turns := 0
	require.NoError(t, h.loop.Run(func(now float64) float64 {
		turns++
		time.Sleep(2 * longTurn) // as if for the events of this turn
		h.server.ProcessPending()
		h.dispatcher.RunTurn(now)
		answered := h.counters.Rejected == clients && !h.server.HasPending()
		if answered || turns == 2*mostTurns {
			h.loop.Stop()
		}
		return now
	}))
	assert.LessOrEqual(t, turns, mostTurns)
}
