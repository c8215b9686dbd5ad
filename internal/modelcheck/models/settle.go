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

// Limits of how long a system may take to settle once no more faults are injected. They are many times what a correct system
// needs, so that only one that never settles exceeds them.
const (
	settleMaxSteps     = 400
	settleTicks        = 12
	settleCommandTries = 20 // commands that a client sends at most until one is answered
	settleRolloutTries = 6  // times that operators resume a rollout at most until it has ended
)

// removeBounds lets time go on forever and allows no fault beyond those already injected.
func removeBounds(b *Bounds, faults int) { b.Faults, b.Ticks = faults, math.MaxInt }

// runUndisturbed takes the first possible step again and again. Systems list the step tick after all others except close, so time
// passes only when nothing but closing can happen. It reports whether done became true.
func runUndisturbed(system modelcheck.System, done func() bool) bool {
	for range settleMaxSteps {
		steps := system.Steps()
		if done() || len(steps) == 0 {
			break
		}
		system.Take(steps[0])
	}
	return done()
}

// Settle implements modelcheck.Settler: every attempt ends, and the connections can be closed.
func (s *backendSystem) Settle() (property, detail string) {
	removeBounds(&s.bounds, s.faults)
	if !runUndisturbed(s, s.Ended) {
		var open []int
		for _, a := range s.attempts {
			if a.state != 2 {
				open = append(open, int(a.attempt.CommandID))
			}
		}
		return invariant.Terminates, fmt.Sprintf("attempts %v do not end", open)
	}
	return s.Broken()
}

// Settle implements modelcheck.Settler: the list is delivered, and delivered again when it changes.
func (s *watchSystem) Settle() (property, detail string) {
	removeBounds(&s.bounds, s.faults)
	s.listsReceived = 0
	if !runUndisturbed(s, func() bool { return s.listsReceived >= 2 }) {
		return invariant.Terminates, fmt.Sprintf("%d versions of the list are delivered, and then no more", s.listsReceived)
	}
	return s.Broken()
}

// Settle implements modelcheck.Settler: clients send the rest of their messages and are answered, and then the frontend drains.
func (s *clientSystem) Settle() (property, detail string) {
	removeBounds(&s.bounds, s.faults)
	runUndisturbed(s, func() bool { return false })
	if !s.drained {
		s.Take("drain")
	}
	if !runUndisturbed(s, s.Ended) {
		return invariant.Terminates, fmt.Sprintf("the frontend still has %d connections and does not drain", s.frontend.OpenConnections())
	}
	return s.Broken()
}

// Settle implements modelcheck.Settler: a backend in slow start gets commands from every router.
func (c *slowStartSystem) Settle() (property, detail string) {
	c.settleAttempts = make([]int, len(c.routers))
	for range settleTicks {
		c.Take("tick")
		for i := range c.routers {
			c.Take(fmt.Sprint("burst ", i))
		}
	}
	if i := slices.Index(c.settleAttempts, 0); i >= 0 {
		return invariant.ServesAgain,
			fmt.Sprintf("router %d sends nothing to the backend in slow start for %g s", i, settleTicks*slowStartTickSeconds)
	}
	return "", "" // a violated budget shows in the steps themselves, which leave a readable trace
}

// Settle implements modelcheck.Settler: all commands in flight end, and later commands are answered if a backend can serve them.
func (c *commandSystem) Settle() (property, detail string) {
	for range settleTicks / 2 { // one and a half client timeouts
		c.quietTick()
	}
	if c.tracker.Len() > 0 {
		return invariant.Terminates, fmt.Sprintf("%d commands stay in flight", c.tracker.Len())
	}
	hasPrimary := slices.ContainsFunc(c.endpoints, func(m simulatedEndpoint) bool { return m.primary && m.listedState == router.Ready })
	hasReplica := slices.ContainsFunc(c.endpoints, func(m simulatedEndpoint) bool { return !m.primary && m.listedState == router.Ready })
	for _, expected := range []struct { // always in this order: the first changes the router's random numbers for the second
		group    string
		possible bool
	}{{"order", hasPrimary}, {"look", hasPrimary || hasReplica}} {
		if expected.possible && !c.servesAgain(expected.group) {
			return invariant.ServesAgain, fmt.Sprintf("none of %d new commands of group %s is answered", settleCommandTries, expected.group)
		}
	}
	return c.Broken()
}

// servesAgain reports whether one of several commands, sent one after another, is answered.
func (c *commandSystem) servesAgain(group string) bool {
	for range settleCommandTries {
		n := len(c.commands)
		c.commands = append(c.commands, &clientCommand{name: fmt.Sprint(group, " ", n), group: groupOf(group)})
		c.Take(fmt.Sprint("take ", n))
		for cmd := c.commands[n]; cmd.Open(); {
			c.quietTick()
		}
		if c.commands[n].answered {
			return true
		}
	}
	return false
}

// quietTick passes one time step in which backends answer attempts and health checks immediately and replicas catch up.
func (c *commandSystem) quietTick() {
	for i, cmd := range c.commands {
		for k := len(cmd.attempts) - 1; k >= 0; k-- {
			kind := "answered"
			if cmd.attempts[k].canceled && !cmd.attempts[k].timedOut {
				kind = "recalled"
			}
			c.Take(fmt.Sprintf("%s %d %d", kind, i, k))
		}
	}
	for i := range c.endpoints {
		if e := &c.endpoints[i]; !e.primary && e.listedState != router.Removed {
			e.AppliedPosition = math.Max(e.AppliedPosition, c.now)
		}
		if c.healthChecks[i] {
			c.Take(fmt.Sprint("report ", i))
		}
	}
	c.Take("tick")
}

// Settle implements modelcheck.Settler: whatever happened, operators can bring the rollout to its end.
func (r *rolloutSystem) Settle() (property, detail string) {
	removeBounds(&r.bounds, r.faults)
	lastOutcome := ""
	for range settleRolloutTries {
		for steps := r.Steps(); steps[0] != "tick"; steps = r.Steps() { // first restart the agents and let them act
			r.Take(steps[0])
		}
		if !runUndisturbed(r, func() bool {
			return !slices.ContainsFunc(r.tools, func(t *rolloutTool) bool { return t.coordinator != nil })
		}) {
			return invariant.Terminates, "a tool neither makes progress nor ends"
		}
		outcome := r.tools[len(r.tools)-1].outcome
		if lastOutcome = fmt.Sprintf("outcome %d, %+v", outcome.Kind, outcome.Reason); r.Ended() ||
			outcome.Kind == coordinator.OutcomeNoRollout {
			return r.Broken()
		}
		for range settleTicks { // longer than a lease: a restarted agent counts a lease that it had granted as renewed
			r.Take("tick")
		}
		r.tools = append(r.tools, &rolloutTool{})
		r.startTool(len(r.tools) - 1)
		r.runTools()
	}
	return invariant.Terminates,
		fmt.Sprintf("the rollout is not over after %d attempts to resume it: %s", settleRolloutTries, lastOutcome)
}
