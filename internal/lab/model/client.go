package model

import (
	"cmp"
	"math"

	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/router"
)

// command is one request of a client. Each retry by the client is another command.
type command struct {
	invariant.Command
	id            uint32
	router        *instance
	group         int     // index of the command group
	session       uint64  // ID of the client's session
	shard         int     // index of the shard
	arrivedAt     float64 // virtual time in seconds at which it arrived at the router
	firstSentAt   float64 // virtual time in seconds at which the client sent its first attempt
	attemptNumber int     // number of the client's attempt, from 1
	ended         bool    // answered or given up
	attempts      []*attempt
}

// session holds the positions of the last write and the latest read of a client's session at a router.
type session struct{ lastWrite, latestRead float64 }

// answerMargin is the time in seconds before the client timeout at which a router gives up a command, so that its answer
// still arrives in time.
const answerMargin = 0.005

// maxClientAttempts is the maximum number of attempts by a client, the first included.
const maxClientAttempts = 3

// scheduleArrival schedules the group's next command. The load is open: clients do not wait for answers before
// they send the next command.
func (w *World) scheduleArrival(group int) {
	g := &w.spec.Groups[group]
	if g.Rate == 0 {
		return
	}
	at := w.now + w.arrivalStreams[group].ExpFloat64()/g.Rate
	if at >= float64(w.spec.Seconds) {
		return
	}
	w.at(at, func() {
		sessionIndex := w.sessionStream.IntN(w.spec.Fleet.Sessions)
		w.tally.Commands++
		w.tally.Benefit += g.Benefit
		for len(w.tally.Series) <= int(w.now) {
			w.tally.Series = append(w.tally.Series, Second{})
		}
		w.tally.Series[int(w.now)].Benefit += g.Benefit
		w.sendCommand(group, uint64(sessionIndex)+1, w.now, 1)
		w.scheduleArrival(group)
	})
}

// sendCommand sends a client's command to the router of its session. firstSentAt is the time of the
// client's first attempt.
func (w *World) sendCommand(group int, sessionID uint64, firstSentAt float64, attemptNumber int) {
	r := w.routers[sessionID%uint64(len(w.routers))]
	s := r.session(sessionID)
	r.lastID++
	c := &command{
		id: r.lastID, router: r, group: group, session: sessionID, shard: int(sessionID % uint64(len(w.shards))),
		arrivedAt: w.now, firstSentAt: firstSentAt, attemptNumber: attemptNumber,
	}
	w.setExpectations(c, s)
	r.commands[c.id] = c
	w.at(c.ClientDeadline, func() { w.clientTimedOut(c) })
	r.policy.Add(w.now, c.id, w.routerCommand(c, s))
	r.review()
}

// session returns the client session with the ID at this router, and creates it if there is none.
func (r *instance) session(id uint64) *session {
	s := r.sessions[id]
	if s == nil {
		s = &session{lastWrite: math.Inf(-1), latestRead: math.Inf(-1)}
		r.sessions[id] = s
	}
	return s
}

// setExpectations sets the fields of the command by which the checker verifies how it is handled.
func (w *World) setExpectations(c *command, s *session) {
	g := &w.spec.Groups[c.group]
	c.Idempotency = invariant.Idempotency(idempotencies[g.Idempotency])
	c.ClientDeadline = w.now + float64(g.Timeout)
	c.IdempotencyWindow = float64(g.IdempotencyWindow)
	c.RequiredPosition = math.Inf(-1)
	c.SeenPosition = math.Inf(-1)
	switch consistencies[g.Consistency] {
	case router.SessionConsistent:
		c.RequiredPosition = s.lastWrite
		c.SeenPosition = s.latestRead
	case router.Linearizable:
		c.RequiredPosition = w.lastCommit(c.shard)
	case router.BoundedStaleness:
		c.RequiredPosition = w.now - float64(g.MaxStaleness)
	case router.PrimaryOnly, router.Eventual: // no position is required
	}
}

// routerCommand returns the command as the policy receives it.
func (w *World) routerCommand(c *command, s *session) router.Command {
	received := router.Command{
		Group: c.group, Session: c.session, Shard: c.shard, ArrivedAt: w.now,
		ClientDeadline: c.ClientDeadline - answerMargin, ClientRetry: c.attemptNumber > 1,
	}
	needsOwnWrites := consistencies[w.spec.Groups[c.group].Consistency] == router.SessionConsistent
	if needsOwnWrites && !math.IsInf(s.lastWrite, -1) {
		// An age of zero means that the session has not written. For a write at this very time, use the negative number
		// closest to zero.
		received.LastWriteAge = cmp.Or(w.now-s.lastWrite, -math.SmallestNonzeroFloat64)
	}
	return received
}

// clientTimedOut ends a command that has no answer when its client timeout has passed.
func (w *World) clientTimedOut(c *command) {
	if c.ended {
		return
	}
	// The check applies only after the deadline, which is exactly now.
	w.checker.CheckDeadline(w.now+1e-9, "a command of "+w.spec.Groups[c.group].Name, &c.Command)
	c.ended = true
	w.checker.CommandAbandoned(&c.Command)
	c.router.policy.ClientGone(w.now, c.id)
	c.router.review()
	c.router.release(c)
}

// retryLater makes a client repeat a rejected command after a delay in seconds, unless it has used up its attempts or the
// run has ended by then.
func (w *World) retryLater(c *command, after float64) {
	if c.attemptNumber < maxClientAttempts && w.now+after < float64(w.spec.Seconds)+1 {
		w.after(after, func() { w.sendCommand(c.group, c.session, c.firstSentAt, c.attemptNumber+1) })
	}
}
