package testserver

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Discovery is the list's agent. A caller that has the newest list waits for the next.
type Discovery struct {
	At string

	mu    sync.Mutex
	news  chan struct{} // closed with each list
	lists int
	now   string // entries
	http  *http.Server
}

const longPoll = 4 * time.Second // after which a caller gets the list it has

// NewDiscovery starts one on a free port of loopback with a first list.
func NewDiscovery(entries ...string) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	d := &Discovery{At: l.Addr().String(), news: make(chan struct{})}
	d.List(entries...)
	d.http = &http.Server{Handler: d, ReadHeaderTimeout: longPoll}
	go func() { _ = d.http.Serve(l) }()
	return d, nil
}

// Close ends it.
func (d *Discovery) Close() { _ = d.http.Close() }

// List replaces the list.
func (d *Discovery) List(entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lists++
	d.now = List(d.lists, entries...)
	close(d.news)
	d.news = make(chan struct{})
}

func (d *Discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	d.mu.Lock()
	news, has := d.news, q.FormValue("from") == fmt.Sprint(d.lists)
	d.mu.Unlock()
	if has {
		select {
		case <-news:
		case <-time.After(longPoll):
		case <-q.Context().Done():
			return
		}
	}
	d.mu.Lock()
	body := d.now
	d.mu.Unlock()
	_, _ = w.Write([]byte(body))
}
