package modelcheck

import (
	"fmt"
	"slices"
)

// Trace is a way to a state in which a property is broken.
type Trace struct {
	Steps    []string `json:"steps"`
	Property string   `json:"property"`
	How      string   `json:"how"`
}

// RandomWalk takes at most so many steps, each picked by pick out of n, and returns the trace to the first property that
// breaks on the way or is not kept after it; nil if none. It counts the steps by kind in taken.
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

// Replay takes a trace's steps on a system as it is now. It returns how many could be taken and what was broken; without a
// property, how says which step was not possible.
func Replay(s System, t Trace) (taken int, property, how string) {
	for _, step := range t.Steps {
		if !slices.Contains(s.Steps(), step) {
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
