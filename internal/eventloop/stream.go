package eventloop

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"

	"stoatdale.example/stoatdale/internal/buffer"
)

// maxVectors is the largest number of a chain's blocks that one system call reads or writes. Without vectors, a large value
// would take one call for each block.
const maxVectors = 16

// Read reads bytes and appends them to a chain, and returns their number. It stops at about limit bytes, although more may
// be available. At the end of the connection it returns ErrPeerClosed, possibly together with bytes.
func (Sockets) Read(fd int, into *buffer.Chain, limit int) (total int, err error) {
	for total < limit {
		n, room, err := readOnce(fd, into, total == 0)
		switch {
		case n > 0:
			total += n
			if n < room { // the socket's buffer is empty
				return total, nil
			}
		case err == nil:
			return total, ErrPeerClosed
		case errors.Is(err, unix.EAGAIN):
			return total, nil
		case !errors.Is(err, unix.EINTR):
			return total, fmt.Errorf("reading from a connection: %w", err)
		}
	}
	return total, nil
}

// readOnce makes one system call. It returns the number of bytes that it read and the number of bytes that it had room for.
// The first call of a Read uses one block only, as most messages are short.
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

// Write writes as many bytes of a chain as the socket accepts and removes them from the chain.
func (Sockets) Write(fd int, from *buffer.Chain) error {
	for from.Len() > 0 {
		n, err := writeOnce(fd, from)
		switch {
		case err == nil:
			from.Discard(n)
		case errors.Is(err, unix.EAGAIN):
			return nil
		case !errors.Is(err, unix.EINTR):
			return fmt.Errorf("writing to a connection: %w", err)
		}
	}
	return nil
}

// writeOnce makes one system call and returns the number of bytes that it wrote.
func writeOnce(fd int, from *buffer.Chain) (n int, err error) {
	if first := from.FirstPiece(); len(first) == from.Len() {
		return unix.SendmsgN(fd, first, nil, nil, unix.MSG_NOSIGNAL)
	}
	return unix.SendmsgBuffers(fd, from.Pieces(maxVectors), nil, nil, unix.MSG_NOSIGNAL)
}
