// Package standin has what the cases of the review share: stand-ins for database servers, discovery and clients on
// loopback addresses, a starter for a router, and the record of a run. It shares no code with the router.
package standin

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"strings"
)

const maxMessage = 1 << 20 // longest message that a stand-in reads, in bytes

// message returns one message of the wire protocol.
func message(kind byte, body []byte) []byte {
	b := append(make([]byte, 0, 5+len(body)), kind)
	b = binary.BigEndian.AppendUint32(b, uint32(4+len(body)))
	return append(b, body...)
}

// startupMessage returns the start-up message of a client.
func startupMessage() []byte {
	body := "\x00\x03\x00\x00user\x00app\x00database\x00shop\x00\x00"
	return append(binary.BigEndian.AppendUint32(nil, uint32(4+len(body))), body...)
}

// queryMessage returns a simple query.
func queryMessage(text string) []byte { return message('Q', append([]byte(text), 0)) }

// readStartup reads a start-up message.
func readStartup(r *bufio.Reader) error {
	var n uint32
	if err := binary.Read(r, binary.BigEndian, &n); err != nil {
		return err
	}
	if n < 8 || n > maxMessage {
		return fmt.Errorf("start-up message of %d bytes", n)
	}
	_, err := r.Discard(int(n) - 4)
	return err
}

// readMessage reads one message.
func readMessage(r *bufio.Reader) (kind byte, body []byte, err error) {
	var header [5]byte
	if _, err = io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(header[1:])) - 4
	if n < 0 || n > maxMessage {
		return 0, nil, fmt.Errorf("message %q of %d bytes", header[0], n)
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return header[0], body, err
}

func parameter(name, value string) []byte { return message('S', []byte(name+"\x00"+value+"\x00")) }

func ready() []byte { return message('Z', []byte{'I'}) }

// startupReply is what a database server answers to a start-up message.
func startupReply() []byte {
	b := message('R', make([]byte, 4))
	b = append(b, parameter("server_version", "16.0")...)
	b = append(b, message('K', make([]byte, 8))...)
	return append(b, ready()...)
}

// Status is what a database server tells with an answer.
type Status struct {
	Recovery   string // "off" from a primary, "on" from a replica; empty: not told
	PositionMs int64  // Unix time in milliseconds; 0: not told
}

func (s Status) parameters() []byte {
	var b []byte
	if s.PositionMs > 0 {
		b = append(b, parameter("lsn_ms", fmt.Sprint(s.PositionMs))...)
	}
	if s.Recovery != "" {
		b = append(b, parameter("recovery", s.Recovery)...)
	}
	return b
}

// Row returns the answer of a database server that served a statement.
func Row(value string, s Status) []byte {
	description := append([]byte("\x00\x01doc\x00"), make([]byte, 18)...)
	b := message('T', description)
	b = append(b, message('D', append(binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value))), value...))...)
	b = append(b, message('C', []byte("SELECT 1\x00"))...)
	b = append(b, s.parameters()...)
	return append(b, ready()...)
}

// Refusal returns the answer of a database server that did not serve a statement.
func Refusal(code string, s Status) []byte {
	b := message('E', []byte("SERROR\x00VERROR\x00C"+code+"\x00Mstand-in\x00\x00"))
	b = append(b, s.parameters()...)
	return append(b, ready()...)
}

// errorFields returns the code and the detail in the body of an error message.
func errorFields(body []byte) (code, detail string) {
	for _, field := range strings.Split(string(body), "\x00") {
		if field == "" {
			continue
		}
		switch field[0] {
		case 'C':
			code = field[1:]
		case 'D':
			detail = field[1:]
		}
	}
	return code, detail
}
