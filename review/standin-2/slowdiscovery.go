package main

import (
	"sync"
	"time"
)

// Times of the case slow-discovery, in seconds of the play, and its figures.
const (
	slowFrom = 2.0                    // discovery becomes slow
	slowBy   = 200 * time.Millisecond // how late each answer is then
	drainAt  = 10.0                   // the agent has the news that a host drains
	slowEnd  = 16.0
	slowRate = 40 // requests a second
)

func init() { cases["slow-discovery"] = playSlowDiscovery }

// playSlowDiscovery has discovery answer each call 0.2 s late. A host begins to drain, which the agent knows at once, and
// the router may send it nothing new later than the grace after that.
func playSlowDiscovery(p *play) error {
	s := gebzeLedger()
	r, agent, hosts, err := p.startAll(s, serviceTime, "s-primary", "s-replica1", "s-replica2", "s-replica3")
	if err != nil {
		return err
	}
	begin := p.now()
	var told sync.Map // the time at which a host's drain was told, by its id
	for _, h := range hosts {
		h.change(func(h *host) {
			h.seen = func(a arrival) {
				p.note(h.id, "got request %s, first byte at %.4f", a.parameters["id"], a.first)
				at, draining := told.Load(h.id)
				if draining && a.first > at.(float64)+s.grace/1000+socketsSlack {
					p.breakRule("request %s was sent to %s %.3f s after its drain was told", a.parameters["id"], h.id, a.first-at.(float64))
				}
			}
		})
	}
	go func() {
		p.sleepUntil(begin + slowFrom)
		if p.troubled() {
			agent.setDelay(slowBy)
		}
		p.sleepUntil(begin + drainAt)
		hosts[2].change(func(h *host) { h.draining = true })
		told.Store(hosts[2].id, agent.tell())
		p.note(hosts[2].id, "begins to drain")
	}()
	p.load(r.address, begin+readyAfterSec, begin+slowEnd, slowRate, "till-tally")
	return nil
}
