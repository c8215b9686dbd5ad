package main

import (
	"sync"
	"time"

	"stoatdale.example/stoatdale/internal/pg"
)

// Times of the case new-set, in seconds of the play, and its figures.
const (
	downFrom       = 1.0 // discovery falls silent
	joinAt         = 1.5 // a new set goes into service
	askAt          = 3.0 // its clients begin
	backAt         = 5.0 // discovery is back
	newSetWork     = 150 * time.Millisecond
	oldSetRate     = 20 // requests a second
	newSetClients  = 3
	commandsAtOnce = 40
	newSetWait     = 1000 // milliseconds that a client waits
	crossing       = 0.05 // a close within so many seconds of a request may have crossed it
)

func init() { cases["new-set"] = playNewSet }

// playNewSet has clients send many commands at once to a set that has gone into service while discovery is down. A request
// that the router has read has to be answered.
func playNewSet(p *play) error {
	r, agent, _, err := p.startAll(gebze(), newSetWork, "s-old")
	if err != nil {
		return err
	}
	added, err := p.startHost("s-new", true, newSetWork)
	if err != nil {
		return err
	}
	added.cell = 1
	begin := p.now()
	p.load(r.address, begin, begin+downFrom, oldSetRate, "track-view")
	if p.troubled() {
		agent.setDown(true)
	}
	p.sleepUntil(begin + joinAt)
	agent.add(added)
	p.sleepUntil(begin + askAt)
	var running sync.WaitGroup
	for range newSetClients {
		running.Go(func() { p.manyAtOnce(r.address) })
	}
	running.Wait()
	p.sleepUntil(begin + backAt)
	if p.troubled() {
		agent.setDown(false)
	}
	return nil
}

// manyAtOnce sends one read to the old set and many to the new one, all at once, and checks that each is answered.
func (p *play) manyAtOnce(address string) {
	c, err := dial(address, time.Second)
	if err != nil {
		p.note("client", "cannot connect: %v", err)
		return
	}
	defer c.close()
	var ids []string
	var messages []byte
	for i := range 1 + commandsAtOnce {
		text, id := query("track-view", min(i, 1), newSetWait)
		ids = append(ids, id)
		messages = pg.AppendQuery(messages, text)
	}
	sent := p.now()
	if _, err := c.connection.Write(messages); err != nil {
		p.note("client", "cannot send: %v", err)
		return
	}
	until := time.Now().Add(seconds(newSetWait/1000.0 + answerSlack + socketsSlack))
	for i, id := range ids {
		result := c.listen(until)
		p.note("client", "request %s of %.4f, number %d: %s %s", id, sent, i, result.kind, result.code)
		if result.kind == outcomeClosed && p.now()-sent > crossing || result.kind == outcomeNone {
			p.breakRule("request %s and %d after it had no answer; the connection ended %.3f s after they were sent",
				id, len(ids)-i-1, p.now()-sent)
			return
		}
	}
}
