package modelcheck

import (
	"fmt"
	"slices"
)

// Trace is a sequence of steps to a state in which a property is broken.
type Trace struct {
	Steps    []string `json:"steps"`
	Property string   `json:"property"`
	Detail   string   `json:"how"`
}

// RandomWalk takes at most the given number of steps and returns the trace to the first violation of a property, either
// during the walk or while the system settles after it (see Settler). It returns nil if there is none. pick chooses
// each step, as an index below the number of possible steps n. RandomWalk counts the steps by kind in taken.
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
		if property, detail := s.Broken(); property != "" {
			return &Trace{Steps: path, Property: property, Detail: detail}
		}
	}
	if property, detail := Settle(s); property != "" {
		return &Trace{Steps: path, Property: property, Detail: detail}
	}
	return nil
}

// Replay takes a trace's steps on a system in its first state. It returns the number of steps taken, the property that
// is broken and how. The system may have changed since the trace was recorded: if a step is no longer possible, property
// is empty and detail names the step.
func Replay(s System, t Trace) (taken int, property, detail string) {
	for _, step := range t.Steps {
		if !slices.Contains(s.Steps(), step) {
			return taken, "", fmt.Sprintf("step %d (%q) is not possible any more", taken+1, step)
		}
		s.Take(step)
		taken++
		if property, detail = s.Broken(); property != "" {
			return taken, property, detail
		}
	}
	property, detail = Settle(s)
	return taken, property, detail
}
