package model

import (
	"fmt"
	"math"

	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/router"
)

// instance is one router: its policy and the sessions whose clients use it. It carries out what the policy decides.
type instance struct {
	world    *World
	index    int
	policy   Policy
	boots    int
	commands map[uint32]*command
	last     uint32
	sessions map[uint64]*session
	due      float64 // when the next review is due
}

// logStartBeforeRun is how long before the run the log began, in seconds: positions count from there.
const logStartBeforeRun = 1000

// start starts a router for the first time, or again with the knowledge of the endpoint list alone.
func (r *instance) start(policy string) {
	r.boots++
	r.policy = policyConstructors[policy](r)
	r.policy.UpdateEndpoints(r.world.now, r.world.knownEndpoints)
	r.review()
}

// config is the module's configuration for the experiment.
func (r *instance) config() router.Config {
	f := &r.world.spec.Fleet
	s := router.Config{
		RouterCount: f.Routers, Instance: r.index, TotalWeight: 1, BatchInterval: 0.005, PositionEpoch: -logStartBeforeRun, ClientTokens: true, LoadReports: true, CanCancel: true, HealthChecks: true, RetryAfterAllowed: true, MaxRetryAfter: 1,
		MaxAttempts: 4, ConnectTimeout: float64(f.Dial), SlowStartFloor: f.ColdShare, SlowStart: float64(f.WarmIn), OverloadFactor: f.Overload, OverloadWindow: float64(f.FallSpan),
	}
	for i := range r.world.spec.Groups {
		g := &r.world.spec.Groups[i]
		s.CommandGroups = append(s.CommandGroups, router.CommandGroup{
			Consistency: consistencies[g.Need], Idempotency: idempotencies[g.Effect], KeyScope: router.ShardScope, LatencyObjective: float64(g.Target),
			ClientTimeout: float64(g.Timeout), PriorityWeight: g.Benefit, LateValue: g.Late, MaxStaleness: float64(g.Bound), IdempotencyWindow: float64(g.Memory),
		})
	}
	return s
}

// review calls the policy for what is due, and schedules the next review when the policy asks for it.
func (r *instance) review() {
	w := r.world
	next, probes := r.policy.ReviewDue(w.now)
	for _, n := range probes {
		r.checkHealth(n)
	}
	if next = math.Max(next, w.now+1e-4); next < r.due || r.due <= w.now {
		r.due = next
		w.at(next, func() {
			if r.due == next {
				r.due = math.Inf(1)
				r.review()
			}
		})
	}
}

// checkHealth sends a health check to a backend.
func (r *instance) checkHealth(node int) {
	w, b, p, sent := r.world, r.world.backends[node], r.policy, r.world.now
	w.tally.Probes++
	back := func(ok bool, position float64) func() {
		return func() {
			if r.policy == p { // the router has not restarted meanwhile
				p.HealthChecked(w.now, node, ok, w.now-sent, position, b.primary)
				r.review()
			}
		}
	}
	w.after(w.networkDelay(), func() {
		switch {
		case b.cut || b.hung:
			w.after(float64(w.spec.Fleet.Dial)-w.networkDelay(), back(false, -1))
		case b.down:
			w.after(w.networkDelay(), back(false, -1))
		default:
			w.after(w.networkDelay(), back(true, b.position(w.now)+logStartBeforeRun))
		}
	})
}

// Forward implements inflight.Executor.
func (r *instance) Forward(id uint32, number, node int, until float64) {
	w, c, b := r.world, r.commands[id], r.world.backends[node]
	g := &w.spec.Groups[c.group]
	w.check.AttemptSent(w.now, fmt.Sprint("a command of ", g.Name), &c.Command, node, &invariant.Backend{
		Shard: b.shard, Draining: b.listedState == router.Draining,
		DrainingSince: b.listedSince,
	})
	w.tally.Dispatches++
	if consistencies[g.Need] != router.PrimaryOnly {
		w.tally.Reads++
		if b.primary {
			w.tally.Primary++
		}
	}
	a := &attempt{command: c, number: number, at: b, sent: w.now, open: true}
	c.attempts = append(c.attempts, a)
	if b.cut {
		w.deliverResult(a, router.ConnectFailed, float64(w.spec.Fleet.Dial))
	} else {
		b.inTransit++
		w.after(w.networkDelay(), func() {
			b.inTransit--
			if a.open {
				b.receive(a)
			}
		})
	}
	w.at(math.Min(until, c.ClientDeadline), func() {
		b.cancel(a)
		r.attemptEnded(a, router.TimedOut, false, 0)
	})
}

// Cancel implements inflight.Executor.
func (r *instance) Cancel(id uint32, number int) {
	for _, a := range r.commands[id].attempts {
		if a.number == number {
			r.world.after(r.world.networkDelay(), func() {
				a.at.cancel(a)
				r.world.deliverResult(a, router.Canceled, r.world.networkDelay())
			})
		}
	}
}

// Reject implements inflight.Executor.
func (r *instance) Reject(id uint32, comeBack float64) {
	r.world.tally.Throttled++
	if c := r.finish(id); c != nil {
		r.world.retryLater(c, math.Max(comeBack, 0.05))
	}
}

// Fail implements inflight.Executor.
func (r *instance) Fail(id uint32) {
	r.world.tally.Failed++
	r.finish(id)
}

// finish records the final answer to a command. It returns nil if the command is not known.
func (r *instance) finish(id uint32) *command {
	c := r.commands[id]
	if c == nil {
		return nil
	}
	r.world.check.CommandAnswered(r.world.now, "a command of "+r.world.spec.Groups[c.group].Name, &c.Command)
	c.done = true
	r.release(c)
	return c
}

// release forgets a command that is done and has no attempt in flight.
func (r *instance) release(c *command) {
	for _, a := range c.attempts {
		if a.open {
			return
		}
	}
	if c.done && r.commands[c.id] == c {
		delete(r.commands, c.id)
	}
}

// attemptEnded reports an attempt's result to its policy. Only the first result of an attempt counts.
func (r *instance) attemptEnded(a *attempt, e router.Result, primary bool, position float64) {
	c, w := a.command, r.world
	if !a.open {
		return
	}
	a.open = false
	ran := e == router.Answered || e == router.ConnectionLost || e == router.TimedOut || e == router.Canceled
	w.check.AttemptEnded(&c.Command, a.sent, a.at.shard, ran)
	if r.commands[c.id] != c { // its router has restarted
		return
	}
	g := &w.spec.Groups[c.group]
	o := router.AttemptResult{Attempt: a.number, Result: e, Elapsed: w.now - a.sent, Final: e == router.Answered, Position: -1}
	if e == router.Answered || e == router.NotServed {
		if o.Role = router.RoleReplica; primary {
			o.Role = router.RolePrimary
		}
	}
	if e == router.Answered && !math.IsInf(position, -1) {
		o.Position = position + logStartBeforeRun
	}
	if e == router.Answered && !c.done {
		r.recordAnswer(c, g, a, position)
	}
	r.policy.AttemptEnded(w.now, c.id, o)
	r.release(c)
	r.review()
}

// recordAnswer counts a backend's answer that reaches its client.
func (r *instance) recordAnswer(c *command, g *Group, a *attempt, position float64) {
	w, s := r.world, r.sessions[c.session]
	if consistencies[g.Need] == router.PrimaryOnly {
		s.wrote = math.Max(s.wrote, position)
	} else {
		w.check.ReadServed("a command of "+g.Name, &c.Command, a.at.node, &invariant.Backend{AppliedPosition: position})
		if consistencies[g.Need] == router.SessionConsistent {
			s.seen = math.Max(s.seen, position)
		}
	}
	w.check.CommandAnswered(w.now, "a command of "+g.Name, &c.Command)
	c.done = true
	took := w.now - c.first
	w.tally.Answered++
	w.tally.Times[c.group] = append(w.tally.Times[c.group], took)
	earned := g.Benefit * g.Late
	if took <= float64(g.Target) {
		w.tally.InTarget++
		earned = g.Benefit
	}
	w.tally.Earned += earned
	w.tally.Series[int(c.first)].Earned += earned
}
