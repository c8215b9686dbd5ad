package main

import (
	"sync"
	"time"
)

// Times and figures that several cases share.
const (
	serviceTime   = 60 * time.Millisecond // what a host takes for a request
	readyAfterSec = 0.5                   // seconds from a router's start to the first request
	loadWait      = 1000                  // milliseconds that a client of load waits
	socketsSlack  = 0.05                  // seconds by which every time limit is longer on sockets
	answerSlack   = 0.5                   // seconds after its time at which a request is lost
	listenExtra   = 4.0                   // seconds for which a client listens beyond that
)

// load sends reads of a class at a rate, each on a connection of its own, and waits for their ends.
func (p *play) load(address string, from, to float64, rate int, class string) {
	var running sync.WaitGroup
	p.sleepUntil(from)
	for at := from; at < to; at += 1 / float64(rate) {
		p.sleepUntil(at)
		running.Go(func() {
			text, id := query(class, 0, loadWait)
			c, err := dial(address, time.Second)
			if err != nil {
				p.note("client", "request %s could not be sent: %v", id, err)
				return
			}
			defer c.close()
			sent := p.now()
			result := c.ask(text, time.Now().Add(loadWait*time.Millisecond))
			p.note("client", "request %s of %.4f: %s %s", id, sent, result.kind, result.code)
		})
	}
	running.Wait()
}

// checkedRequest sends one request on a new connection and checks that it gets its final answer in time. The client waits so
// many milliseconds.
func (p *play) checkedRequest(address string, newRequest func() (text, id string), wait float64) {
	c, err := dial(address, time.Second)
	if err != nil {
		p.note("client", "cannot connect: %v", err)
		return
	}
	defer c.close()
	text, id := newRequest()
	sent := p.now()
	limit := wait/1000 + answerSlack + socketsSlack
	result := c.ask(text, time.Now().Add(seconds(limit+listenExtra)))
	took := p.now() - sent
	p.note("client", "request %s of %.4f: %s %s after %.3f s", id, sent, result.kind, result.code, took)
	if result.kind != outcomeClosed && took > limit {
		p.breakRule("request %s, whose client waits %.0f ms, had no answer after %.2f s", id, wait, limit)
	}
}
