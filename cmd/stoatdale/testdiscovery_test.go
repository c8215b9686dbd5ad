package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
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

// listEntry is one row of an endpoint list.
func listEntry(backend *testBackend, id, state, recovery string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"h","cell":2,"lifecycle":%q,"recovery":%q}`,
		id, backend.address, state, recovery)
}
