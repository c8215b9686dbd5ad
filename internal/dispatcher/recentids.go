package dispatcher

import (
	"hash/maphash"

	"stoatdale.example/stoatdale/internal/router/generational"
)

// maxRecentIDs is the largest number of ids in each of the two generations of recentIDs.
const maxRecentIDs = 1 << 15

// recentIDs remembers the ids of commands that have ended and must not run again, as hashes of 64 bits. An id is remembered
// for the retention and at most for two of them, but for less if more than maxRecentIDs are added in that time. Times are in
// seconds on the event loop's clock.
type recentIDs struct {
	hashes       generational.Map[uint64, struct{}]
	hashSeed     maphash.Seed // drawn at the start, so that nobody can choose ids of equal hash
	youngerSince float64      // when the younger generation began
}

func newRecentIDs() recentIDs {
	return recentIDs{hashes: generational.New[uint64, struct{}](), hashSeed: maphash.MakeSeed()}
}

// add remembers an id.
func (r *recentIDs) add(now, retention float64, id string) {
	r.expire(now, retention)
	if r.hashes.YoungerLen() >= maxRecentIDs {
		r.hashes.Rotate()
		r.youngerSince = now
	}
	r.hashes.Put(maphash.String(r.hashSeed, id), struct{}{})
}

// contains reports whether an id is remembered.
func (r *recentIDs) contains(now, retention float64, id string) bool {
	r.expire(now, retention)
	_, ok := r.hashes.Get(maphash.String(r.hashSeed, id))
	return ok
}

// expire drops the generations whose time is over.
func (r *recentIDs) expire(now, retention float64) {
	if now-r.youngerSince >= 2*retention { // both are over
		r.hashes.Rotate()
		r.youngerSince = now - retention
	}
	if now-r.youngerSince >= retention {
		r.hashes.Rotate()
		r.youngerSince += retention
	}
}
