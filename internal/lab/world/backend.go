package world

import (
	"math"

	"stoatdale.example/stoatdale/internal/lab/verdict"
	"stoatdale.example/stoatdale/internal/router"
)

// backend is a database server.
type backend struct {
	world       *World
	node        int
	shard       int
	primary     bool
	drains      bool
	listedState router.EndpointState // to routers, of that
	listedSince float64
	down        bool
	hung        bool
	cut         bool
	slow        float64
	started     float64 // -Inf: long ago
	busy        int
	inTransit   int // attempts on their way to it
	queue       []*attempt
	working     map[*attempt]bool
	applied     float64  // commit time of the newest record that it has applied
	log         []record // shipped and not yet applied, in order of commits
	until       float64  // when its thread has applied all of them
	cold        verdict.Cold
	// How much it did.
	Served, Turned int
}

// attempt is one attempt.
type attempt struct {
	cmd      *command
	number   int
	at       *backend
	sent     float64
	open     bool // its router still waits for an outcome
	started  bool
	position float64 // of the data that it read
}

// share of its capacity that it has: less while it is cold.
func (m *backend) share(now float64) float64 {
	f := &m.world.spec.Fleet
	return math.Min(1, f.ColdShare+(1-f.ColdShare)*math.Max(0, now-m.started)/float64(f.WarmIn))
}

// arrive has a attempt come.
func (m *backend) arrive(l *attempt) {
	w := m.world
	switch {
	case m.cut: // nothing is heard; the attempt runs out of time
		return
	case m.down:
		w.deliverResult(l, router.ConnectFailed, w.networkDelay())
		return
	}
	if now := w.now; now-m.started < float64(w.spec.Fleet.WarmIn) {
		m.cold.Sent(now, m.started)
		if p, how := m.cold.Broken(); p != "" {
			w.recordViolation(p, how)
			m.cold = w.budget()
			m.crash()
			w.after(float64(w.spec.Fleet.WarmIn)/4, m.start)
			return
		}
	}
	if m.busy >= w.spec.Fleet.Slots || m.hung {
		if len(m.queue) >= w.spec.Fleet.Queue {
			m.Turned++
			w.deliverResult(l, router.Overloaded, w.networkDelay())
			return
		}
		m.queue = append(m.queue, l)
		return
	}
	m.work(l)
}

// work begins a attempt. What nobody waits for any more was called off before it began.
func (m *backend) work(l *attempt) {
	w := m.world
	g := &w.spec.Groups[l.cmd.group]
	if need := consistencies[g.Need]; need == router.PrimaryOnly && !m.primary {
		w.deliverResult(l, router.NotServed, w.networkDelay())
		m.next()
		return
	}
	m.busy++
	l.started = true
	l.position = m.position(w.now)
	m.working[l] = true
	took := w.work(l.cmd.group) * m.slow / m.share(w.now)
	w.after(took, func() { m.finish(l) })
}

func (m *backend) finish(l *attempt) {
	if !m.working[l] { // it crashed, or called it off
		return
	}
	delete(m.working, l)
	m.busy--
	if m.hung { // it is done, and cannot say so
		return
	}
	m.Served++
	if consistencies[m.world.spec.Groups[l.cmd.group].Need] == router.PrimaryOnly {
		l.position = m.world.commit(m)
	}
	if !m.cut {
		m.world.deliverResult(l, router.Answered, m.world.networkDelay())
	}
	m.next()
}

// next begins what waits, if there is room.
func (m *backend) next() {
	for len(m.queue) > 0 && m.busy < m.world.spec.Fleet.Slots && !m.hung {
		l := m.queue[0]
		m.queue = m.queue[1:]
		if l.open {
			m.work(l)
			return
		}
	}
}

// cancel ends a attempt where it is.
func (m *backend) cancel(l *attempt) {
	if m.working[l] && !m.hung {
		delete(m.working, l)
		m.busy--
		m.next()
	}
}

// crash breaks all that it has.
func (m *backend) crash() {
	m.down = true
	var violations []*attempt
	for l := range m.working {
		violations = append(violations, l)
	}
	violations = append(sorted(violations), m.queue...)
	m.working, m.queue, m.busy = map[*attempt]bool{}, nil, 0
	for _, l := range violations {
		m.world.deliverResult(l, router.ConnectionLost, m.world.networkDelay())
	}
}

// start has it come back, cold.
func (m *backend) start() {
	m.down, m.hung = false, false
	m.started = m.world.now
	m.cold = m.world.budget()
	m.world.publishEndpoints()
}

// wake ends a hang: what it held goes on.
func (m *backend) wake() {
	m.hung = false
	for range m.world.spec.Fleet.Slots {
		m.next()
	}
}
