package mwc

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestNumbersFollowTheSeedAndFillTheRange(t *testing.T) {
	a, b := New(0x9e3779b97f4a7c15), New(0x9e3779b97f4a7c15)
	counts := make([]int, 8)
	for range 8000 {
		n := a.IntN(len(counts))
		assert.Equal(t, n, b.IntN(len(counts)))
		counts[n]++
	}
	for _, count := range counts {
		assert.InDelta(t, 1000, count, 150)
	}
	f := a.Float64()
	assert.GreaterOrEqual(t, f, 0.0)
	assert.Less(t, f, 1.0)
}
