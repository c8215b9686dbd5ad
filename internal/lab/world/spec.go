// Package world is a model of the deployments that the router serves, in virtual time and free of I/O: sets of one
// primary and replicas that apply its log one record after another, slots and queues, cold starts, faults, a list
// that comes late, clients with sessions who come back when they are throttled. Whatever decides where commands go
// is a Policy; the router's module is one, and simple ones stand beside it to be measured against.
//
// The same file and seed give the same run, whatever else runs. Each part draws from a stream of its own, so that
// a change to one leaves the draws of the others alone. docs/lab.md says what is modelled and what is not.
package world

import (
	"fmt"
	"os"
	"slices"

	"stoatdale.example/stoatdale/internal/router"
	"stoatdale.example/stoatdale/internal/sexp"
)

// Spec is the file of an experiment. Times are seconds.
type Spec struct {
	Name     string       `sexp:"name,must"`
	Seconds  sexp.Seconds `sexp:"seconds,must"` // that are played
	Seeds    []int        `sexp:"seeds,must"`
	Policies []string     `sexp:"policies,must"`
	Fleet    Fleet        `sexp:"fleet,must"`
	Groups   []Group      `sexp:"group"`
	Faults   []Fault      `sexp:"fault"`
}

// Fleet is what commands meet.
type Fleet struct {
	Routers    int           `sexp:"routers,must"`
	Sets       int           `sexp:"sets,must"`
	Replicas   int           `sexp:"replicas,must"`
	Slots      int           `sexp:"slots,must"` // commands that a member works on at once
	Queue      int           `sexp:"queue,must"` // that may wait there; the next is turned away
	Sessions   int           `sexp:"sessions,must"`
	Way        sexp.Seconds  `sexp:"way,must"`  // from a router to a member
	Dial       sexp.Seconds  `sexp:"dial,must"` // after which a connection that is not made has failed
	Ship       sexp.Seconds  `sexp:"ship,must"` // of a log record to a replica
	Apply      sexp.Seconds  `sexp:"apply,must"`
	Heavy      float64       `sexp:"heavy"` // share of writes whose record takes HeavyApply
	HeavyApply sexp.Seconds  `sexp:"heavy-apply"`
	List       sexp.Seconds  `sexp:"list"` // until a router hears of a change
	ColdShare  float64       `sexp:"cold-share,must"`
	WarmIn     sexp.Seconds  `sexp:"warm-in,must"`
	Overload   float64       `sexp:"overload,must"` // multiple of what a cold member bears that topples it,
	FallSpan   sexp.Seconds  `sexp:"fall-span,must"`
	Place      sexp.Position `sexp:",place"`
}

// Group is a command group and its load.
type Group struct {
	Name    string        `sexp:",name"`
	Need    string        `sexp:"need,must"`   // write, current, session, bound or any
	Effect  string        `sexp:"effect,must"` // replayable, keyed or mutating
	Rate    float64       `sexp:"rate,must"`   // commands a second over all routers
	Work    sexp.Seconds  `sexp:"work,must"`   // mean
	Spread  float64       `sexp:"spread"`      // of the work's logarithm
	Target  sexp.Seconds  `sexp:"target,must"`
	Timeout sexp.Seconds  `sexp:"timeout,must"`
	Benefit float64       `sexp:"benefit,must"`
	Late    float64       `sexp:"late"`  // share of the benefit after the target
	Bound   sexp.Seconds  `sexp:"bound"` // most age, for need bound
	Memory  sexp.Seconds  `sexp:"memory"`
	Place   sexp.Position `sexp:",place"`
}

// Fault is something that goes wrong for a while.
type Fault struct {
	Kind   string        `sexp:",name"` // crash, hang, cut, slow, drain, elect or restart
	Set    int           `sexp:"set"`
	Member int           `sexp:"member"` // 0 is the first primary
	Router int           `sexp:"router"` // for restart
	At     sexp.Seconds  `sexp:"at,must"`
	For    sexp.Seconds  `sexp:"for"`
	Times  float64       `sexp:"times"` // slower, for slow
	Place  sexp.Position `sexp:",place"`
}

var (
	needs = map[string]router.Consistency{
		"write": router.PrimaryOnly, "current": router.Linearizable, "session": router.SessionConsistent,
		"bound": router.BoundedStaleness, "any": router.Eventual,
	}
	effects = map[string]router.Idempotency{"replayable": router.Idempotent, "keyed": router.IdempotentWithKey, "mutating": router.NonIdempotent}
	lasting = map[string]bool{"crash": true, "hang": true, "cut": true, "slow": true, "drain": true, "elect": false, "restart": false}
)

// Load reads an experiment's file.
func Load(path string) (*Spec, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	nodes, err := sexp.Read(path, raw)
	if err != nil {
		return nil, err
	}
	s := &Spec{}
	if err := sexp.Decode(path, nodes, s); err != nil {
		return nil, err
	}
	return s, s.check(path)
}

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
