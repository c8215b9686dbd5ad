package standin

import (
	"net"
	"sync"
	"time"
)

// Link is a way between two halls: it passes on what comes, in both directions, a constant time later.
type Link struct {
	Address string // leads to the target

	target   string
	delay    time.Duration
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

// NewLink opens a link on a free port of a loopback address.
func NewLink(target string, delay time.Duration) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &Link{Address: l.Addr().String(), target: target, delay: delay, listener: l}
	go link.accept()
	return link, nil
}

// Close ends the link and all that passes over it.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l.mu.Lock()
		l.conns = append(l.conns, near, far)
		l.mu.Unlock()
		go l.pass(near, far)
		go l.pass(far, near)
	}
}

// piece is what was read at once; an empty one stands for the end of the connection.
type piece struct {
	at   time.Time
	data []byte
}

// pass passes on one direction. An end passes as an end, in its order.
func (l *Link) pass(from, to net.Conn) {
	pieces := make(chan piece, 4096)
	go func() {
		for p := range pieces {
			time.Sleep(time.Until(p.at))
			if len(p.data) == 0 {
				_ = to.Close()
				continue
			}
			_, _ = to.Write(p.data)
		}
	}()
	defer close(pieces)
	for {
		b := make([]byte, 64<<10)
		n, err := from.Read(b)
		if n > 0 {
			pieces <- piece{time.Now().Add(l.delay), b[:n]}
		}
		if err != nil {
			pieces <- piece{at: time.Now().Add(l.delay)}
			return
		}
	}
}
