package discovery

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/endpoint"
	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/http1"
)

const (
	closeConnection = ""        // scripted reply: closes the connection without a reply
	silence         = "silence" // scripted reply: sends nothing
	resetSuffix     = "reset"   // suffix of a scripted reply: resets the connection once the watch has read the reply
)

const (
	completePath  = "/registry/instances"
	callFailed    = "failed" // the event that harness records for a failed call
	testTimeout   = 20 * time.Second
	unusedAddress = "127.0.0.1:1"
)

// harness runs one watch against a fake discovery service, and records the calls of its handler.
type harness struct {
	watch     *Watch
	loop      *eventloop.Loop
	requests  chan string   // request URIs that the fake service has received
	replyRead chan struct{} // receives a value when the watch has read the reply that precedes a reset
	mu        sync.Mutex    // guards replies
	replies   []string      // the scripted replies that are left
	log       bytes.Buffer
	events    []string // "generation complete" for each list, callFailed for each failed call
	stopAfter int      // number of events at which the loop stops
}

func (h *harness) record(event string) {
	h.events = append(h.events, event)
	if len(h.events) == h.stopAfter {
		h.loop.Stop()
	}
}

func (h *harness) HandleList(list endpoint.List) {
	h.record(fmt.Sprint(list.Generation, " ", list.Complete))
}
func (h *harness) HandleCallFailure() { h.record(callFailed) }

// newHarness starts a fake discovery service that sends the scripted replies one after the other, and afterwards holds all
// calls.
func newHarness(t *testing.T, onDemand bool, replies ...string) *harness {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	h := newHarnessAt(t, onDemand, listener.Addr().String())
	h.replies = replies
	go h.serve(listener)
	return h
}

// newHarnessAt returns a harness whose watch calls the discovery service at an address.
func newHarnessAt(t *testing.T, onDemand bool, address string) *harness {
	h := &harness{requests: make(chan string, 100), replyRead: make(chan struct{}, 1)}
	var err error
	h.loop, err = eventloop.New(16)
	require.NoError(t, err)
	limits := &config.Limits{
		Sizes: config.Sizes{ReadPerTurn: 1 << 16, DiscoveryReply: 1 << 16, DiscoveryLine: 1 << 10},
		Durations: config.Durations{
			LongPollHold: 60, SilenceTimeout: 0.2, MaxReplyDelay: 1, ReplyTimeout: 60, LateReplyWait: 4,
			MinBackoff: 0.01, MaxBackoff: 0.02,
		},
	}
	h.watch = New(h.loop, limits, netip.MustParseAddrPort(address), onDemand, buffer.NewPool(16, 1000), h, zerolog.New(&h.log))
	return h
}

func (h *harness) serve(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go h.serveConnection(connection)
	}
}

// nextReply returns the next scripted reply, and false if there is none left.
func (h *harness) nextReply() (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.replies) == 0 {
		return "", false
	}
	reply := h.replies[0]
	h.replies = h.replies[1:]
	return reply, true
}

// serveConnection answers calls until the script or the client ends the connection, which it then closes.
func (h *harness) serveConnection(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		h.requests <- request.URL.RequestURI()
		reply, ok := h.nextReply()
		if !ok {
			continue // hold the call
		}
		begun, reset := strings.CutSuffix(reply, resetSuffix)
		switch {
		case reply == closeConnection:
			return
		case reply == silence:
		case reset:
			_, _ = io.WriteString(connection, begun)
			<-h.replyRead
			_ = connection.(*net.TCPConn).SetLinger(0)
			return
		default:
			_, _ = io.WriteString(connection, reply)
		}
	}
}

// run runs the loop until the given total number of events has been recorded, and returns all events.
func (h *harness) run(t *testing.T, events int) []string {
	t.Helper()
	return h.runWith(t, events, func() {})
}

// runWith does the same as run and calls eachTurn in each turn.
func (h *harness) runWith(t *testing.T, events int, eachTurn func()) []string {
	t.Helper()
	h.stopAfter = events
	deadline := time.Now().Add(testTimeout)
	require.NoError(t, h.loop.Run(func(now float64) float64 {
		eachTurn()
		if time.Now().After(deadline) {
			h.loop.Stop()
		}
		return now + 1
	}))
	return h.events
}

func listReply(generation int, complete bool) string {
	body := fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[]}`, generation, complete)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func statusReply(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d No\r\nContent-Length: 0\r\n\r\n", status)
}

func TestWatchPollsFromTheLastGeneration(t *testing.T) {
	h := newHarness(t, false, listReply(4, true), listReply(6, false), listReply(2, true))
	h.watch.Poll()
	assert.Equal(t, []string{"4 true", "6 false", "2 true"}, h.run(t, 3), "a complete list may have an earlier generation")
	assert.Equal(t, completePath, <-h.requests)
	assert.Equal(t, "/registry/instances?from=4&hold_ms=60000", <-h.requests)
	assert.Equal(t, "/registry/instances?from=6&hold_ms=60000", <-h.requests)
	assert.Equal(t, "/registry/instances?from=2&hold_ms=60000", <-h.requests)
}

func TestFailedCallIsReportedAndRetriedForTheCompleteList(t *testing.T) {
	for name, failing := range map[string]string{
		"closed": closeConnection, "silent": silence, "nonsense": "SSH-2.0-x\r\n",
		"status": statusReply(503), "no list": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"changes of nothing": listReply(3, false),
	} {
		h := newHarness(t, false, failing, listReply(5, true), listReply(4, false), listReply(7, true))
		h.watch.Poll()
		h.watch.Poll() // no effect: a call is in progress
		assert.Equal(t, []string{callFailed, "5 true", callFailed, "7 true"}, h.run(t, 4), name)
		for range 2 {
			assert.Equal(t, completePath, <-h.requests, name)
		}
	}
}

func TestFailedCallIsLoggedWithAddressAndCause(t *testing.T) {
	h := newHarness(t, false, statusReply(503))
	h.watch.Poll()
	assert.Equal(t, []string{callFailed}, h.run(t, 1))
	assert.Contains(t, h.log.String(), h.watch.address.String()+": status 503")
}

// The watch must not wait for the end of the long poll when a reply has begun but then stops or never ends.
func TestReplyThatNeverEndsCostsItsConnection(t *testing.T) {
	begun := strings.SplitAfter(listReply(6, false), "{")[0]
	for name, timeouts := range map[string]struct{ silence, reply float64 }{"stops": {0.05, 60}, "goes on": {60, 0.05}} {
		h := newHarness(t, false, listReply(5, true), begun, listReply(7, true))
		h.watch.limits.Durations.SilenceTimeout = timeouts.silence
		h.watch.limits.Durations.ReplyTimeout = timeouts.reply
		h.watch.Poll()
		assert.Equal(t, []string{"5 true", callFailed, "7 true"}, h.run(t, 3), name)
	}
}

// A reply without a length ends when the connection is closed. If the connection is reset, bytes may be missing, so the reply
// must not be used.
func TestResetEndsNoReply(t *testing.T) {
	noLength := "HTTP/1.1 200 OK\r\n\r\n" + `{"generation":6,"reset":true,"instances":[]}`
	h := newHarness(t, false, noLength+resetSuffix, listReply(7, true))
	h.watch.Poll()
	events := h.runWith(t, 2, func() {
		if current := h.watch.current; current != nil && len(current.reply.Body) > 0 && len(h.replyRead) == 0 && len(h.events) == 0 {
			h.replyRead <- struct{}{}
		}
	})
	assert.Equal(t, []string{callFailed, "7 true"}, events)
}

func TestWatchOnDemandStopsAtAFailedCall(t *testing.T) {
	h := newHarness(t, true, listReply(4, true), closeConnection, listReply(5, true))
	h.watch.Poll()
	assert.Equal(t, []string{"4 true", callFailed}, h.run(t, 2))
	assert.Nil(t, h.watch.current)
	assert.False(t, h.watch.timer.IsSet(), "there is no further call until Poll is called")
	h.watch.Poll()
	assert.Equal(t, "5 true", h.run(t, 3)[2])
}

// All routers share the discovery service. After it has refused a call because it is overloaded, the next call on demand must
// request only the changes, since requesting the complete list takes two calls.
func TestRefusedCallOnDemandIsFollowedByAPollForWhatFollows(t *testing.T) {
	for _, refused := range []struct {
		name     string
		onDemand bool
		reply    string
		next     string
	}{
		{"crowded, on demand", true, statusReply(503), completePath + "?from=4&hold_ms=60000"},
		{"crowded, watched for good", false, statusReply(503), completePath},
		{"another status", true, statusReply(500), completePath},
		{"a spoilt reply", true, "no HTTP\r\n\r\n", completePath},
		{"a broken connection", true, closeConnection, completePath},
	} {
		t.Run(refused.name, func(t *testing.T) {
			h := newHarness(t, refused.onDemand, listReply(4, true), refused.reply, listReply(5, true))
			h.watch.Poll()
			assert.Equal(t, []string{"4 true", callFailed}, h.run(t, 2))
			h.watch.Poll()
			assert.Equal(t, "5 true", h.run(t, 3)[2])
			assert.Equal(t, completePath, <-h.requests)
			assert.Equal(t, completePath+"?from=4&hold_ms=60000", <-h.requests)
			assert.Equal(t, refused.next, <-h.requests)
		})
	}
}

func TestRefusedConnectionIsRetriedUntilTheWatchIsClosed(t *testing.T) {
	h := newHarness(t, false)
	h.watch.address = netip.MustParseAddrPort(unusedAddress)
	h.watch.Poll()
	assert.Equal(t, []string{callFailed, callFailed, callFailed}, h.run(t, 3), "the watch keeps trying to connect")
	h.watch.Close()
	h.watch.Poll()
	assert.Empty(t, h.watch.calls())
}

func TestSetAddressCallsTheNewAddressAtOnce(t *testing.T) {
	h := newHarness(t, false, listReply(5, true), listReply(4, true), listReply(4, true))
	serviceAddress := h.watch.address
	durations := &h.watch.limits.Durations
	durations.MinBackoff, durations.MaxBackoff, durations.SilenceTimeout = 60, 60, 60
	h.watch.address = netip.MustParseAddrPort(unusedAddress)
	h.watch.Poll()
	assert.Equal(t, []string{callFailed}, h.run(t, 1))
	h.watch.SetAddress(serviceAddress) // during a backoff of a minute
	assert.Equal(t, "5 true", h.run(t, 2)[1])
	h.watch.SetAddress(serviceAddress) // while a call is in progress
	assert.Equal(t, "4 true", h.run(t, 3)[2], "the complete list is requested again, and may have an earlier generation")
	h.watch.Close()
	h.watch.SetAddress(serviceAddress)
	assert.Empty(t, h.watch.calls())
	assert.Equal(t, 1, h.loop.OpenDescriptors(), "only the loop's own descriptor is open")
}

func TestRepliesWithoutAUsableListAreTypedErrors(t *testing.T) {
	watch := &Watch{generation: 4}
	parse := func(reply http1.Response) error {
		_, err := watch.parseReply(&call{exchange: exchange{from: 4, reply: reply}})
		return err
	}
	var statusError *StatusError
	require.ErrorAs(t, parse(http1.Response{Status: 503}), &statusError)
	assert.Equal(t, 503, statusError.Status)

	var parseError *endpoint.ParseError
	require.ErrorAs(t, parse(http1.Response{Status: 200, Body: []byte(`{}`)}), &parseError)

	var generationError *GenerationError
	require.ErrorAs(t, parse(http1.Response{Status: 200, Body: []byte(`{"generation":3}`)}), &generationError)
	assert.Equal(t, &GenerationError{Got: 3, Have: 4}, generationError)
}
