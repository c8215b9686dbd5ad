package testserver

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Discovery is a stand-in for the discovery service, which serves the endpoint list. The answer to a caller that has the
// newest list is delayed until the next list, or by longPoll at most.
type Discovery struct {
	Address string

	mu         sync.Mutex
	changed    chan struct{} // closed and replaced when the list changes
	generation int           // generation of the list
	list       string        // the list, as JSON
	http       *http.Server
}

const longPoll = 4 * time.Second // after which a caller gets the list that it already has

// NewDiscovery starts a discovery service on a free port of 127.0.0.1, with a list of the entries.
func NewDiscovery(entries ...string) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	d := &Discovery{Address: l.Addr().String(), changed: make(chan struct{})}
	d.SetList(entries...)
	d.http = &http.Server{Handler: d, ReadHeaderTimeout: longPoll}
	go func() { _ = d.http.Serve(l) }()
	return d, nil
}

// Close stops the service.
func (d *Discovery) Close() { _ = d.http.Close() }

// SetList replaces the endpoint list by one of the entries.
func (d *Discovery) SetList(entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.list = List(d.generation, entries...)
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers a call with the endpoint list.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	d.mu.Lock()
	changed, isNewest := d.changed, request.FormValue("from") == fmt.Sprint(d.generation)
	d.mu.Unlock()
	if isNewest {
		select {
		case <-changed:
		case <-time.After(longPoll):
		case <-request.Context().Done():
			return
		}
	}
	d.mu.Lock()
	body := d.list
	d.mu.Unlock()
	_, _ = w.Write([]byte(body))
}
