package invariant

import (
	"fmt"
	"math"
	"slices"
)

// SlowStartBudget in words. It is over all routers together: none of them can see it broken alone.
const SlowStartBudget = "all routers together send a cold member no more than it bears"

// SlowStartChecker watches what a member that has just started is sent, by whomever. Times are seconds, rates a second.
type SlowStartChecker struct {
	Capacity float64 // that it has once warm
	SlowStartFloor    float64 // of it that it starts with
	SlowStart   float64 // it grows evenly to the whole in this time
	OverloadFactor float64 // multiple of what it has that pushes it over,
	OverloadWindow float64 // if kept up for this long

	sent        []float64 // within the last FallSpan
	broken, how string
}

// AttemptSent notes a dispatch to the member, which started at a time.
func (c *SlowStartChecker) AttemptSent(now, started float64) {
	c.sent = slices.DeleteFunc(append(c.sent, now), func(at float64) bool { return at < now-c.OverloadWindow })
	bears := c.MaxAttempts(now, started)
	if now-started < c.SlowStart && float64(len(c.sent)) > bears && c.broken == "" {
		c.broken, c.how = SlowStartBudget, fmt.Sprintf("it was sent %d within %g s, %g s after its start, and bears %.1f", len(c.sent), c.OverloadWindow,
			now-started, bears)
	}
}

// MaxAttempts is how many dispatches a member that started at a time bears within the last span.
func (c *SlowStartChecker) MaxAttempts(now, started float64) float64 {
	age := now - started
	return c.OverloadFactor * c.Capacity * (c.grown(age) - c.grown(age-c.OverloadWindow))
}

// SentTimes of the dispatches within the last span.
func (c *SlowStartChecker) SentTimes() []float64 { return c.sent }

// grown is its share of its capacity, summed from its start up to an age. Before its start it has what it starts
// with: nobody could have known.
func (c *SlowStartChecker) grown(age float64) float64 {
	up := math.Min(math.Max(age, 0), c.SlowStart)
	return c.SlowStartFloor*math.Min(age, 0) + c.SlowStartFloor*up + (1-c.SlowStartFloor)*up*up/(2*c.SlowStart) + math.Max(0, age-c.SlowStart)
}

// Broken names the property if it was broken, and how.
func (c *SlowStartChecker) Broken() (property, how string) { return c.broken, c.how }
