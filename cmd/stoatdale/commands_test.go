package main

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"stoatdale.example/stoatdale/internal/pg"
)

func TestCommandIsAnsweredWithTheBackendsValue(t *testing.T) {
	b := newTestBackend(t, answerAs("on"))
	r := startRouter(t, listEntry(b, "b", "ready", "on"))
	c := r.connect()
	assert.Equal(t, "value of k1", c.query(readStatement("k1")))
	got := receive(t, b.statements)
	wait := regexp.MustCompile(`d=(\d+)`)
	assert.Equal(t, wait.ReplaceAllString(readStatement("k1"), "d="), wait.ReplaceAllString(got, "d="), "but for d, byte for byte")
	big := strings.Repeat("z", 40000)
	assert.Equal(t, "value of "+big, c.query(readStatement(big)), "what is longer than a buffer chains")
	n := r.counters()
	assert.EqualValues(t, 2, n["received"])
	assert.EqualValues(t, 2, n["answered"])
	assert.EqualValues(t, 2, n["attempts"])
	assert.EqualValues(t, 2, n["received_by_group"].(map[string]any)["look"])
	assert.EqualValues(t, 1, n["clients_open"])
	assert.Zero(t, n["in_flight"])
}

func TestPipelinedAnswersKeepTheOrderOfTheirCommands(t *testing.T) {
	first := make(chan struct{})
	b := newTestBackend(t, func(q string) []byte {
		if strings.Contains(q, "slow") {
			<-first
		}
		return answerAs("on")(q)
	})
	r := startRouter(t, listEntry(b, "b", "ready", "on"))
	c := r.connect()
	all := pg.AppendQuery(pg.AppendQuery(pg.AppendQuery(nil, readStatement("slow")), ""), readStatement("quick"))
	for i := range all {
		c.send(all[i : i+1])
	}
	r.waitForCounter("attempts", 2) // both are in flight at once
	close(first)
	assert.Equal(t, "value of slow", c.readReply())
	assert.Equal(t, "EMPTY", c.readReply())
	assert.Equal(t, "value of quick", c.readReply())
}

func TestWriteRejectedByAReplicaIsRetriedAtThePrimary(t *testing.T) {
	rejectWrite := func(string) []byte {
		return pg.AppendReadyForQuery(pg.AppendParameterStatus(pg.AppendErrorResponse(nil, false, pg.CodeReadOnlyTransaction, "read only", ""), "recovery", "on"))
	}
	a, b := newTestBackend(t, rejectWrite), newTestBackend(t, answerAs("off"))
	r := startRouter(t, listEntry(a, "a", "ready", "off"), listEntry(b, "b", "ready", "on"))
	assert.Equal(t, "value of w", r.connect().query(writeStatement("w", 6000)))
	assert.Len(t, a.statements, 1)
	assert.Len(t, b.statements, 1)
}

func TestWriteThatMayHaveRunIsNotRetried(t *testing.T) {
	a, b := newTestBackend(t, func(string) []byte { return nil }), newTestBackend(t, answerAs("on"))
	r := startRouter(t, listEntry(a, "a", "ready", "off"), listEntry(b, "b", "ready", "on"))
	assert.Equal(t, pg.CodeSystemError, r.connect().query(writeStatement("w", 6000)), "failed, and not rejected")
	assert.Len(t, a.statements, 1)
	assert.Empty(t, b.statements)
	assert.EqualValues(t, 1, r.counters()["attempt_results"].(map[string]any)["connection_lost"])
}

func TestWriteIsRetriedAfterAConnectFailure(t *testing.T) {
	b := newTestBackend(t, answerAs("off"))
	r := startRouter(t, strings.Replace(listEntry(b, "a", "ready", "off"), b.address, "127.0.0.1:1", 1), listEntry(b, "b", "ready", "on"))
	assert.Equal(t, "value of w", r.connect().query(writeStatement("w", 6000)), "so it may go to another")
}

func TestTimeoutFailsTheCommand(t *testing.T) {
	hang := make(chan struct{})
	defer close(hang)
	a := newTestBackend(t, func(string) []byte { <-hang; return nil })
	r := startRouter(t, listEntry(a, "a", "ready", "off"))
	began := time.Now()
	assert.Equal(t, pg.CodeSystemError, r.connect().query(writeStatement("w", 300)))
	assert.GreaterOrEqual(t, time.Since(began), 250*time.Millisecond)
	assert.EqualValues(t, 1, r.counters()["attempt_results"].(map[string]any)["timed_out"])
}

func TestClientDisconnectCancelsItsAttempt(t *testing.T) {
	hang := make(chan struct{})
	defer close(hang)
	b := newTestBackend(t, func(q string) []byte {
		if strings.Contains(q, "'gone'") {
			<-hang
		}
		return answerAs("on")(q)
	})
	r := startRouter(t, listEntry(b, "b", "ready", "on"))
	c := r.connect()
	c.send(pg.AppendQuery(nil, readStatement("gone")))
	receive(t, b.statements)
	_ = c.Close()
	r.waitForCounter("abandoned", 1)
	assert.EqualValues(t, 1, r.counters()["attempts_canceled"])
	assert.Equal(t, "value of k", r.connect().query(readStatement("k")))
}

func TestBackendConnectionIsReused(t *testing.T) {
	b := newTestBackend(t, answerAs("on"))
	r := startRouter(t, listEntry(b, "b", "ready", "on"))
	c := r.connect()
	for range 5 {
		assert.Equal(t, "value of k", c.query(readStatement("k")))
		time.Sleep(20 * time.Millisecond) // longer than the reuse delay
	}
	assert.EqualValues(t, 1, r.counters()["backend_connects"])
	assert.Empty(t, b.closed)
}

func TestHealthChecksReadLoadReports(t *testing.T) {
	b := newTestBackend(t, answerAs("on"))
	r := startRouterWith(t, routerOptions{settings: testSettings(true)}, listEntry(b, "b", "ready", "on"))
	const queries = 40 // as many as it takes for the backend to be checked while its position is needed
	c := r.connect()
	for range queries {
		assert.Equal(t, "value of k", c.query(readStatement("k")))
	}
	r.waitForCounter("health_checks", 1)
	assert.Equal(t, "value of k", r.connect().query(readStatement("k")))
	assert.Zero(t, r.counters()["health_checks_failed"])
	assert.Len(t, b.statements, queries+1, "no statement but the client's and SHOW health")
}

// A session reads while its write is at the primary, which holds its answer back, and another when the
// connection of its write has broken without one: the write may stand in the log, which the replica has not applied.
// Once it has, the replica is read again.
func TestSessionReadAvoidsAReplicaThatMayLackItsWrite(t *testing.T) {
	var applied atomic.Int64 // the replica's position, Unix milliseconds
	applied.Store(time.Now().UnixMilli())
	positionOf := regexp.MustCompile(`lsn_ms\x00\d+`)
	answerAt := func(statement, recovery string, position int64) []byte {
		answer := answerAs(recovery)(statement)
		return bytes.Replace(answer, positionOf.Find(answer), fmt.Appendf(nil, "lsn_ms\x00%d", position), 1)
	}
	writeSucceeds := make(chan bool) // otherwise its connection breaks
	a := newTestBackend(t, func(q string) []byte {
		if strings.HasPrefix(q, "INSERT") {
			if !<-writeSucceeds {
				return nil
			}
		}
		return answerAt(q, "off", time.Now().UnixMilli())
	})
	b := newTestBackend(t, func(q string) []byte { return answerAt(q, "on", applied.Load()) })
	settings := testSettings(false)
	settings["familyInfo"].(map[string]any)["needsByClass"] = []string{"causal", "mutate"}
	r := startRouterWith(t, routerOptions{settings: settings},
		listEntry(a, "a", "ready", "off"), listEntry(b, "b", "ready", "on"))
	reads, writes := r.connect(), r.connect()
	servedBy := func(m *testBackend, what string) {
		t.Helper()
		assert.Contains(t, receive(t, m.statements), what)
		assert.Empty(t, a.statements)
		assert.Empty(t, b.statements)
	}
	assert.Equal(t, "value of k7", reads.query(readStatement("k7")))
	servedBy(b, "SELECT") // it has written nothing, and the position of b is known now

	writes.send(pg.AppendQuery(nil, writeStatement("k7", 8000)))
	servedBy(a, "INSERT")
	assert.Equal(t, "value of k7", reads.query(readStatement("k7")))
	servedBy(a, "SELECT")
	assert.Equal(t, "value of other", reads.query(readStatement("other")))
	servedBy(b, "SELECT") // another session's

	writeSucceeds <- true
	assert.Equal(t, "value of k7", writes.readReply())
	writes.send(pg.AppendQuery(nil, writeStatement("k8", 8000))) // a session that reads nothing meanwhile
	servedBy(a, "INSERT")
	writeSucceeds <- false
	assert.Contains(t, writes.readReply(), pg.CodeSystemError)
	for _, key := range []string{"k7", "k8"} {
		assert.Equal(t, "value of "+key, reads.query(readStatement(key)))
		servedBy(a, "SELECT")
	}

	applied.Store(time.Now().UnixMilli() + 1)
	assert.Equal(t, "value of other", reads.query(readStatement("other")))
	servedBy(b, "SELECT") // whose answer carries its position
	assert.Equal(t, "value of k7", reads.query(readStatement("k7")))
	servedBy(b, "SELECT")
}
