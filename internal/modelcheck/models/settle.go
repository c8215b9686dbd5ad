package models

import (
	"fmt"
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/fleet/coordinator"
	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/modelcheck"
	"stoatdale.example/stoatdale/internal/router"
)

// How long a system that is left alone may take: steps, and steps of time for what goes by times. They are many
// times what it needs, so that only what never comes is told.
const (
	calmSteps = 400
	calmTicks = 12
	calmTries = 20 // of clients that come back
	calmRuns  = 6  // that operators take a paused rollout up again
)

// endless bounds are those of a world in which nobody is against it, and time goes on.
func endless(b *Bounds, faults int) { b.Faults, b.Ticks = faults, math.MaxInt }

// calm has everything happen that can, in order, and lets time pass when nothing else can. It tells whether the end came.
func calm(s modelcheck.System, done func() bool) bool {
	for range calmSteps {
		steps := s.Steps() // time comes last
		if done() || len(steps) == 0 {
			break
		}
		s.Take(steps[0])
	}
	return done()
}

// Settle implements modelcheck.Settler: every dispatch ends, and the connections can be closed.
func (s *members) Settle() (property, how string) {
	endless(&s.bounds, s.faults)
	if !calm(s, s.Ended) {
		var open []int
		for _, x := range s.sends {
			if x.state != 2 {
				open = append(open, int(x.d.CommandID))
			}
		}
		return invariant.Terminates, fmt.Sprintf("dispatches %v do not end", open)
	}
	return s.Broken()
}

// Settle implements modelcheck.Settler: the list is told, and told again when it changes.
func (s *watching) Settle() (property, how string) {
	endless(&s.bounds, s.faults)
	s.lists = 0
	if !calm(s, func() bool { return s.lists >= 2 }) {
		return invariant.Terminates, fmt.Sprintf("of the list %d versions are told, and then none", s.lists)
	}
	return s.Broken()
}

// Settle implements modelcheck.Settler: clients say what they have to and are answered; then the front drains.
func (s *clients) Settle() (property, how string) {
	endless(&s.bounds, s.faults)
	calm(s, func() bool { return false })
	if !s.drained {
		s.Take("drain")
	}
	if !calm(s, s.Ended) {
		return invariant.Terminates, fmt.Sprintf("the front has %d connections and does not end", s.front.OpenConnections())
	}
	return s.Broken()
}

// Settle implements modelcheck.Settler: a cold member gets commands from every router.
func (c *cold) Settle() (property, how string) {
	c.served = make([]int, len(c.routers))
	for range calmTicks {
		c.Take("tick")
		for i := range c.routers {
			c.Take(fmt.Sprint("burst ", i))
		}
	}
	if i := slices.Index(c.served, 0); i >= 0 {
		return invariant.ServesAgain, fmt.Sprintf("router %d sends the cold member nothing in %g s", i, calmTicks*coldTick)
	}
	return "", "" // whether it gets too much is for the steps, which can be read
}

// Settle implements modelcheck.Settler: commands in hand end and leave nothing in it, and commands that come after that are
// served, if there is a member to serve them.
func (c *commands) Settle() (property, how string) {
	for range calmTicks / 2 { // a client timeout, and half of one
		c.quiet()
	}
	if c.tracker.Len() > 0 {
		return invariant.Terminates, fmt.Sprintf("%d commands stay in hand", c.tracker.Len())
	}
	primary := slices.ContainsFunc(c.endpoints, func(m simulatedEndpoint) bool { return m.primary && m.listedState == router.Ready })
	replica := slices.ContainsFunc(c.endpoints, func(m simulatedEndpoint) bool { return !m.primary && m.listedState == router.Ready })
	for _, x := range []struct { // in one order always: the module's chance goes on from the first
		group string
		may   bool
	}{{"order", primary}, {"look", primary || replica}} {
		if x.may && !c.servedAgain(x.group) {
			return invariant.ServesAgain, fmt.Sprintf("none of %d new commands of %s is answered", calmTries, x.group)
		}
	}
	return c.Broken()
}

// servedAgain has a client try again and again, as clients do, until one command is answered.
func (c *commands) servedAgain(group string) bool {
	for range calmTries {
		n := len(c.cmds)
		c.cmds = append(c.cmds, &clientCommand{name: fmt.Sprint(group, " ", n), group: groupOf(group)})
		c.Take(fmt.Sprint("take ", n))
		for x := c.cmds[n]; x.Open(); {
			c.quiet()
		}
		if c.cmds[n].answered {
			return true
		}
	}
	return false
}

// quiet is a step of time in which members answer at once, probes too, and replicas follow.
func (c *commands) quiet() {
	for i, x := range c.cmds {
		for k := len(x.attempts) - 1; k >= 0; k-- {
			what := "answered"
			if x.attempts[k].canceled && !x.attempts[k].ghost {
				what = "recalled"
			}
			c.Take(fmt.Sprintf("%s %d %d", what, i, k))
		}
	}
	for i := range c.endpoints {
		if m := &c.endpoints[i]; !m.primary && m.listedState != router.Removed {
			m.AppliedPosition = math.Max(m.AppliedPosition, c.now)
		}
		if c.healthChecks[i] {
			c.Take(fmt.Sprint("report ", i))
		}
	}
	c.Take("tick")
}

// Settle implements modelcheck.Settler: whatever happened, operators can bring the rollout to its end.
func (r *rolloutSystem) Settle() (property, how string) {
	endless(&r.bounds, r.faults)
	last := ""
	for range calmRuns {
		for steps := r.Steps(); steps[0] != "tick"; steps = r.Steps() { // agents are back first, and have acted
			r.Take(steps[0])
		}
		if !calm(r, func() bool {
			return !slices.ContainsFunc(r.tools, func(t *rollTool) bool { return t.coordinator != nil })
		}) {
			return invariant.Terminates, "a tool neither goes on nor ends"
		}
		o := r.tools[len(r.tools)-1].outcome
		if last = fmt.Sprintf("outcome %d, %+v", o.Kind, o.Reason); r.Ended() || o.Kind == coordinator.OutcomeNoRollout {
			return r.Broken()
		}
		for range calmTicks { // an agent that started again grants nothing for a term
			r.Take("tick")
		}
		r.tools = append(r.tools, &rollTool{})
		r.start(len(r.tools) - 1)
		r.turn()
	}
	return invariant.Terminates, fmt.Sprintf("it is taken up %d times and is not over: %s", calmRuns, last)
}
