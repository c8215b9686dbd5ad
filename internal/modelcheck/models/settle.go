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
	settleMaxSteps     = 400
	settleTicks        = 12
	settleCommandTries = 20 // of clients that come back
	settleRolloutTries = 6  // that operators take a paused rollout up again
)

// removeBounds bounds are those of a world in which nobody is against it, and time goes on.
func removeBounds(b *Bounds, faults int) { b.Faults, b.Ticks = faults, math.MaxInt }

// runUndisturbed has everything happen that can, in order, and lets time pass when nothing else can. It tells whether the end came.
func runUndisturbed(s modelcheck.System, done func() bool) bool {
	for range settleMaxSteps {
		steps := s.Steps() // time comes last
		if done() || len(steps) == 0 {
			break
		}
		s.Take(steps[0])
	}
	return done()
}

// Settle implements modelcheck.Settler: every dispatch ends, and the connections can be closed.
func (s *backendSystem) Settle() (property, how string) {
	removeBounds(&s.bounds, s.faults)
	if !runUndisturbed(s, s.Ended) {
		var open []int
		for _, x := range s.attempts {
			if x.state != 2 {
				open = append(open, int(x.attempt.CommandID))
			}
		}
		return invariant.ComesToEnd, fmt.Sprintf("dispatches %v do not end", open)
	}
	return s.Broken()
}

// Settle implements modelcheck.Settler: the list is told, and told again when it changes.
func (s *watchSystem) Settle() (property, how string) {
	removeBounds(&s.bounds, s.faults)
	s.listsReceived = 0
	if !runUndisturbed(s, func() bool { return s.listsReceived >= 2 }) {
		return invariant.ComesToEnd, fmt.Sprintf("of the list %d versions are told, and then none", s.listsReceived)
	}
	return s.Broken()
}

// Settle implements modelcheck.Settler: clients say what they have to and are answered; then the front drains.
func (s *clientSystem) Settle() (property, how string) {
	removeBounds(&s.bounds, s.faults)
	runUndisturbed(s, func() bool { return false })
	if !s.drained {
		s.Take("drain")
	}
	if !runUndisturbed(s, s.Ended) {
		return invariant.ComesToEnd, fmt.Sprintf("the front has %d connections and does not end", s.frontend.OpenConnections())
	}
	return s.Broken()
}

// Settle implements modelcheck.Settler: a cold member gets commands from every router.
func (c *slowStartSystem) Settle() (property, how string) {
	c.settleAttempts = make([]int, len(c.routers))
	for range settleTicks {
		c.Take("tick")
		for i := range c.routers {
			c.Take(fmt.Sprint("burst ", i))
		}
	}
	if i := slices.Index(c.settleAttempts, 0); i >= 0 {
		return invariant.ServesAgain, fmt.Sprintf("router %d sends the cold member nothing in %g s", i, settleTicks*slowStartTickSeconds)
	}
	return "", "" // whether it gets too much is for the steps, which can be read
}

// Settle implements modelcheck.Settler: commands in hand end and leave nothing in it, and commands that come after that are
// served, if there is a member to serve them.
func (c *commandSystem) Settle() (property, how string) {
	for range settleTicks / 2 { // a client timeout, and half of one
		c.quietTick()
	}
	if c.tracker.Len() > 0 {
		return invariant.ComesToEnd, fmt.Sprintf("%d commands stay in hand", c.tracker.Len())
	}
	primary := slices.ContainsFunc(c.endpoints, func(m simulatedEndpoint) bool { return m.primary && m.listedState == router.Ready })
	replica := slices.ContainsFunc(c.endpoints, func(m simulatedEndpoint) bool { return !m.primary && m.listedState == router.Ready })
	for _, x := range []struct { // in one order always: the module's chance goes on from the first
		group string
		may   bool
	}{{"order", primary}, {"look", primary || replica}} {
		if x.may && !c.servesAgain(x.group) {
			return invariant.ServesAgain, fmt.Sprintf("none of %d new commands of %s is answered", settleCommandTries, x.group)
		}
	}
	return c.Broken()
}

// servesAgain has a client try again and again, as clients do, until one command is answered.
func (c *commandSystem) servesAgain(group string) bool {
	for range settleCommandTries {
		n := len(c.commands)
		c.commands = append(c.commands, &clientCommand{name: fmt.Sprint(group, " ", n), group: groupOf(group)})
		c.Take(fmt.Sprint("take ", n))
		for x := c.commands[n]; x.Open(); {
			c.quietTick()
		}
		if c.commands[n].answered {
			return true
		}
	}
	return false
}

// quietTick is a step of time in which members answer at once, probes too, and replicas follow.
func (c *commandSystem) quietTick() {
	for i, x := range c.commands {
		for k := len(x.attempts) - 1; k >= 0; k-- {
			what := "answered"
			if x.attempts[k].canceled && !x.attempts[k].timedOut {
				what = "recalled"
			}
			c.Take(fmt.Sprintf("%s %d %d", what, i, k))
		}
	}
	for i := range c.endpoints {
		if m := &c.endpoints[i]; !m.primary && m.listedState != router.Removed {
			m.Covers = math.Max(m.Covers, c.now)
		}
		if c.healthChecks[i] {
			c.Take(fmt.Sprint("report ", i))
		}
	}
	c.Take("tick")
}

// Settle implements modelcheck.Settler: whatever happened, operators can bring the rollout to its end.
func (r *rolloutSystem) Settle() (property, how string) {
	removeBounds(&r.bounds, r.faults)
	last := ""
	for range settleRolloutTries {
		for steps := r.Steps(); steps[0] != "tick"; steps = r.Steps() { // agents are back first, and have acted
			r.Take(steps[0])
		}
		if !runUndisturbed(r, func() bool {
			return !slices.ContainsFunc(r.tools, func(t *rolloutTool) bool { return t.coordinator != nil })
		}) {
			return invariant.ComesToEnd, "a tool neither goes on nor ends"
		}
		o := r.tools[len(r.tools)-1].outcome
		if last = fmt.Sprintf("outcome %d, %+v", o.Kind, o.Reason); r.Ended() || o.Kind == coordinator.OutcomeNoRollout {
			return r.Broken()
		}
		for range settleTicks { // an agent that started again grants nothing for a term
			r.Take("tick")
		}
		r.tools = append(r.tools, &rolloutTool{})
		r.startTool(len(r.tools) - 1)
		r.runTools()
	}
	return invariant.ComesToEnd, fmt.Sprintf("it is taken up %d times and is not over: %s", settleRolloutTries, last)
}
