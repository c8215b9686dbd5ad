package model

import (
	"math"

	"stoatdale.example/stoatdale/internal/sexp"
)

// Fault is a fault of a backend or router.
type Fault struct {
	Kind     string        `sexp:",name"`   // crash, hang, cut, slow, drain, elect or restart
	Shard    int           `sexp:"set"`     // index of the backend's shard
	Backend  int           `sexp:"member"`  // index of the backend in its shard; 0 is the primary at the start
	Router   int           `sexp:"router"`  // index of the router, for restart
	At       sexp.Seconds  `sexp:"at,must"` // start, from the beginning of the run
	Duration sexp.Seconds  `sexp:"for"`     // from At, for faults that last
	Slowdown float64       `sexp:"times"`   // factor by which commands take longer, for slow
	Position sexp.Position `sexp:",place"`  // position in the file, for errors
}

// scheduleFault schedules the start and end of a fault. policy is the one that a restarted router runs.
func (w *World) scheduleFault(fault Fault, policy string) {
	begin, end := func() {}, func() {}
	if fault.Kind == "restart" {
		r := w.routers[fault.Router]
		begin = func() { r.restart(policy) }
	} else {
		b := w.shards[fault.Shard][fault.Backend]
		switch fault.Kind {
		case "crash":
			begin, end = b.crash, b.start
		case "hang":
			begin, end = func() { b.hung = true; w.backendStalled(b) }, b.resume
		case "cut":
			begin, end = func() { b.cut = true; w.backendStalled(b) }, func() { b.cut = false }
		case "slow":
			begin, end = func() { b.slowdown *= fault.Slowdown }, func() { b.slowdown /= fault.Slowdown }
		case "drain":
			begin = func() { w.drain(b, true) }
			end = func() { w.drain(b, false) }
		case "elect":
			begin = func() { w.elect(b) }
		}
	}
	w.at(float64(fault.At), begin)
	if faultHasDuration[fault.Kind] {
		w.at(float64(fault.At+fault.Duration), end)
	}
}

// backendStalled tells baseline policies that a backend does not answer any more.
func (w *World) backendStalled(b *backend) {
	for _, r := range w.routers {
		if policy, isBaseline := r.policy.(*baselinePolicy); isBaseline {
			policy.backendStalled(b.index)
		}
	}
}

// drain changes whether a backend is draining and publishes the change.
func (w *World) drain(b *backend, drains bool) {
	b.draining = drains
	w.publishEndpoints()
}

// elect makes a replica the primary. The replica first applies all records of the old primary, so that no commit is lost.
func (w *World) elect(b *backend) {
	if b.primary || b.down {
		return
	}
	for _, other := range w.shards[b.shard] {
		if other.primary {
			b.applied = math.Max(b.applied, other.applied)
			other.primary = false
		}
	}
	b.primary, b.log = true, nil
	w.publishEndpoints()
}

// restart restarts a router, which then knows only the endpoint list. Its clients retry their commands.
func (r *instance) restart(policy string) {
	for id := uint32(1); id <= r.lastID; id++ {
		c := r.commands[id]
		if c == nil || c.ended {
			continue
		}
		c.ended = true
		r.world.checker.CommandAbandoned(&c.Command)
		r.world.retryLater(c, r.world.networkDelay())
	}
	r.commands = map[uint32]*command{}
	for _, s := range r.sessions {
		s.latestRead = math.Inf(-1) // a router guarantees monotonic reads only until it restarts
	}
	r.start(policy)
}
