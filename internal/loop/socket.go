package loop

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// ErrPeerClosed says that the other side has closed.
var ErrPeerClosed = errors.New("connection ended")

func socketAddress(at netip.AddrPort) (int, unix.Sockaddr) {
	if a := at.Addr().Unmap(); a.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(at.Port()), Addr: a.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(at.Port()), Addr: at.Addr().As16()}
}

func newSocket(at netip.AddrPort) (int, unix.Sockaddr, error) {
	family, where := socketAddress(at)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	return fd, where, err
}

// Listen opens a listening socket on one address only.
func Listen(at netip.AddrPort, backlog int) (int, error) {
	fd, where, err := newSocket(at)
	if err != nil {
		return -1, fmt.Errorf("opening a socket: %w", err)
	}
	// A restarted router must get its address back while old connections fade.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = unix.Bind(fd, where); err == nil {
		err = unix.Listen(fd, backlog)
	}
	if err != nil {
		_ = unix.Close(fd)
		return -1, fmt.Errorf("listening on %s: %w", at, err)
	}
	return fd, nil
}

// LocalAddress is the address that a listening socket got.
func LocalAddress(fd int) (netip.AddrPort, error) {
	where, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("asking for the address: %w", err)
	}
	switch a := where.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)), nil
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port)), nil
	}
	return netip.AddrPort{}, errors.New("asking for the address: unknown family")
}

// HasBacklog says that a connection waits to be accepted.
func HasBacklog(listener int) bool {
	ready := []unix.PollFd{{Fd: int32(listener), Events: unix.POLLIN}}
	n, err := unix.Poll(ready, 0)
	return n == 1 && err == nil
}

// PeerClosed says that the other side of a connection has ended, also where bytes that it sent before were not read.
func PeerClosed(fd int) bool {
	ended := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(ended, 0)
	return n == 1 && err == nil
}

// Accept takes one connection; false: none waits. An error is a lack of descriptors or memory.
func Accept(listener int) (fd int, ok bool, err error) {
	for {
		fd, _, err = unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
			return fd, true, nil
		case errors.Is(err, unix.EAGAIN):
			return -1, false, nil
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
		default:
			return -1, false, fmt.Errorf("accepting: %w", err)
		}
	}
}

// Dial starts to connect. The descriptor is writable once that has ended; Dialled tells how.
func Dial(at netip.AddrPort) (int, error) {
	fd, where, err := newSocket(at)
	if err != nil {
		return -1, fmt.Errorf("opening a socket: %w", err)
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err = unix.Connect(fd, where); err != nil && !errors.Is(err, unix.EINPROGRESS) {
		_ = unix.Close(fd)
		return -1, fmt.Errorf("connecting to %s: %w", at, err)
	}
	return fd, nil
}

// ConnectError tells how a connection attempt ended.
func ConnectError(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return err
	}
	if code != 0 {
		return unix.Errno(code)
	}
	return nil
}

// NothingToRead says that a connection is open and has nothing to read.
func NothingToRead(fd int) bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

// CloseWrite tells the other side that nothing more comes.
func CloseWrite(fd int) { _ = unix.Shutdown(fd, unix.SHUT_WR) }

// CloseUnwatched closes a descriptor that the loop does not watch.
func CloseUnwatched(fd int) { _ = unix.Close(fd) }
