package main

import (
	"fmt"
	"sync"
	"time"

	"stoatdale.example/stoatdale/internal/pg"
)

// Times of the case new-set, in seconds of the play, and its figures.
const (
	growFrom       = 1.0  // the first machine of a new set goes into service
	growEvery      = 4.9  // until the next one does; three in 9.8 s
	growBy         = 3    // machines, as many as there were
	listedAfter    = 3.5  // until the list has a machine that has gone into service
	askAt          = 2.0  // clients send many commands at once
	askEnd         = 13.0 // the end of the play
	newSetWork     = 150 * time.Millisecond
	oldSetRate     = 20 // requests a second
	newSetClients  = 3
	commandsAtOnce = 40
	newSetWait     = 1200 // milliseconds that a client waits
	crossing       = 0.05 // a close within so many seconds of a request may have crossed it
)

func init() { cases["new-set"] = playNewSet }

// playNewSet has a fleet grow by a set, and clients send it many commands at once before the list has it. A request that the
// router has read has to be answered.
func playNewSet(p *play) error {
	r, agent, _, err := p.startAll(quito(), newSetWork, "s-old1", "s-old2", "s-old3")
	if err != nil {
		return err
	}
	begin := p.now()
	var running sync.WaitGroup
	running.Go(func() { p.load(r.address, begin, begin+askEnd, oldSetRate, "view-read") })
	cell := 0
	if p.troubled() {
		cell = 1
		running.Go(func() { p.grow(agent, begin+growFrom) })
	}
	p.sleepUntil(begin + askAt)
	for range newSetClients {
		running.Go(func() { p.manyAtOnce(r.address, cell) })
	}
	running.Wait()
	return nil
}

// grow brings the machines of a new set into service, the primary first. The list has each of them some seconds later.
func (p *play) grow(agent *discovery, from float64) {
	for i := range growBy {
		p.sleepUntil(from + growEvery*float64(i))
		h, err := p.startHost(fmt.Sprint("s-new", i+1), i == 0, newSetWork)
		if err != nil {
			p.note("host", "cannot start: %v", err)
			return
		}
		h.cell, h.startedMs = 1, time.Now().UnixMilli()
		p.note(h.id, "is in service")
		time.AfterFunc(seconds(listedAfter), func() { agent.add(h) })
	}
}

// manyAtOnce sends one read to the old set and many to a set, all at once, and checks that each is answered.
func (p *play) manyAtOnce(address string, cell int) {
	c, err := dial(address, time.Second)
	if err != nil {
		p.note("client", "cannot connect: %v", err)
		return
	}
	defer c.close()
	var ids []string
	var messages []byte
	for i := range 1 + commandsAtOnce {
		text, id := query("view-read", min(i, cell), newSetWait)
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
