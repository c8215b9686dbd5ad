package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/pg"
)

// member is a stand-in of a member. For each statement it sends what answer returns, and closes the
// connection if that is nil.
type testBackend struct {
	address    string
	statements chan string // every statement, in order
	closed     chan struct{}
	answer     func(statement string) []byte
}

// message reads one message of the wire.
func readMessage(r io.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// row is an answer of one value.
func rowAnswer(value, role string) []byte {
	b := pg.Message(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
	b = pg.Message(b, 'D', binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value))), []byte(value))
	b = pg.Message(b, 'C', []byte("SELECT 1\x00"))
	b = pg.Status(b, "lsn_ms", fmt.Sprint(time.Now().UnixMilli()))
	return pg.Ready(pg.Status(b, "recovery", role))
}

func newTestBackend(t *testing.T, answer func(string) []byte) *testBackend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	m := &testBackend{address: l.Addr().String(), statements: make(chan string, 1000), closed: make(chan struct{}, 1000), answer: answer}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
	return m
}

func (m *testBackend) serve(c net.Conn) {
	defer func() { _ = c.Close(); m.closed <- struct{}{} }()
	r := bufio.NewReader(c)
	var n uint32
	if binary.Read(r, binary.BigEndian, &n) != nil {
		return
	}
	if _, err := r.Discard(int(n) - 4); err != nil {
		return
	}
	_, _ = c.Write(pg.Welcome(nil))
	for {
		kind, body, err := readMessage(r)
		if err != nil || kind != 'Q' {
			return
		}
		statement := string(body[:len(body)-1])
		if statement == "SHOW health" {
			_, _ = c.Write(rowAnswer(fmt.Sprintf("x0=%.3f,x1=0", float64(time.Now().UnixMilli())/1000), "on"))
			continue
		}
		m.statements <- statement
		b := m.answer(statement)
		if b == nil {
			return
		}
		_, _ = c.Write(b)
	}
}

func answerAs(role string) func(string) []byte {
	return func(q string) []byte { return rowAnswer("value of "+strings.Split(q, "'")[1], role) }
}
