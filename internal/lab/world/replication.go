package world

import "math"

type record struct{ commit, done float64 }

// position is the commit time up to which its data goes. A replica with nothing to apply is as old as the way.
func (m *backend) position(now float64) float64 {
	if m.primary {
		return now
	}
	n := 0
	for n < len(m.log) && m.log[n].done <= now {
		m.applied = math.Max(m.applied, m.log[n].commit)
		n++
	}
	if m.log = m.log[n:]; len(m.log) > 0 {
		return m.applied
	}
	if !m.down {
		m.applied = math.Max(m.applied, now-float64(m.world.spec.Fleet.Ship)-float64(m.world.spec.Fleet.Apply))
	}
	return m.applied
}

// ship takes a record of the primary's log in: one thread applies them one after another.
func (m *backend) ship(commit, apply float64) {
	m.until = math.Max(m.until, commit+float64(m.world.spec.Fleet.Ship)) + apply
	m.log = append(m.log, record{commit, m.until})
}

// lastCommit is the position that a read which needs the current state must cover.
func (w *World) lastCommit(shard int) float64 {
	last := math.Inf(-1)
	for _, m := range w.shards[shard] {
		last = math.Max(last, m.applied)
	}
	return last
}

// commit notes a write of the primary and ships it.
func (w *World) commit(m *backend) float64 {
	f := &w.spec.Fleet
	apply := float64(f.Apply)
	if w.applyStream.Float64() < f.Heavy {
		apply = float64(f.HeavyApply)
	}
	m.applied = w.now
	for _, x := range w.shards[m.shard] {
		if x != m && !x.primary {
			x.ship(w.now, apply)
		}
	}
	return w.now
}
