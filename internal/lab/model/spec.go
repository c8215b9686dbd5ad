// Package model is a model of the deployments that the router serves, in virtual time and free of I/O: shards of one
// primary and replicas that apply its log one record after another, slots and queues, slow starts, faults, an endpoint
// list that arrives late, clients with sessions that retry when they are rejected. Whatever decides where commands go is
// a Policy: the router's module is one, and simple baselines are there to compare it with.
//
// The same file and seed give the same run, whatever else runs. Each part draws random numbers from a stream of its own,
// so that a change to one leaves the draws of the others alone. docs/lab.md says what is modelled and what is not.
package model

import (
	"fmt"
	"os"

	"stoatdale.example/stoatdale/internal/router"
	"stoatdale.example/stoatdale/internal/sexp"
)

// Spec is the file of an experiment. Times are virtual and in seconds.
type Spec struct {
	Name     string       `sexp:"name,must"`     // of the experiment
	Seconds  sexp.Seconds `sexp:"seconds,must"`  // virtual duration of a run
	Seeds    []int        `sexp:"seeds,must"`    // one run for each seed and policy
	Policies []string     `sexp:"policies,must"` // names, as in Policies
	Fleet    Fleet        `sexp:"fleet,must"`
	Groups   []Group      `sexp:"group"`
	Faults   []Fault      `sexp:"fault"`
}

// Fleet is the modelled deployment.
type Fleet struct {
	Routers    int           `sexp:"routers,must"`    // routers that share the clients
	Sets       int           `sexp:"sets,must"`       // shards
	Replicas   int           `sexp:"replicas,must"`   // of each shard, beside the primary
	Slots      int           `sexp:"slots,must"`      // commands that a backend executes at once
	Queue      int           `sexp:"queue,must"`      // commands that may wait at a backend; the next is rejected
	Sessions   int           `sexp:"sessions,must"`   // of clients, over all routers
	Way        sexp.Seconds  `sexp:"way,must"`        // network delay from a router to a backend, one way
	Dial       sexp.Seconds  `sexp:"dial,must"`       // timeout of connecting to a backend
	Ship       sexp.Seconds  `sexp:"ship,must"`       // delay of a log record to a replica
	Apply      sexp.Seconds  `sexp:"apply,must"`      // time that a replica takes to apply a record
	Heavy      float64       `sexp:"heavy"`           // share of writes whose record takes HeavyApply
	HeavyApply sexp.Seconds  `sexp:"heavy-apply"`     // time to apply a heavy record
	List       sexp.Seconds  `sexp:"list"`            // delay of the endpoint list to the routers
	ColdShare  float64       `sexp:"cold-share,must"` // share of its capacity that a backend has right after its start
	WarmIn     sexp.Seconds  `sexp:"warm-in,must"`    // time until a started backend has its full capacity
	Overload   float64       `sexp:"overload,must"`   // multiple of a cold backend's capacity that crashes it
	FallSpan   sexp.Seconds  `sexp:"fall-span,must"`  // time over which the overload is measured
	Place      sexp.Position `sexp:",place"`          // in the file, for errors
}

// Group is a command group and its load.
type Group struct {
	Name    string        `sexp:",name"`        // of the experiment
	Need    string        `sexp:"need,must"`    // write, current, session, bound or any
	Effect  string        `sexp:"effect,must"`  // replayable, keyed or mutating
	Rate    float64       `sexp:"rate,must"`    // commands a second over all routers
	Work    sexp.Seconds  `sexp:"work,must"`    // mean execution time
	Spread  float64       `sexp:"spread"`       // standard deviation of the logarithm of the execution time
	Target  sexp.Seconds  `sexp:"target,must"`  // latency objective
	Timeout sexp.Seconds  `sexp:"timeout,must"` // the client's
	Benefit float64       `sexp:"benefit,must"` // priority weight of an answer within the target
	Late    float64       `sexp:"late"`         // share of the benefit of a later answer
	Bound   sexp.Seconds  `sexp:"bound"`        // greatest age of the data, for need bound
	Memory  sexp.Seconds  `sexp:"memory"`       // how long a backend recognizes an idempotency key
	Place   sexp.Position `sexp:",place"`       // in the file, for errors
}

var (
	consistencies = map[string]router.Consistency{
		"write": router.PrimaryOnly, "current": router.Linearizable, "session": router.SessionConsistent,
		"bound": router.BoundedStaleness, "any": router.Eventual,
	}
	idempotencies = map[string]router.Idempotency{"replayable": router.Idempotent, "keyed": router.IdempotentWithKey, "mutating": router.NonIdempotent}
	faultLasts    = map[string]bool{"crash": true, "hang": true, "cut": true, "slow": true, "drain": true, "elect": false, "restart": false}
)

// Load reads and checks an experiment's file. What the check finds wrong is a *sexp.Error with its position.
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
