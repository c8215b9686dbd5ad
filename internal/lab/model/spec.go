// Package model simulates deployments that the router serves, in virtual time and without I/O. A deployment has shards of
// a primary and replicas, which apply the primary's log one record after another. Backends have slots, queues, slow starts
// and faults. The endpoint list arrives late, and clients with sessions retry when they are rejected. A Policy decides
// where commands go: the production router module is one, and simple baselines are there to compare it with.
//
// The same file and seed always give the same run. Each part of the model draws random numbers from a stream of its own,
// so that a change to one part does not change the numbers of the others. docs/lab.md says what is modelled and what is
// not.
package model

import (
	"fmt"
	"os"

	"stoatdale.example/stoatdale/internal/router"
	"stoatdale.example/stoatdale/internal/sexp"
)

// Spec is the content of an experiment's file. Times are virtual and in seconds.
type Spec struct {
	Name     string       `sexp:"name,must"`     // name of the experiment
	Seconds  sexp.Seconds `sexp:"seconds,must"`  // virtual duration of a run
	Seeds    []int        `sexp:"seeds,must"`    // one run for each seed and policy
	Policies []string     `sexp:"policies,must"` // names of policies, as returned by Policies
	Fleet    Fleet        `sexp:"fleet,must"`
	Groups   []Group      `sexp:"group"`
	Faults   []Fault      `sexp:"fault"`
}

// Fleet is the modelled deployment.
type Fleet struct {
	Routers        int           `sexp:"routers,must"`    // number of routers, which share the clients
	Shards         int           `sexp:"sets,must"`       // number of shards
	Replicas       int           `sexp:"replicas,must"`   // number of replicas in each shard, beside its primary
	Slots          int           `sexp:"slots,must"`      // number of commands that a backend executes in parallel
	Queue          int           `sexp:"queue,must"`      // number of commands that may wait at a backend; further ones are rejected
	Sessions       int           `sexp:"sessions,must"`   // number of client sessions over all routers
	NetworkDelay   sexp.Seconds  `sexp:"way,must"`        // one-way network delay between a router and a backend
	ConnectTimeout sexp.Seconds  `sexp:"dial,must"`       // timeout of a connection attempt to a backend
	ShipDelay      sexp.Seconds  `sexp:"ship,must"`       // delay until a log record arrives at a replica
	ApplyTime      sexp.Seconds  `sexp:"apply,must"`      // time that a replica needs to apply a record
	HeavyShare     float64       `sexp:"heavy"`           // share of writes whose record is heavy
	HeavyApplyTime sexp.Seconds  `sexp:"heavy-apply"`     // time that a replica needs to apply a heavy record
	ListDelay      sexp.Seconds  `sexp:"list"`            // delay until the endpoint list arrives at the routers
	ColdShare      float64       `sexp:"cold-share,must"` // share of its capacity that a backend has when it starts
	WarmUp         sexp.Seconds  `sexp:"warm-in,must"`    // time until a started backend has its full capacity
	OverloadFactor float64       `sexp:"overload,must"`   // multiple of its current capacity that crashes a backend in its warm-up
	OverloadWindow sexp.Seconds  `sexp:"fall-span,must"`  // time over which the overload is measured
	Position       sexp.Position `sexp:",place"`          // position in the file, for errors
}

// Group is a command group and its load.
type Group struct {
	Name              string        `sexp:",name"`        // name of the group
	Consistency       string        `sexp:"need,must"`    // write, current, session, bound or any
	Idempotency       string        `sexp:"effect,must"`  // replayable, keyed or mutating
	Rate              float64       `sexp:"rate,must"`    // commands per second over all routers
	WorkTime          sexp.Seconds  `sexp:"work,must"`    // mean execution time
	Spread            float64       `sexp:"spread"`       // standard deviation of the logarithm of the execution time
	Target            sexp.Seconds  `sexp:"target,must"`  // latency objective
	Timeout           sexp.Seconds  `sexp:"timeout,must"` // client timeout
	Benefit           float64       `sexp:"benefit,must"` // benefit of an answer within the target; the command's priority weight
	LateShare         float64       `sexp:"late"`         // share of the benefit that a later answer earns
	MaxStaleness      sexp.Seconds  `sexp:"bound"`        // maximum staleness of the data, for the consistency bound
	IdempotencyWindow sexp.Seconds  `sexp:"memory"`       // time for which a backend recognizes an idempotency key
	Position          sexp.Position `sexp:",place"`       // position in the file, for errors
}

var (
	consistencies = map[string]router.Consistency{
		"write": router.PrimaryOnly, "current": router.Linearizable, "session": router.SessionConsistent,
		"bound": router.BoundedStaleness, "any": router.Eventual,
	}
	idempotencies    = map[string]router.Idempotency{"replayable": router.Idempotent, "keyed": router.IdempotentWithKey, "mutating": router.NonIdempotent}
	faultHasDuration = map[string]bool{"crash": true, "hang": true, "cut": true, "slow": true, "drain": true, "elect": false, "restart": false}
)

// Load reads and checks the file of an experiment. The error for invalid content is a *sexp.Error with its position.
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
