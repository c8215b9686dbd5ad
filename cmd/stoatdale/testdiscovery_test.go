package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// testDiscovery is a discovery service. A list is published as its rows; its generation is its number.
type testDiscovery struct {
	address string
	mu      sync.Mutex
	cond    *sync.Cond
	lists   []string // each complete
	silent  bool
}

// newTestDiscovery serves a list until the test ends.
func newTestDiscovery(t *testing.T, first string) *testDiscovery {
	t.Helper()
	d := &testDiscovery{lists: []string{first}}
	d.cond = sync.NewCond(&d.mu)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d.address = l.Addr().String()
	s := &http.Server{Handler: d}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { d.publish(""); _ = s.Close() })
	return d
}

// publish replaces the list.
func (d *testDiscovery) publish(instances string) {
	d.mu.Lock()
	d.lists = append(d.lists, instances)
	d.mu.Unlock()
	d.cond.Broadcast()
}

// silence lets polls go unanswered until another list is published.
func (d *testDiscovery) silence() {
	d.mu.Lock()
	d.silent = true
	d.mu.Unlock()
}

// ServeHTTP answers a poll, and holds one for a later list until there is one.
func (d *testDiscovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for q.FormValue("from") == fmt.Sprint(len(d.lists)) || d.silent && len(d.lists) == 1 {
		d.cond.Wait()
	}
	_, _ = fmt.Fprintf(w, `{"generation":%d,"reset":true,"instances":[%s]}`, len(d.lists), d.lists[len(d.lists)-1])
}

// discoveryStep is what a scripted discovery service does at one request; it may leave it unanswered.
type discoveryStep func(w io.Writer, request *http.Request)

// newScriptedDiscovery serves requests by one step each, in the order in which they come on whatever connection; those
// after the last step stay unanswered. It returns its address.
func newScriptedDiscovery(t *testing.T, steps ...discoveryStep) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var taken atomic.Int64
	serve := func(connection net.Conn) {
		for reader := bufio.NewReader(connection); ; {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if step := int(taken.Add(1)) - 1; step < len(steps) {
				steps[step](connection, request)
			}
		}
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection)
		}
	}()
	return listener.Addr().String()
}

// answerList answers with a complete endpoint list.
func answerList(generation int, endpoints ...string) discoveryStep {
	list := fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, generation, strings.Join(endpoints, ","))
	return func(w io.Writer, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
}

// listEntry is one row of an endpoint list.
func listEntry(backend *testBackend, id, state, recovery string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"h","cell":2,"lifecycle":%q,"recovery":%q}`,
		id, backend.address, state, recovery)
}
