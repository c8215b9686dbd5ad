package model

import (
	"cmp"
	"math"

	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/router"
)

// command is one request of a client; each retry by the client is another.
type command struct {
	invariant.Command
	id            uint32
	router        *instance
	group         int
	session       uint64
	shard         int
	arrived       float64
	first         float64 // when its client first sent it, in seconds
	attemptNumber int     // of the client's attempts, from 1
	done          bool
	attempts      []*attempt
}

// session is a client's session at a router: the positions of its last write and its latest read.
type session struct{ wrote, seen float64 }

// frontMargin is how much before its client's timeout a router gives a command up, so that the answer still gets there.
const answerMargin = 0.005

// clientTries is how often a client asks in all.
const maxClientAttempts = 3

// nextArrival schedules the group's next command. Load is open: it does not wait for answers.
func (w *World) nextArrival(group int) {
	g := &w.spec.Groups[group]
	if g.Rate == 0 {
		return
	}
	at := w.now + w.arrive[group].ExpFloat64()/g.Rate
	if at >= float64(w.spec.Seconds) {
		return
	}
	w.at(at, func() {
		n := w.sessionStream.IntN(w.spec.Fleet.Sessions)
		w.tally.Asked++
		w.tally.Benefit += g.Benefit
		for len(w.tally.Series) <= int(w.now) {
			w.tally.Series = append(w.tally.Series, Second{})
		}
		w.tally.Series[int(w.now)].Benefit += g.Benefit
		w.ask(group, uint64(n)+1, w.now, 1)
		w.nextArrival(group)
	})
}

// ask has a client send a command to the router that its session uses.
func (w *World) ask(group int, id uint64, first float64, attemptNumber int) {
	r := w.routers[id%uint64(len(w.routers))]
	s := r.session(id)
	r.last++
	c := &command{
		id: r.last, router: r, group: group, session: id, shard: int(id % uint64(len(w.shards))),
		arrived: w.now, first: first, attemptNumber: attemptNumber,
	}
	w.expect(c, s)
	r.commands[c.id] = c
	w.at(c.ClientDeadline, func() { w.giveUp(c) })
	r.policy.Add(w.now, c.id, w.routerCommand(c, s))
	r.review()
}

// session is the client's session at this router; its first command begins it.
func (r *instance) session(id uint64) *session {
	s := r.sessions[id]
	if s == nil {
		s = &session{wrote: math.Inf(-1), seen: math.Inf(-1)}
		r.sessions[id] = s
	}
	return s
}

// expect tells the checkers what must hold for the command.
func (w *World) expect(c *command, s *session) {
	g := &w.spec.Groups[c.group]
	c.Idempotency = invariant.Idempotency(idempotencies[g.Effect])
	c.ClientDeadline = w.now + float64(g.Timeout)
	c.IdempotencyWindow = float64(g.Memory)
	c.RequiredPosition = math.Inf(-1)
	c.SeenPosition = math.Inf(-1)
	switch consistencies[g.Need] {
	case router.SessionConsistent:
		c.RequiredPosition = s.wrote
		c.SeenPosition = s.seen
	case router.Linearizable:
		c.RequiredPosition = w.lastCommit(c.shard)
	case router.BoundedStaleness:
		c.RequiredPosition = w.now - float64(g.Bound)
	case router.PrimaryOnly, router.Eventual: // no position to cover
	}
}

// routerCommand is the command as the router's policy sees it.
func (w *World) routerCommand(c *command, s *session) router.Command {
	seen := router.Command{
		Group: c.group, Session: c.session, Shard: c.shard, ArrivedAt: w.now,
		ClientDeadline: c.ClientDeadline - answerMargin, ClientRetry: c.attemptNumber > 1,
	}
	needsOwnWrites := consistencies[w.spec.Groups[c.group].Need] == router.SessionConsistent
	if needsOwnWrites && !math.IsInf(s.wrote, -1) {
		// Zero would say that the session has not written: a write of this moment is given as the smallest negative age.
		seen.LastWriteAge = cmp.Or(w.now-s.wrote, -math.SmallestNonzeroFloat64)
	}
	return seen
}

// giveUp ends a command whose client's timeout has passed without an answer.
func (w *World) giveUp(c *command) {
	if c.done {
		return
	}
	w.check.CheckDeadline(w.now+1e-9, "a command of "+w.spec.Groups[c.group].Name, &c.Command)
	c.done = true
	w.check.CommandAbandoned(&c.Command)
	c.router.policy.ClientGone(w.now, c.id)
	c.router.review()
	c.router.release(c)
}

// retryLater has a rejected client send its command again after a delay in seconds, if it has attempts left.
func (w *World) retryLater(c *command, after float64) {
	if c.attemptNumber < maxClientAttempts && w.now+after < float64(w.spec.Seconds)+1 {
		w.after(after, func() { w.ask(c.group, c.session, c.first, c.attemptNumber+1) })
	}
}
