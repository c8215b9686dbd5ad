package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"stoatdale.example/stoatdale/internal/pg"
)

// soakConnection is one connection of a soak client.
type soakConnection struct {
	net.Conn
	soak             *soak
	rng              *rand.Rand
	reader           *bufio.Reader
	key              string // cancel key
	unanswered       []*soakCommand
	previousAnswerAt time.Time // time of the last answer on this connection
}

// client connects and sends commands until the router has been killed. It uses each connection until it ends or the
// client leaves, and then opens another.
func (s *soak) client(rng *rand.Rand) {
	for !s.killed.Load() {
		c, err := s.dial(rng)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.sendUntilClosed()
		_ = c.Close()
	}
}

// dial connects and sends the start-up message, without waiting for the reply.
func (s *soak) dial(rng *rand.Rand) (*soakConnection, error) {
	connection, err := net.DialTimeout("tcp", s.router.Load().address, time.Second)
	if err != nil {
		return nil, err
	}
	_ = connection.SetDeadline(time.Now().Add(hangTimeout))
	c := &soakConnection{Conn: connection, soak: s, rng: rng, reader: bufio.NewReader(connection)}
	if _, err := c.Write(pg.AppendStartupMessage(nil)); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// sendUntilClosed sends commands in random ways, until the connection ends or the client leaves.
func (c *soakConnection) sendUntilClosed() {
	if !c.receive(0) { // the start-up reply
		return
	}
	for !c.soak.killed.Load() {
		switch c.rng.IntN(12) {
		case 0: // leave with commands in flight
			c.send(1 + c.rng.IntN(3))
			time.Sleep(time.Duration(c.rng.IntN(60)) * time.Millisecond)
			c.leave()
			return
		case 1: // stay idle
			time.Sleep(time.Duration(c.rng.IntN(700)) * time.Millisecond)
		case 2: // send many commands in one go
			if !c.send(2+c.rng.IntN(20)) || !c.receiveAll() {
				return
			}
		case 3: // cancel
			if !c.send(1 + c.rng.IntN(2)) {
				return
			}
			time.Sleep(time.Duration(c.rng.IntN(30)) * time.Millisecond)
			c.cancel()
			if !c.receiveAll() {
				return
			}
		case 4: // send a malformed message
			_, _ = c.Write([]byte("Q\x00\x00\x00\x01"))
			_, _ = io.Copy(io.Discard, c.reader)
			return
		default:
			if !c.send(1) || !c.receiveAll() {
				return
			}
		}
	}
}

// statement returns the id, the statement text and the group of a new command.
func (c *soakConnection) statement() (id, text string, group *soakGroup) {
	group = c.soak.groups[c.rng.IntN(len(c.soak.groups))]
	id = fmt.Sprintf("%016x", c.soak.lastID.Add(1))
	verb := "SELECT doc FROM items WHERE id = '%s'"
	if group.effect != "pure" {
		verb = `INSERT INTO items (id, doc) VALUES ('%s', '\x9f') RETURNING doc`
	}
	text = fmt.Sprintf(verb+" /* id=%s,c=%s,d=%d,k=%s,cluster=2 */", id, id, group.name, group.deadline.Milliseconds(), id)
	return id, text, group
}

// send writes a number of commands, sometimes in several pieces. It reports whether all of them could be written.
func (c *soakConnection) send(count int) bool {
	var all []byte
	var commands []*soakCommand
	for range count {
		id, text, group := c.statement()
		all = pg.AppendQuery(all, text)
		commands = append(commands, c.soak.ledger.recordSent(id, group))
	}
	piece := len(all)
	if c.rng.IntN(4) == 0 {
		piece = len(all)/8 + 1
	}
	c.unanswered = append(c.unanswered, commands...)
	for rest := all; len(rest) > 0; {
		n := min(piece, len(rest))
		if _, err := c.Write(rest[:n]); err != nil {
			c.recordEnd()
			return false
		}
		if rest = rest[n:]; len(rest) > 0 {
			time.Sleep(time.Duration(c.rng.IntN(20)) * time.Millisecond)
		}
	}
	c.soak.ledger.update(func() {
		for _, command := range commands {
			command.sentAt, command.previousAnswerAt = time.Now(), c.previousAnswerAt
		}
	})
	return true
}

// receiveAll reads the answers to all unanswered commands. It reports whether all of them came.
func (c *soakConnection) receiveAll() bool {
	for len(c.unanswered) > 0 {
		if !c.receive(len(c.unanswered)) {
			return false
		}
	}
	return true
}

// receive reads one reply: that to the first unanswered command or, if there is none, the start-up reply. It reports
// whether the connection is still open.
func (c *soakConnection) receive(unanswered int) bool {
	fatal := false
	for {
		kind, body, err := readMessage(c.reader)
		if err != nil {
			if fatal && unanswered > 0 { // no ReadyForQuery follows
				c.recordAnswer()
			}
			c.recordEnd()
			return false
		}
		switch kind {
		case 'E':
			fatal = strings.Contains(string(body), "SFATAL")
		case kindBackendKeyData:
			c.key = string(body)
		case 'D':
			if unanswered > 0 && !strings.HasPrefix(string(body[6:]), "value of ") {
				c.soak.ledger.update(func() {
					c.soak.ledger.violations = append(c.soak.ledger.violations, "a value that no backend sent: "+string(body[6:]))
				})
			}
		case 'Z':
			if unanswered > 0 {
				c.recordAnswer()
			}
			return true
		}
	}
}

// recordAnswer records the final answer to the first unanswered command.
func (c *soakConnection) recordAnswer() {
	first := c.unanswered[0]
	c.unanswered = c.unanswered[1:]
	now := time.Now()
	c.soak.ledger.update(func() {
		first.answers, first.answeredAt, first.previousAnswerAt = first.answers+1, now, c.previousAnswerAt
	})
	c.previousAnswerAt = now
}

// recordEnd records for the unanswered commands that their connection has ended.
func (c *soakConnection) recordEnd() {
	now, termAt := time.Now(), c.soak.termAt.Load()
	c.soak.ledger.update(func() {
		for _, command := range c.unanswered {
			command.endedAt, command.previousAnswerAt = now, c.previousAnswerAt
			if termAt != nil {
				command.termAt = *termAt
			}
			if c.soak.killed.Load() {
				command.killedAt = now
			}
		}
	})
	c.unanswered = nil
}

// leave closes the connection and records for its unanswered commands that their client has left.
func (c *soakConnection) leave() {
	_ = c.Close()
	now := time.Now()
	c.soak.ledger.update(func() {
		for _, command := range c.unanswered {
			command.clientLeftAt = now
		}
	})
}

// cancel sends a cancel request for the commands in flight. Canceled commands are still answered.
func (c *soakConnection) cancel() {
	connection, err := net.DialTimeout("tcp", c.soak.router.Load().address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(hangTimeout))
	if _, err := connection.Write([]byte(cancelRequestHead + c.key)); err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, connection); err != nil {
		return
	}
	now, canceled := time.Now(), c.unanswered
	c.soak.ledger.update(func() {
		for _, command := range canceled {
			command.canceledAt = now
		}
	})
}
