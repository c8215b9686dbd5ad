package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is a row of the list that discovery serves.
type Instance struct {
	ID        string `json:"instanceId"`
	HostPort  string `json:"hostPort"`
	Zone      string `json:"zone"`
	Cell      int    `json:"cell"`
	Lifecycle string `json:"lifecycle"`
	StartedAt int64  `json:"startedAtMs"`
	Recovery  string `json:"recovery,omitempty"`
}

// List is the whole list.
type List struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Discovery serves the list over HTTP. It answers a watch with the whole list when the list has changed, and with no
// changes when the watch's time has passed.
type Discovery struct {
	Address string

	mu      sync.Mutex
	list    List
	changed chan struct{}
	server  *http.Server
}

// NewDiscovery starts the service on a free port of a loopback address.
func NewDiscovery(rows []Instance) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: l.Addr().String(), changed: make(chan struct{})}
	d.list = List{Generation: 1, Reset: true, Instances: rows}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

// Close ends the service.
func (d *Discovery) Close() { _ = d.server.Close() }

// Set replaces the list.
func (d *Discovery) Set(rows []Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = List{Generation: d.list.Generation + 1, Reset: true, Instances: rows}
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	d.mu.Lock()
	changed, generation := d.changed, d.list.Generation
	d.mu.Unlock()
	from, err := strconv.Atoi(request.FormValue("from"))
	watch := err == nil && from == generation
	if watch {
		hold, _ := strconv.Atoi(request.FormValue("hold_ms"))
		select {
		case <-changed:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-request.Context().Done():
			return
		}
	}
	d.mu.Lock()
	list := d.list
	d.mu.Unlock()
	if watch && list.Generation == generation {
		list = List{Generation: generation, Instances: []Instance{}}
	}
	_ = json.NewEncoder(w).Encode(list)
}
