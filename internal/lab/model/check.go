package model

import (
	"fmt"
	"slices"

	"stoatdale.example/stoatdale/internal/sexp"
)

const (
	maxRuns           = 10_000      // that one file may ask for: seeds times policies
	maxCommandsPerRun = 200_000_000 // that clients may send in one run
	maxSeconds        = 86_400      // of one run
)

// specError is a fault of an experiment's file at a position.
func specError(at sexp.Position, format string, args ...any) error {
	return &sexp.Error{Position: at, Reason: fmt.Sprintf(format, args...)}
}

// check tells whether the experiment can be run. Its errors are *sexp.Error; the first that is found is returned.
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

// check tells whether each number of the fleet is within its range.
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
			return specError(f.Place, "%s is %d, and must be within %d and %d", count.key, count.value, count.least, count.most)
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
			return specError(f.Place, "%s is %g, and must be above 0", quantity.key, quantity.value)
		}
	}
	return nil
}

// checkExtent checks what is played: its length, its groups, and how many runs there are.
func (s *Spec) checkExtent(top sexp.Position) error {
	runs := len(s.Seeds) * len(s.Policies)
	switch {
	case s.Seconds <= 0 || s.Seconds > maxSeconds:
		return specError(top, "seconds is %g, and must be above 0 and at most a day", float64(s.Seconds))
	case s.Fleet.Heavy < 0 || s.Fleet.Heavy > 1 || s.Fleet.ColdShare > 1:
		return specError(s.Fleet.Place, "heavy and cold-share are shares, from 0 to 1")
	case len(s.Groups) == 0:
		return specError(top, "group: there is none, so there is no load")
	case runs == 0 || runs > maxRuns:
		return specError(top, "seeds times policies are %d runs, and must be 1 to %d", runs, maxRuns)
	}
	return nil
}

func (g *Group) check() error {
	if _, known := consistencies[g.Need]; !known {
		return specError(g.Place, "need: %q is none of write, current, session, bound and any", g.Need)
	}
	if _, known := idempotencies[g.Effect]; !known {
		return specError(g.Place, "effect: %q is none of replayable, keyed and mutating", g.Effect)
	}
	if err := g.checkNumbers(); err != nil {
		return err
	}
	switch {
	case g.Need == "bound" && g.Bound <= 0:
		return specError(g.Place, "bound: a group with need bound must say how old its data may be")
	case g.Need == "write" && g.Effect == "replayable":
		return specError(g.Place, "effect: a write is keyed or mutating")
	}
	return nil
}

// checkNumbers checks the group's load, value and times.
func (g *Group) checkNumbers() error {
	loadOutOfRange := g.Rate < 0 || g.Work <= 0 || g.Spread < 0
	lateOutOfRange := g.Late < 0 || g.Late > 1
	valueOutOfRange := g.Benefit < 0 || g.Memory < 0 || lateOutOfRange
	switch {
	case loadOutOfRange || valueOutOfRange:
		return specError(g.Place, "rate, work, spread, benefit, late and memory may not be negative, work not 0, late not above 1")
	case g.Target <= 0 || g.Timeout < g.Target:
		return specError(g.Place, "timeout is %g and target %g: the target must be above 0 and no later than the timeout", float64(g.Timeout), float64(g.Target))
	}
	return nil
}

// checkLoad checks the sum of all groups: how much is played, and whether the primaries can serve the writes at all.
func (s *Spec) checkLoad(top sexp.Position) error {
	commands := 0.0
	busySlots := 0.0 // of primaries, by writes
	for i := range s.Groups {
		group := &s.Groups[i]
		commands += group.Rate * float64(s.Seconds)
		if group.Need == "write" {
			busySlots += group.Rate * float64(group.Work)
		}
	}
	if commands > maxCommandsPerRun {
		return specError(top, "%.0f commands are asked for in one run, and %d are the most", commands, maxCommandsPerRun)
	}
	if capacity := float64(s.Fleet.Sets * s.Fleet.Slots); busySlots > capacity {
		return specError(s.Fleet.Place, "writes keep %.1f slots of primaries busy, and there are %.0f: no policy can serve that", busySlots, capacity)
	}
	return nil
}

// checkFault checks one fault by itself and beside the others.
func (s *Spec) checkFault(index int) error {
	fault := &s.Faults[index]
	lasts, known := faultLasts[fault.Kind]
	if !known {
		return specError(fault.Place, "there is no fault %q", fault.Kind)
	}
	outsideRun := fault.At < 0 || fault.At >= s.Seconds
	wrongDuration := fault.For < 0 || lasts && fault.For == 0
	if outsideRun || wrongDuration {
		return specError(fault.Place, "at must be within the run, and for above 0 where the fault lasts")
	}
	if err := s.checkFaultTarget(fault); err != nil {
		return err
	}
	if fault.Kind == "slow" && fault.Times <= 1 {
		return specError(fault.Place, "times is %g, and slow means above 1", fault.Times)
	}
	if fault.Kind == "elect" && fault.Member == 0 && !s.replacedBefore(fault) {
		return specError(fault.Place, "member 0 is the primary already")
	}
	return s.checkOverlap(index)
}

// checkFaultTarget tells whether there is the router or backend that the fault concerns.
func (s *Spec) checkFaultTarget(fault *Fault) error {
	fleet := &s.Fleet
	if fault.Kind == "restart" {
		if fault.Router < 0 || fault.Router >= fleet.Routers {
			return specError(fault.Place, "router is %d, and there are %d", fault.Router, fleet.Routers)
		}
		return nil
	}
	setExists := fault.Set >= 0 && fault.Set < fleet.Sets
	memberExists := fault.Member >= 0 && fault.Member <= fleet.Replicas
	if !setExists || !memberExists {
		return specError(fault.Place, "there is no member %d in set %d", fault.Member, fault.Set)
	}
	return nil
}

// replacedBefore tells whether another backend is elected before the election, so that the first primary is none by then.
func (s *Spec) replacedBefore(election *Fault) bool {
	return slices.ContainsFunc(s.Faults, func(other Fault) bool {
		sameSet := other.Kind == "elect" && other.Set == election.Set
		return sameSet && other.Member != 0 && other.At < election.At
	})
}

// checkOverlap tells whether the fault can happen beside the others of its backend.
func (s *Spec) checkOverlap(index int) error {
	fault := &s.Faults[index]
	for i := range s.Faults {
		other := &s.Faults[i]
		if other.Set != fault.Set || other.Member != fault.Member {
			continue
		}
		startsDuring := fault.startsDuring(other)
		overlaps := startsDuring || other.startsDuring(fault)
		sameBefore := i < index && faultLasts[fault.Kind] && fault.Kind == other.Kind
		if sameBefore && overlaps {
			return specError(fault.Place, "the same member has this fault at %s already", other.Place)
		}
		impossibleIfDown := fault.Kind == "hang" && overlaps || fault.Kind == "elect" && startsDuring
		if other.Kind == "crash" && impossibleIfDown {
			return specError(fault.Place, "the member is down by then, by the crash at %s", other.Place)
		}
	}
	return nil
}

// startsDuring tells whether the fault starts while the other lasts.
func (x *Fault) startsDuring(other *Fault) bool {
	return x.At >= other.At && x.At < other.At+other.For
}
