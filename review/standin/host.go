package standin

import (
	"bufio"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// Statement is a statement that a database server has received completely.
type Statement struct {
	Text    string
	ID      string    // parameter id of the comment
	Group   string    // parameter c of the comment
	Arrived time.Time // when its last byte was read
	Conn    int       // number of the connection at this server, from 1
	First   bool      // it is the first statement on its connection
}

// Parameter returns a parameter of the statement's comment, or an empty string.
func (s *Statement) Parameter(name string) string { return parameterOf(s.Text, name) }

func parameterOf(text, name string) string {
	_, comment, _ := strings.Cut(text, "/*")
	comment, _, _ = strings.Cut(comment, "*/")
	for _, part := range strings.Split(comment, ",") {
		if key, value, ok := strings.Cut(strings.TrimSpace(part), "="); ok && key == name {
			return value
		}
	}
	return ""
}

// Host is a database server. The functions are called on the goroutine of the connection, which they may hold up.
type Host struct {
	Name      string
	Address   string
	IdleClose time.Duration // a connection that is idle for this long is closed; 0: never
	// ConnectDelay returns how late a connection comes up.
	ConnectDelay func(conn int) time.Duration
	// Serve answers a statement; nil closes the connection.
	Serve func(s Statement) []byte
	// Health answers a health check.
	Health func() []byte
	// Extra returns what follows an answer on its connection unasked, and how long after it. It is not sent if the next
	// statement has arrived meanwhile.
	Extra func(answer []byte) (extra []byte, after time.Duration)
	// ExtraSent is called just before it is sent.
	ExtraSent func(conn int)

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	count    int
	running  sync.WaitGroup
}

// Listen opens the server on a free port of a loopback address.
func (h *Host) Listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h.listener, h.Address, h.conns = l, l.Addr().String(), map[net.Conn]bool{}
	h.running.Add(1)
	go h.accept()
	return nil
}

// Close ends the server and its connections.
func (h *Host) Close() {
	_ = h.listener.Close()
	h.mu.Lock()
	for c := range h.conns {
		_ = c.Close()
	}
	h.mu.Unlock()
	h.running.Wait()
}

func (h *Host) accept() {
	defer h.running.Done()
	for {
		c, err := h.listener.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns[c] = true
		h.count++
		number := h.count
		h.mu.Unlock()
		h.running.Add(1)
		go h.serve(c, number)
	}
}

func (h *Host) serve(c net.Conn, number int) {
	defer func() {
		_ = c.Close()
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
		h.running.Done()
	}()
	if h.ConnectDelay != nil {
		time.Sleep(h.ConnectDelay(number))
	}
	r := bufio.NewReader(c)
	if readStartup(r) != nil {
		return
	}
	if _, err := c.Write(startupReply()); err != nil {
		return
	}
	for first := true; ; {
		if h.IdleClose > 0 {
			_ = c.SetReadDeadline(time.Now().Add(h.IdleClose))
		}
		kind, body, err := readMessage(r)
		if err != nil || kind != 'Q' || len(body) == 0 {
			return
		}
		text := string(body[:len(body)-1])
		var answer []byte
		if text == "SHOW health" {
			answer = h.Health()
		} else {
			s := Statement{Text: text, Arrived: time.Now(), Conn: number, First: first}
			s.ID, s.Group = s.Parameter("id"), s.Parameter("c")
			answer = h.Serve(s)
			first = false
		}
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if h.Extra != nil && text != "SHOW health" && !h.sendExtra(c, r, number, answer) {
			return
		}
	}
}

// sendExtra sends what follows an answer, if the connection stays at rest until then. It reports whether the connection
// is still open.
func (h *Host) sendExtra(c net.Conn, r *bufio.Reader, number int, answer []byte) bool {
	extra, after := h.Extra(answer)
	if extra == nil {
		return true
	}
	_ = c.SetReadDeadline(time.Now().Add(after))
	_, err := r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if err == nil {
		return true // the next statement is waiting
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	h.ExtraSent(number)
	_, err = c.Write(extra)
	return err == nil
}
