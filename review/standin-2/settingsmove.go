package main

import (
	"sync"
	"time"
)

// Times of the case settings-move, in seconds from the moment at which the primary hangs, and its figures.
const (
	moveWarmUp   = 2.0  // before it
	moveWriteAt  = 0.02 // a client sends a write
	moveAt       = 0.3  // the router gets new settings
	moveTakeover = 2.7  // a replica takes over: 1.4 s until the primary is given up, and 1.3 s
	moveCommitAt = 2.75 // it commits a write that came by another router
	moveReturn   = 2.85 // the old primary goes on, as a replica
	moveReadAt   = 3.0  // clients send reads that must see all that was written before
	moveReads    = 3
	moveKnown    = 0.1 // an answer counts as known so many seconds after it was written
	moveWait     = 3000
)

func init() { cases["settings-move"] = playSettingsMove }

// staleReads checks the reads of the case settings-move.
type staleReads struct {
	play *play

	mu       sync.Mutex           // guards the fields below
	told     float64              // when the old primary told the router that it is none, 0 if it has not
	commit   time.Time            // of the write at the new primary
	answers  map[string]answer    // by request
	arrivals map[string]arrival   // at the old primary, by request
	sentAt   map[string]time.Time // by request
	outcomes map[string]outcome   // by request
}

// playSettingsMove has a primary hang with a write in hand, and the settings of the router change meanwhile. The old primary's
// answer to the write tells the router that it is no primary any more; a read that must be current may not go there then.
func playSettingsMove(p *play) error {
	s := gebze()
	r, agent, hosts, err := p.startAll(s, serviceTime, "s-old", "s-new", "s-replica")
	if err != nil {
		return err
	}
	old, next := hosts[0], hosts[1]
	check := &staleReads{
		play: p, answers: map[string]answer{}, arrivals: map[string]arrival{}, sentAt: map[string]time.Time{},
		outcomes: map[string]outcome{},
	}
	old.change(func(h *host) { h.seen, h.answered = check.seen, check.answered })
	begin := p.now()
	p.load(r.address, begin, begin+moveWarmUp, slowRate/2, "hub-check")
	hang := p.now()
	if p.troubled() {
		old.change(func(h *host) { h.hung, h.stopped = true, time.Now() })
		p.note("s-old", "hangs")
	}
	var running sync.WaitGroup
	p.sleepUntil(hang + moveWriteAt)
	running.Go(func() {
		p.checkedRequest(r.address, func() (string, string) { return write("scan-write", 0, moveWait) }, moveWait)
	})
	p.sleepUntil(hang + moveAt)
	if p.troubled() && p.trouble != "hang" {
		s.maxAttempts--
		if err := p.reload(r, configuration{site: s, discovery: agent.address, known: agent.list()}); err != nil {
			return err
		}
	}
	if p.troubled() {
		p.takeOver(hang, old, next)
	}
	p.sleepUntil(hang + moveCommitAt)
	check.commitNow()
	if p.troubled() {
		p.sleepUntil(hang + moveReturn)
		old.change(func(h *host) { h.hung, h.resumed = false, time.Now() })
		p.note("s-old", "goes on as a replica")
	}
	p.sleepUntil(hang + moveReadAt)
	for range moveReads {
		running.Go(func() { check.read(r.address) })
	}
	running.Wait()
	check.judge()
	return nil
}

// takeOver makes a replica the primary in place of one that hangs.
func (p *play) takeOver(hang float64, old, next *host) {
	p.sleepUntil(hang + moveTakeover)
	old.change(func(h *host) { h.primary = false })
	next.change(func(h *host) { h.primary = true })
	p.note(next.id, "is primary, and %s is none", old.id)
}

// commitNow notes that a write has been committed.
func (s *staleReads) commitNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit = time.Now()
	s.play.note("log", "a write is committed at the primary")
}

// seen notes a statement that has come to the old primary.
func (s *staleReads) seen(a arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[a.parameters["id"]] = a
}

// answered notes what the old primary tells.
func (s *staleReads) answered(a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[a.id] = a
	if !a.primary {
		if s.told == 0 {
			s.told = s.play.now()
		}
		s.play.note("s-old", "answers %s and tells that it is no primary, served: %v", a.id, a.served)
	}
}

// read sends a read that must see all that was written before it came.
func (s *staleReads) read(address string) {
	c, err := dial(address, time.Second)
	if err != nil {
		s.play.note("client", "cannot connect: %v", err)
		return
	}
	defer c.close()
	text, id := query("hub-check", 0, moveWait/2)
	s.mu.Lock()
	s.sentAt[id] = time.Now()
	s.mu.Unlock()
	result := c.ask(text, time.Now().Add(moveWait*time.Millisecond))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[id] = result
	s.play.note("client", "read %s: %s %s %s", id, result.kind, result.code, result.value)
}

// judge checks that no read was answered by the old primary from data older than the committed write, if it was sent there
// after the router had been told that the host is no primary.
func (s *staleReads) judge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, sent := range s.sentAt {
		arrived, came := s.arrivals[id]
		a := s.answers[id]
		known := s.told > 0 && came && arrived.first > s.told+moveKnown
		stale := a.served && !a.primary && a.position.Before(s.commit) && s.commit.Add(seconds(socketsSlack)).Before(sent)
		if known && stale && s.outcomes[id].kind == outcomeServed {
			s.play.breakRule("read %s came %.3f s after a commit and was answered from data %.3f s older than it, by a host that had told %.3f s before that it is no primary",
				id, sent.Sub(s.commit).Seconds(), s.commit.Sub(a.position).Seconds(), arrived.first-s.told)
		}
	}
}
