package world

import (
	"math"

	"stoatdale.example/stoatdale/internal/lab/verdict"
	"stoatdale.example/stoatdale/internal/router"
)

// member is a database host.
type member struct {
	w       *World
	node    int
	set     int
	primary bool
	drains  bool
	told    router.EndpointState // to routers, of that
	toldAt  float64
	down    bool
	hung    bool
	cut     bool
	slow    float64
	started float64 // -Inf: long ago
	busy    int
	coming  int // dispatches on their way to it
	queue   []*leg
	working map[*leg]bool
	applied float64  // commit time of the newest record that it has applied
	log     []record // shipped and not yet applied, in order of commits
	until   float64  // when its thread has applied all of them
	cold    verdict.Cold
	// How much it did.
	Served, Turned int
}

// leg is one dispatch.
type leg struct {
	cmd      *command
	number   int
	at       *member
	sent     float64
	open     bool // its router still waits for an outcome
	started  bool
	position float64 // of the data that it read
}

// share of its capacity that it has: less while it is cold.
func (m *member) share(now float64) float64 {
	f := &m.w.spec.Fleet
	return math.Min(1, f.ColdShare+(1-f.ColdShare)*math.Max(0, now-m.started)/float64(f.WarmIn))
}

// arrive has a dispatch come.
func (m *member) arrive(l *leg) {
	w := m.w
	switch {
	case m.cut: // nothing is heard; the dispatch runs out of time
		return
	case m.down:
		w.outcome(l, router.ConnectFailed, w.way())
		return
	}
	if now := w.now; now-m.started < float64(w.spec.Fleet.WarmIn) {
		m.cold.Sent(now, m.started)
		if p, how := m.cold.Broken(); p != "" {
			w.breaks(p, how)
			m.cold = w.budget()
			m.crash()
			w.after(float64(w.spec.Fleet.WarmIn)/4, m.start)
			return
		}
	}
	if m.busy >= w.spec.Fleet.Slots || m.hung {
		if len(m.queue) >= w.spec.Fleet.Queue {
			m.Turned++
			w.outcome(l, router.Overloaded, w.way())
			return
		}
		m.queue = append(m.queue, l)
		return
	}
	m.work(l)
}

// work begins a dispatch. What nobody waits for any more was called off before it began.
func (m *member) work(l *leg) {
	w := m.w
	g := &w.spec.Groups[l.cmd.group]
	if need := needs[g.Need]; need == router.PrimaryOnly && !m.primary {
		w.outcome(l, router.NotServed, w.way())
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

func (m *member) finish(l *leg) {
	if !m.working[l] { // it crashed, or called it off
		return
	}
	delete(m.working, l)
	m.busy--
	if m.hung { // it is done, and cannot say so
		return
	}
	m.Served++
	if needs[m.w.spec.Groups[l.cmd.group].Need] == router.PrimaryOnly {
		l.position = m.w.commit(m)
	}
	if !m.cut {
		m.w.outcome(l, router.Answered, m.w.way())
	}
	m.next()
}

// next begins what waits, if there is room.
func (m *member) next() {
	for len(m.queue) > 0 && m.busy < m.w.spec.Fleet.Slots && !m.hung {
		l := m.queue[0]
		m.queue = m.queue[1:]
		if l.open {
			m.work(l)
			return
		}
	}
}

// cancel ends a dispatch where it is.
func (m *member) cancel(l *leg) {
	if m.working[l] && !m.hung {
		delete(m.working, l)
		m.busy--
		m.next()
	}
}

// crash breaks all that it has.
func (m *member) crash() {
	m.down = true
	var broken []*leg
	for l := range m.working {
		broken = append(broken, l)
	}
	broken = append(sorted(broken), m.queue...)
	m.working, m.queue, m.busy = map[*leg]bool{}, nil, 0
	for _, l := range broken {
		m.w.outcome(l, router.ConnectionLost, m.w.way())
	}
}

// start has it come back, cold.
func (m *member) start() {
	m.down, m.hung = false, false
	m.started = m.w.now
	m.cold = m.w.budget()
	m.w.listed()
}

// wake ends a hang: what it held goes on.
func (m *member) wake() {
	m.hung = false
	for range m.w.spec.Fleet.Slots {
		m.next()
	}
}
