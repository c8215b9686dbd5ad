package main

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"stoatdale.example/stoatdale/internal/pg"
)

// Figures of a deployment whose endpoints have a known capacity.
const (
	slowStartFloor  = 0.2
	slowStartRamp   = 4 * time.Second
	overloadFactor  = 2.0
	overloadWindow  = time.Second
	workPerCommand  = 20 * time.Millisecond
	backendCores    = 2
	backendCapacity = float64(backendCores) / 0.02 // commands a second
	backendQueue    = 4                            // beyond it a command is turned away
)

// limitedBackend answers as a replica does, with a capacity of its own, and turns away what its queue cannot hold.
type limitedBackend struct {
	*testBackend
	cores chan struct{}

	mu       sync.Mutex
	queued   int
	arrivals []time.Time
}

func newLimitedBackend(t *testing.T) *limitedBackend {
	t.Helper()
	b := &limitedBackend{cores: make(chan struct{}, backendCores)}
	b.testBackend = newTestBackend(t, b.work)
	go func() {
		for range b.statements { // they are not looked at
		}
	}()
	return b
}

func (b *limitedBackend) work(statement string) []byte {
	if !b.enqueue() {
		return pg.AppendReadyForQuery(pg.AppendErrorResponse(nil, false, pg.CodeTooManyConnections, "full", ""))
	}
	b.cores <- struct{}{}
	time.Sleep(workPerCommand)
	<-b.cores
	b.mu.Lock()
	b.queued--
	b.mu.Unlock()
	return answerAs("on")(statement)
}

// enqueue notes an arrival, and reports whether the queue holds it.
func (b *limitedBackend) enqueue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, time.Now())
	if b.queued >= backendQueue {
		return false
	}
	b.queued++
	return true
}

// worstWindow returns the arrivals of the window that went furthest over its bound, and that bound: N, what the settings
// allow an endpoint of this age in the window, and the slack beside it.
func (b *limitedBackend) worstWindow(startedAt time.Time) (arrivals int, bound float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	worst := math.Inf(-1)
	first := 0
	for i, at := range b.arrivals {
		for at.Sub(b.arrivals[first]) > overloadWindow {
			first++
		}
		age := min(1, max(0, at.Sub(startedAt).Seconds()/slowStartRamp.Seconds()))
		share := slowStartFloor + (1-slowStartFloor)*age
		allowed := slowStartBound(overloadFactor * share * backendCapacity * overloadWindow.Seconds())
		if over := float64(i-first+1) - allowed; over > worst {
			worst, arrivals, bound = over, i-first+1, allowed
		}
	}
	return arrivals, bound
}

// slowStartBound is how many commands bring an endpoint down that is allowed so many in a window.
func slowStartBound(allowed float64) float64 {
	const few = 30
	if allowed < few {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// An endpoint joins cold while the warm ones are sent several times what they can do. Whatever the number of routers,
// all of them together keep to its budget in every window.
func TestSlowStartBudgetBindsHoweverManyProcessesRun(t *testing.T) {
	for _, routers := range []int{1, 3, 10} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			const clients = 120
			warm := []*limitedBackend{newLimitedBackend(t), newLimitedBackend(t)}
			cold := newLimitedBackend(t)
			list := []string{listEntry(warm[0].testBackend, "a", "ready", "on"), listEntry(warm[1].testBackend, "b", "ready", "on")}
			settings := slowStartSettings(routers)
			stop := make(chan struct{})
			var started []*testRouter
			var done sync.WaitGroup
			for i := range routers {
				r := startRouterWith(t, routerOptions{settings: settings, seed: fmt.Sprintf("%x", 7919*(i+1))}, list...)
				started = append(started, r)
				for k := range clients / routers {
					done.Go(func() { askUntil(stop, r, fmt.Sprintf("%x%04x", i+1, k)) })
				}
			}
			time.Sleep(1500 * time.Millisecond)
			startedAt := time.Now()
			entry := strings.Replace(listEntry(cold.testBackend, "c", "ready", "on"), "}", fmt.Sprintf(`,"startedAtMs":%d}`, startedAt.UnixMilli()), 1)
			for _, r := range started {
				r.discovery.publish(strings.Join(append(list, entry), ","))
			}
			time.Sleep(slowStartRamp)
			close(stop)
			done.Wait()
			arrivals, bound := cold.worstWindow(startedAt)
			t.Logf("%d attempts at a warm endpoint, %d at the cold one; %d in the window that went furthest, bound %.0f",
				len(warm[0].arrivals), len(cold.arrivals), arrivals, bound)
			assert.LessOrEqual(t, float64(arrivals), bound, "in the window that went furthest")
			assert.Greater(t, len(cold.arrivals), 20, "it is used while it warms up")
		})
	}
}

// slowStartSettings are those of a deployment of so many routers, whose endpoints warm up slowly.
func slowStartSettings(routers int) map[string]any {
	settings := testSettings(false)
	settings["balancers"] = routers
	for _, class := range settings["classes"].([]any) {
		class.(map[string]any)["targetNs"], class.(map[string]any)["deadlineNs"] = 4e8, 8e8
	}
	settings["invariants"] = map[string]any{
		"startCapacity": slowStartFloor, "rampTimeNs": slowStartRamp.Nanoseconds(),
		"overloadFactor": overloadFactor, "fallNs": overloadWindow.Nanoseconds(),
	}
	return settings
}

// askUntil has a client ask one read after the other until a channel is closed.
func askUntil(stop <-chan struct{}, r *testRouter, name string) {
	client := r.connect()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		statement := fmt.Sprintf("SELECT doc FROM items WHERE id = 'k' /* id=%s%06x,c=look,d=800,cluster=2 */", name, n)
		if reply := client.query(statement); strings.HasSuffix(reply, "END") {
			return
		}
		time.Sleep(5 * time.Millisecond) // a client that is rejected asks again at once
	}
}
