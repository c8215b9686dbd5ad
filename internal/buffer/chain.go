package buffer

// Chain is a queue of bytes in blocks: written at its end, read from its start. It must not be copied while in use, but
// for handing it on. An empty chain holds no block.
type Chain struct {
	pool   *Pool
	blocks [][]byte
	offset int // bytes of the first block that were read
	length int // bytes to read
}

// Len returns the number of bytes to read.
func (c *Chain) Len() int { return c.length }

// Reserve returns free space at the end, at least one byte. Commit must follow before any other call.
func (c *Chain) Reserve() []byte {
	last := len(c.blocks) - 1
	if last < 0 || len(c.blocks[last]) == cap(c.blocks[last]) {
		return c.appendBlock()
	}
	block := c.blocks[last]
	return block[len(block):cap(block)]
}

// Commit appends the first n bytes of what Reserve returned.
func (c *Chain) Commit(n int) {
	last := len(c.blocks) - 1
	c.blocks[last] = c.blocks[last][:len(c.blocks[last])+n]
	c.length += n
	c.releaseEmptyTail()
}

// ReserveBlocks returns free space at the end in so many blocks, the last block in use among them if it has any.
// CommitBlocks must follow before any other call.
func (c *Chain) ReserveBlocks(count int) [][]byte {
	spaces := [][]byte{c.Reserve()}
	for len(spaces) < count {
		spaces = append(spaces, c.appendBlock())
	}
	return spaces
}

// CommitBlocks appends the first n bytes of what ReserveBlocks returned. Blocks that stayed empty go back to the pool.
func (c *Chain) CommitBlocks(spaces [][]byte, n int) {
	c.length += n
	next := len(c.blocks) - len(spaces)
	for _, space := range spaces {
		filled := min(n, len(space))
		n -= filled
		c.blocks[next] = c.blocks[next][:len(c.blocks[next])+filled]
		next++
	}
	for last := len(c.blocks) - 1; last >= 0 && len(c.blocks[last]) == 0; last-- {
		c.releaseLast()
	}
}

// Write appends bytes.
func (c *Chain) Write(p []byte) {
	for len(p) > 0 {
		n := copy(c.Reserve(), p)
		c.Commit(n)
		p = p[n:]
	}
}

// FirstPiece returns the first bytes to read, as many as lie in one piece; nil if there are none.
func (c *Chain) FirstPiece() []byte {
	if c.length == 0 {
		return nil
	}
	return c.blocks[0][c.offset:]
}

// Pieces returns the bytes to read in pieces, at most so many.
func (c *Chain) Pieces(maxPieces int) [][]byte {
	var pieces [][]byte
	c.EachPiece(0, c.length, func(piece []byte) {
		if len(pieces) < maxPieces {
			pieces = append(pieces, piece)
		}
	})
	return pieces
}

// Peek copies bytes from the start without taking them off, and returns how many there were.
func (c *Chain) Peek(p []byte) int {
	copied := 0
	c.EachPiece(0, min(len(p), c.length), func(piece []byte) { copied += copy(p[copied:], piece) })
	return copied
}

// EachPiece calls visit with n bytes from an offset on, piece by piece.
func (c *Chain) EachPiece(offset, n int, visit func(piece []byte)) {
	offset += c.offset
	for _, block := range c.blocks {
		if n <= 0 {
			return
		}
		if offset >= len(block) {
			offset -= len(block)
			continue
		}
		piece := block[offset:min(len(block), offset+n)]
		visit(piece)
		n -= len(piece)
		offset = 0
	}
}

// CopyTo appends n bytes from an offset on to another chain.
func (c *Chain) CopyTo(destination *Chain, offset, n int) {
	c.EachPiece(offset, n, destination.Write)
}

// MoveTo appends all bytes to another chain and leaves this one empty. Into an empty chain of the same pool the blocks
// move without being copied.
func (c *Chain) MoveTo(destination *Chain) {
	if destination.length == 0 && destination.pool == c.pool {
		*c, *destination = *destination, *c
		return
	}
	c.CopyTo(destination, 0, c.length)
	c.Free()
}

// Discard takes n bytes off the start, or all if there are fewer. Blocks that are used up go back to the pool.
func (c *Chain) Discard(n int) {
	n = min(n, c.length)
	c.length -= n
	c.offset += n
	used := 0
	for used < len(c.blocks) && c.isUsedUp(c.blocks[used]) {
		c.offset -= len(c.blocks[used])
		c.pool.put(c.blocks[used])
		used++
	}
	if used > 0 {
		c.blocks = append(c.blocks[:0], c.blocks[used:]...)
	}
}

// isUsedUp reports whether nothing of the block at the start is left to read. An empty block counts only in an empty
// chain.
func (c *Chain) isUsedUp(block []byte) bool {
	return c.offset >= len(block) && (c.offset > 0 || c.length == 0)
}

// Free empties the chain.
func (c *Chain) Free() {
	for _, block := range c.blocks {
		c.pool.put(block)
	}
	c.blocks = nil
	c.offset = 0
	c.length = 0
}

// appendBlock appends a block and returns its space.
func (c *Chain) appendBlock() []byte {
	block := c.pool.get()
	c.blocks = append(c.blocks, block)
	return block[:cap(block)]
}

// releaseEmptyTail gives the only block of an empty chain back.
func (c *Chain) releaseEmptyTail() {
	last := len(c.blocks) - 1
	if last >= 0 && c.length == 0 && c.offset == 0 && len(c.blocks[last]) == 0 {
		c.releaseLast()
	}
}

// releaseLast gives the last block back.
func (c *Chain) releaseLast() {
	last := len(c.blocks) - 1
	c.pool.put(c.blocks[last])
	c.blocks = c.blocks[:last]
}
