package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"stoatdale.example/stoatdale/internal/pg"
)

const (
	longestMessage = 1 << 20
	hangCheck      = 5 * time.Millisecond // between two looks whether a host goes on
	replicaLag     = 8 * time.Millisecond // how far a replica is behind
	handshakeTime  = 5 * time.Millisecond // what a new connection takes
)

// host is a stand-in for a database host.
type host struct {
	play    *play
	id      string
	address string
	cell    int

	listedRole string // its role in the list, "off" for a primary; not listed if empty
	startedMs  int64  // its last start in Unix milliseconds; 0: long ago

	mu       sync.Mutex // guards the fields below
	primary  bool
	draining bool          // finishes what it has and turns new work away
	hung     bool          // takes commands and answers none
	work     time.Duration // for one command
	seen     func(arrival) // told of each statement
	answered func(answer)  // told of each answer to a statement, before it is written
	stopped  time.Time     // when a host that has hung stopped to apply the log
	resumed  time.Time     // and when it went on as a replica
}

// answer is what a host tells with an answer.
type answer struct {
	id       string
	served   bool
	primary  bool
	position time.Time
}

// arrival is a statement that has arrived at a host.
type arrival struct {
	first, last float64 // when its first and its last byte came, in seconds of the play
	parameters  map[string]string
	text        string
}

// startHost starts a host.
func (p *play) startHost(id string, primary bool, work time.Duration) (*host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &host{play: p, id: id, address: l.Addr().String(), primary: primary, work: work, seen: func(arrival) {}, answered: func(answer) {}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	return h, nil
}

// entry returns the host's entry of the list.
func (h *host) entry() string {
	state := "ready"
	if h.state().draining {
		state = "draining"
	}
	role := ""
	if h.listedRole != "" {
		role = fmt.Sprintf(`,"recovery":%q`, h.listedRole)
	}
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"hall-a","machineType":"std","cell":%d,"lifecycle":%q,"weight":1.0,"startedAtMs":%d%s}`,
		h.id, h.address, h.cell, state, h.startedMs, role)
}

// conduct is what a host does at a moment.
type conduct struct {
	primary, draining, hung bool
	work                    time.Duration
	seen                    func(arrival)
	answered                func(answer)
	stopped, resumed        time.Time
}

func (h *host) state() conduct {
	h.mu.Lock()
	defer h.mu.Unlock()
	return conduct{
		primary: h.primary, draining: h.draining, hung: h.hung, work: h.work, seen: h.seen, answered: h.answered,
		stopped: h.stopped, resumed: h.resumed,
	}
}

// change changes the host's conduct.
func (h *host) change(f func(*host)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h)
}

// serve serves one connection, one statement at a time.
func (h *host) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	var size uint32
	if binary.Read(r, binary.BigEndian, &size) != nil || size < 4 || size > longestMessage {
		return
	}
	if _, err := r.Discard(int(size) - 4); err != nil {
		return
	}
	time.Sleep(handshakeTime)
	if _, err := c.Write(pg.AppendStartupReply(nil, pg.CancelKey{})); err != nil {
		return
	}
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := h.play.now()
		kind, body, err := pg.ReceiveMessage(r, longestMessage)
		if err != nil || kind != 'Q' || len(body) == 0 {
			return
		}
		if !h.run(c, r, arrival{first: first, last: h.play.now(), text: string(body[:len(body)-1])}) {
			return
		}
	}
}

// run runs one statement and reports whether the connection goes on.
func (h *host) run(c net.Conn, r *bufio.Reader, a arrival) bool {
	now := h.state()
	if a.text == "SHOW health" {
		if now.hung && !h.outlastHang(c, r) {
			return false
		}
		now = h.state()
		_, err := c.Write(h.row(h.report(now), now))
		return err == nil
	}
	a.parameters = parameters(a.text)
	now.seen(a)
	if now.hung && !h.outlastHang(c, r) {
		return false
	}
	now = h.state()
	isWrite := strings.HasPrefix(a.text, "INSERT")
	told := answer{id: a.parameters["id"], primary: now.primary}
	var reply []byte
	switch {
	case now.draining:
		reply = h.failure(pg.CodeTooManyConnections, now)
	case isWrite && !now.primary:
		reply = h.failure(pg.CodeReadOnlyTransaction, now)
	default:
		time.Sleep(now.work)
		told.served, told.position = true, position(now)
		reply = h.row(told.id+" "+h.id, now)
	}
	now.answered(told)
	_, err := c.Write(reply)
	return err == nil
}

// outlastHang waits until the host goes on after a hang. It reports false if the router has ended the connection.
func (h *host) outlastHang(c net.Conn, r *bufio.Reader) bool {
	for h.state().hung {
		_ = c.SetReadDeadline(time.Now().Add(hangCheck))
		if _, err := r.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
	_ = c.SetReadDeadline(time.Time{})
	return true
}

// position returns the host's position: the time up to which it has applied all commits.
func position(now conduct) time.Time {
	switch {
	case now.primary:
		return time.Now()
	case !now.resumed.IsZero(): // it applies what it has missed at twice the pace at which that was written
		behind := now.resumed.Sub(now.stopped) - time.Since(now.resumed)
		return time.Now().Add(-max(replicaLag, behind))
	}
	return time.Now().Add(-replicaLag)
}

// report returns the host's load report.
func (h *host) report(now conduct) string {
	role := 0
	if now.primary {
		role = 1
	}
	return fmt.Sprintf("x0=%.3f,x1=%d,waiting=0,active=1", float64(position(now).UnixMilli())/1000, role)
}

// status appends what a host tells with an answer, and the end of the answer.
func (h *host) status(answer []byte, now conduct) []byte {
	role := "on"
	if now.primary {
		role = "off"
	}
	answer = pg.AppendParameterStatus(answer, "recovery", role)
	answer = pg.AppendParameterStatus(answer, "lsn_ms", fmt.Sprint(position(now).UnixMilli()))
	return pg.AppendReadyForQuery(answer)
}

// row returns the answer that holds a value.
func (h *host) row(value string, now conduct) []byte {
	answer := pg.AppendMessage(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
	length := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	answer = pg.AppendMessage(answer, 'D', length, []byte(value))
	return h.status(pg.AppendMessage(answer, 'C', []byte("SELECT 1\x00")), now)
}

// failure returns the answer that holds an error.
func (h *host) failure(code string, now conduct) []byte {
	return h.status(pg.AppendErrorResponse(nil, false, code, "not here", ""), now)
}

// parameters returns the names and values in the comment of a statement.
func parameters(text string) map[string]string {
	values := map[string]string{}
	_, comment, _ := strings.Cut(text, "/*")
	for part := range strings.SplitSeq(strings.TrimSuffix(comment, "*/"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		values[name] = value
	}
	return values
}
