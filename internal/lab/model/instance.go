package model

import (
	"fmt"
	"math"

	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/router"
)

// instance is a simulated router. It holds the policy and the sessions of its clients, and carries out the decisions of
// the policy.
type instance struct {
	world      *World
	index      int
	policy     Policy
	starts     int // number of starts and restarts
	commands   map[uint32]*command
	lastID     uint32 // ID of the newest command
	sessions   map[uint64]*session
	nextReview float64 // virtual time of the next review in seconds, or +Inf
}

// logStartBeforeRun is the time between the start of the database log and the start of the run, in seconds. Positions
// count from the start of the log.
const logStartBeforeRun = 1000

// start starts or restarts the router with a new policy, which knows only the endpoint list.
func (r *instance) start(policy string) {
	r.starts++
	r.policy = policyConstructors[policy](r)
	r.policy.UpdateEndpoints(r.world.now, r.world.knownEndpoints)
	r.review()
}

// config returns the configuration of the router module for the experiment.
func (r *instance) config() router.Config {
	f := &r.world.spec.Fleet
	config := router.Config{
		RouterCount: f.Routers, Instance: r.index, TotalWeight: 1, BatchInterval: 0.005, PositionEpoch: -logStartBeforeRun, ClientTokens: true, LoadReports: true, CanCancel: true, HealthChecks: true, RetryAfterAllowed: true, MaxRetryAfter: 1,
		MaxAttempts: 4, ConnectTimeout: float64(f.ConnectTimeout), SlowStartFloor: f.ColdShare, SlowStart: float64(f.WarmUp), OverloadFactor: f.OverloadFactor, OverloadWindow: float64(f.OverloadWindow),
	}
	for i := range r.world.spec.Groups {
		g := &r.world.spec.Groups[i]
		config.CommandGroups = append(config.CommandGroups, router.CommandGroup{
			Consistency: consistencies[g.Consistency], Idempotency: idempotencies[g.Idempotency], KeyScope: router.ShardScope, LatencyObjective: float64(g.Target),
			ClientTimeout: float64(g.Timeout), PriorityWeight: g.Benefit, LateValue: g.LateShare, MaxStaleness: float64(g.MaxStaleness), IdempotencyWindow: float64(g.IdempotencyWindow),
		})
	}
	return config
}

// review has the policy handle everything that is due, sends the health checks that the policy asks for, and schedules the
// next review for the time that the policy returns.
func (r *instance) review() {
	w := r.world
	next, healthChecks := r.policy.ReviewDue(w.now)
	for _, endpoint := range healthChecks {
		r.checkHealth(endpoint)
	}
	if next = math.Max(next, w.now+1e-4); next < r.nextReview || r.nextReview <= w.now {
		r.nextReview = next
		w.at(next, func() {
			if r.nextReview == next {
				r.nextReview = math.Inf(1)
				r.review()
			}
		})
	}
}

// checkHealth sends a health check to a backend.
func (r *instance) checkHealth(endpoint int) {
	w, b, policy, sent := r.world, r.world.backends[endpoint], r.policy, r.world.now
	w.tally.HealthChecks++
	deliver := func(ok bool, position float64) func() {
		return func() {
			if r.policy == policy { // the router has not restarted meanwhile
				policy.HealthChecked(w.now, endpoint, ok, w.now-sent, position, b.primary)
				r.review()
			}
		}
	}
	w.after(w.networkDelay(), func() {
		switch {
		case b.cut || b.hung:
			w.after(float64(w.spec.Fleet.ConnectTimeout)-w.networkDelay(), deliver(false, -1))
		case b.down:
			w.after(w.networkDelay(), deliver(false, -1))
		default:
			w.after(w.networkDelay(), deliver(true, b.position(w.now)+logStartBeforeRun))
		}
	})
}

// Forward implements inflight.Executor.
func (r *instance) Forward(id uint32, number, endpoint int, deadline float64) {
	w, c, b := r.world, r.commands[id], r.world.backends[endpoint]
	g := &w.spec.Groups[c.group]
	w.checker.AttemptSent(w.now, fmt.Sprint("a command of ", g.Name), &c.Command, endpoint, &invariant.Backend{
		Shard: b.shard, Draining: b.listedState == router.Draining,
		DrainingSince: b.listedSince,
	})
	w.tally.Attempts++
	if consistencies[g.Consistency] != router.PrimaryOnly {
		w.tally.Reads++
		if b.primary {
			w.tally.PrimaryReads++
		}
	}
	a := &attempt{command: c, number: number, backend: b, sentAt: w.now, pending: true}
	c.attempts = append(c.attempts, a)
	if b.cut {
		w.deliverResult(a, router.ConnectFailed, float64(w.spec.Fleet.ConnectTimeout))
	} else {
		b.inTransit++
		w.after(w.networkDelay(), func() {
			b.inTransit--
			if a.pending {
				b.receive(a)
			}
		})
	}
	w.at(math.Min(deadline, c.ClientDeadline), func() {
		b.cancel(a)
		r.attemptEnded(a, router.TimedOut, false, 0)
	})
}

// Cancel implements inflight.Executor.
func (r *instance) Cancel(id uint32, number int) {
	for _, a := range r.commands[id].attempts {
		if a.number == number {
			r.world.after(r.world.networkDelay(), func() {
				a.backend.cancel(a)
				r.world.deliverResult(a, router.Canceled, r.world.networkDelay())
			})
		}
	}
}

// Reject implements inflight.Executor.
func (r *instance) Reject(id uint32, retryAfter float64) {
	r.world.tally.Throttled++
	if c := r.finish(id); c != nil {
		r.world.retryLater(c, math.Max(retryAfter, 0.05))
	}
}

// Fail implements inflight.Executor.
func (r *instance) Fail(id uint32) {
	r.world.tally.Failed++
	r.finish(id)
}

// finish records the final answer to a command and returns the command, or nil if there is none with the ID.
func (r *instance) finish(id uint32) *command {
	c := r.commands[id]
	if c == nil {
		return nil
	}
	r.world.checker.CommandAnswered(r.world.now, "a command of "+r.world.spec.Groups[c.group].Name, &c.Command)
	c.ended = true
	r.release(c)
	return c
}

// release deletes a command that has ended and has no attempt in flight.
func (r *instance) release(c *command) {
	for _, a := range c.attempts {
		if a.pending {
			return
		}
	}
	if c.ended && r.commands[c.id] == c {
		delete(r.commands, c.id)
	}
}

// attemptEnded reports the result of an attempt to the policy. It ignores all but the first result of an attempt. primary
// reports whether the backend is the primary. position is that of the data that the attempt read or wrote, in virtual
// seconds.
func (r *instance) attemptEnded(a *attempt, result router.Result, primary bool, position float64) {
	c, w := a.command, r.world
	if !a.pending {
		return
	}
	a.pending = false
	ran := result == router.Answered || result == router.ConnectionLost || result == router.TimedOut || result == router.Canceled
	w.checker.AttemptEnded(&c.Command, a.sentAt, a.backend.shard, ran)
	if r.commands[c.id] != c { // the router has restarted
		return
	}
	g := &w.spec.Groups[c.group]
	report := router.AttemptResult{Attempt: a.number, Result: result, Elapsed: w.now - a.sentAt, Final: result == router.Answered, Position: -1}
	if result == router.Answered || result == router.NotServed {
		if report.Role = router.RoleReplica; primary {
			report.Role = router.RolePrimary
		}
	}
	if result == router.Answered && !math.IsInf(position, -1) {
		report.Position = position + logStartBeforeRun
	}
	if result == router.Answered && !c.ended {
		r.recordAnswer(c, g, a, position)
	}
	r.policy.AttemptEnded(w.now, c.id, report)
	r.release(c)
	r.review()
}

// recordAnswer checks and counts an answer that reaches its client.
func (r *instance) recordAnswer(c *command, g *Group, a *attempt, position float64) {
	w, s := r.world, r.sessions[c.session]
	if consistencies[g.Consistency] == router.PrimaryOnly {
		s.lastWrite = math.Max(s.lastWrite, position)
	} else {
		w.checker.ReadServed("a command of "+g.Name, &c.Command, a.backend.index, &invariant.Backend{AppliedPosition: position})
		if consistencies[g.Consistency] == router.SessionConsistent {
			s.latestRead = math.Max(s.latestRead, position)
		}
	}
	w.checker.CommandAnswered(w.now, "a command of "+g.Name, &c.Command)
	c.ended = true
	took := w.now - c.firstSentAt
	w.tally.Answered++
	w.tally.Times[c.group] = append(w.tally.Times[c.group], took)
	earned := g.Benefit * g.LateShare
	if took <= float64(g.Target) {
		w.tally.InTarget++
		earned = g.Benefit
	}
	w.tally.Earned += earned
	w.tally.Series[int(c.firstSentAt)].Earned += earned
}
