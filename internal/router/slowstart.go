package router

import (
	"cmp"
	"math"
)

const (
	slowStartMargin = 0.7  // of the overload factor that a cold endpoint gets; the rest is left to chance
	slowStartBurst  = 0.25 // of the overload window whose budget is granted at once
)

// slowStartAdmits gives an endpoint that has just started its share of what a warm one answers to this
// router, as far as its capacity has grown at the slowest. All routers do the same. What warm endpoints are
// sent is no measure: in a burst that is several times what they can do, and what they answer never is.
func (r *Router) slowStartAdmits(now float64, i int) bool {
	e := &r.endpoints[i]
	age := now - e.startedAt
	if age >= r.config.SlowStart {
		return true
	}
	capacity := r.config.SlowStartFloor + (1-r.config.SlowStartFloor)*max(0, age)/r.config.SlowStart
	// Without a warm endpoint there is no rate to go by: an endpoint does one command at a time at least.
	least := slowStartMargin * r.config.OverloadFactor * capacity / cmp.Or(r.fleetServiceTime, r.config.SlowStart)
	least = max(1/r.config.OverloadWindow, least)
	rate := slowStartMargin * r.config.OverloadFactor * capacity * r.warmThroughput
	rate = max(rate, least/float64(r.config.RouterCount))
	// Rounded at random and never saved up, so that the fractions of many routers add up to the whole: one
	// attempt each at once, from a hundred routers, overloaded a cold endpoint.
	if span := slowStartBurst * r.config.OverloadWindow; now-e.slowStartBudgetSetAt >= span {
		overdraft := min(0, e.slowStartBudget)
		e.slowStartBudget, e.slowStartBudgetSetAt = math.Floor(rate*span+r.random.Float64())+overdraft, now
	}
	return e.slowStartBudget >= 1
}

// chargeSlowStart takes an attempt from the budget of an endpoint in slow start: its work, in commands of
// the mean service time.
func (r *Router) chargeSlowStart(now float64, e *endpoint, g *group) {
	if now-e.startedAt < r.config.SlowStart {
		e.slowStartBudget -= r.relativeWork(g)
	}
}
