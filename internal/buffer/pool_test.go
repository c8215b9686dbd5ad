package buffer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBlocksAreReusedAndCounted(t *testing.T) {
	p := NewPool(4, 2)
	c := p.NewChain()
	c.Write(make([]byte, 4))
	assert.False(t, p.Scarce())
	c.Write(make([]byte, 4))
	assert.True(t, p.Scarce())
	first := &c.FirstPiece()[0]
	c.Discard(4)
	assert.False(t, p.Scarce())
	d := p.NewChain()
	d.Write([]byte{1})
	assert.Same(t, first, &d.FirstPiece()[0])
}

func TestUsersStopOneAfterTheOtherAsBlocksRunOut(t *testing.T) {
	p := NewPool(4, 8)
	c := p.NewChain()
	var mayHold, notScarce, notExhausted int // the most blocks in use at which each is true
	for blocks := 1; blocks <= 16; blocks++ {
		c.Write(make([]byte, 4))
		if p.MayHold(0) {
			mayHold = blocks
		}
		if !p.Scarce() {
			notScarce = blocks
		}
		if !p.Exhausted() {
			notExhausted = blocks
		}
	}
	assert.Equal(t, []int{6, 7, 12}, []int{mayHold, notScarce, notExhausted})
	c.Discard(12 * 4)
	assert.True(t, p.MayHold(2))
	assert.False(t, p.MayHold(3))
	assert.Equal(t, []int{0, 1, 1, 2}, []int{p.BlocksFor(0), p.BlocksFor(1), p.BlocksFor(4), p.BlocksFor(5)})
}
