package loop

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"

	"stoatdale.example/stoatdale/internal/buffer"
)

// maxVectors of a chain go in one call where there is more than one: a long value would cost a call a block.
const maxVectors = 16

// Read fills a chain with what there is, about most bytes at the most; more may wait then.
func Read(fd int, into *buffer.Chain, most int) (got int, err error) {
	for got < most {
		var n, room int
		var err error
		if got == 0 {
			one := into.Room()
			n, err = unix.Read(fd, one)
			into.Grow(max(0, n))
			room = len(one)
		} else {
			rooms := into.Rooms(maxVectors)
			n, err = unix.Readv(fd, rooms)
			into.Fill(rooms, max(0, n))
			for _, b := range rooms {
				room += len(b)
			}
		}
		if n > 0 {
			got += n
			if n < room {
				return got, nil
			}
			continue
		}
		switch {
		case err == nil:
			return got, ErrPeerClosed
		case errors.Is(err, unix.EAGAIN):
			return got, nil
		case !errors.Is(err, unix.EINTR):
			return got, fmt.Errorf("reading: %w", err)
		}
	}
	return got, nil
}

// Write sends what the socket takes and reads that off the chain.
func Write(fd int, from *buffer.Chain) error {
	for from.Len() > 0 {
		var n int
		var err error
		if first := from.First(); len(first) == from.Len() {
			n, err = unix.SendmsgN(fd, first, nil, nil, unix.MSG_NOSIGNAL)
		} else {
			n, err = unix.SendmsgBuffers(fd, from.Runs(maxVectors), nil, nil, unix.MSG_NOSIGNAL)
		}
		switch {
		case err == nil:
			from.Skip(n)
		case errors.Is(err, unix.EAGAIN):
			return nil
		case !errors.Is(err, unix.EINTR):
			return fmt.Errorf("writing: %w", err)
		}
	}
	return nil
}
