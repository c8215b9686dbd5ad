package world

import (
	"fmt"
	"slices"

	"stoatdale.example/stoatdale/internal/sexp"
)

// mostCells bounds what one file may ask for, and mostPlayed the commands of one run.
const (
	mostCells  = 10_000
	mostPlayed = 200_000_000
)

func (s *Spec) check(file string) error {
	f := &s.Fleet
	fault := func(at sexp.Position, format string, args ...any) error {
		return &sexp.Error{Position: at, Reason: fmt.Sprintf(format, args...)}
	}
	top := sexp.Position{File: file, Line: 1, Column: 1}
	for _, x := range []struct {
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
	} {
		if x.value < x.least || x.value > x.most {
			return fault(f.Place, "%s is %d, and must be within %d and %d", x.key, x.value, x.least, x.most)
		}
	}
	for _, x := range []struct {
		key   string
		value float64
		none  bool // may be 0
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
	} {
		if x.value < 0 || x.value == 0 && !x.none {
			return fault(f.Place, "%s is %g, and must be above 0", x.key, x.value)
		}
	}
	switch {
	case s.Seconds <= 0 || s.Seconds > 86_400:
		return fault(top, "seconds is %g, and must be above 0 and at most a day", float64(s.Seconds))
	case f.Heavy < 0 || f.Heavy > 1 || f.ColdShare > 1:
		return fault(f.Place, "heavy and cold-share are shares, from 0 to 1")
	case len(s.Groups) == 0:
		return fault(top, "group: there is none, so there is no load")
	case len(s.Seeds)*len(s.Policies) > mostCells || len(s.Seeds)*len(s.Policies) == 0:
		return fault(top, "seeds times policies are %d runs, and must be 1 to %d", len(s.Seeds)*len(s.Policies), mostCells)
	}
	for _, p := range s.Policies {
		if _, known := policies[p]; !known {
			return fault(top, "policies: there is no policy %q", p)
		}
	}
	played, primary := 0.0, 0.0
	for _, g := range s.Groups {
		_, need := needs[g.Need]
		_, effect := effects[g.Effect]
		switch {
		case !need:
			return fault(g.Place, "need: %q is none of write, current, session, bound and any", g.Need)
		case !effect:
			return fault(g.Place, "effect: %q is none of replayable, keyed and mutating", g.Effect)
		case g.Rate < 0 || g.Work <= 0 || g.Spread < 0 || g.Benefit < 0 || g.Late < 0 || g.Late > 1 || g.Memory < 0:
			return fault(g.Place, "rate, work, spread, benefit, late and memory may not be negative, work not 0, late not above 1")
		case g.Target <= 0 || g.Timeout < g.Target:
			return fault(g.Place, "timeout is %g and target %g: the target must be above 0 and no later than the timeout", float64(g.Timeout), float64(g.Target))
		case g.Need == "bound" && g.Bound <= 0:
			return fault(g.Place, "bound: a group with need bound must say how old its data may be")
		case g.Need == "write" && g.Effect == "replayable":
			return fault(g.Place, "effect: a write is keyed or mutating")
		}
		played += g.Rate * float64(s.Seconds)
		if g.Need == "write" {
			primary += g.Rate * float64(g.Work)
		}
	}
	if played > mostPlayed {
		return fault(top, "%.0f commands are asked for in one run, and %d are the most", played, mostPlayed)
	}
	if room := float64(f.Sets * f.Slots); primary > room {
		return fault(f.Place, "writes keep %.1f slots of primaries busy, and there are %.0f: no policy can serve that", primary, room)
	}
	same := func(x, y Fault) bool { return x.Set == y.Set && x.Member == y.Member }
	within := func(x, y Fault) bool { return x.At < y.At+y.For && y.At <= x.At }
	for i, x := range s.Faults {
		lasts, known := lasting[x.Kind]
		switch {
		case !known:
			return fault(x.Place, "there is no fault %q", x.Kind)
		case x.At < 0 || x.At >= s.Seconds || x.For < 0 || lasts && x.For == 0:
			return fault(x.Place, "at must be within the run, and for above 0 where the fault lasts")
		case x.Kind == "restart" && (x.Router < 0 || x.Router >= f.Routers):
			return fault(x.Place, "router is %d, and there are %d", x.Router, f.Routers)
		case x.Kind != "restart" && (x.Set < 0 || x.Set >= f.Sets || x.Member < 0 || x.Member > f.Replicas):
			return fault(x.Place, "there is no member %d in set %d", x.Member, x.Set)
		case x.Kind == "slow" && x.Times <= 1:
			return fault(x.Place, "times is %g, and slow means above 1", x.Times)
		case x.Kind == "elect" && x.Member == 0 && !slices.ContainsFunc(s.Faults, func(y Fault) bool {
			return y.Kind == "elect" && y.Set == x.Set && y.Member != 0 && y.At < x.At
		}):
			return fault(x.Place, "member 0 is the primary already")
		}
		for j, y := range s.Faults {
			switch {
			case j < i && lasts && x.Kind == y.Kind && same(x, y) && (within(x, y) || within(y, x)):
				return fault(x.Place, "the same member has this fault at %s already", y.Place)
			case (x.Kind == "hang" || x.Kind == "elect") && y.Kind == "crash" && same(x, y) && (within(x, y) || x.Kind == "hang" && within(y, x)):
				return fault(x.Place, "the member is down by then, by the crash at %s", y.Place)
			}
		}
	}
	return nil
}
