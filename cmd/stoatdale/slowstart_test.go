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

// Parameters of a deployment whose endpoints have a known capacity.
const (
	slowStartFloor  = 0.2
	slowStartRamp   = 4 * time.Second
	overloadFactor  = 2.0
	overloadWindow  = time.Second
	workPerCommand  = 20 * time.Millisecond
	backendCores    = 2
	backendCapacity = float64(backendCores) / 0.02 // commands per second
	backendQueue    = 4                            // commands in the queue or running; further ones are rejected
)

// limitedBackend answers like a replica of limited capacity. It rejects commands that its queue cannot hold.
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
		for range b.statements { // drains the channel; these tests do not check statements
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

// enqueue records the arrival of a command, and reports whether the queue has room for it.
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

// worstWindow returns the number of arrivals in the window that went furthest over its bound, and that bound: the number
// of commands that the settings allow an endpoint of this age in the window, plus slack.
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

// slowStartBound returns the most commands that an endpoint may get in a window, given the number that the settings allow
// it: that number plus slack, which grows with its square root.
func slowStartBound(allowed float64) float64 {
	const few = 30
	if allowed < few {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// A cold endpoint joins while the warm ones get several times the load that they can serve. Whatever the number of
// routers, all of them together must keep to the cold endpoint's budget in every window.
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
					done.Go(func() { queryUntil(stop, r, fmt.Sprintf("%x%04x", i+1, k)) })
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
			t.Logf("%d attempts at a warm endpoint, %d at the cold one; %d in the worst window, bound %.0f",
				len(warm[0].arrivals), len(cold.arrivals), arrivals, bound)
			assert.LessOrEqual(t, float64(arrivals), bound, "attempts in the worst window")
			assert.Greater(t, len(cold.arrivals), 20, "the cold endpoint is used while it warms up")
		})
	}
}

// slowStartSettings returns the settings of a deployment with a number of routers, whose endpoints have a slow start.
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

// queryUntil connects a client that sends one read after the other until a channel is closed.
func queryUntil(stop <-chan struct{}, r *testRouter, name string) {
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
		time.Sleep(5 * time.Millisecond) // short, since a client that is rejected retries soon
	}
}
