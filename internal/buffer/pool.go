// Package buffer stores bytes in blocks of one size, which a pool reuses. Data longer than a block is a chain of blocks.
package buffer

import "slices"

// Pool allocates blocks and reuses those that are released. It belongs to one event loop and has no lock.
type Pool struct {
	blockSize int // bytes
	scarceAt  int // number of blocks in use from which the pool is scarce
	inUse     int // number of blocks in use
	free      [][]byte
}

// keptDivisor limits the free blocks that a pool keeps to scarceAt/keptDivisor+1. Other released blocks are left to the
// garbage collector.
const keptDivisor = 4

// NewPool returns a pool of blocks of blockSize bytes. The pool is scarce while scarceAt or more of them are in use.
func NewPool(blockSize, scarceAt int) *Pool {
	return &Pool{blockSize: blockSize, scarceAt: scarceAt}
}

// Scarce reports whether at least scarceAt blocks are in use, so that callers should read less input. The pool itself still
// allocates blocks.
func (p *Pool) Scarce() bool { return p.inUse >= p.scarceAt }

// BlocksInUse returns the number of blocks in use.
func (p *Pool) BlocksInUse() int { return p.inUse }

// NewChain returns an empty chain whose blocks come from the pool.
func (p *Pool) NewChain() Chain { return Chain{pool: p} }

// get returns an empty block, a free one if there is any.
func (p *Pool) get() []byte {
	p.inUse++
	last := len(p.free) - 1
	if last < 0 {
		return make([]byte, 0, p.blockSize)
	}
	block := p.free[last]
	p.free = slices.Delete(p.free, last, last+1)
	return block
}

// put releases a block, which is kept for reuse or left to the garbage collector.
func (p *Pool) put(block []byte) {
	p.inUse--
	if len(p.free) < p.scarceAt/keptDivisor+1 {
		p.free = append(p.free, block[:0])
	}
}
