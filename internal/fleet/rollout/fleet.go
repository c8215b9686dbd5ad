package rollout

import "slices"

// Fleet is the instances that a rollout changes and the limits that it keeps to.
type Fleet struct {
	Instances        []Instance
	ZoneMinAvailable []int // by zone: how many of its instances must serve
	MinAvailable     int   // how many instances of the fleet must serve
	Timing           Timing
}

// Instance is where one router belongs.
type Instance struct {
	Zone  int // index into Fleet.ZoneMinAvailable
	Agent int // index of the agent that runs the router
}

// Timing is how long a rollout waits for what.
type Timing struct {
	SoakSeconds           float64 // a changed instance must have served well before the next is changed
	StaleAfterSeconds     float64 // an older observation says nothing any more
	ContactTimeoutSeconds float64 // the rollout pauses if an obstacle, such as an unknown instance, lasts
	StepTimeoutSeconds    float64 // the rollout pauses if a step has no result
}

// instanceCounts counts some of a fleet's instances.
type instanceCounts struct {
	byZone []int
	total  int
}

// count counts the instances for which include is true.
func (f *Fleet) count(include func(instance int) bool) instanceCounts {
	c := instanceCounts{byZone: make([]int, len(f.ZoneMinAvailable))}
	for i := range f.Instances {
		if include(i) {
			c.byZone[f.Instances[i].Zone]++
			c.total++
		}
	}
	return c
}

// CheckFeasible tells why the minimums allow no step in one of the zones even if all instances but the excluded ones
// served; ReasonNone if they allow one in each. The list excluded must be sorted.
func CheckFeasible(f *Fleet, excluded []int) Reason {
	available := f.count(func(instance int) bool { return !containsSorted(excluded, instance) })
	if available.total == 0 {
		return Reason{Kind: ReasonNothingToDo}
	}
	for zone, instances := range available.byZone {
		if instances == 0 {
			continue
		}
		if reason := f.checkMinimums(available, zone); reason.isSet() {
			return reason
		}
	}
	return Reason{}
}

// checkMinimums tells whether enough instances would still serve with one of the zone's serving instances less.
func (f *Fleet) checkMinimums(serving instanceCounts, zone int) Reason {
	if have := serving.byZone[zone] - 1; have < f.ZoneMinAvailable[zone] {
		return Reason{Kind: ReasonZoneMinimum, Zone: zone, Have: have, Need: f.ZoneMinAvailable[zone]}
	}
	if have := serving.total - 1; have < f.MinAvailable {
		return Reason{Kind: ReasonFleetMinimum, Have: have, Need: f.MinAvailable}
	}
	return Reason{}
}

func containsSorted(list []int, value int) bool {
	_, found := slices.BinarySearch(list, value)
	return found
}
