package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// longestHold is the longest time for which discovery holds a call.
const longestHold = 60 * time.Second

// discovery is a stand-in for the agent on a router's machine that tells the list.
type discovery struct {
	play    *play
	address string

	mu         sync.Mutex // guards the fields below
	generation int
	hosts      []*host
	changed    chan struct{} // closed when the list changes
	delay      time.Duration // by which each answer is late
}

// startDiscovery starts an agent that has a list of hosts.
func (p *play) startDiscovery(hosts ...*host) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{play: p, address: l.Addr().String(), generation: 41, hosts: hosts, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, d) }()
	return d, nil
}

// tell has the agent tell the hosts' present states. The change counts as told from the time that it returns.
func (d *discovery) tell() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
	d.play.note("discovery", "has generation %d", d.generation)
	return d.play.now()
}

// setDelay makes each answer late by a time.
func (d *discovery) setDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
	d.play.note("discovery", "from now on each answer comes %v late", delay)
}

// add adds a host to the list.
func (d *discovery) add(h *host) {
	d.mu.Lock()
	d.hosts = append(d.hosts, h)
	d.mu.Unlock()
	d.tell()
}

// list returns the whole list.
func (d *discovery) list() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var entries []string
	for _, h := range d.hosts {
		entries = append(entries, h.entry())
	}
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, d.generation, strings.Join(entries, ","))
}

// hold waits until there is something newer than a generation, but not longer than a time. It reports whether there is.
func (d *discovery) hold(call *http.Request, from int, longest time.Duration) (newer bool) {
	timeout := time.NewTimer(longest)
	defer timeout.Stop()
	for {
		d.mu.Lock()
		newer, changed := d.generation > from, d.changed
		d.mu.Unlock()
		if newer {
			return true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		case <-call.Context().Done():
			return false
		}
	}
}

// ServeHTTP answers a call for the list or for what follows a generation.
func (d *discovery) ServeHTTP(w http.ResponseWriter, call *http.Request) {
	arrived := d.play.now()
	body := ""
	if from, err := strconv.Atoi(call.URL.Query().Get("from")); err == nil {
		wait, _ := strconv.Atoi(call.URL.Query().Get("hold_ms"))
		if !d.hold(call, from, min(longestHold, time.Duration(wait)*time.Millisecond)) {
			body = fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[]}`, from)
		}
	}
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	time.Sleep(delay)
	if body == "" {
		body = d.list()
	}
	w.Header().Set("Content-Type", "application/json")
	_, err := w.Write([]byte(body))
	gaveUp := ""
	if err != nil || call.Context().Err() != nil {
		gaveUp = ", which had given the call up"
	}
	d.play.note("discovery", "call of %.3f for %s answered to the router%s", arrived, call.URL.RequestURI(), gaveUp)
}
