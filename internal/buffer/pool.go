// Package buffer keeps bytes in blocks of one size that are reused through a pool. What is longer than a block is a chain
// of blocks.
package buffer

// Pool hands out blocks and takes them back. It belongs to one event loop and has no lock.
type Pool struct {
	blockSize int // bytes
	scarceAt  int // blocks in use
	inUse     int // blocks
	free      [][]byte
}

// keptDivisor says which part of the blocks at which a pool is scarce it keeps when they are free; the others are left to
// the garbage collector.
const keptDivisor = 4

// NewPool returns a pool of blocks of so many bytes, which is scarce while scarceAt of them are in use.
func NewPool(blockSize, scarceAt int) *Pool {
	return &Pool{blockSize: blockSize, scarceAt: scarceAt}
}

// Scarce reports whether so many blocks are in use that nothing new should be read. Blocks are handed out all the same.
func (p *Pool) Scarce() bool { return p.inUse >= p.scarceAt }

// BlocksInUse returns the number of blocks in use.
func (p *Pool) BlocksInUse() int { return p.inUse }

// NewChain returns an empty chain, which holds no block.
func (p *Pool) NewChain() Chain { return Chain{pool: p} }

// get returns an empty block.
func (p *Pool) get() []byte {
	p.inUse++
	last := len(p.free) - 1
	if last < 0 {
		return make([]byte, 0, p.blockSize)
	}
	block := p.free[last]
	p.free = p.free[:last]
	return block
}

// put takes a block back.
func (p *Pool) put(block []byte) {
	p.inUse--
	if len(p.free) < p.scarceAt/keptDivisor+1 {
		p.free = append(p.free, block[:0])
	}
}
