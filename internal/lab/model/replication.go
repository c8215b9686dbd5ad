package model

import "math"

type record struct{ commit, done float64 }

// position is the commit time up to which its data goes. A replica with nothing to apply lags by the delays of shipping
// and applying alone.
func (b *backend) position(now float64) float64 {
	if b.primary {
		return now
	}
	n := 0
	for n < len(b.log) && b.log[n].done <= now {
		b.applied = math.Max(b.applied, b.log[n].commit)
		n++
	}
	if b.log = b.log[n:]; len(b.log) > 0 {
		return b.applied
	}
	if !b.down {
		b.applied = math.Max(b.applied, now-float64(b.world.spec.Fleet.Ship)-float64(b.world.spec.Fleet.Apply))
	}
	return b.applied
}

// receiveRecord takes in a record of the primary's log: one thread applies the records one after another.
func (b *backend) receiveRecord(commit, apply float64) {
	b.until = math.Max(b.until, commit+float64(b.world.spec.Fleet.Ship)) + apply
	b.log = append(b.log, record{commit, b.until})
}

// lastCommit is the position that a linearizable read must cover.
func (w *World) lastCommit(shard int) float64 {
	last := math.Inf(-1)
	for _, b := range w.shards[shard] {
		last = math.Max(last, b.applied)
	}
	return last
}

// commit records a write of the primary, ships it to the replicas and returns its position.
func (w *World) commit(b *backend) float64 {
	f := &w.spec.Fleet
	apply := float64(f.Apply)
	if w.applyStream.Float64() < f.Heavy {
		apply = float64(f.HeavyApply)
	}
	b.applied = w.now
	for _, x := range w.shards[b.shard] {
		if x != b && !x.primary {
			x.receiveRecord(w.now, apply)
		}
	}
	return w.now
}
