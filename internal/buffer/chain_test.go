package buffer

import (
	"bytes"
	"math/rand"
	"runtime"
	"testing"
	"weak"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// all returns the unread bytes of a chain.
func all(c *Chain) []byte {
	b := make([]byte, c.Len())
	c.Peek(b)
	return b
}

func TestChainKeepsBytesInOrder(t *testing.T) {
	p := NewPool(8, 100)
	c, want, draw := p.NewChain(), []byte{}, rand.New(rand.NewSource(1))
	for i := range 5000 {
		piece := bytes.Repeat([]byte{byte(i)}, draw.Intn(30))
		switch draw.Intn(3) {
		case 0:
			c.Write(piece)
			want = append(want, piece...)
		case 1:
			n := copy(c.Reserve(), piece)
			c.Commit(n)
			want = append(want, piece[:n]...)
		case 2:
			n := min(draw.Intn(40), len(want))
			c.Discard(n)
			want = want[n:]
		}
		require.Equal(t, len(want), c.Len())
		require.Equal(t, append([]byte{}, want...), all(&c))
		if len(want) > 0 {
			require.Equal(t, want[0], c.FirstPiece()[0])
		} else {
			require.Zero(t, p.BlocksInUse(), "an empty chain holds no block")
		}
	}
	c.Free()
	assert.Zero(t, p.BlocksInUse())
}

func TestCopyToDoesNotChangeItsSource(t *testing.T) {
	p := NewPool(4, 100)
	a, b := p.NewChain(), p.NewChain()
	a.Write([]byte("xxabcdefghij"))
	a.Discard(2)
	a.CopyTo(&b, 3, 6)
	assert.Equal(t, "defghi", string(all(&b)))
	assert.Equal(t, "abcdefghij", string(all(&a)), "the source is unchanged")
}

func TestMoveToMovesAllBytes(t *testing.T) {
	p := NewPool(4, 100)
	a, b := p.NewChain(), p.NewChain()
	a.Write([]byte("xxabcdef"))
	a.Discard(2)
	first := &a.FirstPiece()[0]
	a.MoveTo(&b)
	assert.Same(t, first, &b.FirstPiece()[0], "blocks move to an empty chain without being copied")
	assert.Zero(t, a.Len())
	a.Write([]byte("ghi"))
	a.MoveTo(&b)
	assert.Equal(t, "abcdefghi", string(all(&b)))
	assert.Zero(t, a.Len())
	b.Free()
	assert.Zero(t, p.BlocksInUse())
}

func TestReservedBlocksAreFilledInOrderAndEmptyOnesReleased(t *testing.T) {
	p := NewPool(4, 100)
	c := p.NewChain()
	c.Write([]byte("ab"))
	spaces := c.ReserveBlocks(3)
	assert.Equal(t, []int{2, 4, 4}, []int{len(spaces[0]), len(spaces[1]), len(spaces[2])})
	copy(spaces[0], "cd")
	copy(spaces[1], "e")
	c.CommitBlocks(spaces, 3)
	assert.Equal(t, 5, c.Len())
	assert.Equal(t, 2, p.BlocksInUse())
	assert.Equal(t, "abcd", string(c.Pieces(1)[0]))
	assert.Equal(t, "e", string(c.Pieces(9)[1]))
	c.CommitBlocks(c.ReserveBlocks(2), 0)
	c.Discard(5)
	c.CommitBlocks(c.ReserveBlocks(2), 0)
	assert.Zero(t, p.BlocksInUse())
}

// Guards against released blocks that cannot be collected: a chain's slice still referred to them behind its end, so that each
// of a thousand connections kept the blocks of the longest message that it had carried.
func TestReleasedBlocksCanBeCollected(t *testing.T) {
	const size, blocks = 64, 64
	releases := map[string]func(*Chain) [][]byte{ // each returns the blocks that it has released
		"discarded": func(c *Chain) [][]byte {
			c.Write(make([]byte, blocks*size))
			pieces := c.Pieces(blocks)
			c.Discard((blocks - 1) * size)
			return pieces[:blocks-1]
		},
		"never used": func(c *Chain) [][]byte {
			spaces := c.ReserveBlocks(blocks)
			c.CommitBlocks(spaces, 1)
			return spaces[1:]
		},
	}
	for name, release := range releases {
		pool := NewPool(size, blocks)
		chain := pool.NewChain()
		var released []weak.Pointer[byte]
		for _, block := range release(&chain) {
			released = append(released, weak.Make(&block[0]))
		}
		runtime.GC()
		collected := 0
		for _, block := range released {
			if block.Value() == nil {
				collected++
			}
		}
		assert.Equal(t, len(released)-len(pool.free), collected, name)
		runtime.KeepAlive(&chain)
	}
}
