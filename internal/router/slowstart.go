package router

import (
	"cmp"
	"math"
)

const (
	slowStartMargin = 0.7  // share of the overload factor to use; the rest allows for random variation
	slowStartBurst  = 0.25 // share of the overload window for which budget is granted at a time
)

// slowStartAdmits reports whether endpoint i may get an attempt. An endpoint in slow start has a budget:
// the commands that a warm endpoint answers to this router, scaled by the least capacity to which it has
// grown by now. All routers apply the same rule. The commands sent to warm endpoints are no measure: in a
// burst they are several times what these endpoints can answer. The commands answered never exceed that.
func (r *Router) slowStartAdmits(now float64, i int) bool {
	e := &r.endpoints[i]
	age := now - e.startedAt
	if age >= r.config.SlowStart {
		return true
	}
	capacity := r.config.SlowStartFloor + (1-r.config.SlowStartFloor)*max(0, age)/r.config.SlowStart
	// Without a warm endpoint there is no rate to measure. An endpoint can run at least one command at a
	// time.
	least := slowStartMargin * r.config.OverloadFactor * capacity /
		cmp.Or(r.fleetServiceTime, r.config.SlowStart)
	least = max(1/r.config.OverloadWindow, least)
	rate := slowStartMargin * r.config.OverloadFactor * capacity * r.warmThroughput
	rate = max(rate, least/float64(r.config.RouterCount))
	// The budget is rounded at random and unused budget expires, so that the fractions of many routers
	// add up to the whole. When a hundred routers each sent one attempt at the same time, they overloaded
	// a cold endpoint.
	if span := slowStartBurst * r.config.OverloadWindow; now-e.slowStartBudgetSetAt >= span {
		overdraft := min(0, e.slowStartBudget)
		e.slowStartBudget, e.slowStartBudgetSetAt = math.Floor(rate*span+r.random.Float64())+overdraft, now
	}
	return e.slowStartBudget >= 1
}

// chargeSlowStart deducts an attempt's work, in commands of mean service time, from the budget of an
// endpoint in slow start.
func (r *Router) chargeSlowStart(now float64, e *endpoint, g *group) {
	if now-e.startedAt < r.config.SlowStart {
		e.slowStartBudget -= r.relativeWork(g)
	}
}
