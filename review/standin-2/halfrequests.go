package main

import (
	"sync"
	"time"
)

// Times of the case half-requests, in seconds of the play, and its figures.
const (
	halfFrom     = 3.0
	halfEnd      = 8.0
	halfClients  = 300
	halfInterval = time.Millisecond // between two of these clients
	soundEvery   = 0.1              // seconds between two requests of sound clients
	soundWait    = 1000             // milliseconds that a sound client waits
)

func init() { cases["half-requests"] = playHalfRequests }

// playHalfRequests has clients that were served once stop in the middle of their next request and stay. A request of a sound
// client has to get its final answer all the same.
func playHalfRequests(p *play) error {
	r, _, _, err := p.startAll(gebze(), serviceTime, "s-primary", "s-replica1")
	if err != nil {
		return err
	}
	begin := p.now()
	var running sync.WaitGroup
	if p.troubled() {
		running.Go(func() {
			p.sleepUntil(begin + halfFrom)
			for range halfClients {
				running.Go(func() { p.halfClient(r.address, begin+halfEnd+listenExtra) })
				time.Sleep(halfInterval)
			}
		})
	}
	for at := begin + readyAfterSec; at < begin+halfEnd; at += soundEvery {
		p.sleepUntil(at)
		running.Go(func() {
			p.checkedRequest(r.address, func() (string, string) { return query("track-view", 0, soundWait) }, soundWait)
		})
	}
	running.Wait()
	return nil
}

// halfClient sends an empty query, and when that is answered a part of a query, and stays.
func (p *play) halfClient(address string, until float64) {
	c, err := dial(address, seconds(until-p.now()))
	if err != nil {
		p.note("half", "cannot connect: %v", err)
		return
	}
	defer c.close()
	end := time.Now().Add(seconds(until - p.now()))
	if result := c.ask("", end); result.kind != outcomeEmpty {
		p.note("half", "empty query: %s %s", result.kind, result.code)
		return
	}
	sent := p.now()
	_, _ = c.connection.Write([]byte("Q\x00\x00\x00\x60SELECT doc FROM items WHERE id = '7f3a"))
	result := c.listen(end)
	p.note("half", "half a request of %.4f: %s %s", sent, result.kind, result.code)
}
