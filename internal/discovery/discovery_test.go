package discovery

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/loop"
	"stoatdale.example/stoatdale/internal/roster"
	"stoatdale.example/stoatdale/internal/site"
)

// watcher is a watch of an agent that says one reply after the other; "" closes the connection instead,
// "silence" says nothing, and what ends in "reset" is said without it, and once it was read the connection is reset.
type watcher struct {
	asked chan string
	heard chan struct{} // gets one once the reply that is to be reset was read
	w     *Watch
	l     *loop.Loop
	told  []string
	want  int
}

func (w *watcher) tell(what string) {
	if w.told = append(w.told, what); len(w.told) == w.want {
		w.l.Stop()
	}
}

func (w *watcher) HandleList(l roster.List) { w.tell(fmt.Sprint(l.Generation, " ", l.Complete)) }
func (w *watcher) HandleCallFailure()       { w.tell("failed") }

func newWatcher(t *testing.T, onAsk bool, says ...string) *watcher {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = n.Close() })
	w := &watcher{asked: make(chan string, 100), heard: make(chan struct{}, 1)}
	go func() {
		for {
			c, err := n.Accept()
			if err != nil {
				return
			}
			for r := bufio.NewReader(c); ; {
				q, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				w.asked <- q.URL.RequestURI()
				if len(says) == 0 {
					continue // hold the call
				}
				say := says[0]
				says = says[1:]
				if say == "" {
					break
				}
				if begun, reset := strings.CutSuffix(say, "reset"); reset {
					_, _ = fmt.Fprint(c, begun)
					<-w.heard
					_ = c.(*net.TCPConn).SetLinger(0)
					break
				}
				if say != "silence" {
					_, _ = fmt.Fprint(c, say)
				}
			}
			_ = c.Close()
		}
	}()
	w.l, err = loop.New(16)
	require.NoError(t, err)
	limits := &site.Limits{
		Sizes: site.Sizes{
			ReadPerTurn: 1 << 16, DiscoveryReply: 1 << 16, DiscoveryLine: 1 << 10,
		},
		Durations: site.Durations{
			LongPollHold: 60, SilenceTimeout: 0.2, ReplyTimeout: 60, MinBackoff: 0.01, MaxBackoff: 0.02,
		},
	}
	w.w = New(w.l, limits, netip.MustParseAddrPort(n.Addr().String()), onAsk, buffer.NewPool(16, 1000), w, zerolog.Nop())
	return w
}

// run turns the loop until so much was told.
func (w *watcher) run(t *testing.T, want int) []string {
	t.Helper()
	w.want = want
	late := time.Now().Add(20 * time.Second)
	require.NoError(t, w.l.Run(func(now float64) float64 {
		if time.Now().After(late) {
			w.l.Stop()
		}
		return now + 1
	}))
	return w.told
}

func list(generation int, whole bool) string {
	body := fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[]}`, generation, whole)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func TestWatchGoesOnFromTheLastGeneration(t *testing.T) {
	w := newWatcher(t, false, list(4, true), list(6, false), list(2, true))
	w.w.Poll()
	assert.Equal(t, []string{"4 true", "6 false", "2 true"}, w.run(t, 3), "a whole list may go back")
	assert.Equal(t, "/registry/instances", <-w.asked)
	assert.Equal(t, "/registry/instances?from=4&hold_ms=60000", <-w.asked)
	assert.Equal(t, "/registry/instances?from=6&hold_ms=60000", <-w.asked)
	assert.Equal(t, "/registry/instances?from=2&hold_ms=60000", <-w.asked)
}

func TestFailedCallIsToldAndBegunAnewWithTheWholeList(t *testing.T) {
	for what, bad := range map[string]string{
		"closed": "", "silent": "silence", "nonsense": "SSH-2.0-x\r\n",
		"status": "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "no list": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"changes of nothing": list(3, false),
	} {
		w := newWatcher(t, false, bad, list(5, true), list(4, false), list(7, true))
		w.w.Poll()
		w.w.Poll() // it is on already
		assert.Equal(t, []string{"failed", "5 true", "failed", "7 true"}, w.run(t, 4), what)
		for range 2 {
			assert.Equal(t, "/registry/instances", <-w.asked, what)
		}
	}
}

// A reply that has begun and goes on for good, or stops, is given up long before the call's own time.
func TestReplyThatNeverEndsCostsItsConnection(t *testing.T) {
	begun := strings.SplitAfter(list(6, false), "{")[0]
	for what, limits := range map[string]struct{ late, reply float64 }{"stops": {0.05, 60}, "goes on": {60, 0.05}} {
		w := newWatcher(t, false, list(5, true), begun, list(7, true))
		w.w.limits.Durations.SilenceTimeout, w.w.limits.Durations.ReplyTimeout = limits.late, limits.reply
		w.w.Poll()
		assert.Equal(t, []string{"5 true", "failed", "7 true"}, w.run(t, 3), what)
	}
}

// A reply that tells no length ends with its connection, but for a reset, before which anything may be missing.
func TestResetEndsNoReply(t *testing.T) {
	bare := "HTTP/1.1 200 OK\r\n\r\n" + `{"generation":6,"reset":true,"instances":[]}`
	w := newWatcher(t, false, bare+"reset", list(7, true))
	w.w.Poll()
	w.want = 2
	late := time.Now().Add(20 * time.Second)
	require.NoError(t, w.l.Run(func(now float64) float64 {
		if len(w.w.reply.Body) > 0 && len(w.heard) == 0 && len(w.told) == 0 {
			w.heard <- struct{}{}
		}
		if time.Now().After(late) {
			w.l.Stop()
		}
		return now + 1
	}))
	assert.Equal(t, []string{"failed", "7 true"}, w.told)
}

func TestWatchThatMustBeAskedForEndsWithAFailure(t *testing.T) {
	w := newWatcher(t, true, list(4, true), "", list(5, true))
	w.w.Poll()
	assert.Equal(t, []string{"4 true", "failed"}, w.run(t, 2))
	assert.Equal(t, -1, w.w.fd)
	assert.False(t, w.w.timer.IsSet(), "the next call waits to be asked for")
	w.w.Poll()
	assert.Equal(t, "5 true", w.run(t, 3)[2])
}

func TestNobodyListening(t *testing.T) {
	w := newWatcher(t, false)
	w.w.address = netip.MustParseAddrPort("127.0.0.1:1")
	w.w.Poll()
	assert.Equal(t, []string{"failed", "failed", "failed"}, w.run(t, 3), "it is dialled again and again")
	w.w.Close()
	w.w.Poll()
	assert.Equal(t, -1, w.w.fd)
}

func TestMoveCallsTheNewAddressAtOnce(t *testing.T) {
	w := newWatcher(t, false, list(5, true), list(4, true), list(4, true))
	there := w.w.address
	w.w.limits.Durations.MinBackoff, w.w.limits.Durations.MaxBackoff, w.w.limits.Durations.SilenceTimeout = 60, 60, 60
	w.w.address = netip.MustParseAddrPort("127.0.0.1:1")
	w.w.Poll()
	assert.Equal(t, []string{"failed"}, w.run(t, 1))
	w.w.SetAddress(there) // a pause of a minute is left
	assert.Equal(t, "5 true", w.run(t, 2)[1])
	w.w.SetAddress(there) // a call is out
	assert.Equal(t, "4 true", w.run(t, 3)[2], "the whole list is asked for again, and may go back")
	w.w.Close()
	w.w.SetAddress(there)
	assert.Equal(t, -1, w.w.fd)
	assert.Equal(t, 1, w.l.Open(), "no descriptor is left but the loop's own")
}
