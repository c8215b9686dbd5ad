// Package buffer stores bytes in blocks of one size, which a pool reuses. Data longer than a block is a chain of blocks.
package buffer

import "slices"

// Pool allocates blocks and reuses those that are released. It belongs to one event loop and has no lock.
//
// A pool never refuses a block. Its users keep the number of blocks in use bounded: as it grows, first MayHold returns false,
// for data that would be held for an unknown time, then Scarce returns true and last Exhausted, so that one kind of data does
// not take the room of all others.
type Pool struct {
	blockSize int // bytes
	scarceAt  int // number of blocks in use from which the pool is scarce
	inUse     int // number of blocks in use
	free      [][]byte
}

const (
	// keptDivisor limits the free blocks that a pool keeps to scarceAt/keptDivisor+1. Other released blocks are left to the
	// garbage collector.
	keptDivisor = 4
	// holdMarginDivisor keeps scarceAt/holdMarginDivisor blocks below scarceAt free of data that are held; see MayHold.
	holdMarginDivisor = 4
	// passingDivisor reserves scarceAt/passingDivisor blocks above scarceAt for data that pass through; see Exhausted.
	passingDivisor = 2
)

// NewPool returns a pool of blocks of blockSize bytes. The pool is scarce while scarceAt or more of them are in use.
func NewPool(blockSize, scarceAt int) *Pool {
	return &Pool{blockSize: blockSize, scarceAt: scarceAt}
}

// MayHold reports whether data of this many more blocks may be held for an unknown time, so that blocks remain for data that
// pass through.
func (p *Pool) MayHold(blocks int) bool {
	return p.inUse+blocks <= p.scarceAt-p.scarceAt/holdMarginDivisor
}

// Scarce reports whether at least scarceAt blocks are in use, so that callers should read less input and release data that
// they hold for later.
func (p *Pool) Scarce() bool { return p.inUse >= p.scarceAt }

// Exhausted reports whether so many blocks are in use that nothing should be read or begun that needs another one.
func (p *Pool) Exhausted() bool { return p.inUse > p.scarceAt+p.scarceAt/passingDivisor }

// BlocksInUse returns the number of blocks in use.
func (p *Pool) BlocksInUse() int { return p.inUse }

// BlocksFor returns the number of blocks that hold size bytes.
func (p *Pool) BlocksFor(size int) int { return (size + p.blockSize - 1) / p.blockSize }

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
