package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/endpoint"
)

// Times of the plays with a late service, in seconds.
const (
	lateHold    = 0.6 // the watch's LongPollHold
	lateSilence = 0.1 // its SilenceTimeout
	lateBackoff = 0.05
)

// lateService is a discovery service that is late with its replies. It serves one list, whose generation the test changes, and
// holds calls for the changes after that generation.
type lateService struct {
	address string

	mu         sync.Mutex
	changed    *sync.Cond
	generation int
	delay      time.Duration            // how late each reply is
	oneByOne   sync.Mutex               // held while a reply is late, if isCrowded
	isCrowded  bool                     // the service replies to one call after the other
	stalls     func(number int) stalled // what happens to a call besides; nil: nothing
	calls      []lateCall
}

// lateCall is a call that a lateService has received.
type lateCall struct {
	at   time.Time
	from string // empty if it asks for the complete list
}

// stalled is what a lateService does with a call besides being late.
type stalled int

const (
	notStalled    stalled = iota
	neverAnswered         // the call is never answered
	sentInParts           // the body comes as late as the head
)

func newLateService(t *testing.T, delay time.Duration) *lateService {
	t.Helper()
	s := &lateService{generation: 1, delay: delay}
	s.changed = sync.NewCond(&s.mu)
	server := httptest.NewServer(s)
	s.address = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(server.CloseClientConnections)
	return s
}

// newLateHarness returns a harness whose watch calls the service.
func newLateHarness(t *testing.T, onDemand bool, s *lateService) *harness {
	h := newHarnessAt(t, onDemand, s.address)
	durations := &h.watch.limits.Durations
	durations.LongPollHold, durations.SilenceTimeout = lateHold, lateSilence
	durations.MinBackoff, durations.MaxBackoff = lateBackoff, lateBackoff
	h.watch.backoff = lateBackoff
	return h
}

// update calls a function that may change the service's fields.
func (s *lateService) update(change func()) {
	s.mu.Lock()
	change()
	s.mu.Unlock()
	s.changed.Broadcast()
}

// change makes a new generation of the list.
func (s *lateService) change() { s.update(func() { s.generation++ }) }

// callsSince returns the calls after a time.
func (s *lateService) callsSince(since time.Time) (calls []lateCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.calls {
		if c.at.After(since) {
			calls = append(calls, c)
		}
	}
	return calls
}

func (s *lateService) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	number := len(s.calls)
	s.calls = append(s.calls, lateCall{at: time.Now(), from: request.FormValue("from")})
	stall := notStalled
	if s.stalls != nil {
		stall = s.stalls(number)
	}
	s.mu.Unlock()
	if stall == neverAnswered {
		<-request.Context().Done()
		return
	}
	generation, complete := s.hold(request)
	s.mu.Lock()
	delay, isCrowded := s.delay, s.isCrowded
	s.mu.Unlock()
	if isCrowded {
		s.oneByOne.Lock()
		defer s.oneByOne.Unlock()
	}
	if stall == sentInParts {
		w.(http.Flusher).Flush()
	}
	time.Sleep(delay)
	_, _ = fmt.Fprintf(w, `{"generation":%d,"reset":%v,"instances":[]}`, generation, complete)
}

// hold waits as the call demands. It returns the generation to reply with, and whether the reply holds the complete list.
func (s *lateService) hold(request *http.Request) (generation int, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, err := strconv.Atoi(request.FormValue("from"))
	if err != nil {
		return s.generation, true
	}
	milliseconds, _ := strconv.Atoi(request.FormValue("hold_ms"))
	hold := time.Duration(milliseconds) * time.Millisecond
	over := time.Now().Add(hold)
	defer time.AfterFunc(hold, s.changed.Broadcast).Stop()
	for s.generation == from && time.Now().Before(over) {
		s.changed.Wait()
	}
	return s.generation, false
}

// runFor runs the loop for a time.
func (h *harness) runFor(t *testing.T, duration time.Duration) {
	t.Helper()
	h.stopAfter = -1
	end := time.Now().Add(duration)
	require.NoError(t, h.loop.Run(func(now float64) float64 {
		if time.Now().After(end) {
			h.loop.Stop()
		}
		return now + 0.005
	}))
}

// Guards against calls that are given up one after the other although each of their replies is on its way.
func TestLateReplyIsHeard(t *testing.T) {
	for name, stall := range map[string]stalled{"late": notStalled, "in parts": sentInParts} {
		for _, delay := range []time.Duration{150, 300, 900} {
			t.Run(fmt.Sprintf("%s by %d ms", name, delay), func(t *testing.T) {
				t.Parallel()
				service := newLateService(t, delay*time.Millisecond)
				service.stalls = func(int) stalled { return stall }
				h := newLateHarness(t, false, service)
				h.watch.Poll()
				h.runFor(t, delay*time.Millisecond+100*time.Millisecond)
				assert.Contains(t, h.events, "1 true", "the first call of a watch")
				h.runFor(t, time.Second)
				service.change()
				h.runFor(t, 2*delay*time.Millisecond+100*time.Millisecond)
				assert.True(t, h.heard(2), "%v", h.events)
			})
		}
	}
}

// heard reports whether a list of a generation was delivered.
func (h *harness) heard(generation int) bool {
	for _, event := range h.events {
		if strings.HasPrefix(event, fmt.Sprint(generation, " ")) {
			return true
		}
	}
	return false
}

// Guards against a crowded service being called again and again: once the watch knows how late the replies are, it makes no
// call before the hold of the last one is over.
func TestSlowServiceGetsOneCallAHold(t *testing.T) {
	t.Parallel()
	for _, onDemand := range []bool{false, true} {
		service := newLateService(t, 250*time.Millisecond)
		h := newLateHarness(t, onDemand, service)
		h.watch.Poll()
		h.runFor(t, 1500*time.Millisecond)
		failuresBefore := h.failures()
		since := time.Now()
		h.runFor(t, 3*time.Second)
		longest := 3 / lateHold
		assert.LessOrEqual(t, float64(len(service.callsSince(since))), longest+1, "on demand: %v", onDemand)
		assert.Equal(t, failuresBefore, h.failures(), "on demand: %v", onDemand)
	}
}

// failures returns the number of failed calls that were reported.
func (h *harness) failures() (count int) {
	for _, event := range h.events {
		if event == callFailed {
			count++
		}
	}
	return count
}

// A service that replies to one call after the other is the slower the more calls it gets.
func TestCrowdedServiceIsHeardAndLeftAlone(t *testing.T) {
	t.Parallel()
	service := newLateService(t, 250*time.Millisecond)
	service.isCrowded = true
	h := newLateHarness(t, false, service)
	h.watch.Poll()
	h.runFor(t, 4*time.Second)
	assert.True(t, h.heard(1), "%v", h.events)
	since := time.Now()
	h.runFor(t, 3*time.Second)
	assert.LessOrEqual(t, float64(len(service.callsSince(since))), 3/lateHold+1)
}

// A silent service gets a call after each silence and backoff, as its return has to be noticed in time, but only a few are in
// progress at a time. When it returns slow, its replies are heard although they take longer than these calls together.
func TestSlowReturnFromASilenceIsHeard(t *testing.T) {
	t.Parallel()
	const silentFor, delay, wait = 2.0, 1.5, 1.8 // seconds; the calls in progress cover about 0.5 s
	service := newLateService(t, delay*1000*time.Millisecond)
	begin := time.Now()
	service.stalls = func(int) stalled {
		if time.Since(begin).Seconds() < silentFor {
			return neverAnswered
		}
		return notStalled
	}
	h := newLateHarness(t, false, service)
	h.watch.limits.Durations.LateReplyWait = wait
	h.watch.Poll()
	h.runFor(t, silentFor*1000*time.Millisecond)
	assert.LessOrEqual(t, float64(len(service.callsSince(begin))), silentFor/(lateSilence+lateBackoff)+1)
	most := 0
	end := time.Now().Add((wait + lateSilence + lateBackoff + delay + 0.2) * 1000 * time.Millisecond)
	require.NoError(t, h.loop.Run(func(now float64) float64 {
		most = max(most, len(h.watch.calls()))
		if time.Now().After(end) {
			h.loop.Stop()
		}
		return now + 0.005
	}))
	assert.Equal(t, MaxCalls, most)
	assert.True(t, h.heard(1), "%v", h.events)
}

// pollFor runs the loop for a time and polls in each turn. It returns the largest number of calls in progress.
func (h *harness) pollFor(t *testing.T, seconds float64) (most int) {
	t.Helper()
	end := time.Now().Add(time.Duration(seconds * float64(time.Second)))
	require.NoError(t, h.loop.Run(func(now float64) float64 {
		h.watch.Poll()
		most = max(most, len(h.watch.calls()))
		if time.Now().After(end) {
			h.loop.Stop()
		}
		return now + 0.005
	}))
	return most
}

// Guards against a polled service that is the more crowded the slower it is: calls that it may still answer are not multiplied.
// A third call follows when the first has waited long; a poll until then is put off and does not fail.
func TestSlowPolledServiceGetsNoThirdCallBeforeTheFirstHasWaitedLong(t *testing.T) {
	t.Parallel()
	const delay = 1.5 // seconds
	service := newLateService(t, delay*1000*time.Millisecond)
	h := newLateHarness(t, true, service)
	h.watch.delay.seconds = delay
	begin := time.Now()
	assert.Equal(t, maxPolledCalls, h.pollFor(t, delay))
	assert.Len(t, service.callsSince(begin), maxPolledCalls)
	failures := h.failures()
	assert.Equal(t, maxPolledCalls, failures, "a poll that has to wait is no failure")
	h.pollFor(t, 0.2)
	assert.True(t, h.heard(1), "%v", h.events)

	service = newLateService(t, 0)
	service.stalls = func(int) stalled { return neverAnswered }
	h = newLateHarness(t, true, service)
	h.watch.delay.seconds, h.watch.limits.Durations.LateReplyWait = 2*lateSilence, 0.5
	begin = time.Now()
	h.pollFor(t, 0.5)
	assert.Len(t, service.callsSince(begin), maxPolledCalls)
	h.pollFor(t, 0.15)
	assert.Len(t, service.callsSince(begin), maxPolledCalls+1, "0.6 s after the first call it has waited long")
}

// Guards against a poll that is put off although the service, which was not slow, is silent: after two silent calls the next one
// has to be made at once, since the service may have returned.
func TestPolledServiceThatWasNotSlowIsCalledAtOnceAfterSilentCalls(t *testing.T) {
	t.Parallel()
	service := newLateService(t, 0)
	service.stalls = func(number int) stalled {
		if number < 2 {
			return neverAnswered
		}
		return notStalled
	}
	h := newLateHarness(t, true, service)
	h.pollFor(t, 2*lateSilence+0.1)
	assert.True(t, h.heard(1), "%v", h.events)
}

// A held call that is never answered is replaced when its hold is over, also if the service was slow before.
func TestSilentHeldCallIsReplacedInTime(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{0, 250 * time.Millisecond} {
		service := newLateService(t, delay)
		h := newLateHarness(t, false, service)
		service.stalls = func(number int) stalled {
			if number > 8 && service.calls[number].from != "" {
				return neverAnswered
			}
			return notStalled
		}
		h.watch.Poll()
		for len(service.callsSince(time.Time{})) < 10 {
			h.runFor(t, 10*time.Millisecond)
		}
		service.change()
		late := lateHold + 2*delay.Seconds() + lateSilence + lateBackoff + delay.Seconds()
		h.runFor(t, time.Duration((late+0.2)*float64(time.Second)))
		assert.True(t, h.heard(2), "%v: %v", delay, h.events)
	}
}

// Guards against several replies that take as much memory each as one may.
func TestBegunRepliesTogetherAreNoLongerThanOne(t *testing.T) {
	list := func(generation int, padding int) string {
		body := fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[]%s}`, generation, strings.Repeat(" ", padding))
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	const limit = 1000
	stopped := list(5, limit-100)
	h := newHarness(t, false, stopped[:len(stopped)-10], list(6, limit-200))
	h.watch.limits.Sizes.DiscoveryReply = limit
	h.watch.limits.Durations.SilenceTimeout = 0.05
	h.watch.Poll()
	events := h.runWith(t, 2, func() { assert.LessOrEqual(t, h.watch.replyBytes(), limit) })
	assert.Equal(t, []string{callFailed, "6 true"}, events)
	assert.Contains(t, h.log.String(), ErrTooManyReplies.Error())
}

// After a restart of the service, its generations begin anew: calls for changes after an earlier one are of no use.
func TestCallsAfterAGenerationOfAnEarlierServiceAreClosed(t *testing.T) {
	h := newHarnessAt(t, false, unusedAddress)
	useful := &call{watch: h.watch, fd: noSocket, exchange: exchange{from: 2, sentAt: 1}}
	complete := &call{watch: h.watch, fd: noSocket, exchange: exchange{from: NoGeneration, sentAt: 1}}
	for _, useless := range []exchange{{from: 5, sentAt: 1}, {from: NoGeneration}} {
		h.watch.generation = 5
		h.watch.earlier = []*call{{watch: h.watch, fd: noSocket, exchange: useless}, useful, complete}
		h.watch.listReceived(endpoint.List{Generation: 3, Complete: true}, 0)
		assert.Equal(t, []*call{useful, complete}, h.watch.earlier)
	}
}

func TestReplyDelayIsLearnedAtOnceAndUnlearnedSlowly(t *testing.T) {
	const hold = 5
	var d replyDelay
	d.observe(hold+0.4, 0, hold)
	assert.InDelta(t, 0.4, d.seconds, 1e-9)
	d.observe(3, 0, hold)
	assert.InDelta(t, 0.4, d.seconds, 1e-9, "a change ended the hold: the delay is unknown")
	d.observe(0.3, 0, hold)
	assert.InDelta(t, 0.4-0.1*delayGain, d.seconds, 1e-9, "the delay was 0.3 s at most")
	d.observe(0.6, 0, 0)
	assert.InDelta(t, 0.6, d.seconds, 1e-9)
	d.observe(1, 0.9, hold)
	assert.InDelta(t, 0.9, d.seconds, 1e-9, "the reply was received slowly")
	for range 30 {
		d.observe(hold, 0, hold)
	}
	assert.Less(t, d.seconds, 0.05)
}
