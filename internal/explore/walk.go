package explore

import (
	"fmt"
)

// Trace is a way to a state.
type Trace struct {
	Steps    []string `json:"steps"`
	Property string   `json:"property"`
	How      string   `json:"how"`
}

// RandomWalk takes one way at random, so many steps long, and tells the first broken property on it, or what does not come after it.
func RandomWalk(s System, steps int, pick func(n int) int, taken map[string]int) *Trace {
	var path []string
	for range steps {
		enabled := s.Steps()
		if len(enabled) == 0 {
			break
		}
		step := enabled[pick(len(enabled))]
		path = append(path, step)
		taken[Kind(step)]++
		s.Take(step)
		if property, how := s.Broken(); property != "" {
			return &Trace{Steps: path, Property: property, How: how}
		}
	}
	if property, how := Settled(s); property != "" {
		return &Trace{Steps: path, Property: property, How: how}
	}
	return nil
}

// Replay plays a trace on a system as it is now: how far its steps could be taken, and what was broken.
func Replay(s System, t Trace) (taken int, property, how string) {
	for _, step := range t.Steps {
		enabled := false
		for _, e := range s.Steps() {
			enabled = enabled || e == step
		}
		if !enabled {
			return taken, "", fmt.Sprintf("step %d, %q, is not possible any more", taken+1, step)
		}
		s.Take(step)
		taken++
		if property, how = s.Broken(); property != "" {
			return taken, property, how
		}
	}
	property, how = Settled(s)
	return taken, property, how
}
