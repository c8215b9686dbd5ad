package model

import (
	"math"

	"stoatdale.example/stoatdale/internal/sexp"
)

// Fault is a fault of a backend or router, with its start and duration.
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

// schedule schedules the start and the end of a fault.
func (w *World) schedule(x Fault, policy string) {
	begin, end := func() {}, func() {}
	if x.Kind == "restart" {
		r := w.routers[x.Router]
		begin = func() { r.restart(policy) }
	} else {
		b := w.shards[x.Set][x.Member]
		switch x.Kind {
		case "crash":
			begin, end = b.crash, b.start
		case "hang":
			begin, end = func() { b.hung = true; w.backendStalled(b) }, b.resume
		case "cut":
			begin, end = func() { b.cut = true; w.backendStalled(b) }, func() { b.cut = false }
		case "slow":
			begin, end = func() { b.slow *= x.Times }, func() { b.slow /= x.Times }
		case "drain":
			begin = func() { w.drain(b, true) }
			end = func() { w.drain(b, false) }
		case "elect":
			begin = func() { w.elect(b) }
		}
	}
	w.at(float64(x.At), begin)
	if faultLasts[x.Kind] {
		w.at(float64(x.At+x.For), end)
	}
}

func (w *World) backendStalled(b *backend) {
	for _, r := range w.routers {
		if policy, isBaseline := r.policy.(*baselinePolicy); isBaseline {
			policy.backendStalled(b.node)
		}
	}
}

func (w *World) drain(b *backend, drains bool) {
	b.drains = drains
	w.publishEndpoints()
}

// elect makes a replica the primary. What it has not applied yet it applies first, so that no commit is lost.
func (w *World) elect(b *backend) {
	if b.primary || b.down {
		return
	}
	for _, x := range w.shards[b.shard] {
		if x.primary {
			b.applied = math.Max(b.applied, x.applied)
			x.primary = false
		}
	}
	b.primary, b.log = true, nil
	w.publishEndpoints()
}

// restart restarts a router, which knows nothing but the endpoint list afterwards. Its clients retry.
func (r *instance) restart(policy string) {
	for id := uint32(1); id <= r.last; id++ {
		c := r.commands[id]
		if c == nil || c.done {
			continue
		}
		c.done = true
		r.world.check.CommandAbandoned(&c.Command)
		r.world.retryLater(c, r.world.networkDelay())
	}
	r.commands = map[uint32]*command{}
	for _, s := range r.sessions {
		s.seen = math.Inf(-1) // what it has shown is promised by one router
	}
	r.start(policy)
}
