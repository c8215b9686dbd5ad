// Package rolling has a counter of what happened in the last second.
package rolling

import "math"

// Counter counts events of the last second in slots of equal length, the current one included. It is not safe for
// concurrent use.
type Counter struct {
	slots  []float64
	newest int64 // number of the newest slot since time 0
}

// New returns a counter with so many slots to the second.
func New(slots int) Counter { return Counter{slots: make([]float64, slots)} }

// Add counts one event at a time in seconds.
func (c *Counter) Add(now float64) {
	c.turn(now)
	c.slots[c.newest%int64(len(c.slots))]++
}

// Sum is the number of events in the second before a time.
func (c *Counter) Sum(now float64) float64 {
	c.turn(now)
	var sum float64
	for _, count := range c.slots {
		sum += count
	}
	return sum
}

// turn clears the slots that begin after the newest one. A time before it counts as the newest slot's.
func (c *Counter) turn(now float64) {
	slots := int64(len(c.slots))
	at := int64(math.Floor(now * float64(slots)))
	for slot := max(c.newest+1, at-slots+1); slot <= at; slot++ {
		c.slots[slot%slots] = 0
	}
	c.newest = max(c.newest, at)
}
