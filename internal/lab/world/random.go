package world

import (
	"hash/fnv"
	"math/rand/v2"
)

func name(part string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(part))
	return h.Sum64()
}

// stream is a part's own chance.
func stream(seed int, part string) *rand.Rand { return rand.New(rand.NewPCG(uint64(seed), name(part))) }

func (w *World) work(group int) float64 {
	if w.works[group].Sigma == 0 {
		return float64(w.spec.Groups[group].Work)
	}
	return w.works[group].Rand()
}
