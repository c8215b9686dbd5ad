package eventloop

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func newLoop(t *testing.T) *Loop {
	t.Helper()
	l, err := New(16)
	require.NoError(t, err)
	return l
}

// handlerFunc makes a function a Handler.
type handlerFunc func(readable, writable bool)

func (f handlerFunc) Ready(readable, writable bool) { f(readable, writable) }

func TestPostedCallsWakeTheLoop(t *testing.T) {
	l := newLoop(t)
	called := 0
	go func() {
		l.Post(func() { called++ })
		l.Post(func() {
			called++
			l.Stop()
		})
	}()
	require.NoError(t, l.Run(func(now float64) float64 { return now + 1000 }))
	assert.Equal(t, 2, called)
}

func TestEventsOfAClosedDescriptorAreDropped(t *testing.T) {
	l := newLoop(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	address := netip.MustParseAddrPort(listener.Addr().String())
	var fds [2]int
	calls := 0
	for i := range fds {
		fds[i], err = l.Dial(address)
		require.NoError(t, err)
		closeOther := handlerFunc(func(_, writable bool) {
			calls++
			assert.True(t, writable)
			l.Close(fds[1-i]) // its event of this turn has not been handled yet
			l.Stop()
		})
		require.NoError(t, l.Add(fds[i], closeOther, false, true))
	}
	time.Sleep(10 * time.Millisecond)
	require.NoError(t, l.Run(func(now float64) float64 { return now + 1 }))
	assert.Equal(t, 1, calls)
}

func TestWaitingBytesCountFromTheLastPoll(t *testing.T) {
	l := newLoop(t)
	turn := 0
	slowTurn := 0.0
	require.NoError(t, l.Run(func(now float64) float64 {
		turn++
		if turn > 1 {
			l.Stop()
			return now
		}
		slowTurn = now
		time.Sleep(20 * time.Millisecond)
		l.Post(func() {
			assert.LessOrEqual(t, l.ReadySince(), slowTurn, "bytes that arrived during the slow turn count from its start")
		})
		return now
	}))
	assert.GreaterOrEqual(t, l.LongestTurn(), 0.02)
}
