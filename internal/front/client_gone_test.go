package front

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/roster"
	"stoatdale.example/stoatdale/internal/router"
	"stoatdale.example/stoatdale/internal/site"
)

// These tests make two events cross on real connections, in the order that is the worse one, every time: the member
// holds back what it says until it is told, and the loop turns only until what was waited for has happened.

// A client that leaves while its command waits has nothing sent for it any more, in whatever way it waits, whether
// it closes or resets. Unseen it was wherever it was not read: epoll told of an end only with bytes to read.
func TestNothingIsSentForAClientThatHasLeft(t *testing.T) {
	wait := func(id string) []byte { return query(id, "c=look,d=300000") }
	none := func(*site.Limits) {}
	for what, w := range map[string]struct {
		limits func(*site.Limits)
		member func(*fakeBackend)
		waits  func(d *harness, s *fakeBackend) net.Conn // returns once it does
		sent   []string                                  // what came to the member before
		left   int                                       // commands that had been taken
	}{
		"held by the module": {none, func(*fakeBackend) {}, func(d *harness, _ *fakeBackend) net.Conn {
			d.publishState(roster.StateDraining)
			c, _ := d.client(startupThen(wait("a1")))
			d.runUntil(d.acceptedCommands(1))
			return c
		}, nil, 1},
		"between tries": {none, func(s *fakeBackend) { s.answer = overloaded; s.accepting = make(chan struct{}) }, func(d *harness, s *fakeBackend) net.Conn {
			c, _ := d.client(startupThen(wait("a1")))
			d.runUntil(s.locked(func() bool { return s.started == 1 }))
			d.publishState(roster.StateDraining)
			close(s.accepting)
			d.runUntil(func() bool { return d.counters.AttemptResults[router.Overloaded] == 1 })
			return c
		}, []string{"a1"}, 1},
		"while its connection comes up": {none, func(s *fakeBackend) { s.greeting = make(chan struct{}) }, func(d *harness, _ *fakeBackend) net.Conn {
			c, _ := d.client(startupThen(wait("a1")))
			d.runUntil(func() bool { return d.counters.BackendConnects == 1 })
			return c
		}, nil, 1},
		"with half of its statement written": {
			func(l *site.Limits) { l.Sizes.ClientMessage = 64 << 20; l.Sizes.ReadPerTurn = 64 << 20 },
			func(s *fakeBackend) { s.accepting = make(chan struct{}) }, func(d *harness, s *fakeBackend) net.Conn {
				c, _ := d.client()
				go func() { _, _ = c.Write(startupThen(hugeQuery("a1"))) }()
				d.runUntil(s.locked(func() bool { return s.started == 1 }))
				return c
			}, nil, 1,
		},
		"behind a full pipeline": {func(l *site.Limits) { l.Counts.PipelinedCommands = 2 }, func(*fakeBackend) {}, func(d *harness, s *fakeBackend) net.Conn {
			d.publishState(roster.StateDraining)
			c, _ := d.client(startupThen(wait("a1"), wait("a2"), wait("a3"), wait("a4")))
			d.runUntil(d.acceptedCommands(2))
			return c
		}, nil, 2},
		"unread with bytes before its end": {func(l *site.Limits) { l.Counts.PipelinedCommands = 1; l.Sizes.ReadPerTurn = 4096 }, func(*fakeBackend) {}, func(d *harness, s *fakeBackend) net.Conn {
			d.publishState(roster.StateDraining)
			var all []byte
			for i := range 40 {
				all = append(all, longQuery(fmt.Sprintf("a%x", i))...)
			}
			c, _ := d.client(startupThen(all))
			d.runUntil(d.acceptedCommands(1))
			return c
		}, nil, 1},
		"with its last answer owed": {none, func(*fakeBackend) {}, func(d *harness, s *fakeBackend) net.Conn {
			d.publishState(roster.StateDraining)
			c, _ := d.client(startupThen(wait("a1"), []byte("?\x00\x00\x00\x04")))
			d.runUntil(func() bool { return d.counters.InvalidQueries == 1 })
			return c
		}, nil, 1},
		"with answers that it does not take": {func(l *site.Limits) { l.Sizes.UnsentAnswers = 4096; l.Counts.InvalidQueries = 1 << 30 }, func(*fakeBackend) {}, func(d *harness, s *fakeBackend) net.Conn {
			d.publishState(roster.StateDraining)
			c, err := net.Dial("tcp", d.server.Address.String()) // which reads nothing
			require.NoError(d.t, err)
			go func() {
				_, _ = c.Write(startupThen([]byte(strings.Repeat(string(pg.Query(nil, "SELECT 1")), 100_000)), wait("a1")))
			}()
			d.runUntil(func() bool {
				for k := range d.server.conns {
					return k.output.Len() > 4096
				}
				return false
			})
			return c
		}, nil, 0},
		"unread for want of buffers": {func(l *site.Limits) { l.Counts.BufferBlocks = 1 << 10 }, func(*fakeBackend) {}, func(d *harness, s *fakeBackend) net.Conn {
			d.publishState(roster.StateDraining)
			c, _ := d.client(startupThen(wait("a1")))
			d.runUntil(d.acceptedCommands(1))
			hoard := d.buffers.New()
			hoard.Write(make([]byte, 4096<<10))
			_, err := c.Write(pg.Query(nil, strings.Repeat("z", 60_000))[:9000])
			require.NoError(d.t, err)
			d.runUntil(func() bool { return len(d.server.awaitingBuffers) == 1 })
			go func() { <-s.clientLeft; d.loop.Post(hoard.Free) }()
			return c
		}, nil, 1},
		"while the router drains": {func(l *site.Limits) { l.Durations.DrainDeadline = 0 }, func(*fakeBackend) {}, func(d *harness, s *fakeBackend) net.Conn {
			d.publishState(roster.StateDraining)
			c, _ := d.client(startupThen(wait("a1")))
			other, err := net.Dial("tcp", d.server.Address.String()) // for the command that comes after, taken before the end
			require.NoError(d.t, err)
			_, err = other.Write(startupThen(wait("b1")))
			require.NoError(d.t, err)
			d.runUntil(d.acceptedCommands(2))
			d.server.Shutdown()
			return c
		}, nil, 1},
	} {
		for how, linger := range map[string]int{"closes": -1, "resets": 0} {
			t.Run(what+", "+how, func(t *testing.T) {
				d := newHarness(t, func(l *site.Limits) { l.Durations.DrainDeadline = 100; w.limits(l) })
				s := d.startBackend(w.member)
				c := w.waits(d, s)
				_ = c.(*net.TCPConn).SetLinger(linger)
				open := d.server.OpenConnections()
				_ = c.Close()
				d.runUntil(func() bool { return d.server.OpenConnections() == open-1 })
				assert.EqualValues(t, w.left, d.counters.Abandoned)
				assert.EqualValues(t, min(w.left, 1), d.counters.ClientsLeftUnsent, "clients noticed gone with a command unsent")
				close(s.clientLeft)
				// What comes after it arrives, and nothing else.
				for _, held := range []chan struct{}{s.greeting, s.accepting} {
					select {
					case <-held:
					default:
						close(held)
					}
				}
				if d.publishState(roster.StateReady); !d.server.ListenerClosed() {
					d.client(startupThen(wait("b1")))
				}
				d.runUntil(s.hasReceived(len(w.sent) + 1))
				assert.Equal(t, append(w.sent, "b1"), s.ids())
			})
		}
	}
}

// What a client leaves behind is at a member already: it may run there, and nothing more is sent of it, whatever the
// member says of it then.
func TestWhatIsAtAMemberWhenItsClientLeavesIsNotTriedAgain(t *testing.T) {
	d := newHarness(t, func(*site.Limits) {})
	say := make(chan struct{})
	s := d.startBackend(func(s *fakeBackend) { s.answer = func(id string) []byte { <-say; return overloaded(id) } })
	c, _ := d.client(startupThen(query("a1", "c=look,d=300000")))
	d.runUntil(s.hasReceived(1))
	_ = c.Close()
	d.runUntil(func() bool { return d.counters.Abandoned == 1 })
	assert.Zero(t, d.counters.ClientsLeftUnsent)
	close(say)
	d.runUntil(func() bool { return d.counters.AttemptResults[router.Overloaded] == 1 })
	d.client(startupThen(query("b1", "c=look,d=300000")))
	d.runUntil(s.locked(func() bool { return len(s.received) > 1 }))
	assert.Equal(t, "b1", s.ids()[1])
}

// A burst and its end stand in the socket together: nobody waits for the burst any more.
func TestBurstOfAClientThatIsGoneIsNotTaken(t *testing.T) {
	d := newHarness(t, func(*site.Limits) {})
	c, err := net.Dial("tcp", d.server.Address.String())
	require.NoError(t, err)
	d.runUntil(func() bool { return d.counters.ClientsAccepted == 1 })
	_, err = c.Write(startupThen(query("a1", "c=look,d=300000")))
	require.NoError(t, err)
	require.NoError(t, c.Close())
	d.runUntil(func() bool { return d.server.OpenConnections() == 0 })
	assert.Zero(t, d.counters.Attempts)
}

// A client that waits to be accepted asks and leaves meanwhile: what it asked is not sent on once there is room for it.
func TestClientThatLeavesBeforeItIsAcceptedIsNotHeard(t *testing.T) {
	for how, linger := range map[string]int{"closes": -1, "resets": 0} {
		d := newHarness(t, func(*site.Limits) {})
		s := d.startBackend(func(*fakeBackend) {})
		c, err := net.Dial("tcp", d.server.Address.String())
		require.NoError(t, err)
		_, err = c.Write(startupThen(query("a1", "c=look,d=300000")))
		require.NoError(t, err)
		require.NoError(t, c.(*net.TCPConn).SetLinger(linger))
		require.NoError(t, c.Close()) // the loop has not turned yet
		d.client(startupThen(query("b1", "c=look,d=300000")))
		d.runUntil(s.hasReceived(1))
		assert.Equal(t, []string{"b1"}, s.ids(), how)
		assert.EqualValues(t, 1, d.counters.Received, how)
		assert.EqualValues(t, 2, d.counters.ClientsAccepted, how)
	}
}
