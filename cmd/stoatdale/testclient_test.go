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

// client is one connection to the program.
type testClient struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (r *testRouter) dial() *testClient {
	r.t.Helper()
	c, err := net.Dial("tcp", r.address)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return &testClient{r.t, c, bufio.NewReader(c)}
}

// client is one that has started up.
func (r *testRouter) connect() *testClient {
	r.t.Helper()
	c := r.dial()
	c.send(pg.Hello(nil))
	c.readReply()
	return c
}

func (c *testClient) send(b []byte) {
	c.t.Helper()
	_, err := c.Write(b)
	require.NoError(c.t, err)
}

// reply reads up to ReadyForQuery, or the end: the value of a row, or an error as its code and detail.
func (c *testClient) readReply() string {
	c.t.Helper()
	said := ""
	for {
		kind, body, err := readMessage(c.reader)
		if err != nil {
			return said + " END"
		}
		switch kind {
		case 'D':
			said = string(body[6:])
		case 'I':
			said = "EMPTY"
		case 'E':
			f := map[byte]string{}
			for _, p := range bytes.Split(body, []byte{0}) {
				if len(p) > 0 {
					f[p[0]] = string(p[1:])
				}
			}
			said = strings.TrimSpace(f['C'] + " " + f['D'])
		case 'Z':
			return said
		}
	}
}

func (c *testClient) query(text string) string {
	c.t.Helper()
	c.send(pg.Query(nil, text))
	return c.readReply()
}

func readStatement(key string) string {
	return fmt.Sprintf("SELECT doc FROM items WHERE id = '%s' /* id=%08x,c=look,d=3000,cluster=2 */",
		key, crc32.ChecksumIEEE([]byte(key)))
}

func writeStatement(key string, wait int) string {
	return fmt.Sprintf(`INSERT INTO items (id, doc) VALUES ('%s', '\x9f') RETURNING doc /* id=02,c=order,d=%d,k=5c,cluster=2 */`, key, wait)
}
