package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/pg"
)

// Discovery goes silent with a call out, and returns just after the router has called again: what it has then binds
// within the grace, 1 s here, so the call that it will never answer, and the pause after that, have to be over by then.
func TestDiscoveryReturnIsNoticedWithinTheDrainGrace(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	a, b := newTestBackend(t, answerAs("on")), newTestBackend(t, answerAs("on"))
	list := fmt.Sprintf(`{"generation":7,"reset":true,"instances":[%s,%s]}`, listEntry(a, "a", "draining", "on"), listEntry(b, "b", "ready", "on"))
	silent, calls := make(chan time.Time, 10), 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			calls++
			go func(n int) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				if n <= 3 { // the fourth is the first after the return
					silent <- time.Now()
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
			}(calls)
		}
	}()
	r := startMore(t, map[string]any{"discovery": l.Addr().String()}, 1e9, listEntry(a, "a", "ready", "on"))
	for range 3 {
		receive(t, silent)
	}
	returned := time.Now()
	r.waitForLog(`"generation":7`)
	assert.Less(t, time.Since(returned), time.Second, "the grace")
	c := r.connect()
	for i := range 5 {
		key := fmt.Sprint("k", i)
		assert.Equal(t, "value of "+key, c.query(readStatement(key)))
	}
	assert.Empty(t, a.statements, "which drains")
}

// A list that is asked for falls silent, and the call that follows is refused by a crowded registry: what was missed is
// heard by the time at which it counts as told, and the grace. With a hold of 5 s it came too late.
func TestPolledListIsNoticedInTimeThoughTheNextPollIsRefused(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	a, b := newTestBackend(t, answerAs("on")), newTestBackend(t, answerAs("on"))
	lists := []string{
		fmt.Sprintf(`{"generation":6,"reset":true,"instances":[%s,%s]}`, listEntry(a, "a", "ready", "on"), listEntry(b, "b", "ready", "on")),
		fmt.Sprintf(`{"generation":7,"reset":true,"instances":[%s,%s]}`, listEntry(a, "a", "draining", "on"), listEntry(b, "b", "ready", "on")),
	}
	silent := make(chan float64, 1)
	go func() {
		for step := 0; ; {
			c, err := l.Accept()
			if err != nil {
				return
			}
			for r := bufio.NewReader(c); ; step++ {
				q, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				switch step {
				case 1: // the watch, which says nothing any more
					ms, _ := strconv.ParseFloat(q.URL.Query().Get("hold_ms"), 64)
					silent <- ms / 1000
				case 2:
					_, _ = fmt.Fprint(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
				case 0, 3:
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(lists[step/3]), lists[step/3])
				}
			}
		}
	}()
	s := testSettings(false)
	s["discovery"] = "ask"
	s["invariants"].(map[string]any)["askWithinNs"] = 10e9
	const grace = 0.25
	r := startMore(t, map[string]any{"discovery": l.Addr().String(), "settings": s}, grace*1e9, listEntry(a, "a", "ready", "on"))
	hold := receive(t, silent)
	began := time.Now()
	r.waitForLog(`"generation":7`)
	assert.Less(t, time.Since(began).Seconds(), math.Max(6, hold+2)+grace)
}

// A session reads while its write is at the primary, which holds its answer back, and another when the connection of its
// write has broken without one: the write may stand in the log, which the replica has not applied. Once it has, it is read again.
func TestSessionReadAvoidsAReplicaThatMayLackItsWrite(t *testing.T) {
	var applied atomic.Int64 // the replica's position, Unix milliseconds
	applied.Store(time.Now().UnixMilli())
	told := func(q, role string, at int64) []byte {
		b := answerAs(role)(q)
		was := regexp.MustCompile(`lsn_ms\x00\d+`).Find(b)
		return bytes.Replace(b, was, fmt.Appendf(nil, "lsn_ms\x00%d", at), 1)
	}
	answers := make(chan bool) // or the connection breaks
	a := newTestBackend(t, func(q string) []byte {
		if strings.HasPrefix(q, "INSERT") {
			if !<-answers {
				return nil
			}
		}
		return told(q, "off", time.Now().UnixMilli())
	})
	b := newTestBackend(t, func(q string) []byte { return told(q, "on", applied.Load()) })
	s := testSettings(false)
	s["familyInfo"].(map[string]any)["needsByClass"] = []string{"causal", "mutate"}
	r := startMore(t, map[string]any{"settings": s}, 0, listEntry(a, "a", "ready", "off"), listEntry(b, "b", "ready", "on"))
	reads, writes := r.connect(), r.connect()
	asked := func(m *testBackend, what string) {
		t.Helper()
		assert.Contains(t, receive(t, m.statements), what)
		assert.Empty(t, a.statements)
		assert.Empty(t, b.statements)
	}
	assert.Equal(t, "value of k7", reads.query(readStatement("k7")))
	asked(b, "SELECT") // it has written nothing, and the position of b is known now

	writes.send(pg.Query(nil, writeStatement("k7", 8000)))
	asked(a, "INSERT")
	assert.Equal(t, "value of k7", reads.query(readStatement("k7")))
	asked(a, "SELECT")
	assert.Equal(t, "value of other", reads.query(readStatement("other")))
	asked(b, "SELECT") // another session's

	answers <- true
	assert.Equal(t, "value of k7", writes.readReply())
	writes.send(pg.Query(nil, writeStatement("k8", 8000))) // a session that reads nothing meanwhile
	asked(a, "INSERT")
	answers <- false
	assert.Contains(t, writes.readReply(), pg.CodeFailed)
	for _, key := range []string{"k7", "k8"} {
		assert.Equal(t, "value of "+key, reads.query(readStatement(key)))
		asked(a, "SELECT")
	}

	applied.Store(time.Now().UnixMilli() + 1)
	assert.Equal(t, "value of other", reads.query(readStatement("other")))
	asked(b, "SELECT") // which tells what it holds now
	assert.Equal(t, "value of k7", reads.query(readStatement("k7")))
	asked(b, "SELECT")
}
