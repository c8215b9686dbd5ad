package world

import (
	"fmt"
	"math"

	"stoatdale.example/stoatdale/internal/lab/verdict"
	"stoatdale.example/stoatdale/internal/router"
)

// instance is one router: its policy and the sessions whose clients use it.
type instance struct {
	w        *World
	me       int
	policy   Policy
	boots    int
	commands map[uint32]*command
	last     uint32
	sessions map[uint64]*session
	due      float64 // when it is to settle
}

// logBefore is how long before the run the log began, in seconds: positions count from there.
const logBefore = 1000

// boot starts a router, for the first time or anew.
func (r *instance) boot(policy string) {
	r.boots++
	r.policy = policies[policy](r)
	r.policy.UpdateEndpoints(r.w.now, r.w.told)
	r.wake()
}

// site is what the module is told of the world.
func (r *instance) site() router.Config {
	f := &r.w.spec.Fleet
	s := router.Config{
		RouterCount: f.Routers, Instance: r.me, TotalWeight: 1, BatchInterval: 0.005, PositionEpoch: -logBefore, ClientTokens: true, LoadReports: true, CanCancel: true, HealthChecks: true, RetryAfterAllowed: true, MaxRetryAfter: 1,
		MaxAttempts: 4, ConnectTimeout: float64(f.Dial), SlowStartFloor: f.ColdShare, SlowStart: float64(f.WarmIn), OverloadFactor: f.Overload, OverloadWindow: float64(f.FallSpan),
	}
	for i := range r.w.spec.Groups {
		g := &r.w.spec.Groups[i]
		s.CommandGroups = append(s.CommandGroups, router.CommandGroup{
			Consistency: needs[g.Need], Idempotency: effects[g.Effect], KeyScope: router.ShardScope, LatencyObjective: float64(g.Target),
			ClientTimeout: float64(g.Timeout), PriorityWeight: g.Benefit, LateValue: g.Late, MaxStaleness: float64(g.Bound), IdempotencyWindow: float64(g.Memory),
		})
	}
	return s
}

// wake has the policy go on, and asks to be woken again when it wants to be.
func (r *instance) wake() {
	w := r.w
	next, probes := r.policy.ReviewDue(w.now)
	for _, n := range probes {
		r.probe(n)
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

// probe asks a member how it stands.
func (r *instance) probe(node int) {
	w, m, p, sent := r.w, r.w.members[node], r.policy, r.w.now
	w.tally.Probes++
	back := func(ok bool, position float64) func() {
		return func() {
			if r.policy == p { // it did not start anew meanwhile
				p.HealthChecked(w.now, node, ok, w.now-sent, position, m.primary)
				r.wake()
			}
		}
	}
	w.after(w.way(), func() {
		switch {
		case m.cut || m.hung:
			w.after(float64(w.spec.Fleet.Dial)-w.way(), back(false, -1))
		case m.down:
			w.after(w.way(), back(false, -1))
		default:
			w.after(w.way(), back(true, m.position(w.now)+logBefore))
		}
	})
}

// Forward implements hand.Executor.
func (r *instance) Forward(id uint32, number, node int, until float64) {
	w, c, m := r.w, r.commands[id], r.w.members[node]
	g := &w.spec.Groups[c.group]
	w.check.Sent(w.now, fmt.Sprint("a command of ", g.Name), &c.Command, node, &verdict.Member{
		Set: m.set, Away: m.told == router.Draining,
		AwaySince: m.toldAt,
	})
	w.tally.Dispatches++
	if needs[g.Need] != router.PrimaryOnly {
		w.tally.Reads++
		if m.primary {
			w.tally.Primary++
		}
	}
	l := &leg{cmd: c, number: number, at: m, sent: w.now, open: true}
	c.legs = append(c.legs, l)
	if m.cut {
		w.outcome(l, router.ConnectFailed, float64(w.spec.Fleet.Dial))
	} else {
		m.coming++
		w.after(w.way(), func() {
			m.coming--
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
	for _, l := range r.commands[id].legs {
		if l.number == number {
			r.w.after(r.w.way(), func() {
				l.at.cancel(l)
				r.w.outcome(l, router.Canceled, r.w.way())
			})
		}
	}
}

// Reject implements hand.Executor.
func (r *instance) Reject(id uint32, comeBack float64) {
	r.w.tally.Throttled++
	if c := r.final(id); c != nil {
		r.w.again(c, math.Max(comeBack, 0.05))
	}
}

// Fail implements hand.Executor.
func (r *instance) Fail(id uint32) {
	r.w.tally.Failed++
	r.final(id)
}

// final is a command's last answer.
func (r *instance) final(id uint32) *command {
	c := r.commands[id]
	if c == nil {
		return nil
	}
	r.w.check.Answered(r.w.now, "a command of "+r.w.spec.Groups[c.group].Name, &c.Command)
	c.over = true
	r.release(c)
	return c
}

// release forgets a command with nothing more to come.
func (r *instance) release(c *command) {
	for _, l := range c.legs {
		if l.open {
			return
		}
	}
	if c.over && r.commands[c.id] == c {
		delete(r.commands, c.id)
	}
}

// ended has a dispatch's outcome come to its router; the first one counts.
func (r *instance) ended(l *leg, e router.Result, primary bool, position float64) {
	c, w := l.cmd, r.w
	if !l.open {
		return
	}
	l.open = false
	ran := e == router.Answered || e == router.ConnectionLost || e == router.TimedOut || e == router.Canceled
	w.check.Back(&c.Command, l.sent, l.at.set, ran)
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
		o.Position = position + logBefore
	}
	if e == router.Answered && !c.over {
		r.answered(c, g, l, position)
	}
	r.policy.AttemptEnded(w.now, c.id, o)
	r.release(c)
	r.wake()
}

// answered counts a member's answer that its client gets.
func (r *instance) answered(c *command, g *Group, l *leg, position float64) {
	w, s := r.w, r.sessions[c.session]
	if needs[g.Need] == router.PrimaryOnly {
		s.wrote = math.Max(s.wrote, position)
	} else {
		w.check.Served("a command of "+g.Name, &c.Command, l.at.node, &verdict.Member{Covers: position})
		if needs[g.Need] == router.SessionConsistent {
			s.seen = math.Max(s.seen, position)
		}
	}
	w.check.Answered(w.now, "a command of "+g.Name, &c.Command)
	c.over = true
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
