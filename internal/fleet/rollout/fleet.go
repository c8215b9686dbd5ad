package rollout

import "slices"

// Fleet is the set of instances that a rollout changes, with the limits that the rollout must observe.
type Fleet struct {
	Instances        []Instance
	ZoneMinAvailable []int // minimum number of serving instances, by zone
	MinAvailable     int   // minimum number of serving instances in the whole fleet
	Timing           Timing
}

// Instance is the place of one router in the fleet.
type Instance struct {
	Zone  int // index into Fleet.ZoneMinAvailable
	Agent int // index of the agent that runs the router
}

// Timing holds the periods and timeouts of a rollout.
type Timing struct {
	SoakSeconds           float64 // time for which a changed instance must serve well before the next is changed
	StaleAfterSeconds     float64 // age above which an observation is ignored
	ContactTimeoutSeconds float64 // the rollout pauses if an obstacle, such as an unknown instance, lasts this long
	StepTimeoutSeconds    float64 // the rollout pauses if a step has no result within this time
}

// instanceCounts holds numbers of instances, by zone and in the whole fleet.
type instanceCounts struct {
	byZone []int
	total  int
}

// count counts the instances for which include returns true.
func (f *Fleet) count(include func(instance int) bool) instanceCounts {
	counts := instanceCounts{byZone: make([]int, len(f.ZoneMinAvailable))}
	for i := range f.Instances {
		if include(i) {
			counts.byZone[f.Instances[i].Zone]++
			counts.total++
		}
	}
	return counts
}

// CheckFeasible checks whether the minimums allow a step in every zone while all instances except the excluded ones
// serve. It returns the reason for the first zone in which they don't, or ReasonNone. The list excluded must be sorted.
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

// checkMinimums checks whether enough instances would still serve if one serving instance of the zone stopped. It returns
// the reason if not, and ReasonNone otherwise.
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
