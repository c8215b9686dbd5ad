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
