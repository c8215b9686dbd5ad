package plan

import "slices"

// Fleet is what a rollout goes over.
type Fleet struct {
	Instances        []Instance
	ZoneMinAvailable []int // the floor of each: instances that must serve
	MinAvailable     int   // of the whole
	Timing           Timing
}

// Instance is where one router belongs.
type Instance struct{ Zone, Agent int }

// Timing are in seconds.
type Timing struct {
	SoakSeconds           float64 // that a changed instance must serve well before the next
	StaleAfterSeconds     float64 // after which what was seen is no longer known
	ContactTimeoutSeconds float64 // that an unknown or missing instance is waited for before a rollout pauses
	StepTimeoutSeconds    float64 // that a step may take
}

// counts are instances by hall and in all.
type counts struct {
	hall  []int
	whole int
}

func (f *Fleet) count(which func(i int) bool) counts {
	c := counts{hall: make([]int, len(f.ZoneMinAvailable))}
	for i := range f.Instances {
		if which(i) {
			c.hall[f.Instances[i].Zone]++
			c.whole++
		}
	}
	return c
}

// CheckFeasible tells at once whether floors let any step be taken, were every instance but the left out ones
// serving. Instances of a hall that allows none are told of, one of them.
func CheckFeasible(f *Fleet, out []int) Reason {
	c := f.count(func(i int) bool { return !has(out, i) })
	if c.whole == 0 {
		return Reason{Kind: ReasonNothingToDo}
	}
	for hall, n := range c.hall {
		if n == 0 {
			continue
		}
		if why := f.floors(c, hall); why.Kind != ReasonNone {
			return why
		}
	}
	return Reason{}
}

// floors tells whether enough would still serve with one of a hall's serving instances less.
func (f *Fleet) floors(serving counts, hall int) Reason {
	if have := serving.hall[hall] - 1; have < f.ZoneMinAvailable[hall] {
		return Reason{Kind: ReasonZoneMinimum, Zone: hall, Have: have, Need: f.ZoneMinAvailable[hall]}
	}
	if have := serving.whole - 1; have < f.MinAvailable {
		return Reason{Kind: ReasonFleetMinimum, Have: have, Need: f.MinAvailable}
	}
	return Reason{}
}

// has looks into a list that is in order.
func has(list []int, i int) bool {
	_, found := slices.BinarySearch(list, i)
	return found
}
