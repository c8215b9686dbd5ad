package model

import (
	"fmt"
	"slices"

	"stoatdale.example/stoatdale/internal/sexp"
)

const (
	maxRuns           = 10_000      // maximum number of runs of an experiment: seeds times policies
	maxCommandsPerRun = 200_000_000 // maximum number of commands in one run, retries not counted
	maxSeconds        = 86_400      // maximum duration of a run: a day
)

// specError returns an error at a position of an experiment's file.
func specError(at sexp.Position, format string, args ...any) error {
	return &sexp.Error{Position: at, Reason: fmt.Sprintf(format, args...)}
}

// check returns an error if the experiment cannot be run. The error is the first one found and of type *sexp.Error.
func (s *Spec) check(file string) error {
	top := sexp.Position{File: file, Line: 1, Column: 1}
	if err := s.Fleet.check(); err != nil {
		return err
	}
	if err := s.checkExtent(top); err != nil {
		return err
	}
	for _, policy := range s.Policies {
		if _, known := policyConstructors[policy]; !known {
			return specError(top, "policies: there is no policy %q", policy)
		}
	}
	for i := range s.Groups {
		if err := s.Groups[i].check(); err != nil {
			return err
		}
	}
	if err := s.checkLoad(top); err != nil {
		return err
	}
	for i := range s.Faults {
		if err := s.checkFault(i); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error if a number of the fleet is out of its range.
func (f *Fleet) check() error {
	counts := []struct {
		key         string
		value       int
		least, most int
	}{
		{"routers", f.Routers, 1, 10_000},
		{"sets", f.Sets, 1, 1000},
		{"replicas", f.Replicas, 0, 20},
		{"slots", f.Slots, 1, 1000},
		{"queue", f.Queue, 0, 100_000},
		{"sessions", f.Sessions, 1, 1_000_000},
	}
	for _, count := range counts {
		if count.value < count.least || count.value > count.most {
			return specError(f.Place, "%s is %d, but must be between %d and %d", count.key, count.value, count.least, count.most)
		}
	}
	quantities := []struct {
		key      string
		value    float64
		zeroIsOK bool
	}{
		{"way", float64(f.Way), true},
		{"dial", float64(f.Dial), false},
		{"ship", float64(f.Ship), true},
		{"apply", float64(f.Apply), true},
		{"heavy-apply", float64(f.HeavyApply), true},
		{"list", float64(f.List), true},
		{"cold-share", f.ColdShare, false},
		{"warm-in", float64(f.WarmIn), false},
		{"overload", f.Overload, false},
		{"fall-span", float64(f.FallSpan), false},
	}
	for _, quantity := range quantities {
		if quantity.value < 0 || quantity.value == 0 && !quantity.zeroIsOK {
			return specError(f.Place, "%s is %g, but must be above 0", quantity.key, quantity.value)
		}
	}
	return nil
}

// checkExtent checks the duration of a run, the shares of the fleet, that there are command groups, and the number of
// runs.
func (s *Spec) checkExtent(top sexp.Position) error {
	runs := len(s.Seeds) * len(s.Policies)
	switch {
	case s.Seconds <= 0 || s.Seconds > maxSeconds:
		return specError(top, "seconds is %g, but must be above 0 and at most a day", float64(s.Seconds))
	case s.Fleet.Heavy < 0 || s.Fleet.Heavy > 1 || s.Fleet.ColdShare > 1:
		return specError(s.Fleet.Place, "heavy and cold-share are shares and must be between 0 and 1")
	case len(s.Groups) == 0:
		return specError(top, "group: there must be at least one command group")
	case runs == 0 || runs > maxRuns:
		return specError(top, "seeds times policies are %d runs, but must be between 1 and %d", runs, maxRuns)
	}
	return nil
}

// check returns an error if a setting of the group is invalid.
func (g *Group) check() error {
	if _, known := consistencies[g.Need]; !known {
		return specError(g.Place, "need: %q is not one of write, current, session, bound and any", g.Need)
	}
	if _, known := idempotencies[g.Effect]; !known {
		return specError(g.Place, "effect: %q is not one of replayable, keyed and mutating", g.Effect)
	}
	if err := g.checkNumbers(); err != nil {
		return err
	}
	switch {
	case g.Need == "bound" && g.Bound <= 0:
		return specError(g.Place, "bound: a group with need bound must have a bound above 0")
	case g.Need == "write" && g.Effect == "replayable":
		return specError(g.Place, "effect: the effect of a write must be keyed or mutating")
	}
	return nil
}

// checkNumbers checks the numbers of the group's load, benefit and times.
func (g *Group) checkNumbers() error {
	loadOutOfRange := g.Rate < 0 || g.Work <= 0 || g.Spread < 0
	lateOutOfRange := g.Late < 0 || g.Late > 1
	valueOutOfRange := g.Benefit < 0 || g.Memory < 0 || lateOutOfRange
	switch {
	case loadOutOfRange || valueOutOfRange:
		return specError(g.Place, "work must be above 0, late between 0 and 1, and rate, spread, benefit and memory not negative")
	case g.Target <= 0 || g.Timeout < g.Target:
		return specError(g.Place, "timeout is %g and target %g, but target must be above 0 and at most the timeout", float64(g.Timeout), float64(g.Target))
	}
	return nil
}

// checkLoad checks the load of all groups together: the number of commands in a run, and that the primaries have enough
// slots for the writes.
func (s *Spec) checkLoad(top sexp.Position) error {
	commands := 0.0
	busySlots := 0.0 // slots of primaries that writes keep busy
	for i := range s.Groups {
		group := &s.Groups[i]
		commands += group.Rate * float64(s.Seconds)
		if group.Need == "write" {
			busySlots += group.Rate * float64(group.Work)
		}
	}
	if commands > maxCommandsPerRun {
		return specError(top, "a run has %.0f commands, but at most %d are allowed", commands, maxCommandsPerRun)
	}
	if capacity := float64(s.Fleet.Sets * s.Fleet.Slots); busySlots > capacity {
		return specError(s.Fleet.Place, "writes keep %.1f slots of primaries busy, but there are only %.0f", busySlots, capacity)
	}
	return nil
}

// checkFault checks a fault, also in combination with the others.
func (s *Spec) checkFault(index int) error {
	fault := &s.Faults[index]
	lasts, known := faultHasDuration[fault.Kind]
	if !known {
		return specError(fault.Place, "there is no fault %q", fault.Kind)
	}
	outsideRun := fault.At < 0 || fault.At >= s.Seconds
	wrongDuration := fault.For < 0 || lasts && fault.For == 0
	if outsideRun || wrongDuration {
		return specError(fault.Place, "at must be within the run, and for must be above 0 if the fault has a duration")
	}
	if err := s.checkFaultTarget(fault); err != nil {
		return err
	}
	if fault.Kind == "slow" && fault.Times <= 1 {
		return specError(fault.Place, "times is %g, but must be above 1 for slow", fault.Times)
	}
	if fault.Kind == "elect" && fault.Member == 0 && !s.replacedByEarlierElection(fault) {
		return specError(fault.Place, "member 0 is the primary already")
	}
	return s.checkOverlap(index)
}

// checkFaultTarget returns an error if the router or backend of the fault does not exist.
func (s *Spec) checkFaultTarget(fault *Fault) error {
	fleet := &s.Fleet
	if fault.Kind == "restart" {
		if fault.Router < 0 || fault.Router >= fleet.Routers {
			return specError(fault.Place, "router is %d, but there are only %d routers", fault.Router, fleet.Routers)
		}
		return nil
	}
	shardExists := fault.Set >= 0 && fault.Set < fleet.Sets
	backendExists := fault.Member >= 0 && fault.Member <= fleet.Replicas
	if !shardExists || !backendExists {
		return specError(fault.Place, "there is no member %d in set %d", fault.Member, fault.Set)
	}
	return nil
}

// replacedByEarlierElection reports whether another backend of the shard is elected before the given election, so that
// the first primary is no longer the primary by then.
func (s *Spec) replacedByEarlierElection(election *Fault) bool {
	return slices.ContainsFunc(s.Faults, func(other Fault) bool {
		sameShard := other.Kind == "elect" && other.Set == election.Set
		return sameShard && other.Member != 0 && other.At < election.At
	})
}

// checkOverlap returns an error if the fault contradicts another fault of the same backend.
func (s *Spec) checkOverlap(index int) error {
	fault := &s.Faults[index]
	for i := range s.Faults {
		other := &s.Faults[i]
		if other.Set != fault.Set || other.Member != fault.Member {
			continue
		}
		startsDuring := fault.startsDuring(other)
		overlaps := startsDuring || other.startsDuring(fault)
		sameBefore := i < index && faultHasDuration[fault.Kind] && fault.Kind == other.Kind
		if sameBefore && overlaps {
			return specError(fault.Place, "the same member has this fault at %s already", other.Place)
		}
		impossibleIfDown := fault.Kind == "hang" && overlaps || fault.Kind == "elect" && startsDuring
		if other.Kind == "crash" && impossibleIfDown {
			return specError(fault.Place, "the member is down by then because of the crash at %s", other.Place)
		}
	}
	return nil
}

// startsDuring reports whether the fault starts during the other fault.
func (f *Fault) startsDuring(other *Fault) bool {
	return f.At >= other.At && f.At < other.At+other.For
}
