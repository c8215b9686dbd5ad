package main

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDrainingBackendReceivesNoNewCommands(t *testing.T) {
	a, b := newTestBackend(t, answerAs("on")), newTestBackend(t, answerAs("on"))
	r := startRouter(t, listEntry(a, "a", "ready", "on"))
	client := r.connect()
	assert.Equal(t, "value of k", client.query(readStatement("k")))
	r.discovery.publish(listEntry(a, "a", "draining", "on") + "," + listEntry(b, "b", "ready", "on"))
	r.waitForLog(`"generation":2`)
	for range 10 {
		assert.Equal(t, "value of k", client.query(readStatement("k")))
	}
	assert.Len(t, a.statements, 1)
	assert.Len(t, b.statements, 10)
}

func TestSilentDiscoveryKeepsTheLastList(t *testing.T) {
	b := newTestBackend(t, answerAs("on"))
	r := startRouter(t, listEntry(b, "b", "ready", "on"))
	r.discovery.silence()
	assert.Equal(t, "value of k", r.connect().query(readStatement("k")))
}

// Discovery goes silent with a call in flight and returns just after the router has called again. A list that it holds
// from then on must take effect within the drain grace, here 1 s. So the timeout of the call that is never answered and
// the backoff after it must both end within the grace.
func TestDiscoveryReturnIsNoticedWithinTheDrainGrace(t *testing.T) {
	const silentCalls = 3
	a, b := newTestBackend(t, answerAs("on")), newTestBackend(t, answerAs("on"))
	calls := make(chan time.Time, silentCalls)
	silent := func(io.Writer, *http.Request) { calls <- time.Now() }
	returned := answerList(7, listEntry(a, "a", "draining", "on"), listEntry(b, "b", "ready", "on"))
	address := newScriptedDiscovery(t, silent, silent, silent, returned)
	r := startRouterWith(t, routerOptions{discovery: address, drainGrace: time.Second},
		listEntry(a, "a", "ready", "on"))
	for range silentCalls {
		receive(t, calls)
	}
	returnedAt := time.Now()
	r.waitForLog(`"generation":7`)
	assert.Less(t, time.Since(returnedAt), time.Second, "the list takes effect within the drain grace")
	client := r.connect()
	for i := range 5 {
		key := fmt.Sprint("k", i)
		assert.Equal(t, "value of "+key, client.query(readStatement(key)))
	}
	assert.Empty(t, a.statements, "the backend drains")
}

// A poll is never answered, and an overloaded discovery service refuses the polls after it. The router must notice a
// change in between by the time at which the change counts as notified, plus the drain grace. When the hold was 5 s, one
// refused poll made the router late; when it was 3 s, two did.
func TestPolledListIsNoticedInTimeThoughTheNextPollsAreRefused(t *testing.T) {
	t.Parallel()
	for refusals := 1; refusals <= 2; refusals++ {
		t.Run(fmt.Sprint(refusals, " refused"), func(t *testing.T) {
			t.Parallel()
			const grace = 250 * time.Millisecond
			a, b := newTestBackend(t, answerAs("on")), newTestBackend(t, answerAs("on"))
			holds := make(chan float64, 1) // seconds
			silent := func(_ io.Writer, request *http.Request) {
				milliseconds, _ := strconv.ParseFloat(request.URL.Query().Get("hold_ms"), 64)
				holds <- milliseconds / 1000
			}
			steps := []discoveryStep{answerList(6, listEntry(a, "a", "ready", "on"), listEntry(b, "b", "ready", "on")), silent}
			for range refusals {
				steps = append(steps, refuseCall)
			}
			steps = append(steps, answerList(7, listEntry(a, "a", "draining", "on"), listEntry(b, "b", "ready", "on")))
			settings := testSettings(false)
			settings["discovery"] = "ask"
			settings["invariants"].(map[string]any)["askWithinNs"] = 10e9
			options := routerOptions{
				discovery: newScriptedDiscovery(t, steps...), settings: settings, drainGrace: grace,
				seed: "260000001f", // with this seed the random backoffs have about their mean length
			}
			r := startRouterWith(t, options, listEntry(a, "a", "ready", "on"))
			hold := receive(t, holds)
			began := time.Now()
			r.waitForLog(`"generation":7`)
			assert.Less(t, time.Since(began).Seconds(), math.Max(6, hold+2)+grace.Seconds())
		})
	}
}

// refuseCall answers like a discovery service whose queue is full.
func refuseCall(w io.Writer, _ *http.Request) {
	_, _ = fmt.Fprint(w, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
}

// A discovery service that many routers poll is overloaded: each complete list fills its queue, so it refuses the poll
// after that list and the calls that follow. A router that requests another complete list after a refusal never gets a
// poll through and notices a change too late. A router that polls again from its last generation notices it immediately.
func TestChangeIsNoticedInTimeThoughCompleteListsCrowdDiscovery(t *testing.T) {
	t.Parallel()
	const grace = 250 * time.Millisecond
	a, b := newTestBackend(t, answerAs("on")), newTestBackend(t, answerAs("on"))
	crowded := &crowdedDiscovery{
		refusedAfterList: []int{2, 5},
		listed:           answerList(6, listEntry(a, "a", "ready", "on"), listEntry(b, "b", "ready", "on")),
		changed:          answerList(7, listEntry(a, "a", "draining", "on"), listEntry(b, "b", "ready", "on")),
		admitted:         make(chan time.Time, 1),
	}
	steps := make([]discoveryStep, 100)
	for i := range steps {
		steps[i] = crowded.serve
	}
	settings := testSettings(false)
	settings["discovery"] = "ask"
	settings["invariants"].(map[string]any)["askWithinNs"] = 10e9
	options := routerOptions{discovery: newScriptedDiscovery(t, steps...), settings: settings, drainGrace: grace}
	r := startRouterWith(t, options, listEntry(a, "a", "ready", "on"))
	changedAt := receive(t, crowded.admitted)
	r.waitForLog(`"generation":7`)
	assert.Less(t, time.Since(changedAt).Seconds(), 6+grace.Seconds())
}

// crowdedDiscovery is a discovery service that refuses a number of calls after each complete list, since the list fills
// its queue. Its endpoint list changes when it admits the second call.
type crowdedDiscovery struct {
	mu               sync.Mutex
	refusedAfterList []int // number of calls refused after each complete list; the last number is repeated
	refusing         int   // number of calls that are still to be refused
	calls            int   // number of calls that were not refused
	listed, changed  discoveryStep
	admitted         chan time.Time // receives the time of the second call that was not refused
}

func (d *crowdedDiscovery) serve(w io.Writer, request *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusing > 0 {
		d.refusing--
		refuseCall(w, request)
		return
	}
	d.calls++
	if d.calls == 2 {
		d.admitted <- time.Now()
	}
	poll := request.URL.Query().Has("from")
	if !poll {
		d.refusing = d.refusedAfterList[min(d.calls, len(d.refusedAfterList))-1]
	}
	if poll || d.calls > 2 {
		d.changed(w, request)
		return
	}
	d.listed(w, request)
}
