package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// discovery is a stand-in of the list's agent. Lists are documents without their generation.
type testDiscovery struct {
	address string
	mu      sync.Mutex
	cond    *sync.Cond
	lists   []string // each whole
	silent  bool
}

func newTestDiscovery(t *testing.T, first string) *testDiscovery {
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

func (d *testDiscovery) publish(instances string) {
	d.mu.Lock()
	d.lists = append(d.lists, instances)
	d.mu.Unlock()
	d.cond.Broadcast()
}

func (d *testDiscovery) silence() { d.mu.Lock(); d.silent = true; d.mu.Unlock() }

func (d *testDiscovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for q.FormValue("from") == fmt.Sprint(len(d.lists)) || d.silent && len(d.lists) == 1 {
		d.cond.Wait()
	}
	_, _ = fmt.Fprintf(w, `{"generation":%d,"reset":true,"instances":[%s]}`, len(d.lists), d.lists[len(d.lists)-1])
}

func listEntry(m *testBackend, id, state, recovery string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"h","cell":2,"lifecycle":%q,"recovery":%q}`,
		id, m.address, state, recovery)
}
