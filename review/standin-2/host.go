package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"stoatdale.example/stoatdale/internal/pg"
)

const (
	longestMessage = 1 << 20
	replicaLag     = 8 * time.Millisecond // how far a replica is behind
	handshakeTime  = 5 * time.Millisecond // what a new connection takes
)

// host is a stand-in for a database host.
type host struct {
	play    *play
	id      string
	address string
	cell    int

	mu       sync.Mutex // guards the fields below
	primary  bool
	draining bool          // finishes what it has and turns new work away
	hung     bool          // takes commands and answers none
	work     time.Duration // for one command
	value    int           // bytes of a value beyond the id of its request
	seen     func(arrival) // told of each statement
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
	h := &host{play: p, id: id, address: l.Addr().String(), primary: primary, work: work, seen: func(arrival) {}}
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
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"hall-a","machineType":"std","cell":%d,"lifecycle":%q,"weight":1.0,"startedAtMs":0}`,
		h.id, h.address, h.cell, state)
}

// conduct is what a host does at a moment.
type conduct struct {
	primary, draining, hung bool
	work                    time.Duration
	value                   int
	seen                    func(arrival)
}

func (h *host) state() conduct {
	h.mu.Lock()
	defer h.mu.Unlock()
	return conduct{primary: h.primary, draining: h.draining, hung: h.hung, work: h.work, value: h.value, seen: h.seen}
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
		if now.hung {
			_, err := r.Peek(1) // until the router gives the probe up
			return err == nil
		}
		_, err := c.Write(h.row(h.report(now), now))
		return err == nil
	}
	a.parameters = parameters(a.text)
	now.seen(a)
	isWrite := strings.HasPrefix(a.text, "INSERT")
	var answer []byte
	switch {
	case now.hung:
		_, err := r.Peek(1) // until the router gives the attempt up
		return err == nil
	case now.draining:
		answer = h.failure(pg.CodeTooManyConnections, now)
	case isWrite && !now.primary:
		answer = h.failure(pg.CodeReadOnlyTransaction, now)
	default:
		time.Sleep(now.work)
		answer = h.row(a.parameters["id"]+" "+h.id+strings.Repeat(".", now.value), now)
	}
	_, err := c.Write(answer)
	return err == nil
}

// position returns the host's position: the time up to which it has applied all commits.
func position(now conduct) time.Time {
	if now.primary {
		return time.Now()
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
