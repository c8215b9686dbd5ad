package world

import (
	"math"

	"stoatdale.example/stoatdale/internal/sexp"
)

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

// schedule has a fault begin and end.
func (w *World) schedule(x Fault, policy string) {
	begin, end := func() {}, func() {}
	if x.Kind == "restart" {
		r := w.routers[x.Router]
		begin = func() { r.restart(policy) }
	} else {
		m := w.shards[x.Set][x.Member]
		switch x.Kind {
		case "crash":
			begin, end = m.crash, m.start
		case "hang":
			begin, end = func() { m.hung = true; w.backendStalled(m) }, m.wake
		case "cut":
			begin, end = func() { m.cut = true; w.backendStalled(m) }, func() { m.cut = false }
		case "slow":
			begin, end = func() { m.slow *= x.Times }, func() { m.slow /= x.Times }
		case "drain":
			begin = func() { w.drain(m, true) }
			end = func() { w.drain(m, false) }
		case "elect":
			begin = func() { w.elect(m) }
		}
	}
	w.at(float64(x.At), begin)
	if faultLasts[x.Kind] {
		w.at(float64(x.At+x.For), end)
	}
}

func (w *World) backendStalled(m *backend) {
	for _, r := range w.routers {
		if b, baselinePolicy := r.policy.(*baselinePolicy); baselinePolicy {
			b.backendStalled(m.node)
		}
	}
}

func (w *World) drain(m *backend, drains bool) {
	m.drains = drains
	w.publishEndpoints()
}

// elect makes a replica the primary. What it has not applied yet it applies first, so that no commit is lost.
func (w *World) elect(m *backend) {
	if m.primary || m.down {
		return
	}
	for _, x := range w.shards[m.shard] {
		if x.primary {
			m.applied = math.Max(m.applied, x.applied)
			x.primary = false
		}
	}
	m.primary, m.log = true, nil
	w.publishEndpoints()
}

// restart has a router end and come back at once, knowing nothing but the list. Its clients ask again.
func (r *instance) restart(policy string) {
	for id := uint32(1); id <= r.last; id++ {
		c := r.commands[id]
		if c == nil || c.done {
			continue
		}
		c.done = true
		r.world.check.Ended(&c.Command)
		r.world.retryLater(c, r.world.networkDelay())
	}
	r.commands = map[uint32]*command{}
	for _, s := range r.sessions {
		s.seen = math.Inf(-1) // what it has shown is promised by one router
	}
	r.boot(policy)
}
