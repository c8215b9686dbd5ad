package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/pg"
)

// testClient is one client connection to the router.
type testClient struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

// dial connects and sends nothing yet.
func (r *testRouter) dial() *testClient {
	r.t.Helper()
	connection, err := net.Dial("tcp", r.address)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(hangTimeout))
	return &testClient{r.t, connection, bufio.NewReader(connection)}
}

// connect returns a client that has completed its start-up.
func (r *testRouter) connect() *testClient {
	r.t.Helper()
	client := r.dial()
	client.send(pg.AppendStartupMessage(nil))
	client.readReply()
	return client
}

func (c *testClient) send(b []byte) {
	c.t.Helper()
	_, err := c.Write(b)
	require.NoError(c.t, err)
}

// readReply reads up to ReadyForQuery. It returns the value of a row, EMPTY for an empty query, or the code and detail of
// an error. If the connection ends before ReadyForQuery, it appends " END".
func (c *testClient) readReply() string {
	c.t.Helper()
	reply := ""
	for {
		kind, body, err := readMessage(c.reader)
		if err != nil {
			return reply + " END"
		}
		switch kind {
		case 'D':
			reply = string(body[6:])
		case 'I':
			reply = "EMPTY"
		case 'E':
			reply = errorText(body)
		case 'Z':
			return reply
		}
	}
}

// errorText returns the code and the detail of an ErrorResponse.
func errorText(body []byte) string {
	fields := map[byte]string{}
	for _, field := range bytes.Split(body, []byte{0}) {
		if len(field) > 0 {
			fields[field[0]] = string(field[1:])
		}
	}
	return strings.TrimSpace(fields['C'] + " " + fields['D'])
}

// query sends a statement and returns its reply.
func (c *testClient) query(text string) string {
	c.t.Helper()
	c.send(pg.AppendQuery(nil, text))
	return c.readReply()
}

// readStatement returns a statement of the command group look that reads a key.
func readStatement(key string) string {
	return fmt.Sprintf("SELECT doc FROM items WHERE id = '%s' /* id=%08x,c=look,d=3000,cluster=2 */",
		key, crc32.ChecksumIEEE([]byte(key)))
}

// writeStatement returns a statement of the command group order that writes a key, with a client timeout.
func writeStatement(key string, timeoutMs int) string {
	const form = `INSERT INTO items (id, doc) VALUES ('%s', '\x9f') RETURNING doc /* id=02,c=order,d=%d,k=5c,cluster=2 */`
	return fmt.Sprintf(form, key, timeoutMs)
}
