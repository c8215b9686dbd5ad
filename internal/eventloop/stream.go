package eventloop

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"

	"stoatdale.example/stoatdale/internal/buffer"
)

// maxVectors is how many blocks of a chain one system call reads or writes: a large value would cost a call a block.
const maxVectors = 16

// Read appends about limit bytes at the most to a chain, and returns their number. More may wait then. The error is
// ErrPeerClosed at the end of the connection; bytes may come with it.
func (Sockets) Read(fd int, into *buffer.Chain, limit int) (total int, err error) {
	for total < limit {
		n, room, err := readOnce(fd, into, total == 0)
		switch {
		case n > 0:
			total += n
			if n < room { // that was all
				return total, nil
			}
		case err == nil:
			return total, ErrPeerClosed
		case errors.Is(err, unix.EAGAIN):
			return total, nil
		case !errors.Is(err, unix.EINTR):
			return total, fmt.Errorf("reading: %w", err)
		}
	}
	return total, nil
}

// readOnce makes one system call, and returns how much it read of how much there was room for. The first call reads into
// one block, as most of what comes is short.
func readOnce(fd int, into *buffer.Chain, first bool) (n, room int, err error) {
	if first {
		block := into.Reserve()
		n, err = unix.Read(fd, block)
		into.Commit(max(0, n))
		return n, len(block), err
	}
	blocks := into.ReserveBlocks(maxVectors)
	n, err = unix.Readv(fd, blocks)
	into.CommitBlocks(blocks, max(0, n))
	for _, block := range blocks {
		room += len(block)
	}
	return n, room, err
}

// Write writes what the socket takes and removes that from the chain.
func (Sockets) Write(fd int, from *buffer.Chain) error {
	for from.Len() > 0 {
		n, err := writeOnce(fd, from)
		switch {
		case err == nil:
			from.Discard(n)
		case errors.Is(err, unix.EAGAIN):
			return nil
		case !errors.Is(err, unix.EINTR):
			return fmt.Errorf("writing: %w", err)
		}
	}
	return nil
}

// writeOnce makes one system call, and returns how much it wrote.
func writeOnce(fd int, from *buffer.Chain) (n int, err error) {
	if first := from.FirstPiece(); len(first) == from.Len() {
		return unix.SendmsgN(fd, first, nil, nil, unix.MSG_NOSIGNAL)
	}
	return unix.SendmsgBuffers(fd, from.Pieces(maxVectors), nil, nil, unix.MSG_NOSIGNAL)
}
