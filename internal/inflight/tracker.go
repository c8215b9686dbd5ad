// Package inflight holds the commands in flight and the times at which the router wants to decide on them again. It
// calls the router on every event and passes the router's decisions to an Executor, which carries them out over
// sockets or in the simulator. The package takes no decisions of its own.
package inflight

import (
	"slices"

	"stoatdale.example/stoatdale/internal/router"
)

// Executor carries out the router's decisions on a command. Its methods must not call the Tracker.
type Executor interface {
	// Forward sends an attempt of a command to an endpoint. Attempts are numbered from 0 for each command. The attempt
	// times out at deadline.
	Forward(id uint32, attempt, endpoint int, deadline float64)
	// Cancel cancels a forwarded attempt. The attempt's result must still be reported to Tracker.AttemptEnded.
	Cancel(id uint32, attempt int)
	// Reject tells the client that the command was given up and may be sent again. If retryAfter is not 0, the client
	// should wait for that many seconds first.
	Reject(id uint32, retryAfter float64)
	// Fail tells the client that the command was given up and may have run.
	Fail(id uint32)
}

// command is a command that has no final answer yet or still has an attempt in flight.
type command struct {
	router.Command
	router   *router.Router // the router that received the command; it decides on the command until the end
	id       uint32
	reviewAt float64 // time of the review requested last; reviews queued for other times are ignored
	answered bool    // the final answer was given, or the client has gone
}

// hasAttemptInFlight reports whether the result of one of the command's attempts is still unknown.
func (c *command) hasAttemptInFlight() bool {
	return slices.ContainsFunc(c.Attempts, func(a router.Attempt) bool { return a.InFlight })
}

// Tracker holds the commands in flight of one router. It is not safe for concurrent use. Times are in seconds, and the
// time passed to a call must not be before that of an earlier call.
type Tracker struct {
	router   *router.Router // receives new commands and all reports that concern no command
	executor Executor
	commands map[uint32]*command
	reviews  reviewQueue
}

// New returns a tracker without commands. Its router is r, and executor carries out r's decisions.
func New(r *router.Router, executor Executor) *Tracker {
	return &Tracker{router: r, executor: executor, commands: map[uint32]*command{}}
}

// Len returns the number of commands in flight.
func (t *Tracker) Len() int { return len(t.commands) }

// Add passes a new command to the router and executes its first decision. Each command needs an id of its own; an id must
// not be used again.
func (t *Tracker) Add(now float64, id uint32, cmd router.Command) {
	c := &command{id: id, Command: cmd, router: t.router}
	t.commands[id] = c
	t.execute(c, c.router.Route(now, &c.Command))
}

// SwitchRouter passes new commands to another router from now on. Commands in flight stay with the current router until
// they end. The two share what the process knows of its endpoints and sessions; see router.MigrateFrom.
func (t *Tracker) SwitchRouter(newRouter *router.Router) {
	newRouter.MigrateFrom(t.router)
	t.router = newRouter
}

// UpdateEndpoints passes an update of the endpoint list to the router. See router.UpdateEndpoints.
func (t *Tracker) UpdateEndpoints(now float64, list []router.EndpointInfo, complete, cached bool) {
	t.router.UpdateEndpoints(now, list, complete, cached)
}

// ShiftReportedTimes corrects the times that clients and backends reported. See router.ShiftReportedTimes.
func (t *Tracker) ShiftReportedTimes(behind float64) { t.router.ShiftReportedTimes(behind) }

// ClientGone gives up a command whose client has gone. It does nothing if the command has ended already.
func (t *Tracker) ClientGone(now float64, id uint32) {
	if c := t.commands[id]; c != nil && !c.answered {
		t.giveUp(c, c.router.ClientGone(now, &c.Command))
	}
}

// CommandAbandoned gives up a further command of a client and group that ClientGone was called for.
func (t *Tracker) CommandAbandoned(id uint32) {
	if c := t.commands[id]; c != nil && !c.answered {
		t.giveUp(c, c.router.CommandAbandoned(&c.Command))
	}
}

// giveUp ends a command without an answer, and cancels one of its attempts unless the index is negative.
func (t *Tracker) giveUp(c *command, attempt int) {
	c.answered = true
	t.execute(c, router.Decision{Action: router.None, CancelAttempt: attempt})
	t.release(c)
}

// MaySend reports whether the attempt in flight of a command may still be sent. See router.MaySend.
func (t *Tracker) MaySend(now float64, id uint32) bool {
	c := t.commands[id]
	if c == nil || c.answered {
		return false
	}
	return c.router.MaySend(now, &c.Command)
}

// AttemptEnded passes the result of an attempt to the router and executes its decision. It ignores the result of an
// attempt that is not in flight, or of a command that is not.
func (t *Tracker) AttemptEnded(now float64, id uint32, result router.AttemptResult) {
	c := t.commands[id]
	if c == nil || result.Attempt >= len(c.Attempts) || !c.Attempts[result.Attempt].InFlight {
		return
	}
	result.Final = result.Final || c.answered
	decision := c.router.AttemptEnded(now, &c.Command, result)
	if result.Report != nil {
		c.router.ReportReceived(now, c.Attempts[result.Attempt].Endpoint, result)
	}
	c.answered = c.answered || result.Final
	t.execute(c, decision)
	t.release(c)
}

// ReviewDue has the router decide again on every command whose review is due. It returns the time by which the caller must
// call it again, and the maintenance that the router wants done now.
func (t *Tracker) ReviewDue(now float64) (float64, router.Maintenance) {
	for t.reviews.nextAt() <= now {
		r := t.reviews.pop()
		if c := r.command; !c.answered && c.reviewAt == r.at {
			t.execute(c, c.router.Route(now, &c.Command))
		}
	}
	wait, maintenance := t.router.Maintain(now) // only the current router maintains endpoints
	return min(now+wait, t.reviews.nextAt()), maintenance
}

// release removes a command that was answered and has no attempt in flight.
func (t *Tracker) release(c *command) {
	if c.answered && !c.hasAttemptInFlight() {
		delete(t.commands, c.id)
	}
}

// execute has the executor carry out a decision, and schedules the review that the decision asks for.
func (t *Tracker) execute(c *command, decision router.Decision) {
	if decision.CancelAttempt >= 0 {
		t.executor.Cancel(c.id, decision.CancelAttempt)
	}
	if c.answered {
		return
	}
	switch decision.Action {
	case router.Forward:
		t.executor.Forward(c.id, len(c.Attempts)-1, decision.Endpoint, decision.AttemptDeadline)
	case router.Reject:
		c.answered = true
		t.executor.Reject(c.id, decision.RetryAfter)
	case router.Fail:
		c.answered = true
		t.executor.Fail(c.id)
	case router.Wait, router.None:
	}
	if c.answered {
		t.release(c)
		return
	}
	if decision.ReviewAt > 0 {
		c.reviewAt = decision.ReviewAt
		t.reviews.push(decision.ReviewAt, c)
	}
}
