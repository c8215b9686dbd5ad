package model

import (
	"hash/fnv"
	"math/rand/v2"
)

// hashName returns the hash of a part's name, which distinguishes its stream from those of other parts.
func hashName(part string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(part))
	return h.Sum64()
}

// newStream returns the random numbers for one part of the model. Each part has a stream of its own, so that a change to
// one part does not change the numbers of the others.
func newStream(seed int, part string) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(seed), hashName(part)))
}

// drawWork returns a random execution time for a command of the group, in seconds.
func (w *World) drawWork(group int) float64 {
	if w.workTimes[group].Sigma == 0 {
		return float64(w.spec.Groups[group].WorkTime)
	}
	return w.workTimes[group].Rand()
}
