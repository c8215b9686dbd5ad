package world

import (
	"fmt"
	"math"

	"stoatdale.example/stoatdale/internal/lab/verdict"
	"stoatdale.example/stoatdale/internal/router"
)

// instance is one router: its policy and the sessions whose clients use it.
type instance struct {
	world    *World
	index    int
	policy   Policy
	boots    int
	commands map[uint32]*command
	last     uint32
	sessions map[uint64]*session
	due      float64 // when it is to settle
}

// logBefore is how long before the run the log began, in seconds: positions count from there.
const logStartBeforeRun = 1000

// boot starts a router, for the first time or anew.
func (r *instance) boot(policy string) {
	r.boots++
	r.policy = policyConstructors[policy](r)
	r.policy.UpdateEndpoints(r.world.now, r.world.knownEndpoints)
	r.wake()
}

// config is what the module is told of the world.
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

// wake has the policy go on, and asks to be woken again when it wants to be.
func (r *instance) wake() {
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
				r.wake()
			}
		})
	}
}

// checkHealth asks a backend how it stands.
func (r *instance) checkHealth(node int) {
	w, m, p, sent := r.world, r.world.backends[node], r.policy, r.world.now
	w.tally.Probes++
	back := func(ok bool, position float64) func() {
		return func() {
			if r.policy == p { // it did not start anew meanwhile
				p.HealthChecked(w.now, node, ok, w.now-sent, position, m.primary)
				r.wake()
			}
		}
	}
	w.after(w.networkDelay(), func() {
		switch {
		case m.cut || m.hung:
			w.after(float64(w.spec.Fleet.Dial)-w.networkDelay(), back(false, -1))
		case m.down:
			w.after(w.networkDelay(), back(false, -1))
		default:
			w.after(w.networkDelay(), back(true, m.position(w.now)+logStartBeforeRun))
		}
	})
}

// Forward implements hand.Executor.
func (r *instance) Forward(id uint32, number, node int, until float64) {
	w, c, m := r.world, r.commands[id], r.world.backends[node]
	g := &w.spec.Groups[c.group]
	w.check.Sent(w.now, fmt.Sprint("a command of ", g.Name), &c.Command, node, &verdict.Member{
		Set: m.shard, Away: m.listedState == router.Draining,
		AwaySince: m.listedSince,
	})
	w.tally.Dispatches++
	if consistencies[g.Need] != router.PrimaryOnly {
		w.tally.Reads++
		if m.primary {
			w.tally.Primary++
		}
	}
	l := &attempt{cmd: c, number: number, at: m, sent: w.now, open: true}
	c.attempts = append(c.attempts, l)
	if m.cut {
		w.deliverResult(l, router.ConnectFailed, float64(w.spec.Fleet.Dial))
	} else {
		m.inTransit++
		w.after(w.networkDelay(), func() {
			m.inTransit--
			if l.open {
				m.arrive(l)
			}
		})
	}
	w.at(math.Min(until, c.GiveUp), func() {
		m.cancel(l)
		r.ended(l, router.TimedOut, false, 0)
	})
}

// Cancel implements hand.Executor.
func (r *instance) Cancel(id uint32, number int) {
	for _, l := range r.commands[id].attempts {
		if l.number == number {
			r.world.after(r.world.networkDelay(), func() {
				l.at.cancel(l)
				r.world.deliverResult(l, router.Canceled, r.world.networkDelay())
			})
		}
	}
}

// Reject implements hand.Executor.
func (r *instance) Reject(id uint32, comeBack float64) {
	r.world.tally.Throttled++
	if c := r.final(id); c != nil {
		r.world.retryLater(c, math.Max(comeBack, 0.05))
	}
}

// Fail implements hand.Executor.
func (r *instance) Fail(id uint32) {
	r.world.tally.Failed++
	r.final(id)
}

// final is a command's last answer.
func (r *instance) final(id uint32) *command {
	c := r.commands[id]
	if c == nil {
		return nil
	}
	r.world.check.Answered(r.world.now, "a command of "+r.world.spec.Groups[c.group].Name, &c.Command)
	c.done = true
	r.release(c)
	return c
}

// release forgets a command with nothing more to come.
func (r *instance) release(c *command) {
	for _, l := range c.attempts {
		if l.open {
			return
		}
	}
	if c.done && r.commands[c.id] == c {
		delete(r.commands, c.id)
	}
}

// ended has a attempt's outcome come to its router; the first one counts.
func (r *instance) ended(l *attempt, e router.Result, primary bool, position float64) {
	c, w := l.cmd, r.world
	if !l.open {
		return
	}
	l.open = false
	ran := e == router.Answered || e == router.ConnectionLost || e == router.TimedOut || e == router.Canceled
	w.check.Back(&c.Command, l.sent, l.at.shard, ran)
	if r.commands[c.id] != c { // its router has started anew
		return
	}
	g := &w.spec.Groups[c.group]
	o := router.AttemptResult{Attempt: l.number, Result: e, Elapsed: w.now - l.sent, Final: e == router.Answered, Position: -1}
	if e == router.Answered || e == router.NotServed {
		if o.Role = router.RoleReplica; primary {
			o.Role = router.RolePrimary
		}
	}
	if e == router.Answered && !math.IsInf(position, -1) {
		o.Position = position + logStartBeforeRun
	}
	if e == router.Answered && !c.done {
		r.answered(c, g, l, position)
	}
	r.policy.AttemptEnded(w.now, c.id, o)
	r.release(c)
	r.wake()
}

// answered counts a backend's answer that its client gets.
func (r *instance) answered(c *command, g *Group, l *attempt, position float64) {
	w, s := r.world, r.sessions[c.session]
	if consistencies[g.Need] == router.PrimaryOnly {
		s.wrote = math.Max(s.wrote, position)
	} else {
		w.check.Served("a command of "+g.Name, &c.Command, l.at.node, &verdict.Member{Covers: position})
		if consistencies[g.Need] == router.SessionConsistent {
			s.seen = math.Max(s.seen, position)
		}
	}
	w.check.Answered(w.now, "a command of "+g.Name, &c.Command)
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
