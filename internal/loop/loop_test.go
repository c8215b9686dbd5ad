package loop

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/buffer"
)

var sockets Sockets

func newLoop(t *testing.T) *Loop {
	l, err := New(16)
	require.NoError(t, err)
	return l
}

func TestTimersFireInTheirOrderAndOnce(t *testing.T) {
	l, fired := newLoop(t), ""
	note := func(s string) *Timer { return NewTimer(func() { fired += s }) }
	a, b, c, d := note("a"), note("b"), note("c"), note("d")
	l.SetTimer(a, 0.003)
	l.SetTimer(b, 0.001)
	l.SetTimer(c, 0.002)
	l.SetTimer(d, 0.002)
	l.SetTimer(a, 0) // instead of the first time
	l.StopTimer(d)
	l.StopTimer(d)
	require.NoError(t, l.Run(func(now float64) float64 {
		if now > 0.01 {
			l.Stop()
		}
		return now + 0.002
	}))
	assert.Equal(t, "abc", fired)
	assert.False(t, a.IsSet())
}

func TestPostedCallsWakeTheLoop(t *testing.T) {
	l, called := newLoop(t), 0
	go func() {
		l.Post(func() { called++ })
		l.Post(func() { called++; l.Stop() })
	}()
	require.NoError(t, l.Run(func(now float64) float64 { return now + 1000 }))
	assert.Equal(t, 2, called)
}

// spy notes what its descriptor was ready for.
type spy struct{ ready func(readable, writable bool) }

func (s spy) Ready(readable, writable bool) { s.ready(readable, writable) }

func TestEventsOfAClosedDescriptorGoNowhere(t *testing.T) {
	l := newLoop(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	at := netip.MustParseAddrPort(listener.Addr().String())
	var fds [2]int
	calls := 0
	for i := range fds {
		fds[i], err = sockets.Dial(at)
		require.NoError(t, err)
		require.NoError(t, l.Add(fds[i], spy{func(_, writable bool) {
			calls++
			assert.True(t, writable)
			l.Close(fds[1-i]) // both are ready in this turn
			l.Stop()
		}}, false, true))
	}
	time.Sleep(10 * time.Millisecond)
	require.NoError(t, l.Run(func(now float64) float64 { return now + 1 }))
	assert.Equal(t, 1, calls)
}

func TestReadAndWriteGoByChains(t *testing.T) {
	listener, err := sockets.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 5)
	require.NoError(t, err)
	defer sockets.CloseUnwatched(listener)
	_, ok, err := sockets.Accept(listener)
	require.NoError(t, err)
	require.False(t, ok, "nobody waits")
	at, err := sockets.LocalAddress(listener)
	require.NoError(t, err)
	c, err := net.Dial("tcp", at.String())
	require.NoError(t, err)
	fd, ok, err := sockets.Accept(listener)
	require.NoError(t, err)
	require.True(t, ok)
	defer sockets.CloseUnwatched(fd)
	assert.True(t, sockets.NothingToRead(fd))

	_, err = c.Write([]byte("hello, this is longer than a block"))
	require.NoError(t, err)
	assert.False(t, sockets.NothingToRead(fd))
	in := buffer.NewPool(8, 10).New()
	n, err := sockets.Read(fd, &in, 100)
	require.NoError(t, err)
	assert.Equal(t, 34, n)
	require.NoError(t, sockets.Write(fd, &in))
	assert.Zero(t, in.Len())
	back := make([]byte, 34)
	_, err = c.Read(back)
	require.NoError(t, err)
	assert.Equal(t, "hello, this is longer than a block", string(back))
	_ = c.Close()
	_, err = sockets.Read(fd, &in, 100)
	assert.ErrorIs(t, err, ErrPeerClosed)
	assert.False(t, sockets.NothingToRead(fd), "an ended connection is not quiet")
}

func TestWaitingBytesCountFromTheLastPoll(t *testing.T) {
	l := newLoop(t)
	turn, slow := 0, 0.0
	require.NoError(t, l.Run(func(now float64) float64 {
		switch turn++; turn {
		case 1:
			slow = now
			time.Sleep(20 * time.Millisecond)
			l.Post(func() { assert.LessOrEqual(t, l.ReadySince(), slow, "what came in the slow turn") })
			return now
		}
		l.Stop()
		return now
	}))
	assert.GreaterOrEqual(t, l.LongestTurn(), 0.02)
}

func TestLogLinesAreDroppedRatherThanWaitedFor(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer func() { _ = r.Close() }()
	line := append(bytes.Repeat([]byte{'x'}, 999), '\n')
	for range 1000 { // more than a pipe holds
		n, err := DroppingWriter(w.Fd()).Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	_ = w.Close()
	got, err := io.ReadAll(r)
	require.NoError(t, err)
	assert.NotEmpty(t, got)
	assert.Zero(t, len(got)%len(line), "whole lines only")
}
