package standin

import (
	"bufio"
	"net"
	"time"
)

// Reply is the answer to one query.
type Reply struct {
	Value  string
	Served bool // a row came, and no error
	Empty  bool
	Code   string // code of an error; empty if there was none
	Detail string
	At     time.Time // when its last byte was read
}

// Client is a client's connection to a router. It may have several queries out; the answers come in their order.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial connects to a router and sends the start-up message.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, reader: bufio.NewReader(conn)}
	if _, err = conn.Write(startupMessage()); err == nil {
		_, err = c.Read(2 * time.Second)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Send writes queries in one piece.
func (c *Client) Send(texts ...string) error {
	var b []byte
	for _, text := range texts {
		b = append(b, queryMessage(text)...)
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := c.conn.Write(b)
	return err
}

// Read reads one answer, up to the message that ends it.
func (c *Client) Read(timeout time.Duration) (Reply, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	var reply Reply
	for {
		kind, body, err := readMessage(c.reader)
		if err != nil {
			return reply, err
		}
		switch kind {
		case 'D':
			if len(body) >= 6 {
				reply.Value, reply.Served = string(body[6:]), true
			}
		case 'E':
			reply.Code, reply.Detail = errorFields(body)
			reply.Served = false
		case 'I':
			reply.Empty = true
		case 'Z':
			reply.At = time.Now()
			return reply, nil
		}
	}
}

// Ask sends a query and reads its answer.
func (c *Client) Ask(text string, timeout time.Duration) (Reply, error) {
	if err := c.Send(text); err != nil {
		return Reply{}, err
	}
	return c.Read(timeout)
}
