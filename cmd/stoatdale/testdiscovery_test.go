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
	"time"

	"github.com/stretchr/testify/require"
)

// testDiscovery is a discovery service. Lists are published one after the other; the generation of a list is its number,
// counted from 1.
type testDiscovery struct {
	address string
	mu      sync.Mutex
	cond    *sync.Cond
	lists   []string // the rows of each complete list, in JSON
	silent  bool
	delay   time.Duration // how late each reply is; set before the first call
}

// newTestDiscovery starts a discovery service with a first list. It serves until the test ends.
func newTestDiscovery(t *testing.T, first string) *testDiscovery {
	t.Helper()
	return newLateTestDiscovery(t, first, 0)
}

// newLateTestDiscovery starts a discovery service that is late with each reply.
func newLateTestDiscovery(t *testing.T, first string, delay time.Duration) *testDiscovery {
	t.Helper()
	d := &testDiscovery{lists: []string{first}, delay: delay}
	d.cond = sync.NewCond(&d.mu)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d.address = listener.Addr().String()
	server := &http.Server{Handler: d}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { d.publish(""); _ = server.Close() })
	return d
}

// publish replaces the endpoint list.
func (d *testDiscovery) publish(instances string) {
	d.mu.Lock()
	d.lists = append(d.lists, instances)
	d.mu.Unlock()
	d.cond.Broadcast()
}

// silence leaves all calls unanswered until a second list is published.
func (d *testDiscovery) silence() {
	d.mu.Lock()
	d.silent = true
	d.mu.Unlock()
}

// ServeHTTP answers a call with the present list. A poll that names the present generation is held until a later list is
// published.
func (d *testDiscovery) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	list := d.awaitList(request.FormValue("from"))
	time.Sleep(d.delay)
	_, _ = io.WriteString(w, list)
}

// awaitList returns the present list once its generation is not from.
func (d *testDiscovery) awaitList(from string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for from == fmt.Sprint(len(d.lists)) || d.silent && len(d.lists) == 1 {
		d.cond.Wait()
	}
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, len(d.lists), d.lists[len(d.lists)-1])
}

// discoveryStep handles one request to a scripted discovery service. It may leave the request unanswered.
type discoveryStep func(w io.Writer, request *http.Request)

// newScriptedDiscovery starts a discovery service and returns its address. It handles each request by the next step, in
// the order in which requests arrive on all connections. Requests after the last step stay unanswered.
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

// answerList returns a step that answers with a complete endpoint list.
func answerList(generation int, endpoints ...string) discoveryStep {
	list := fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, generation, strings.Join(endpoints, ","))
	return func(w io.Writer, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
}

// listEntry returns one row of an endpoint list, in JSON.
func listEntry(backend *testBackend, id, state, recovery string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"h","cell":2,"lifecycle":%q,"recovery":%q}`,
		id, backend.address, state, recovery)
}
