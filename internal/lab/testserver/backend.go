// Package testserver has stand-ins for the peers of a router, on loopback sockets and in real time: backends, discovery,
// clients, and a router that misbehaves on request. They speak the published protocols, and the only code that they share
// with the router is that of package pg, which encodes messages.
package testserver

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"stoatdale.example/stoatdale/internal/pg"
)

const maxMessageBytes = 1 << 20 // maximum length of a message in bytes

// Row returns a backend's answer that consists of one value. Its position is the current time. role is the parameter
// "recovery": "off" for a primary, "on" for a replica.
func Row(value, role string) []byte {
	b := pg.AppendMessage(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
	b = pg.AppendMessage(b, 'D', binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value))), []byte(value))
	b = pg.AppendMessage(b, 'C', []byte("SELECT 1\x00"))
	b = pg.AppendParameterStatus(b, "lsn_ms", fmt.Sprint(time.Now().UnixMilli()))
	return pg.AppendReadyForQuery(pg.AppendParameterStatus(b, "recovery", role))
}

// Backend is a stand-in for a database server. It answers each statement with the result of Answer, and closes the
// connection if that is nil. It answers health checks itself, always as a replica.
type Backend struct {
	Address    string
	Answer     func(statement string) []byte
	Statements atomic.Int64 // number of statements received, without health checks

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	running  sync.WaitGroup
}

// NewBackend starts a backend on a free port of 127.0.0.1.
func NewBackend(answer func(string) []byte) (*Backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("backend: %w", err)
	}
	b := &Backend{Address: l.Addr().String(), Answer: answer, listener: l, conns: map[net.Conn]bool{}}
	b.running.Add(1)
	go b.accept()
	return b, nil
}

// Close stops the backend and closes its connections.
func (b *Backend) Close() {
	_ = b.listener.Close()
	b.mu.Lock()
	for c := range b.conns {
		_ = c.Close()
	}
	b.mu.Unlock()
	b.running.Wait()
}

func (b *Backend) accept() {
	defer b.running.Done()
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		b.running.Add(1)
		go b.serve(c)
	}
}

func (b *Backend) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		b.running.Done()
	}()
	r := bufio.NewReader(c)
	var n uint32
	if binary.Read(r, binary.BigEndian, &n) != nil || n < 4 || n > maxMessageBytes {
		return
	}
	if _, err := r.Discard(int(n) - 4); err != nil {
		return
	}
	_, _ = c.Write(pg.AppendStartupReply(nil, pg.CancelKey{}))
	for {
		kind, body, err := pg.ReceiveMessage(r, maxMessageBytes)
		if err != nil || kind != 'Q' || len(body) == 0 {
			return
		}
		statement := string(body[:len(body)-1])
		if statement == "SHOW health" {
			_, _ = c.Write(Row(fmt.Sprintf("x0=%.3f,x1=0", float64(time.Now().UnixMilli())/1000), "on"))
			continue
		}
		b.Statements.Add(1)
		answer := b.Answer(statement)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// Entry returns the backend's entry of the endpoint list.
func (b *Backend) Entry(id, state, recovery string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"h","cell":2,"lifecycle":%q,"recovery":%q}`,
		id, b.Address, state, recovery)
}

// List returns a complete endpoint list in the format of discovery.
func List(generation int, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, generation, strings.Join(entries, ","))
}

// Client is a client connection to a router.
type Client struct {
	net.Conn
	reader *bufio.Reader
}

// Dial connects to a router and performs the startup. timeout applies to the connection and
// then to the startup.
func Dial(address string, timeout time.Duration) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(timeout))
	client := &Client{c, bufio.NewReader(c)}
	if _, err := c.Write(pg.AppendStartupMessage(nil)); err == nil {
		_, _ = client.Reply() // a failed startup becomes an error of the first query
	}
	return client, nil
}

// Reply is the content of the messages up to ReadyForQuery.
type Reply struct {
	Value  string // value in the row; empty if there is no row
	Empty  bool   // whether it is an EmptyQueryResponse
	Code   string // SQLSTATE of an error; empty if there is none
	Detail string // detail of an error; empty if there is none
}

// Reply reads one answer. It returns an error if the connection ends before the answer is complete.
func (c *Client) Reply() (Reply, error) {
	var reply Reply
	for {
		kind, body, err := pg.ReceiveMessage(c.reader, maxMessageBytes)
		if err != nil {
			return reply, err
		}
		switch kind {
		case 'D':
			if len(body) >= 6 {
				reply.Value = string(body[6:])
			}
		case 'I':
			reply.Empty = true
		case 'E':
			for _, f := range strings.Split(string(body), "\x00") {
				if f != "" && f[0] == 'C' {
					reply.Code = f[1:]
				}
				if f != "" && f[0] == 'D' {
					reply.Detail = f[1:]
				}
			}
		case 'Z':
			return reply, nil
		}
	}
}

// Query sends a query and reads its answer, both within timeout. sent reports whether the query was written
// completely.
func (c *Client) Query(text string, timeout time.Duration) (reply Reply, sent bool, err error) {
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write(pg.AppendQuery(nil, text)); err != nil {
		return reply, false, err
	}
	reply, err = c.Reply()
	return reply, true, err
}

// Closed reports whether the router has closed the connection. No query may be in flight.
func (c *Client) Closed() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
