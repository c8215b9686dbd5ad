package index

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestIndicesAreUsedAgain(t *testing.T) {
	n := New[string]()
	assert.Equal(t, []int{0, 1, 0, 2}, []int{n.At("a"), n.At("b"), n.At("a"), n.At("c")})
	n.Free(1)
	_, ok := n.Find("b")
	assert.False(t, ok)
	assert.Equal(t, 1, n.At("d"))
	assert.Equal(t, "d", n.Name(1))
	assert.Equal(t, 3, n.At("b"), "which is a new one")
	assert.Equal(t, 4, n.Len())
}
