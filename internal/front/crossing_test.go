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

// stand is the desk's member: it greets once greet is closed, takes statements once takes is, and gives each what
// answer returns, or nothing at all.
type stand struct {
	greet, takes chan struct{}
	done         chan struct{} // closed once the client has left
	said         chan struct{} // gets one for each answer, if not nil
	answer       func(id string) []byte

	mu    sync.Mutex
	got   []string // ids of the statements that came whole
	first int      // statements whose first byte came
	ended int      // connections that the router ended
}

var idOf = regexp.MustCompile(`id=([0-9a-f]+),`)

func (d *desk) stand(change func(*stand)) *stand {
	opened := make(chan struct{})
	close(opened)
	s := &stand{greet: opened, takes: opened, done: make(chan struct{}), answer: func(string) []byte { return nil }}
	change(s)
	go func() {
		for {
			c, err := d.node.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *stand) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		s.ended++
		s.mu.Unlock()
	}()
	var n uint32
	if binary.Read(c, binary.BigEndian, &n) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, c, int64(n)-4); err != nil {
		return
	}
	<-s.greet
	if _, err := c.Write(pg.Welcome(nil)); err != nil {
		return
	}
	for r := bufio.NewReader(c); ; {
		kind, err := r.ReadByte()
		if err != nil || kind != 'Q' {
			return
		}
		s.mu.Lock()
		s.first++
		s.mu.Unlock()
		<-s.takes
		if binary.Read(r, binary.BigEndian, &n) != nil {
			return
		}
		text := make([]byte, n-4)
		if _, err := io.ReadFull(r, text); err != nil {
			return
		}
		id := idOf.FindStringSubmatch(string(text))[1]
		s.mu.Lock()
		s.got = append(s.got, id)
		s.mu.Unlock()
		if b := s.answer(id); b != nil {
			_, _ = c.Write(b)
			if s.said != nil {
				s.said <- struct{}{}
			}
		}
	}
}

// row is an answer of one value.
func row(id string) []byte {
	b := pg.Message(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
	b = pg.Message(b, 'D', binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len("value of "+id))), []byte("value of "+id))
	return pg.Ready(pg.Message(b, 'C', []byte("SELECT 1\x00")))
}

func (s *stand) read(f func() bool) func() bool {
	return func() bool { s.mu.Lock(); defer s.mu.Unlock(); return f() }
}

func (s *stand) has(n int) func() bool { return s.read(func() bool { return len(s.got) == n }) }
func (s *stand) ids() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.got...)
}
func full(string) []byte                { return pg.Ready(pg.Error(nil, false, pg.CodeFull, "full", "")) }
func (d *desk) taken(n int) func() bool { return func() bool { return d.count.Taken == uint64(n) } }

// drains and readies say in a list that the member does.
func (d *desk) list(state roster.State) {
	d.member.State = state
	d.core.Listed(roster.List{Generation: 9, Members: []roster.Member{d.member}})
	d.core.Settle(d.l.Now())
}

func hello(more ...[]byte) []byte {
	b := pg.Hello(nil)
	for _, m := range more {
		b = append(b, m...)
	}
	return b
}

func long(id string) []byte {
	return query(id, "c=look,d=300000,x="+strings.Repeat("y", 900)) // a comment is a kilobyte at the most
}

// huge is a statement that the sockets on the way to the member cannot hold: its own receive buffer is small.
func huge(id string) []byte {
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
		member func(*stand)
		waits  func(d *desk, s *stand) net.Conn // returns once it does
		sent   []string                         // what came to the member before
		left   int                              // commands that had been taken
	}{
		"held by the module": {none, func(*stand) {}, func(d *desk, _ *stand) net.Conn {
			d.list(roster.Draining)
			c, _ := d.client(hello(wait("a1")))
			d.run(d.taken(1))
			return c
		}, nil, 1},
		"between tries": {none, func(s *stand) { s.answer = full; s.takes = make(chan struct{}) }, func(d *desk, s *stand) net.Conn {
			c, _ := d.client(hello(wait("a1")))
			d.run(s.read(func() bool { return s.first == 1 }))
			d.list(roster.Draining)
			close(s.takes)
			d.run(func() bool { return d.count.Outcomes[2] == 1 })
			return c
		}, []string{"a1"}, 1},
		"while its connection comes up": {none, func(s *stand) { s.greet = make(chan struct{}) }, func(d *desk, _ *stand) net.Conn {
			c, _ := d.client(hello(wait("a1")))
			d.run(func() bool { return d.count.Dialled == 1 })
			return c
		}, nil, 1},
		"with half of its statement written": {func(l *site.Limits) { l.Sizes.ClientMessage = 64 << 20; l.Sizes.ReadPerTurn = 64 << 20 },
			func(s *stand) { s.takes = make(chan struct{}) }, func(d *desk, s *stand) net.Conn {
				c, _ := d.client()
				go func() { _, _ = c.Write(hello(huge("a1"))) }()
				d.run(s.read(func() bool { return s.first == 1 }))
				return c
			}, nil, 1},
		"behind a full pipeline": {func(l *site.Limits) { l.Counts.PipelinedCommands = 2 }, func(*stand) {}, func(d *desk, s *stand) net.Conn {
			d.list(roster.Draining)
			c, _ := d.client(hello(wait("a1"), wait("a2"), wait("a3"), wait("a4")))
			d.run(d.taken(2))
			return c
		}, nil, 2},
		"unread with bytes before its end": {func(l *site.Limits) { l.Counts.PipelinedCommands = 1; l.Sizes.ReadPerTurn = 4096 }, func(*stand) {}, func(d *desk, s *stand) net.Conn {
			d.list(roster.Draining)
			var all []byte
			for i := range 40 {
				all = append(all, long(fmt.Sprintf("a%x", i))...)
			}
			c, _ := d.client(hello(all))
			d.run(d.taken(1))
			return c
		}, nil, 1},
		"with its last answer owed": {none, func(*stand) {}, func(d *desk, s *stand) net.Conn {
			d.list(roster.Draining)
			c, _ := d.client(hello(wait("a1"), []byte("?\x00\x00\x00\x04")))
			d.run(func() bool { return d.count.BadInput == 1 })
			return c
		}, nil, 1},
		"with answers that it does not take": {func(l *site.Limits) { l.Sizes.UnsentAnswers = 4096; l.Counts.InvalidQueries = 1 << 30 }, func(*stand) {}, func(d *desk, s *stand) net.Conn {
			d.list(roster.Draining)
			c, err := net.Dial("tcp", d.f.At.String()) // which reads nothing
			require.NoError(d.t, err)
			go func() {
				_, _ = c.Write(hello([]byte(strings.Repeat(string(pg.Query(nil, "SELECT 1")), 100_000)), wait("a1")))
			}()
			d.run(func() bool {
				for k := range d.f.conns {
					return k.out.Len() > 4096
				}
				return false
			})
			return c
		}, nil, 0},
		"unread for want of buffers": {func(l *site.Limits) { l.Counts.BufferBlocks = 1 << 10 }, func(*stand) {}, func(d *desk, s *stand) net.Conn {
			d.list(roster.Draining)
			c, _ := d.client(hello(wait("a1")))
			d.run(d.taken(1))
			hoard := d.blocks.New()
			hoard.Write(make([]byte, 4096<<10))
			_, err := c.Write(pg.Query(nil, strings.Repeat("z", 60_000))[:9000])
			require.NoError(d.t, err)
			d.run(func() bool { return len(d.f.waiting) == 1 })
			go func() { <-s.done; d.l.Post(hoard.Free) }()
			return c
		}, nil, 1},
		"while the router drains": {func(l *site.Limits) { l.Durations.DrainDeadline = 0 }, func(*stand) {}, func(d *desk, s *stand) net.Conn {
			d.list(roster.Draining)
			c, _ := d.client(hello(wait("a1")))
			other, err := net.Dial("tcp", d.f.At.String()) // for the command that comes after, taken before the end
			require.NoError(d.t, err)
			_, err = other.Write(hello(wait("b1")))
			require.NoError(d.t, err)
			d.run(d.taken(2))
			d.f.End()
			return c
		}, nil, 1},
	} {
		for how, linger := range map[string]int{"closes": -1, "resets": 0} {
			t.Run(what+", "+how, func(t *testing.T) {
				d := newDesk(t, func(l *site.Limits) { l.Durations.DrainDeadline = 100; w.limits(l) })
				s := d.stand(w.member)
				c := w.waits(d, s)
				_ = c.(*net.TCPConn).SetLinger(linger)
				open := d.f.Open()
				_ = c.Close()
				d.run(func() bool { return d.f.Open() == open-1 })
				assert.EqualValues(t, w.left, d.count.Left)
				assert.EqualValues(t, min(w.left, 1), d.count.LeftUnsent, "clients noticed gone with a command unsent")
				close(s.done)
				// What comes after it arrives, and nothing else.
				for _, held := range []chan struct{}{s.greet, s.takes} {
					select {
					case <-held:
					default:
						close(held)
					}
				}
				if d.list(roster.Ready); !d.f.Closed() {
					d.client(hello(wait("b1")))
				}
				d.run(s.has(len(w.sent) + 1))
				assert.Equal(t, append(w.sent, "b1"), s.ids())
			})
		}
	}
}

// What a client leaves behind is at a member already: it may run there, and nothing more is sent of it, whatever the
// member says of it then.
func TestWhatIsAtAMemberWhenItsClientLeavesIsNotTriedAgain(t *testing.T) {
	d := newDesk(t, func(*site.Limits) {})
	say := make(chan struct{})
	s := d.stand(func(s *stand) { s.answer = func(id string) []byte { <-say; return full(id) } })
	c, _ := d.client(hello(query("a1", "c=look,d=300000")))
	d.run(s.has(1))
	_ = c.Close()
	d.run(func() bool { return d.count.Left == 1 })
	assert.Zero(t, d.count.LeftUnsent)
	close(say)
	d.run(func() bool { return d.count.Outcomes[2] == 1 })
	d.client(hello(query("b1", "c=look,d=300000")))
	d.run(s.read(func() bool { return len(s.got) > 1 }))
	assert.Equal(t, "b1", s.ids()[1])
}

// A burst and its end stand in the socket together: nobody waits for the burst any more.
func TestBurstOfAClientThatIsGoneIsNotTaken(t *testing.T) {
	d := newDesk(t, func(*site.Limits) {})
	c, err := net.Dial("tcp", d.f.At.String())
	require.NoError(t, err)
	d.run(func() bool { return d.count.Accepted == 1 })
	_, err = c.Write(hello(query("a1", "c=look,d=300000")))
	require.NoError(t, err)
	require.NoError(t, c.Close())
	d.run(func() bool { return d.f.Open() == 0 })
	assert.Zero(t, d.count.Dispatches)
}

// A client that waits to be accepted asks and leaves meanwhile: what it asked is not sent on once there is room for it.
func TestClientThatLeavesBeforeItIsAcceptedIsNotHeard(t *testing.T) {
	for how, linger := range map[string]int{"closes": -1, "resets": 0} {
		d := newDesk(t, func(*site.Limits) {})
		s := d.stand(func(*stand) {})
		c, err := net.Dial("tcp", d.f.At.String())
		require.NoError(t, err)
		_, err = c.Write(hello(query("a1", "c=look,d=300000")))
		require.NoError(t, err)
		require.NoError(t, c.(*net.TCPConn).SetLinger(linger))
		require.NoError(t, c.Close()) // the loop has not turned yet
		d.client(hello(query("b1", "c=look,d=300000")))
		d.run(s.has(1))
		assert.Equal(t, []string{"b1"}, s.ids(), how)
		assert.EqualValues(t, 1, d.count.Taken, how)
		assert.EqualValues(t, 2, d.count.Accepted, how)
	}
}

// The rest of a message comes in the turn in which its time is over: it was whole in time.
func TestMessageThatLiesInTheSocketIsNotCutShort(t *testing.T) {
	d := newDesk(t, func(*site.Limits) {})
	d.stand(func(s *stand) { s.answer = row })
	whole := query("a1", "c=look,d=300000")
	c, heard := d.client(hello(pg.Query(nil, ""), whole[:20]))
	var k *conn
	d.run(func() bool {
		for k = range d.f.conns {
			return k.phase == amid
		}
		return false
	})
	d.l.Post(func() {
		_, err := c.Write(whole[20:])
		assert.NoError(t, err)
		k.due()
	})
	d.run(d.taken(1))
	assert.Zero(t, d.count.CutShort)
	d.f.End()
	assert.Contains(t, d.hear(heard), "value of a1")
}

// ends is a desk whose last call does not end within a test.
func ends(t *testing.T, change func(*site.Limits)) *desk {
	return newDesk(t, func(l *site.Limits) { l.Durations.DrainDeadline = 100; change(l) })
}

// A client whose connection was accepted just before the end has not said anything yet: it is heard until the last
// call. It was ended without a word, which counts as refused, and in numbers as lost.
func TestClientThatCameJustBeforeTheEndIsHeard(t *testing.T) {
	for what, first := range map[string][]byte{"nothing": nil, "half of the start-up": pg.Hello(nil)[:11], "the start-up": pg.Hello(nil),
		"half of the query": hello(query("a1", "c=look,d=300")[:20])} {
		d := ends(t, func(*site.Limits) {})
		s := d.stand(func(s *stand) { s.answer = full })
		c, heard := d.client(first)
		d.run(func() bool {
			for k := range d.f.conns {
				return k.in.Len()+k.out.Len() > 0 || k.state == open || len(first) == 0
			}
			return false
		})
		d.f.End()
		require.True(t, d.f.Closed())
		_, err := c.Write(hello(query("a1", "c=look,d=300"))[len(first):])
		require.NoError(t, err)
		assert.Contains(t, d.hear(heard), pg.CodeFull, "asked after %s", what)
		assert.Contains(t, s.ids(), "a1")
		require.NoError(t, c.Close())
		d.run(func() bool { return d.f.Open() == 0 })
		assert.False(t, d.f.end.IsSet())
	}
}

// Who has not asked by the last call hears that asking elsewhere does no harm, and is ended.
func TestClientThatDoesNotAskByTheLastCallIsToldSo(t *testing.T) {
	for what, first := range map[string][]byte{"nothing": nil, "half of the start-up": pg.Hello(nil)[:11], "the start-up": pg.Hello(nil),
		"half of the query": hello(query("a1", "c=look,d=300000")[:20]),
		"half of the next":  hello(pg.Query(nil, ""), query("a1", "c=look,d=300000")[:20])} {
		d := newDesk(t, func(l *site.Limits) { l.Durations.DrainDeadline = 0.05 })
		_, heard := d.client(first)
		d.run(func() bool { return d.count.Accepted == 1 })
		d.f.End()
		assert.Contains(t, d.hear(heard), pg.CodeEnding, "%s", what)
		assert.Zero(t, d.count.Taken)
	}
}

// All descriptors are taken by clients that are spared for a moment, and one more waits to be accepted: closing the
// listener then would reset it.
func TestClientThatWaitsToBeAcceptedAtTheEndIsServed(t *testing.T) {
	d := ends(t, func(l *site.Limits) { l.Counts.ClientConnections = 2; l.Durations.ShedGrace = 0.05 })
	d.client(pg.Hello(nil))
	d.client(pg.Hello(nil))
	d.run(func() bool { return d.f.mute.Len() == 2 })
	_, heard := d.client(hello(pg.Query(nil, "")))
	d.f.End()
	assert.False(t, d.f.Closed())
	d.run(d.f.Closed)
	assert.EqualValues(t, 3, d.count.Accepted)
	assert.Contains(t, d.hear(heard), string(pg.Empty(nil)))
}

// Where none makes room the listener is closed at the last call all the same.
func TestFullRouterEndsAllTheSame(t *testing.T) {
	d := newDesk(t, func(l *site.Limits) {
		l.Counts.ClientConnections = 1
		l.Durations.ShedGrace = 0.01
		l.Durations.DrainDeadline = 0.05
	})
	s := d.stand(func(*stand) {})
	c, _ := d.client(hello(query("a1", "c=look,d=300000")))
	d.run(s.has(1))
	d.client(hello(query("a2", "c=look,d=300000")))
	d.run(func() bool { return d.l.Now() > 0.02 && d.f.resume.IsSet() })
	d.f.End()
	d.run(d.f.Closed)
	assert.EqualValues(t, 1, d.count.Taken)
	require.NoError(t, c.Close())
	d.run(func() bool { return d.f.Open() == 0 })
}

// A command lies in the socket when its connection would be ended: it was asked in time, and is answered.
func TestCommandInTheSocketIsNotSwallowedAtTheEnd(t *testing.T) {
	d := ends(t, func(*site.Limits) {})
	s := d.stand(func(s *stand) { s.answer = full })
	c, heard := d.client(hello(pg.Query(nil, "")))
	d.run(func() bool { return d.f.idle.Len() == 1 })
	_, err := c.Write(query("a1", "c=look,d=300"))
	require.NoError(t, err)
	d.f.End() // the loop has not turned since it was written
	assert.Contains(t, d.hear(heard), pg.CodeFull)
	assert.Contains(t, s.ids(), "a1")
}

// So it is behind the answer to the one before: that is the moment at which a connection in a drain is ended. The
// next command comes in the turn of the answer, too late to be among what is ready in it.
func TestCommandBehindAnAnswerIsNotSwallowedAtTheEnd(t *testing.T) {
	d := ends(t, func(*site.Limits) {})
	say, said := make(chan struct{}), make(chan struct{}, 2)
	s := d.stand(func(s *stand) { s.answer = func(id string) []byte { <-say; return row(id) }; s.said = said })
	c, heard := d.client(hello(query("a1", "c=look,d=300000")))
	d.run(s.has(1))
	d.f.End()
	close(say)
	<-said // it lies in the router's socket
	d.l.Post(func() {
		_, err := c.Write(query("a2", "c=look,d=300000"))
		assert.NoError(t, err)
	})
	got := d.hear(heard)
	assert.Contains(t, got, "value of a1")
	assert.Contains(t, got, "value of a2")
}

// A client that goes on asking before it is answered is read no more after the last call: what was taken is
// answered and the connection ends, so that what it asks later it may ask elsewhere.
func TestClientThatPipelinesForGoodIsEnded(t *testing.T) {
	d := newDesk(t, func(l *site.Limits) { l.Durations.DrainDeadline = 0.05; l.Durations.CloseLinger = 0.05 })
	say := make(chan struct{})
	s := d.stand(func(s *stand) { s.answer = func(id string) []byte { <-say; return row(id) } })
	c, heard := d.client(hello(query("a1", "c=look,d=300000")))
	d.run(s.has(1))
	d.f.End()
	d.run(func() bool { return d.f.over })
	_, err := c.Write(query("a2", "c=look,d=300000"))
	require.NoError(t, err)
	close(say)
	got := d.hear(heard)
	assert.Contains(t, got, "value of a1")
	assert.NotContains(t, got, "value of a2")
	assert.EqualValues(t, 1, d.count.Taken)
	d.run(func() bool { return d.f.Open() == 0 })
}
