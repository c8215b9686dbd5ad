// Package rolling provides a counter of the events in the last second.
package rolling

import "math"

// Counter counts the events of the last second, and separately the marked ones among them. It counts in
// slots of equal length, the current one included. It is not safe for concurrent use.
type Counter struct {
	all    []float64 // number of events in each slot
	marked []float64 // number of marked events in each slot
	newest int64     // number of the newest slot, counted from time 0
}

// New returns a counter with the given number of slots per second.
func New(slots int) Counter {
	return Counter{all: make([]float64, slots), marked: make([]float64, slots)}
}

// Add counts one event at time now, in seconds.
func (c *Counter) Add(now float64, marked bool) {
	c.advance(now)
	slot := c.newest % int64(len(c.all))
	c.all[slot]++
	if marked {
		c.marked[slot]++
	}
}

// Sums returns the numbers of all events and of the marked ones in the second before time now.
func (c *Counter) Sums(now float64) (all, marked float64) {
	c.advance(now)
	for slot := range c.all {
		all += c.all[slot]
		marked += c.marked[slot]
	}
	return all, marked
}

// advance clears the slots that have begun since the newest one. An earlier time belongs to the newest
// slot.
func (c *Counter) advance(now float64) {
	slots := int64(len(c.all))
	at := int64(math.Floor(now * float64(slots)))
	for slot := max(c.newest+1, at-slots+1); slot <= at; slot++ {
		c.all[slot%slots] = 0
		c.marked[slot%slots] = 0
	}
	c.newest = max(c.newest, at)
}
