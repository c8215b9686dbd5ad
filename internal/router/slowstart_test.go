package router

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestEndpointInSlowStartHasABudget(t *testing.T) {
	r := testRouter(t, testConfig())
	r.endpoints[1].startedAt, r.endpoints[1].slowStartBudgetSetAt = 10, 10
	r.warmThroughput = 10
	sent := 0
	for at := 10.0; at < 12; at += 0.01 {
		if r.slowStartAdmits(at, 1) {
			r.endpoints[1].slowStartBudget--
			sent++
		}
	}
	allowed := r.config.OverloadFactor * r.config.SlowStartFloor * r.warmThroughput * r.config.OverloadWindow
	assert.Positive(t, sent)
	assert.LessOrEqual(t, float64(sent), allowed, "within one overload window")
}

// A hundred routers, each with one attempt, once overloaded a cold endpoint in its first second. All
// their budgets together stay below what the configuration allows on average, and within random variation
// of it in every draw.
func TestSlowStartBudgetsOfAllRoutersAddUp(t *testing.T) {
	const routers, draws, window = 100, 20, 2.0
	config := testConfig()
	config.RouterCount = routers
	// Share of the full capacity in the middle of the window, which begins one second after the start.
	share := config.SlowStartFloor + (1-config.SlowStartFloor)*(1+window/2)/config.SlowStart
	allowed := config.OverloadFactor * share * 10 * window // a warm endpoint answers ten commands per second
	total := 0
	for draw := range draws {
		sent := 0
		for seed := range routers {
			sent += grantsOfLowTrafficRouter(config, routerSeed(draw*routers+seed), window)
		}
		assert.LessOrEqual(t, float64(sent), allowed+3*math.Sqrt(allowed)+3)
		total += sent
	}
	assert.Less(t, float64(total)/draws, 0.85*allowed)
}

// grantsOfLowTrafficRouter returns how many commands a router sends within a window, in seconds, to an
// endpoint that started one second before, if each warm endpoint answers it one command in ten seconds.
func grantsOfLowTrafficRouter(config Config, seed uint64, window float64) (sent int) {
	r := New(config, seed)
	r.UpdateEndpoints(10, []EndpointInfo{{State: Ready, StartedAt: 9}}, true, false)
	r.warmThroughput = 0.1
	for at := 10.0; at < 10+window; at += 0.1 {
		if r.slowStartAdmits(at, 0) {
			r.endpoints[0].slowStartBudget--
			sent++
		}
	}
	return sent
}

// Routers that have just started, in a fleet that is half new, have no warm endpoint whose rate they could
// measure. They sent next to nothing to idle endpoints. All together they must send less than an
// endpoint that runs one command at a time can answer in slow start.
func TestFreshRoutersUseColdEndpointsWithinTheirCapacity(t *testing.T) {
	const routers, work = 300, 0.05
	sent := 0
	for seed := range routers {
		config := testConfig()
		config.RouterCount = routers
		r := New(config, routerSeed(seed))
		r.UpdateEndpoints(10, []EndpointInfo{{State: Ready, StartedAt: 10}}, true, false)
		r.fleetServiceTime = work
		for at := 10.0; at < 20; at += 0.1 {
			if r.slowStartAdmits(at, 0) {
				r.endpoints[0].slowStartBudget--
				sent++
			}
		}
	}
	capacity := (0.2 + 1) / 2 * 10 / work // commands that one slot can answer during slow start
	assert.Greater(t, float64(sent), 0.7*capacity)
	assert.Less(t, float64(sent), 1.3*capacity, "well below the twofold load that the overload factor allows")
}

// In a burst, warm endpoints get several times the commands they can answer and reject the rest. An
// endpoint in slow start whose budget followed the commands sent to them was overloaded, at 2.2 times its
// capacity.
func TestSlowStartIsPacedByWhatWarmEndpointsAnswer(t *testing.T) {
	// Seconds between attempts at each warm endpoint; each answers one attempt in four.
	const interval, answeredOf = 0.01, 4
	r := testRouter(t, testConfig())
	now := 10.0
	for n := range 2000 {
		now += interval
		for i := range 3 {
			sendAndEnd(r, now, i, n%answeredOf == 0)
		}
		r.Maintain(now)
	}
	answered := 1 / (interval * answeredOf) // answers per second of each of the three endpoints
	r.UpdateEndpoints(now, []EndpointInfo{{Index: 3, State: Ready, StartedAt: now}}, false, false)
	sent := 0.0
	for at := now; at < now+r.config.OverloadWindow; at += 0.002 {
		if r.slowStartAdmits(at, 3) {
			r.forward(at, newCommand(eventualReads), &r.groups[eventualReads], 3, false)
			sent++
		}
	}
	share := r.config.SlowStartFloor + (1-r.config.SlowStartFloor)*r.config.OverloadWindow/r.config.SlowStart
	allowed := r.config.OverloadFactor * share * answered * r.config.OverloadWindow
	assert.Positive(t, sent)
	assert.LessOrEqual(t, sent, allowed)
}

// sendAndEnd sends an attempt to endpoint i and ends it as answered or as overloaded.
func sendAndEnd(r *Router, now float64, i int, answered bool) {
	c := newCommand(eventualReads)
	g := &r.groups[eventualReads]
	c.ArrivedAt, c.ClientDeadline = now, now+2
	r.forward(now, c, g, i, false)
	result := AttemptResult{Result: Overloaded, Elapsed: 0.001, Final: true, Position: -1}
	if answered {
		result = AttemptResult{Result: Answered, Elapsed: 0.04, Final: true, Position: -1}
	}
	r.AttemptEnded(now+result.Elapsed, c, result)
}

// An attempt takes its work from the budget. What it takes beyond the budget is deducted from the next one.
func TestHeavyCommandsTakeMoreOfTheSlowStartBudget(t *testing.T) {
	r := testRouter(t, testConfig())
	e := &r.endpoints[1]
	e.startedAt, r.fleetServiceTime, r.warmThroughput = 10, 0.5, 2
	r.groups[eventualReads].serviceTime, r.groups[boundedReads].serviceTime = 2.5, 0.1
	e.slowStartBudget, e.slowStartBudgetSetAt = 2, 10
	r.chargeSlowStart(10, e, &r.groups[boundedReads])
	assert.InDelta(t, 1.8, e.slowStartBudget, 1e-9)
	r.chargeSlowStart(10, e, &r.groups[eventualReads])
	assert.InDelta(t, -3.2, e.slowStartBudget, 1e-9)
	assert.False(t, r.slowStartAdmits(10.5, 1))
	assert.InDelta(t, -2.7, e.slowStartBudget, 0.51, "at most one command is granted, less the overdraft")
	r.chargeSlowStart(25, e, &r.groups[eventualReads])
	assert.InDelta(t, -2.7, e.slowStartBudget, 0.51, "attempts at a warm endpoint are not charged")
}
