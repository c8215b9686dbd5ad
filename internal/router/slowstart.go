package router

import (
	"cmp"
	"math"
)

// coldRoom keeps rule 4: a node that has just started gets its share of what a warm one gets
// from this router, as far as its capacity has grown at the slowest. All routers do the same.
func (r *Router) slowStartAdmits(now float64, at int) bool {
	n := &r.endpoints[at]
	age := now - n.startedAt
	if age >= r.config.SlowStart {
		return true
	}
	part := r.config.SlowStartFloor + (1-r.config.SlowStartFloor)*math.Max(0, age)/r.config.SlowStart
	// A router that has just started, or meets no warm node, has no rate to go by: a node does one command at a
	// time at least. Where half of the fleet was new, hundreds of such routers left it idle.
	least := slowStartMargin * r.config.OverloadFactor * part / cmp.Or(r.serviceTime, r.config.SlowStart)
	least = math.Max(1/r.config.OverloadWindow, least)
	rate := math.Max(slowStartMargin*r.config.OverloadFactor*part*r.warmRate, least/float64(r.config.RouterCount))
	// Rounded at random and never saved up: the parts of a dispatch that many routers have add up
	// to the whole. One apiece at once, from a hundred routers, pushed a cold node over.
	if span := slowStartBurst * r.config.OverloadWindow; now-n.slowStartBudgetAt >= span {
		n.slowStartBudget, n.slowStartBudgetAt = math.Floor(rate*span+r.random.Float64()), now
	}
	return n.slowStartBudget >= 1
}
