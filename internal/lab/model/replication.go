package model

import "math"

// record is a log record that a replica has to apply. Times are virtual and in seconds.
type record struct{ committedAt, appliedAt float64 }

// position returns the commit time up to which the backend has all data. A replica with nothing to apply lags only by the
// time to ship and apply a record.
func (b *backend) position(now float64) float64 {
	if b.primary {
		return now
	}
	n := 0
	for n < len(b.log) && b.log[n].appliedAt <= now {
		b.applied = math.Max(b.applied, b.log[n].committedAt)
		n++
	}
	if b.log = b.log[n:]; len(b.log) > 0 {
		return b.applied
	}
	if !b.down {
		b.applied = math.Max(b.applied, now-float64(b.world.spec.Fleet.ShipDelay)-float64(b.world.spec.Fleet.ApplyTime))
	}
	return b.applied
}

// receiveRecord schedules a record of the primary's log on a replica, whose single thread applies records one after
// another. commit is the time of the commit, apply the time to apply the record, in seconds.
func (b *backend) receiveRecord(commit, apply float64) {
	b.applyDoneAt = math.Max(b.applyDoneAt, commit+float64(b.world.spec.Fleet.ShipDelay)) + apply
	b.log = append(b.log, record{commit, b.applyDoneAt})
}

// lastCommit returns the highest known position in a shard, which a linearizable read must cover. It is that of the last
// commit, or a later one: the position of a replica with nothing to apply advances with time.
func (w *World) lastCommit(shard int) float64 {
	last := math.Inf(-1)
	for _, b := range w.shards[shard] {
		last = math.Max(last, b.applied)
	}
	return last
}

// commit commits a write on the primary, ships it to the replicas and returns its position.
func (w *World) commit(b *backend) float64 {
	f := &w.spec.Fleet
	apply := float64(f.ApplyTime)
	if w.applyStream.Float64() < f.HeavyShare {
		apply = float64(f.HeavyApplyTime)
	}
	b.applied = w.now
	for _, replica := range w.shards[b.shard] {
		if replica != b && !replica.primary {
			replica.receiveRecord(w.now, apply)
		}
	}
	return w.now
}
