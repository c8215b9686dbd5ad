package rolling

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCounterForgetsAfterASecond(t *testing.T) {
	c := New(10)
	sums := func(now float64) []float64 {
		all, marked := c.Sums(now)
		return []float64{all, marked}
	}
	c.Add(5.01, true)
	c.Add(5.45, false)
	c.Add(5.45, true)
	assert.Equal(t, []float64{3, 2}, sums(5.99))
	assert.Equal(t, []float64{2, 1}, sums(6.05), "the slot of 5.01 is over")
	c.Add(6.05, false)
	assert.Equal(t, []float64{3, 1}, sums(5.5), "a clock that goes back counts nothing twice")
	assert.Equal(t, []float64{1, 0}, sums(6.55))
	assert.Equal(t, []float64{0, 0}, sums(100))
}
