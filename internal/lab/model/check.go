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
		{"sets", f.Shards, 1, 1000},
		{"replicas", f.Replicas, 0, 20},
		{"slots", f.Slots, 1, 1000},
		{"queue", f.Queue, 0, 100_000},
		{"sessions", f.Sessions, 1, 1_000_000},
	}
	for _, count := range counts {
		if count.value < count.least || count.value > count.most {
			return specError(f.Position, "%s is %d, but must be between %d and %d", count.key, count.value, count.least, count.most)
		}
	}
	quantities := []struct {
		key      string
		value    float64
		zeroIsOK bool
	}{
		{"way", float64(f.NetworkDelay), true},
		{"dial", float64(f.ConnectTimeout), false},
		{"ship", float64(f.ShipDelay), true},
		{"apply", float64(f.ApplyTime), true},
		{"heavy-apply", float64(f.HeavyApplyTime), true},
		{"list", float64(f.ListDelay), true},
		{"cold-share", f.ColdShare, false},
		{"warm-in", float64(f.WarmUp), false},
		{"overload", f.OverloadFactor, false},
		{"fall-span", float64(f.OverloadWindow), false},
	}
	for _, quantity := range quantities {
		if quantity.value < 0 || quantity.value == 0 && !quantity.zeroIsOK {
			return specError(f.Position, "%s is %g, but must be above 0", quantity.key, quantity.value)
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
	case s.Fleet.HeavyShare < 0 || s.Fleet.HeavyShare > 1 || s.Fleet.ColdShare > 1:
		return specError(s.Fleet.Position, "heavy and cold-share are shares and must be between 0 and 1")
	case len(s.Groups) == 0:
		return specError(top, "group: there must be at least one command group")
	case runs == 0 || runs > maxRuns:
		return specError(top, "seeds times policies are %d runs, but must be between 1 and %d", runs, maxRuns)
	}
	return nil
}

// check returns an error if a setting of the group is invalid.
func (g *Group) check() error {
	if _, known := consistencies[g.Consistency]; !known {
		return specError(g.Position, "need: %q is not one of write, current, session, bound and any", g.Consistency)
	}
	if _, known := idempotencies[g.Idempotency]; !known {
		return specError(g.Position, "effect: %q is not one of replayable, keyed and mutating", g.Idempotency)
	}
	if err := g.checkNumbers(); err != nil {
		return err
	}
	switch {
	case g.Consistency == "bound" && g.MaxStaleness <= 0:
		return specError(g.Position, "bound: a group with need bound must have a bound above 0")
	case g.Consistency == "write" && g.Idempotency == "replayable":
		return specError(g.Position, "effect: the effect of a write must be keyed or mutating")
	}
	return nil
}

// checkNumbers checks the numbers of the group's load, benefit and times.
func (g *Group) checkNumbers() error {
	loadOutOfRange := g.Rate < 0 || g.WorkTime <= 0 || g.Spread < 0
	lateOutOfRange := g.LateShare < 0 || g.LateShare > 1
	valueOutOfRange := g.Benefit < 0 || g.IdempotencyWindow < 0 || lateOutOfRange
	switch {
	case loadOutOfRange || valueOutOfRange:
		return specError(g.Position, "work must be above 0, late between 0 and 1, and rate, spread, benefit and memory not negative")
	case g.Target <= 0 || g.Timeout < g.Target:
		return specError(g.Position, "timeout is %g and target %g, but target must be above 0 and at most the timeout", float64(g.Timeout), float64(g.Target))
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
		if group.Consistency == "write" {
			busySlots += group.Rate * float64(group.WorkTime)
		}
	}
	if commands > maxCommandsPerRun {
		return specError(top, "a run has %.0f commands, but at most %d are allowed", commands, maxCommandsPerRun)
	}
	if capacity := float64(s.Fleet.Shards * s.Fleet.Slots); busySlots > capacity {
		return specError(s.Fleet.Position, "writes keep %.1f slots of primaries busy, but there are only %.0f", busySlots, capacity)
	}
	return nil
}

// checkFault checks a fault, also in combination with the others.
func (s *Spec) checkFault(index int) error {
	fault := &s.Faults[index]
	lasts, known := faultHasDuration[fault.Kind]
	if !known {
		return specError(fault.Position, "there is no fault %q", fault.Kind)
	}
	outsideRun := fault.At < 0 || fault.At >= s.Seconds
	wrongDuration := fault.Duration < 0 || lasts && fault.Duration == 0
	if outsideRun || wrongDuration {
		return specError(fault.Position, "at must be within the run, and for must be above 0 if the fault has a duration")
	}
	if err := s.checkFaultTarget(fault); err != nil {
		return err
	}
	if fault.Kind == "slow" && fault.Slowdown <= 1 {
		return specError(fault.Position, "times is %g, but must be above 1 for slow", fault.Slowdown)
	}
	if fault.Kind == "elect" && fault.Backend == 0 && !s.replacedByEarlierElection(fault) {
		return specError(fault.Position, "member 0 is the primary already")
	}
	return s.checkOverlap(index)
}

// checkFaultTarget returns an error if the router or backend of the fault does not exist.
func (s *Spec) checkFaultTarget(fault *Fault) error {
	fleet := &s.Fleet
	if fault.Kind == "restart" {
		if fault.Router < 0 || fault.Router >= fleet.Routers {
			return specError(fault.Position, "router is %d, but there are only %d routers", fault.Router, fleet.Routers)
		}
		return nil
	}
	shardExists := fault.Shard >= 0 && fault.Shard < fleet.Shards
	backendExists := fault.Backend >= 0 && fault.Backend <= fleet.Replicas
	if !shardExists || !backendExists {
		return specError(fault.Position, "there is no member %d in set %d", fault.Backend, fault.Shard)
	}
	return nil
}

// replacedByEarlierElection reports whether another backend of the shard is elected before the given election, so that
// the first primary is no longer the primary by then.
func (s *Spec) replacedByEarlierElection(election *Fault) bool {
	return slices.ContainsFunc(s.Faults, func(other Fault) bool {
		sameShard := other.Kind == "elect" && other.Shard == election.Shard
		return sameShard && other.Backend != 0 && other.At < election.At
	})
}

// checkOverlap returns an error if the fault contradicts another fault of the same backend.
func (s *Spec) checkOverlap(index int) error {
	fault := &s.Faults[index]
	for i := range s.Faults {
		other := &s.Faults[i]
		if other.Shard != fault.Shard || other.Backend != fault.Backend {
			continue
		}
		startsDuring := fault.startsDuring(other)
		overlaps := startsDuring || other.startsDuring(fault)
		sameBefore := i < index && faultHasDuration[fault.Kind] && fault.Kind == other.Kind
		if sameBefore && overlaps {
			return specError(fault.Position, "the same member has this fault at %s already", other.Position)
		}
		impossibleIfDown := fault.Kind == "hang" && overlaps || fault.Kind == "elect" && startsDuring
		if other.Kind == "crash" && impossibleIfDown {
			return specError(fault.Position, "the member is down by then because of the crash at %s", other.Position)
		}
	}
	return nil
}

// startsDuring reports whether the fault starts during the other fault.
func (f *Fault) startsDuring(other *Fault) bool {
	return f.At >= other.At && f.At < other.At+other.Duration
}
