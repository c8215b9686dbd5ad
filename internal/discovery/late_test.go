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

// change makes a new generation of the list.
func (s *lateService) change() {
	s.mu.Lock()
	s.generation++
	s.mu.Unlock()
	s.changed.Broadcast()
}

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
	delay := s.delay
	s.mu.Unlock()
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
