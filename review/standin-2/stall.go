package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Times of the case stall, in seconds, and its figures.
const (
	stallHangAt  = 3.0   // the primary hangs
	stallAt      = 4.0   // the router stands still
	stallLasts   = 0.600 // and for so long
	stallLongest = 0.610 // what the site allows
	stallSendLag = 0.005 // from the start of the stall to the requests
	stallWrites  = 5
	stallWork    = 30 * time.Millisecond
	stallWait    = 1500 // milliseconds that their clients wait: half of the command group's client timeout
)

func init() { cases["stall"] = playStall }

// playStall has a router stand still for 610 ms while its primary hangs. Requests that come meanwhile have to get their final
// answers in time.
func playStall(p *play) error {
	r, _, hosts, err := p.startAll(bogota(), stallWork, "s-primary", "s-replica1")
	if err != nil {
		return err
	}
	primary := hosts[0]
	begin := p.now()
	primary.change(func(h *host) {
		h.seen = func(a arrival) {
			p.note(h.id, "got request %s, told to take %s ms", a.parameters["id"], a.parameters["d"])
		}
	})
	var running sync.WaitGroup
	var stallError error
	for at := begin + readyAfterSec; at < begin+stallHangAt; at += 0.1 {
		p.sleepUntil(at)
		running.Go(func() {
			p.checkedRequest(r.address, func() (string, string) { return write("schedule-change", 0, stallWait) }, stallWait)
		})
	}
	if p.trouble != "0" {
		p.note("s-primary", "hangs")
		primary.change(func(h *host) { h.hung = true })
	}
	p.sleepUntil(begin + stallAt)
	if p.trouble != "0" && p.trouble != "hang" {
		running.Go(func() { stallError = p.stall(r) })
	}
	p.sleepUntil(begin + stallAt + stallSendLag)
	for range stallWrites {
		running.Go(func() {
			p.checkedRequest(r.address, func() (string, string) { return write("schedule-change", 0, stallWait) }, stallWait)
		})
	}
	running.Wait()
	return stallError
}

// stall has a router stand still. It returns an error if that took longer than the site allows.
func (p *play) stall(r *router) error {
	from := p.now()
	r.signal(syscall.SIGSTOP)
	p.note("router", "stands still")
	p.sleepUntil(from + stallLasts)
	r.signal(syscall.SIGCONT)
	lasted := p.now() - from
	p.note("router", "goes on after %.3f s", lasted)
	if lasted > stallLongest {
		return fmt.Errorf("the router stood still for %.3f s, %.3f at most", lasted, stallLongest)
	}
	return nil
}
