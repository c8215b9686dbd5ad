// Package buffer keeps bytes in blocks of one size that are used again from a pool; what is longer
// than a block chains.
package buffer

// Pool hands out blocks and takes them back. It belongs to one loop and has no lock.
type Pool struct {
	blockSize, scarceAt, inUse int
	free                       [][]byte
}

// NewPool returns a pool of blocks of a size. Beyond most of them in use it counts as scarce.
func NewPool(size, most int) *Pool { return &Pool{blockSize: size, scarceAt: most} }

// Scarce says that so many blocks are in use that nothing new should be read.
func (p *Pool) Scarce() bool { return p.inUse >= p.scarceAt }

// BlocksInUse is the number of blocks in use.
func (p *Pool) BlocksInUse() int { return p.inUse }

func (p *Pool) get() []byte {
	p.inUse++
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		return b
	}
	return make([]byte, 0, p.blockSize)
}

// keptDivisor of the most blocks stay in the pool; the rest goes back to the run time.
const keptDivisor = 4

func (p *Pool) put(b []byte) {
	p.inUse--
	if len(p.free) < p.scarceAt/keptDivisor+1 {
		p.free = append(p.free, b[:0])
	}
}

// Chain is a run of bytes in blocks: written at its end, read from its start.
type Chain struct {
	pool   *Pool
	blocks [][]byte
	offset int // bytes of the first block that were read
	length int
}

// NewChain returns an empty chain.
func (p *Pool) NewChain() Chain { return Chain{pool: p} }

// Len is the number of bytes to read.
func (c *Chain) Len() int { return c.length }

// Reserve is free space at the end; Grow says how much of it was filled.
func (c *Chain) Reserve() []byte {
	last := len(c.blocks) - 1
	if last < 0 || len(c.blocks[last]) == cap(c.blocks[last]) {
		c.blocks = append(c.blocks, c.pool.get())
		last++
	}
	b := c.blocks[last]
	return b[len(b):cap(b)]
}

// Commit takes in n bytes that were written to Room.
func (c *Chain) Commit(n int) {
	last := len(c.blocks) - 1
	c.blocks[last] = c.blocks[last][:len(c.blocks[last])+n]
	c.length += n
	c.releaseEmptyTail()
}

// ReserveBlocks is free space at the end in so many blocks; Fill says how much of it was filled, in their order.
func (c *Chain) ReserveBlocks(blocks int) [][]byte {
	rooms := [][]byte{c.Reserve()}
	for len(rooms) < blocks {
		c.blocks = append(c.blocks, c.pool.get())
		b := c.blocks[len(c.blocks)-1]
		rooms = append(rooms, b[:cap(b)])
	}
	return rooms
}

// CommitBlocks takes in n bytes that were written to Rooms; blocks that stayed empty go back to the pool.
func (c *Chain) CommitBlocks(rooms [][]byte, n int) {
	at := len(c.blocks) - len(rooms)
	c.length += n
	for _, room := range rooms {
		got := min(n, len(room))
		n -= got
		c.blocks[at] = c.blocks[at][:len(c.blocks[at])+got]
		at++
	}
	for last := len(c.blocks) - 1; last >= 0 && len(c.blocks[last]) == 0; last-- {
		c.pool.put(c.blocks[last])
		c.blocks = c.blocks[:last]
	}
}

// Pieces is the first bytes to read in so many pieces at the most.
func (c *Chain) Pieces(most int) [][]byte {
	var runs [][]byte
	c.EachPiece(0, c.length, func(b []byte) {
		if len(runs) < most {
			runs = append(runs, b)
		}
	})
	return runs
}

// Write appends.
func (c *Chain) Write(p []byte) {
	for len(p) > 0 {
		n := copy(c.Reserve(), p)
		c.Commit(n)
		p = p[n:]
	}
}

// FirstPiece is the first run of bytes that lies in one piece.
func (c *Chain) FirstPiece() []byte {
	if c.length == 0 {
		return nil
	}
	return c.blocks[0][c.offset:]
}

// Peek copies from the start without reading, and returns how many bytes there were.
func (c *Chain) Peek(p []byte) int {
	got := 0
	c.EachPiece(0, min(len(p), c.length), func(b []byte) { got += copy(p[got:], b) })
	return got
}

// EachPiece calls f with the n bytes from an offset on, piece by piece.
func (c *Chain) EachPiece(from, n int, f func([]byte)) {
	from += c.offset
	for _, b := range c.blocks {
		if n <= 0 {
			return
		}
		if from >= len(b) {
			from -= len(b)
			continue
		}
		piece := b[from:min(len(b), from+n)]
		f(piece)
		n -= len(piece)
		from = 0
	}
}

// CopyTo appends n bytes from an offset on to another chain.
func (c *Chain) CopyTo(dst *Chain, from, n int) { c.EachPiece(from, n, dst.Write) }

// MoveTo appends all of a chain to another and leaves it empty. Blocks change hands where the other is empty.
func (c *Chain) MoveTo(dst *Chain) {
	if dst.length == 0 && dst.pool == c.pool {
		*c, *dst = *dst, *c
		return
	}
	c.CopyTo(dst, 0, c.length)
	c.Free()
}

// Discard reads n bytes away; blocks that are used up go back to the pool.
func (c *Chain) Discard(n int) {
	n = min(n, c.length)
	c.length -= n
	c.offset += n
	gone := 0
	for gone < len(c.blocks) && c.offset >= len(c.blocks[gone]) && (c.offset > 0 || c.length == 0) {
		c.offset -= len(c.blocks[gone])
		c.pool.put(c.blocks[gone])
		gone++
	}
	if gone > 0 {
		c.blocks = append(c.blocks[:0], c.blocks[gone:]...)
	}
}

// releaseEmptyTail gives a block back that was taken for room and stayed empty.
func (c *Chain) releaseEmptyTail() {
	if last := len(c.blocks) - 1; c.length == 0 && last >= 0 && c.offset == 0 && len(c.blocks[last]) == 0 {
		c.pool.put(c.blocks[last])
		c.blocks = c.blocks[:last]
	}
}

// Free gives all blocks back.
func (c *Chain) Free() {
	for _, b := range c.blocks {
		c.pool.put(b)
	}
	c.blocks, c.offset, c.length = nil, 0, 0
}
