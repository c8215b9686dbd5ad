package invariant

import (
	"fmt"
	"math"
	"slices"
)

// SlowStartBudget is the property that routers do not overload a backend in slow start. It counts the attempts of all routers:
// a single router cannot see a violation. Stored traces hold this text; in it, a cold member is a backend in slow start.
const SlowStartBudget = "all routers together send a cold member no more than it bears"

// SlowStartChecker checks the attempts that all routers together send to a backend in its slow start. Times are in seconds.
type SlowStartChecker struct {
	Capacity       float64 // commands a second that the warm backend can serve
	SlowStartFloor float64 // share of Capacity that the backend has at its start
	SlowStart      float64 // time from the backend's start until it has all of Capacity; the share grows linearly
	OverloadFactor float64 // multiple of the backend's present capacity that overloads it if it lasts for OverloadWindow
	OverloadWindow float64 // window over which attempts are counted

	sentAt           []float64 // times of the attempts within the last OverloadWindow
	violated, detail string
}

// AttemptSent records that an attempt is sent to the backend, which started at startedAt.
func (c *SlowStartChecker) AttemptSent(now, startedAt float64) {
	c.sentAt = slices.DeleteFunc(append(c.sentAt, now), func(at float64) bool { return at < now-c.OverloadWindow })
	maxAttempts := c.MaxAttempts(now, startedAt)
	if now-startedAt < c.SlowStart && float64(len(c.sentAt)) > maxAttempts && c.violated == "" {
		c.violated, c.detail = SlowStartBudget, fmt.Sprintf(
			"the backend was sent %d attempts within %g s, %g s after its start, and can take %.1f",
			len(c.sentAt), c.OverloadWindow, now-startedAt, maxAttempts)
	}
}

// MaxAttempts returns how many attempts a backend that started at startedAt can take within the last OverloadWindow.
func (c *SlowStartChecker) MaxAttempts(now, startedAt float64) float64 {
	age := now - startedAt
	return c.OverloadFactor * c.Capacity * (c.capacityUntil(age) - c.capacityUntil(age-c.OverloadWindow))
}

// SentTimes returns the times of the attempts within the last OverloadWindow.
func (c *SlowStartChecker) SentTimes() []float64 { return c.sentAt }

// capacityUntil returns the integral of the backend's share of Capacity from its start to an age, in seconds. Before its
// start the initial share counts, since no router can know the start beforehand.
func (c *SlowStartChecker) capacityUntil(age float64) float64 {
	warmingAge := math.Min(math.Max(age, 0), c.SlowStart)
	return c.SlowStartFloor*math.Min(age, 0) + c.SlowStartFloor*warmingAge +
		(1-c.SlowStartFloor)*warmingAge*warmingAge/(2*c.SlowStart) + math.Max(0, age-c.SlowStart)
}

// Broken returns SlowStartBudget and the details of its first violation; both are empty if there was none.
func (c *SlowStartChecker) Broken() (property, detail string) { return c.violated, c.detail }
