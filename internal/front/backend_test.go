package front

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"regexp"
	"sync"

	"stoatdale.example/stoatdale/internal/pg"
)

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

// valueRow is an answer of one value.
func valueRow(id string) []byte {
	b := pg.Message(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
	b = pg.Message(b, 'D', binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len("value of "+id))), []byte("value of "+id))
	return pg.Ready(pg.Message(b, 'C', []byte("SELECT 1\x00")))
}

func overloaded(string) []byte { return pg.Ready(pg.Error(nil, false, pg.CodeFull, "full", "")) }
