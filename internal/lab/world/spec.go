// Package world is a model of the deployments that the router serves, in virtual time and free of I/O: shards of one
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
	Slots      int           `sexp:"slots,must"` // commands that a backend works on at once
	Queue      int           `sexp:"queue,must"` // that may wait there; the next is rejected
	Sessions   int           `sexp:"sessions,must"`
	Way        sexp.Seconds  `sexp:"way,must"`  // from a router to a backend
	Dial       sexp.Seconds  `sexp:"dial,must"` // after which a connection that is not made has failed
	Ship       sexp.Seconds  `sexp:"ship,must"` // of a log record to a replica
	Apply      sexp.Seconds  `sexp:"apply,must"`
	Heavy      float64       `sexp:"heavy"` // share of writes whose record takes HeavyApply
	HeavyApply sexp.Seconds  `sexp:"heavy-apply"`
	List       sexp.Seconds  `sexp:"list"` // until a router hears of a change
	ColdShare  float64       `sexp:"cold-share,must"`
	WarmIn     sexp.Seconds  `sexp:"warm-in,must"`
	Overload   float64       `sexp:"overload,must"` // multiple of what a cold backend bears that topples it,
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

var (
	consistencies = map[string]router.Consistency{
		"write": router.PrimaryOnly, "current": router.Linearizable, "session": router.SessionConsistent,
		"bound": router.BoundedStaleness, "any": router.Eventual,
	}
	idempotencies = map[string]router.Idempotency{"replayable": router.Idempotent, "keyed": router.IdempotentWithKey, "mutating": router.NonIdempotent}
	faultLasts    = map[string]bool{"crash": true, "hang": true, "cut": true, "slow": true, "drain": true, "elect": false, "restart": false}
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
