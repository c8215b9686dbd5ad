package invariant

import (
	"fmt"
	"math"
	"slices"
)

// ColdBudget in words. It is over all routers together: none of them can see it broken alone.
const ColdBudget = "all routers together send a cold member no more than it bears"

// Cold watches what a member that has just started is sent, by whomever. Times are seconds, rates a second.
type Cold struct {
	Capacity float64 // that it has once warm
	Share    float64 // of it that it starts with
	WarmIn   float64 // it grows evenly to the whole in this time
	Overload float64 // multiple of what it has that pushes it over,
	FallSpan float64 // if kept up for this long

	sent        []float64 // within the last FallSpan
	broken, how string
}

// Sent notes a dispatch to the member, which started at a time.
func (c *Cold) Sent(now, started float64) {
	c.sent = slices.DeleteFunc(append(c.sent, now), func(at float64) bool { return at < now-c.FallSpan })
	bears := c.Bears(now, started)
	if now-started < c.WarmIn && float64(len(c.sent)) > bears && c.broken == "" {
		c.broken, c.how = ColdBudget, fmt.Sprintf("it was sent %d within %g s, %g s after its start, and bears %.1f", len(c.sent), c.FallSpan,
			now-started, bears)
	}
}

// Bears is how many dispatches a member that started at a time bears within the last span.
func (c *Cold) Bears(now, started float64) float64 {
	age := now - started
	return c.Overload * c.Capacity * (c.grown(age) - c.grown(age-c.FallSpan))
}

// Times of the dispatches within the last span.
func (c *Cold) Times() []float64 { return c.sent }

// grown is its share of its capacity, summed from its start up to an age. Before its start it has what it starts
// with: nobody could have known.
func (c *Cold) grown(age float64) float64 {
	up := math.Min(math.Max(age, 0), c.WarmIn)
	return c.Share*math.Min(age, 0) + c.Share*up + (1-c.Share)*up*up/(2*c.WarmIn) + math.Max(0, age-c.WarmIn)
}

// Broken names the property if it was broken, and how.
func (c *Cold) Broken() (property, how string) { return c.broken, c.how }
