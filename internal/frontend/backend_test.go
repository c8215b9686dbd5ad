package frontend

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"regexp"
	"sync"

	"stoatdale.example/stoatdale/internal/pg"
)

// fakeBackend is the backend of the harness's endpoint. A test controls when it greets and reads, and what it answers.
type fakeBackend struct {
	greeting   chan struct{}          // connections are greeted once this is closed
	accepting  chan struct{}          // statements are read beyond their first byte once this is closed
	clientGone chan struct{}          // closed by the test once its client is gone
	answered   chan struct{}          // gets a value for each answer sent; may be nil
	answer     func(id string) []byte // returns nil for a statement that gets no answer

	mu       sync.Mutex
	received []string // ids of the statements that arrived completely
	started  int      // number of statements whose first byte arrived
}

var statementID = regexp.MustCompile(`id=([0-9a-f]+),`)

// startBackend starts the endpoint's backend. Unless change alters it, the backend greets, reads statements and answers
// none of them. It ends when the listener is closed, at the end of the test.
func (h *harness) startBackend(change func(*fakeBackend)) *fakeBackend {
	opened := make(chan struct{})
	close(opened)
	b := &fakeBackend{
		greeting:   opened,
		accepting:  opened,
		clientGone: make(chan struct{}),
		answer:     func(string) []byte { return nil },
	}
	change(b)
	go func() {
		for {
			conn, err := h.backendListener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *fakeBackend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !b.greet(conn) {
		return
	}
	reader := bufio.NewReader(conn)
	for {
		id, ok := b.receive(reader)
		if !ok {
			return
		}
		if answer := b.answer(id); answer != nil {
			_, _ = conn.Write(answer)
			if b.answered != nil {
				b.answered <- struct{}{}
			}
		}
	}
}

// greet reads the start-up packet and sends the greeting. It reports whether it succeeded.
func (b *fakeBackend) greet(conn net.Conn) bool {
	var length uint32
	if binary.Read(conn, binary.BigEndian, &length) != nil {
		return false
	}
	if _, err := io.CopyN(io.Discard, conn, int64(length)-4); err != nil {
		return false
	}
	<-b.greeting
	_, err := conn.Write(pg.AppendStartupReply(nil, pg.CancelKey{}))
	return err == nil
}

// receive reads one statement and returns its id. It returns false once the connection has ended.
func (b *fakeBackend) receive(reader *bufio.Reader) (id string, ok bool) {
	kind, err := reader.ReadByte()
	if err != nil || kind != messageQuery {
		return "", false
	}
	b.mu.Lock()
	b.started++
	b.mu.Unlock()
	<-b.accepting
	var length uint32
	if binary.Read(reader, binary.BigEndian, &length) != nil {
		return "", false
	}
	text := make([]byte, length-4)
	if _, err := io.ReadFull(reader, text); err != nil {
		return "", false
	}
	id = statementID.FindStringSubmatch(string(text))[1]
	b.mu.Lock()
	b.received = append(b.received, id)
	b.mu.Unlock()
	return id, true
}

// resume makes the backend greet and read statements, if the test has stopped it from doing so.
func (b *fakeBackend) resume() {
	for _, held := range []chan struct{}{b.greeting, b.accepting} {
		select {
		case <-held:
		default:
			close(held)
		}
	}
}

// hasStarted returns the condition that the first byte of n statements has arrived.
func (b *fakeBackend) hasStarted(n int) func() bool {
	return func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.started == n
	}
}

// hasReceived returns the condition that n statements have arrived completely.
func (b *fakeBackend) hasReceived(n int) func() bool {
	return func() bool { return len(b.ids()) == n }
}

// ids returns the ids of the statements that have arrived completely.
func (b *fakeBackend) ids() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.received...)
}

// valueRow returns an answer with one row, which has one value.
func valueRow(id string) []byte { return rowOf(id) }

// rowOf returns an answer with one row, whose value begins with "value of" and ends with the given text.
func rowOf(text string) []byte {
	value := "value of " + text
	column := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	message := pg.AppendMessage(nil, 'T', []byte("\x00\x01doc\x00"), make([]byte, 18))
	message = pg.AppendMessage(message, 'D', column, []byte(value))
	return pg.AppendReadyForQuery(pg.AppendMessage(message, 'C', []byte("SELECT 1\x00")))
}

// valueRowAfter returns an answer function that returns valueRow once release is closed.
func valueRowAfter(release <-chan struct{}) func(id string) []byte {
	return func(id string) []byte {
		<-release
		return valueRow(id)
	}
}

// overloaded returns an answer that rejects a command without executing it.
func overloaded(string) []byte {
	return pg.AppendReadyForQuery(pg.AppendErrorResponse(nil, false, pg.CodeTooManyConnections, "full", ""))
}
