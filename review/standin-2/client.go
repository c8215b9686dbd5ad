package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"

	"stoatdale.example/stoatdale/internal/pg"
)

// outcomeKind is how a request ended for its client.
type outcomeKind string

const (
	outcomeEmpty   outcomeKind = "empty"   // EmptyQueryResponse
	outcomeServed  outcomeKind = "served"  // a whole row
	outcomeRefused outcomeKind = "refused" // 53300 or 57P03
	outcomeFailed  outcomeKind = "failed"  // any other error
	outcomeClosed  outcomeKind = "closed"  // the router has ended the connection without an answer
	outcomeNone    outcomeKind = "none"    // nothing came while the client listened
)

// outcome is the answer to a request.
type outcome struct {
	kind  outcomeKind
	code  string // SQLSTATE of an error
	value string
}

// client is a client's connection to a router.
type client struct {
	connection net.Conn
	reader     *bufio.Reader
}

// dial opens a connection and sends the start-up message, without waiting for its answer.
func dial(address string, timeout time.Duration) (*client, error) {
	c, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write(pg.AppendStartupMessage(nil)); err != nil {
		_ = c.Close()
		return nil, err
	}
	return &client{connection: c, reader: bufio.NewReader(c)}, nil
}

func (c *client) close() { _ = c.connection.Close() }

// send writes a query.
func (c *client) send(text string) error {
	_, err := c.connection.Write(pg.AppendQuery(nil, text))
	return err
}

// ask sends a query and listens for its answer until a time.
func (c *client) ask(text string, until time.Time) outcome {
	_ = c.connection.SetDeadline(until)
	if err := c.send(text); err != nil {
		return ended(err)
	}
	return c.listen(until)
}

// listen reads one answer. It passes over the answer to the start-up message.
func (c *client) listen(until time.Time) outcome {
	_ = c.connection.SetDeadline(until)
	result := outcome{}
	for {
		kind, body, err := pg.ReceiveMessage(c.reader, longestMessage)
		if err != nil {
			return ended(err)
		}
		switch kind {
		case 'I':
			result.kind = outcomeEmpty
		case 'D':
			result.kind, result.value = outcomeServed, string(body[6:])
		case 'E':
			result = failure(body)
			if strings.HasPrefix(string(body), "SFATAL") {
				return result
			}
		case 'Z':
			if result.kind != "" {
				return result
			}
		}
	}
}

// ended returns the outcome of a request whose connection has ended or stayed silent.
func ended(err error) outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return outcome{kind: outcomeNone}
	}
	return outcome{kind: outcomeClosed}
}

// failure returns the outcome that an ErrorResponse stands for.
func failure(body []byte) outcome {
	result := outcome{kind: outcomeFailed}
	for field := range strings.SplitSeq(string(body), "\x00") {
		if strings.HasPrefix(field, "C") {
			result.code = field[1:]
		}
	}
	if result.code == pg.CodeTooManyConnections || result.code == pg.CodeCannotConnectNow {
		result.kind = outcomeRefused
	}
	return result
}

// query returns a read of a class in a cell, and its id, for a client that waits so many milliseconds.
func query(class string, cell, wait int) (text, id string) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	return fmt.Sprintf("SELECT doc FROM items WHERE id = '%016x' /* id=%s,c=%s,d=%d,cluster=%d */",
		rand.Uint64(), id, class, wait, cell), id
}

// write returns a write of a class in a cell, and its id, for a client that waits so many milliseconds.
func write(class string, cell, wait int) (text, id string) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	return fmt.Sprintf(`INSERT INTO items (id, doc) VALUES ('%016x', '\x9f03') RETURNING doc /* id=%s,c=%s,d=%d,k=%016x,cluster=%d */`,
		rand.Uint64(), id, class, wait, rand.Uint64(), cell), id
}
