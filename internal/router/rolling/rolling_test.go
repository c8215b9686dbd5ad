package rolling

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCounterForgetsAfterASecond(t *testing.T) {
	c := New(10)
	c.Add(5.01)
	c.Add(5.45)
	c.Add(5.45)
	assert.InDelta(t, 3.0, c.Sum(5.99), 0)
	assert.InDelta(t, 2.0, c.Sum(6.05), 0, "the slot of 5.01 is over")
	c.Add(6.05)
	assert.InDelta(t, 3.0, c.Sum(5.5), 0, "a clock that goes back counts nothing twice")
	assert.InDelta(t, 1.0, c.Sum(6.55), 0)
	assert.Zero(t, c.Sum(100))
}
