// Package inflight keeps the commands in flight and the times at which the router wants to review them. It makes the
// router's calls and decides nothing; what carries the decisions out, the simulator's wire or sockets, is an Executor.
package inflight

import (
	"slices"

	"stoatdale.example/stoatdale/internal/router"
)

// Executor carries out the router's decisions on a command. Its methods must not call the Tracker.
type Executor interface {
	// Forward sends an attempt, numbered from 0 for each command, to an endpoint. It times out at a time.
	Forward(id uint32, attempt, endpoint int, deadline float64)
	// Cancel cancels an attempt that was forwarded. Its end is still to be told to AttemptEnded.
	Cancel(id uint32, attempt int)
	// Reject answers that the command is given up and may be retried, after so many seconds if they are not 0.
	Reject(id uint32, retryAfter float64)
	// Fail answers that the command is given up and may have run.
	Fail(id uint32)
}

// command is a command that still has an answer or the end of an attempt to come.
type command struct {
	router.Command
	router   *router.Router // which took it, and decides on it to its end
	id       uint32
	reviewAt float64 // the review that counts; earlier requests are passed over
	answered bool    // has had its final answer, or needs none
}

func (c *command) hasAttemptInFlight() bool {
	return slices.ContainsFunc(c.Attempts, func(a router.Attempt) bool { return a.InFlight })
}

// Tracker is the commands in flight of one router. It is not safe for concurrent use. Times are in seconds and must
// not go back.
type Tracker struct {
	router   *router.Router   // takes new commands
	earlier  []*router.Router // of earlier settings, with commands in flight
	executor Executor
	commands map[uint32]*command
	reviews  reviewQueue
}

// New returns a tracker without commands.
func New(r *router.Router, executor Executor) *Tracker {
	return &Tracker{router: r, executor: executor, commands: map[uint32]*command{}}
}

// Len is the number of commands in flight.
func (t *Tracker) Len() int { return len(t.commands) }

// Add takes in a command. An id must not be used again.
func (t *Tracker) Add(now float64, id uint32, cmd router.Command) {
	c := &command{id: id, Command: cmd, router: t.router}
	t.commands[id] = c
	t.execute(c, c.router.Route(now, &c.Command))
}

// SwitchRouter has a fresh router take new commands, with what the present one has learned that still means the same.
// What is in flight ends by the present one.
func (t *Tracker) SwitchRouter(now float64, fresh *router.Router) {
	fresh.MigrateFrom(now, t.router)
	t.earlier = append(t.earlier, t.router)
	t.router = fresh
}

// UpdateEndpoints hands the endpoint list to every router that has commands in flight; see router.UpdateEndpoints.
func (t *Tracker) UpdateEndpoints(now float64, list []router.EndpointInfo, complete, cached bool) {
	t.router.UpdateEndpoints(now, list, complete, cached)
	for _, r := range t.earlier {
		r.UpdateEndpoints(now, list, complete, cached)
	}
}

// ShiftReportedTimes has every router that has commands in flight set right the times that others have told it; see
// router.ShiftReportedTimes.
func (t *Tracker) ShiftReportedTimes(behind float64) {
	t.router.ShiftReportedTimes(behind)
	for _, r := range t.earlier {
		r.ShiftReportedTimes(behind)
	}
}

// ClientGone takes in that the client of a command has gone. It may be called for a command that has ended.
func (t *Tracker) ClientGone(now float64, id uint32) {
	c := t.commands[id]
	if c == nil || c.answered {
		return
	}
	c.answered = true
	t.execute(c, router.Decision{Action: router.None, CancelAttempt: c.router.ClientGone(now, &c.Command)})
	t.release(c)
}

// AttemptEnded takes in how an attempt ended. A result that nobody waits for is passed over.
func (t *Tracker) AttemptEnded(now float64, id uint32, result router.AttemptResult) {
	c := t.commands[id]
	if c == nil || result.Attempt >= len(c.Attempts) || !c.Attempts[result.Attempt].InFlight {
		return
	}
	result.Final = result.Final || c.answered
	decision := c.router.AttemptEnded(now, &c.Command, result)
	if c.router != t.router {
		t.router.MergeSession(&c.Command, c.router)
	}
	c.answered = c.answered || result.Final
	t.execute(c, decision)
	t.release(c)
}

// ReviewDue makes all reviews that are due. It returns when to call it next at the latest, and the maintenance that
// is due now.
func (t *Tracker) ReviewDue(now float64) (float64, router.Maintenance) {
	for t.reviews.nextAt() <= now {
		r := t.reviews.pop()
		if c := r.command; !c.answered && c.reviewAt == r.at {
			t.execute(c, c.router.Route(now, &c.Command))
		}
	}
	t.earlier = slices.DeleteFunc(t.earlier, func(r *router.Router) bool { return !t.hasCommandsOf(r) })
	wait, maintenance := t.router.Maintain(now) // endpoints are the present router's to look after
	return min(now+wait, t.reviews.nextAt()), maintenance
}

func (t *Tracker) hasCommandsOf(r *router.Router) bool {
	for _, c := range t.commands {
		if c.router == r {
			return true
		}
	}
	return false
}

// release forgets a command that has nothing more to come.
func (t *Tracker) release(c *command) {
	if c.answered && !c.hasAttemptInFlight() {
		delete(t.commands, c.id)
	}
}

// execute has a decision carried out and books its review.
func (t *Tracker) execute(c *command, d router.Decision) {
	if d.CancelAttempt >= 0 {
		t.executor.Cancel(c.id, d.CancelAttempt)
	}
	if c.answered {
		return
	}
	switch d.Action {
	case router.Forward:
		t.executor.Forward(c.id, len(c.Attempts)-1, d.Endpoint, d.AttemptDeadline)
	case router.Reject:
		c.answered = true
		t.executor.Reject(c.id, d.RetryAfter)
	case router.Fail:
		c.answered = true
		t.executor.Fail(c.id)
	case router.Wait, router.None:
	}
	if c.answered {
		t.release(c)
		return
	}
	if d.ReviewAt > 0 {
		c.reviewAt = d.ReviewAt
		t.reviews.push(d.ReviewAt, c)
	}
}
