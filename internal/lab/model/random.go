package model

import (
	"hash/fnv"
	"math/rand/v2"
)

func hashName(part string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(part))
	return h.Sum64()
}

// newStream is the random numbers of one part of the model, so that a change to one part leaves the others' draws alone.
func newStream(seed int, part string) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(seed), hashName(part)))
}

func (w *World) drawWork(group int) float64 {
	if w.workTimes[group].Sigma == 0 {
		return float64(w.spec.Groups[group].Work)
	}
	return w.workTimes[group].Rand()
}
