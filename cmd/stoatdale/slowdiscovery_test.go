package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// slowDiscovery is a discovery service that is late with its replies. It serves a complete list, or holds a call until the list
// has another generation than the one that the call names.
type slowDiscovery struct {
	address string

	mu         sync.Mutex
	changed    *sync.Cond
	generation int
	instances  string
	delay      time.Duration
	silent     bool
	refusals   int    // number of calls that are still to be refused
	calls      int    // number of calls received
	holdOver   func() // called when the hold of a call has ended without a change, before its reply; may be nil
}

func newSlowDiscovery(t *testing.T, delay time.Duration, instances string) *slowDiscovery {
	t.Helper()
	d := &slowDiscovery{delay: delay, generation: 1, instances: instances}
	d.changed = sync.NewCond(&d.mu)
	server := httptest.NewServer(d)
	d.address = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(server.CloseClientConnections)
	return d
}

// update calls a function that may change the service's fields.
func (d *slowDiscovery) update(change func()) {
	d.mu.Lock()
	change()
	d.mu.Unlock()
	d.changed.Broadcast()
}

// publish replaces the list, and returns the time from which it counts as notified.
func (d *slowDiscovery) publish(instances string) time.Time {
	d.update(func() { d.generation++; d.instances = instances })
	return time.Now()
}

// callCount returns the number of calls received so far.
func (d *slowDiscovery) callCount() (calls int) {
	d.update(func() { calls = d.calls })
	return calls
}

func (d *slowDiscovery) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	refuse := false
	d.update(func() {
		d.calls++
		if d.refusals > 0 {
			d.refusals--
			refuse = true
		}
	})
	if refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := d.hold(request)
	var delay time.Duration
	silent := false
	d.update(func() { delay, silent = d.delay, d.silent })
	if silent {
		<-request.Context().Done()
		return
	}
	time.Sleep(delay)
	_, _ = fmt.Fprint(w, body)
}

// hold waits as the call demands, and returns the body of the reply.
func (d *slowDiscovery) hold(request *http.Request) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	from, err := strconv.Atoi(request.FormValue("from"))
	milliseconds, _ := strconv.Atoi(request.FormValue("hold_ms"))
	hold := time.Duration(milliseconds) * time.Millisecond
	over := time.Now().Add(hold)
	defer time.AfterFunc(hold, d.changed.Broadcast).Stop()
	for err == nil && d.generation == from && time.Now().Before(over) {
		d.changed.Wait()
	}
	if err == nil && d.generation == from {
		if d.holdOver != nil {
			go d.holdOver()
		}
		return fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[]}`, from)
	}
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, d.generation, d.instances)
}

// slowDiscoveryPlay is a play with a router, a slow discovery service, and two replicas of which one begins to drain.
type slowDiscoveryPlay struct {
	router          *testRouter
	discovery       *slowDiscovery
	a, b            *testBackend
	lastAt          atomic.Int64 // Unix time in nanoseconds of the last command to a
	ready, draining string       // the list before and after a begins to drain
}

// newSlowDiscoveryPlay starts a router in a deployment with a drain grace, and a client that reads without pause.
func newSlowDiscoveryPlay(t *testing.T, delay, grace time.Duration, polled bool) *slowDiscoveryPlay {
	t.Helper()
	p := &slowDiscoveryPlay{b: newTestBackend(t, answerAs("on"))}
	p.a = newTestBackend(t, func(statement string) []byte {
		p.lastAt.Store(time.Now().UnixNano())
		return answerAs("on")(statement)
	})
	for _, backend := range []*testBackend{p.a, p.b} {
		go func() {
			for range backend.statements { // drains the channel
			}
		}()
	}
	other := listEntry(p.b, "b", "ready", "on")
	p.ready = listEntry(p.a, "a", "ready", "on") + "," + other
	p.draining = listEntry(p.a, "a", "draining", "on") + "," + other
	p.discovery = newSlowDiscovery(t, delay, p.ready)
	settings := testSettings(false)
	if polled {
		settings["discovery"] = "ask"
		settings["invariants"].(map[string]any)["askWithinNs"] = 10e9
	}
	p.router = startRouterWith(t, routerOptions{discovery: p.discovery.address, settings: settings, drainGrace: grace}, p.ready)
	client := p.router.connect()
	stop := make(chan struct{})
	var reading sync.WaitGroup
	reading.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				client.query(readStatement(fmt.Sprint("k", i)))
			}
		}
	})
	t.Cleanup(func() { close(stop); reading.Wait() })
	return p
}

// checkDrain makes backend a drain and checks that the router keeps to that, given the time within which it has to be notified.
func (p *slowDiscoveryPlay) checkDrain(t *testing.T, notifiedWithin, grace time.Duration) {
	t.Helper()
	assert.NotZero(t, p.lastAt.Load(), "the backend gets commands before it drains")
	notifiedAt := p.discovery.publish(p.draining).Add(notifiedWithin)
	time.Sleep(time.Until(notifiedAt.Add(grace + time.Second)))
	assert.Less(t, time.Unix(0, p.lastAt.Load()).Sub(notifiedAt), grace+graceSlack)
}

// Guards against a discovery service that is never heard since each of its replies comes after its call was given up. What a
// pushed list holds counts as notified at once.
func TestDrainIsKeptWhileDiscoveryIsSlow(t *testing.T) {
	for _, grace := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
		for _, share := range []float64{0.3, 0.6} {
			delay := time.Duration(share * float64(grace))
			t.Run(fmt.Sprint("from the first call on, grace ", grace, ", delay ", delay), func(t *testing.T) {
				t.Parallel()
				p := newSlowDiscoveryPlay(t, delay, grace, false)
				time.Sleep(3 * delay)
				p.checkDrain(t, 0, grace)
			})
			t.Run(fmt.Sprint("later, grace ", grace, ", delay ", delay), func(t *testing.T) {
				t.Parallel()
				p := newSlowDiscoveryPlay(t, 0, grace, false)
				time.Sleep(time.Second)
				p.discovery.update(func() { p.discovery.delay = delay })
				time.Sleep(6 * time.Second) // the hold of a call ends in this time
				p.checkDrain(t, 0, grace)
			})
			t.Run(fmt.Sprint("after a silence, grace ", grace, ", delay ", delay), func(t *testing.T) {
				t.Parallel()
				p := newSlowDiscoveryPlay(t, 0, grace, false)
				time.Sleep(time.Second)
				p.discovery.update(func() { p.discovery.silent = true })
				time.Sleep(7 * time.Second) // the hold of a call ends in this time
				p.discovery.update(func() { p.discovery.silent, p.discovery.delay = false, delay })
				p.checkDrain(t, 0, grace)
			})
		}
	}
}

// Guards against a change that has to wait for two late replies, one to a call whose hold was over just before the change, and
// one to the call after it.
func TestDrainIsKeptThoughItFollowsALateReply(t *testing.T) {
	t.Parallel()
	const grace, delay = 500 * time.Millisecond, 350 * time.Millisecond
	p := newSlowDiscoveryPlay(t, delay, grace, false)
	overs := make(chan struct{}, 10)
	p.discovery.update(func() { p.discovery.holdOver = func() { overs <- struct{}{} } })
	receive(t, overs) // from now on the router knows the delay
	receive(t, overs)
	p.checkDrain(t, 0, grace)
}

// Guards against reloads that abandon a call each, although the address of discovery stays the same.
func TestDrainIsKeptWhileReloadsFollowEachOther(t *testing.T) {
	t.Parallel()
	const grace, delay, interval = 500 * time.Millisecond, 200 * time.Millisecond, 100 * time.Millisecond
	p := newSlowDiscoveryPlay(t, delay, grace, false)
	stop := make(chan struct{})
	var signalling sync.WaitGroup
	signalling.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(interval):
				p.router.signal(syscall.SIGHUP)
			}
		}
	})
	time.Sleep(3 * delay)
	p.checkDrain(t, 0, grace)
	close(stop)
	signalling.Wait()
}

// A polled list counts as notified after six seconds at the latest. Discovery refuses calls in between.
func TestDrainIsKeptWhileAPolledDiscoveryIsSlow(t *testing.T) {
	const grace, notifiedWithin = 250 * time.Millisecond, 6 * time.Second
	for _, delay := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
		for _, refusals := range []int{0, 1} {
			t.Run(fmt.Sprint(delay, ", refusals ", refusals), func(t *testing.T) {
				t.Parallel()
				p := newSlowDiscoveryPlay(t, delay, grace, true)
				time.Sleep(3 * delay)
				p.discovery.update(func() { p.discovery.refusals = refusals })
				p.checkDrain(t, notifiedWithin, grace)
			})
		}
	}
}

// Guards against calls that crowd a service that is slow already. Once the delay is known, a call is made each five seconds at
// most, as if the service were not slow.
func TestSlowDiscoveryIsNotCalledMoreOften(t *testing.T) {
	t.Parallel()
	const delay, grace = 200 * time.Millisecond, 500 * time.Millisecond
	p := newSlowDiscoveryPlay(t, delay, grace, false)
	time.Sleep(7 * time.Second)
	before := p.discovery.callCount()
	time.Sleep(10 * time.Second)
	assert.LessOrEqual(t, p.discovery.callCount()-before, 2)
}
