package buffer

import "slices"

// Chain is a byte queue that is stored in blocks of a Pool. Bytes are appended at its end and read from its start. An
// empty chain holds no block. Copying a Chain value passes it on: only the copy may be used afterwards.
type Chain struct {
	pool   *Pool
	blocks [][]byte
	offset int // bytes of the first block that have been read
	length int // unread bytes
}

// Len returns the number of unread bytes.
func (c *Chain) Len() int { return c.length }

// Blocks returns the number of blocks that the chain holds.
func (c *Chain) Blocks() int { return len(c.blocks) }

// Reserve returns free space of at least one byte at the end. The next call on the chain must be Commit.
func (c *Chain) Reserve() []byte {
	last := len(c.blocks) - 1
	if last < 0 || len(c.blocks[last]) == cap(c.blocks[last]) {
		return c.appendBlock()
	}
	block := c.blocks[last]
	return block[len(block):cap(block)]
}

// Commit appends the first n bytes of the space that Reserve returned.
func (c *Chain) Commit(n int) {
	last := len(c.blocks) - 1
	c.blocks[last] = c.blocks[last][:len(c.blocks[last])+n]
	c.length += n
	c.releaseEmptyTail()
}

// ReserveBlocks returns free space at the end, in count blocks. The first of them is the chain's last block if that has
// space. The next call on the chain must be CommitBlocks.
func (c *Chain) ReserveBlocks(count int) [][]byte {
	spaces := [][]byte{c.Reserve()}
	for len(spaces) < count {
		spaces = append(spaces, c.appendBlock())
	}
	return spaces
}

// CommitBlocks appends the first n bytes of the space that ReserveBlocks returned, and releases the blocks that stayed
// empty to the pool.
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

// Write appends p.
func (c *Chain) Write(p []byte) {
	for len(p) > 0 {
		n := copy(c.Reserve(), p)
		c.Commit(n)
		p = p[n:]
	}
}

// FirstPiece returns the unread bytes of the first block, or nil if the chain is empty.
func (c *Chain) FirstPiece() []byte {
	if c.length == 0 {
		return nil
	}
	return c.blocks[0][c.offset:]
}

// Pieces returns the unread bytes block by block, from at most maxPieces blocks.
func (c *Chain) Pieces(maxPieces int) [][]byte {
	var pieces [][]byte
	c.EachPiece(0, c.length, func(piece []byte) {
		if len(pieces) < maxPieces {
			pieces = append(pieces, piece)
		}
	})
	return pieces
}

// Peek copies unread bytes from the start into p without discarding them, and returns the number of bytes copied.
func (c *Chain) Peek(p []byte) int {
	copied := 0
	c.EachPiece(0, min(len(p), c.length), func(piece []byte) { copied += copy(p[copied:], piece) })
	return copied
}

// EachPiece calls visit for the n unread bytes that begin at offset, block by block.
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

// CopyTo appends the n unread bytes that begin at offset to destination. This chain does not change.
func (c *Chain) CopyTo(destination *Chain, offset, n int) {
	c.EachPiece(offset, n, destination.Write)
}

// MoveTo appends all unread bytes to destination and empties this chain. If destination is empty and of the same pool,
// it gets the blocks themselves and no byte is copied.
func (c *Chain) MoveTo(destination *Chain) {
	if destination.length == 0 && destination.pool == c.pool {
		*c, *destination = *destination, *c
		return
	}
	c.CopyTo(destination, 0, c.length)
	c.Free()
}

// Discard removes n bytes from the start, or all bytes if there are fewer. Blocks that are read completely go back to the
// pool.
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
		c.blocks = slices.Delete(c.blocks, 0, used) // clears the places at the end, so that released blocks can be collected
	}
}

// isUsedUp reports whether all of block, the first one, has been read. An empty first block is used up only if the chain
// is empty.
func (c *Chain) isUsedUp(block []byte) bool {
	return c.offset >= len(block) && (c.offset > 0 || c.length == 0)
}

// Free empties the chain and releases its blocks to the pool.
func (c *Chain) Free() {
	for _, block := range c.blocks {
		c.pool.put(block)
	}
	c.blocks = nil
	c.offset = 0
	c.length = 0
}

// appendBlock appends an empty block and returns its space.
func (c *Chain) appendBlock() []byte {
	block := c.pool.get()
	c.blocks = append(c.blocks, block)
	return block[:cap(block)]
}

// releaseEmptyTail releases the last block to the pool if the chain is empty and the block is unused.
func (c *Chain) releaseEmptyTail() {
	last := len(c.blocks) - 1
	if last >= 0 && c.length == 0 && c.offset == 0 && len(c.blocks[last]) == 0 {
		c.releaseLast()
	}
}

// releaseLast releases the last block to the pool.
func (c *Chain) releaseLast() {
	last := len(c.blocks) - 1
	c.pool.put(c.blocks[last])
	c.blocks = slices.Delete(c.blocks, last, last+1)
}
