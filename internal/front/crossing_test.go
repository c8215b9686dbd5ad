package front

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/roster"
	"stoatdale.example/stoatdale/internal/site"
)

// These tests make two events cross on real connections, in the order that is the worse one, every time: the member
// holds back what it says until it is told, and the loop turns only until what was waited for has happened.

// fakeBackend is the desk's member: it greets once greet is closed, takes statements once takes is, and gives each what
// answer returns, or nothing at all.
type fakeBackend struct {
	greeting, accepting chan struct{}
	clientLeft          chan struct{} // closed once the client has left
	answered            chan struct{} // gets one for each answer, if not nil
	answer              func(id string) []byte

	mu       sync.Mutex
	received []string // ids of the statements that came whole
	started  int      // statements whose first byte came
	closed   int      // connections that the router ended
}

var idOf = regexp.MustCompile(`id=([0-9a-f]+),`)

func (d *harness) startBackend(change func(*fakeBackend)) *fakeBackend {
	opened := make(chan struct{})
	close(opened)
	s := &fakeBackend{greeting: opened, accepting: opened, clientLeft: make(chan struct{}), answer: func(string) []byte { return nil }}
	change(s)
	go func() {
		for {
			c, err := d.backendListener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *fakeBackend) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		s.closed++
		s.mu.Unlock()
	}()
	var n uint32
	if binary.Read(c, binary.BigEndian, &n) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, c, int64(n)-4); err != nil {
		return
	}
	<-s.greeting
	if _, err := c.Write(pg.Welcome(nil)); err != nil {
		return
	}
	for r := bufio.NewReader(c); ; {
		kind, err := r.ReadByte()
		if err != nil || kind != 'Q' {
			return
		}
		s.mu.Lock()
		s.started++
		s.mu.Unlock()
		<-s.accepting
		if binary.Read(r, binary.BigEndian, &n) != nil {
			return
		}
		text := make([]byte, n-4)
		if _, err := io.ReadFull(r, text); err != nil {
			return
		}
		id := idOf.FindStringSubmatch(string(text))[1]
		s.mu.Lock()
		s.received = append(s.received, id)
		s.mu.Unlock()
		if b := s.answer(id); b != nil {
			_, _ = c.Write(b)
			if s.answered != nil {
				s.answered <- struct{}{}
			}
		}
	}
}

// valueRow is an answer of one value.
func valueRow(id string) []byte {
	b := pg.Message(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
	b = pg.Message(b, 'D', binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len("value of "+id))), []byte("value of "+id))
	return pg.Ready(pg.Message(b, 'C', []byte("SELECT 1\x00")))
}

func (s *fakeBackend) locked(f func() bool) func() bool {
	return func() bool { s.mu.Lock(); defer s.mu.Unlock(); return f() }
}

func (s *fakeBackend) hasReceived(n int) func() bool {
	return s.locked(func() bool { return len(s.received) == n })
}

func (s *fakeBackend) ids() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.received...)
}

func overloaded(string) []byte { return pg.Ready(pg.Error(nil, false, pg.CodeFull, "full", "")) }

func (d *harness) acceptedCommands(n int) func() bool {
	return func() bool { return d.counters.Received == uint64(n) }
}

// drains and readies say in a publishState that the member does.
func (d *harness) publishState(state roster.State) {
	d.endpoint.State = state
	d.dispatcher.HandleList(roster.List{Generation: 9, Endpoints: []roster.Endpoint{d.endpoint}})
	d.dispatcher.Settle(d.loop.Now())
}

func startupThen(more ...[]byte) []byte {
	b := pg.Hello(nil)
	for _, m := range more {
		b = append(b, m...)
	}
	return b
}

func longQuery(id string) []byte {
	return query(id, "c=look,d=300000,x="+strings.Repeat("y", 900)) // a comment is a kilobyte at the most
}

// hugeQuery is a statement that the sockets on the way to the member cannot hold: its own receive buffer is small.
func hugeQuery(id string) []byte {
	return pg.Query(nil, fmt.Sprintf("SELECT doc FROM items WHERE id = '%s' /* id=%s,cluster=2,c=look,d=300000 */",
		strings.Repeat("y", 6<<20), id))
}

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
			d.runUntil(func() bool { return d.counters.AttemptResults[2] == 1 })
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
	d.runUntil(func() bool { return d.counters.AttemptResults[2] == 1 })
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

// The rest of a message comes in the turn in which its time is over: it was whole in time.
func TestMessageThatLiesInTheSocketIsNotCutShort(t *testing.T) {
	d := newHarness(t, func(*site.Limits) {})
	d.startBackend(func(s *fakeBackend) { s.answer = valueRow })
	whole := query("a1", "c=look,d=300000")
	c, heard := d.client(startupThen(pg.Query(nil, ""), whole[:20]))
	var k *conn
	d.runUntil(func() bool {
		for k = range d.server.conns {
			return k.phase == phaseReadingMessage
		}
		return false
	})
	d.loop.Post(func() {
		_, err := c.Write(whole[20:])
		assert.NoError(t, err)
		k.timerExpired()
	})
	d.runUntil(d.acceptedCommands(1))
	assert.Zero(t, d.counters.MessageTimeouts)
	d.server.Shutdown()
	assert.Contains(t, d.readAll(heard), "value of a1")
}

// newDrainHarness is a desk whose last call does not end within a test.
func newDrainHarness(t *testing.T, change func(*site.Limits)) *harness {
	return newHarness(t, func(l *site.Limits) { l.Durations.DrainDeadline = 100; change(l) })
}

// A client whose connection was accepted just before the end has not said anything yet: it is heard until the last
// call. It was ended without a word, which counts as refused, and in numbers as lost.
func TestClientThatCameJustBeforeTheEndIsHeard(t *testing.T) {
	for what, first := range map[string][]byte{
		"nothing": nil, "half of the start-up": pg.Hello(nil)[:11], "the start-up": pg.Hello(nil),
		"half of the query": startupThen(query("a1", "c=look,d=300")[:20]),
	} {
		d := newDrainHarness(t, func(*site.Limits) {})
		s := d.startBackend(func(s *fakeBackend) { s.answer = overloaded })
		c, heard := d.client(first)
		d.runUntil(func() bool {
			for k := range d.server.conns {
				return k.input.Len()+k.output.Len() > 0 || k.state == stateOpen || len(first) == 0
			}
			return false
		})
		d.server.Shutdown()
		require.True(t, d.server.ListenerClosed())
		_, err := c.Write(startupThen(query("a1", "c=look,d=300"))[len(first):])
		require.NoError(t, err)
		assert.Contains(t, d.readAll(heard), pg.CodeFull, "asked after %s", what)
		assert.Contains(t, s.ids(), "a1")
		require.NoError(t, c.Close())
		d.runUntil(func() bool { return d.server.OpenConnections() == 0 })
		assert.False(t, d.server.drainTimer.IsSet())
	}
}

// Who has not asked by the last call hears that asking elsewhere does no harm, and is ended.
func TestClientThatDoesNotAskByTheLastCallIsToldSo(t *testing.T) {
	for what, first := range map[string][]byte{
		"nothing": nil, "half of the start-up": pg.Hello(nil)[:11], "the start-up": pg.Hello(nil),
		"half of the query": startupThen(query("a1", "c=look,d=300000")[:20]),
		"half of the next":  startupThen(pg.Query(nil, ""), query("a1", "c=look,d=300000")[:20]),
	} {
		d := newHarness(t, func(l *site.Limits) { l.Durations.DrainDeadline = 0.05 })
		_, heard := d.client(first)
		d.runUntil(func() bool { return d.counters.ClientsAccepted == 1 })
		d.server.Shutdown()
		assert.Contains(t, d.readAll(heard), pg.CodeEnding, "%s", what)
		assert.Zero(t, d.counters.Received)
	}
}

// All descriptors are taken by clients that are spared for a moment, and one more waits to be accepted: closing the
// listener then would reset it.
func TestClientThatWaitsToBeAcceptedAtTheEndIsServed(t *testing.T) {
	d := newDrainHarness(t, func(l *site.Limits) { l.Counts.ClientConnections = 2; l.Durations.ShedGrace = 0.05 })
	d.client(pg.Hello(nil))
	d.client(pg.Hello(nil))
	d.runUntil(func() bool { return d.server.silent.Len() == 2 })
	_, heard := d.client(startupThen(pg.Query(nil, "")))
	d.server.Shutdown()
	assert.False(t, d.server.ListenerClosed())
	d.runUntil(d.server.ListenerClosed)
	assert.EqualValues(t, 3, d.counters.ClientsAccepted)
	assert.Contains(t, d.readAll(heard), string(pg.Empty(nil)))
}

// Where none makes room the listener is closed at the last call all the same.
func TestFullRouterEndsAllTheSame(t *testing.T) {
	d := newHarness(t, func(l *site.Limits) {
		l.Counts.ClientConnections = 1
		l.Durations.ShedGrace = 0.01
		l.Durations.DrainDeadline = 0.05
	})
	s := d.startBackend(func(*fakeBackend) {})
	c, _ := d.client(startupThen(query("a1", "c=look,d=300000")))
	d.runUntil(s.hasReceived(1))
	d.client(startupThen(query("a2", "c=look,d=300000")))
	d.runUntil(func() bool { return d.loop.Now() > 0.02 && d.server.resumeTimer.IsSet() })
	d.server.Shutdown()
	d.runUntil(d.server.ListenerClosed)
	assert.EqualValues(t, 1, d.counters.Received)
	require.NoError(t, c.Close())
	d.runUntil(func() bool { return d.server.OpenConnections() == 0 })
}

// A command lies in the socket when its connection would be ended: it was asked in time, and is answered.
func TestCommandInTheSocketIsNotSwallowedAtTheEnd(t *testing.T) {
	d := newDrainHarness(t, func(*site.Limits) {})
	s := d.startBackend(func(s *fakeBackend) { s.answer = overloaded })
	c, heard := d.client(startupThen(pg.Query(nil, "")))
	d.runUntil(func() bool { return d.server.idle.Len() == 1 })
	_, err := c.Write(query("a1", "c=look,d=300"))
	require.NoError(t, err)
	d.server.Shutdown() // the loop has not turned since it was written
	assert.Contains(t, d.readAll(heard), pg.CodeFull)
	assert.Contains(t, s.ids(), "a1")
}

// So it is behind the answer to the one before: that is the moment at which a connection in a drain is ended. The
// next command comes in the turn of the answer, too late to be among what is ready in it.
func TestCommandBehindAnAnswerIsNotSwallowedAtTheEnd(t *testing.T) {
	d := newDrainHarness(t, func(*site.Limits) {})
	say, said := make(chan struct{}), make(chan struct{}, 2)
	s := d.startBackend(func(s *fakeBackend) {
		s.answer = func(id string) []byte { <-say; return valueRow(id) }
		s.answered = said
	})
	c, heard := d.client(startupThen(query("a1", "c=look,d=300000")))
	d.runUntil(s.hasReceived(1))
	d.server.Shutdown()
	close(say)
	<-said // it lies in the router's socket
	d.loop.Post(func() {
		_, err := c.Write(query("a2", "c=look,d=300000"))
		assert.NoError(t, err)
	})
	got := d.readAll(heard)
	assert.Contains(t, got, "value of a1")
	assert.Contains(t, got, "value of a2")
}

// A client that goes on asking before it is answered is read no more after the last call: what was taken is
// answered and the connection ends, so that what it asks later it may ask elsewhere.
func TestClientThatPipelinesForGoodIsEnded(t *testing.T) {
	d := newHarness(t, func(l *site.Limits) { l.Durations.DrainDeadline = 0.05; l.Durations.CloseLinger = 0.05 })
	say := make(chan struct{})
	s := d.startBackend(func(s *fakeBackend) { s.answer = func(id string) []byte { <-say; return valueRow(id) } })
	c, heard := d.client(startupThen(query("a1", "c=look,d=300000")))
	d.runUntil(s.hasReceived(1))
	d.server.Shutdown()
	d.runUntil(func() bool { return d.server.deadlinePassed })
	_, err := c.Write(query("a2", "c=look,d=300000"))
	require.NoError(t, err)
	close(say)
	got := d.readAll(heard)
	assert.Contains(t, got, "value of a1")
	assert.NotContains(t, got, "value of a2")
	assert.EqualValues(t, 1, d.counters.Received)
	d.runUntil(func() bool { return d.server.OpenConnections() == 0 })
}
