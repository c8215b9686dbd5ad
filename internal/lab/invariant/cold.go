package invariant

import (
	"fmt"
	"math"
	"slices"
)

// ColdBudget is the property that the routers keep a backend's slow start. It sums over all routers: a single router cannot
// see a violation. Stored traces hold this text.
const ColdBudget = "all routers together send a cold member no more than it bears"

// Cold checks the attempts that all routers together send to a backend in its slow start. Times are in seconds.
type Cold struct {
	Capacity float64 // commands a second that the warm backend can serve
	Share    float64 // share of Capacity that it has at its start
	WarmIn   float64 // time after its start until it has all of Capacity; the share grows linearly
	Overload float64 // multiple of its present capacity that overloads it when kept up for FallSpan
	FallSpan float64 // window over which attempts are counted

	sentAt           []float64 // of the attempts within the last FallSpan
	violated, detail string
}

// Sent records that an attempt is sent to the backend, which started at startedAt.
func (c *Cold) Sent(now, startedAt float64) {
	c.sentAt = slices.DeleteFunc(append(c.sentAt, now), func(at float64) bool { return at < now-c.FallSpan })
	maxAttempts := c.Bears(now, startedAt)
	if now-startedAt < c.WarmIn && float64(len(c.sentAt)) > maxAttempts && c.violated == "" {
		c.violated, c.detail = ColdBudget, fmt.Sprintf("the backend was sent %d attempts within %g s, %g s after its start, and can take %.1f", len(c.sentAt), c.FallSpan,
			now-startedAt, maxAttempts)
	}
}

// Bears returns how many attempts a backend that started at startedAt can take within the last FallSpan.
func (c *Cold) Bears(now, startedAt float64) float64 {
	age := now - startedAt
	return c.Overload * c.Capacity * (c.capacityUntil(age) - c.capacityUntil(age-c.FallSpan))
}

// Times returns the times of the attempts within the last FallSpan.
func (c *Cold) Times() []float64 { return c.sentAt }

// capacityUntil returns the integral of the backend's share of Capacity from its start to an age, in seconds. Before its
// start it counts with the initial share, since no router can know the start beforehand.
func (c *Cold) capacityUntil(age float64) float64 {
	warmingAge := math.Min(math.Max(age, 0), c.WarmIn)
	return c.Share*math.Min(age, 0) + c.Share*warmingAge + (1-c.Share)*warmingAge*warmingAge/(2*c.WarmIn) + math.Max(0, age-c.WarmIn)
}

// Broken returns ColdBudget and the details of its first violation; both are empty if there was none.
func (c *Cold) Broken() (property, detail string) { return c.violated, c.detail }
