package eventloop

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"
)

// Sockets are the non-blocking TCP sockets of the kernel: the part of a ServerNetwork that does not depend on a loop.
// Its methods may be called from any goroutine. System errors are wrapped: they match unix.Errno.
type Sockets struct{}

// noDescriptor is returned in place of a descriptor with an error.
const noDescriptor = -1

// ErrPeerClosed is returned by Read when the other side has closed the connection.
var ErrPeerClosed = errors.New("connection ended")

// errUnknownFamily is returned for the address of a socket that is not TCP over IP.
var errUnknownFamily = errors.New("asking for the address: unknown family")

// Listen opens a listening socket on one address only, so many connections at the most waiting to be accepted.
func (Sockets) Listen(address netip.AddrPort, backlog int) (listener int, err error) {
	fd, socketAddress, err := newSocket(address)
	if err != nil {
		return noDescriptor, fmt.Errorf("opening a socket: %w", err)
	}
	// A router that restarts must get its address back while connections of the earlier one are in TIME_WAIT.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = unix.Bind(fd, socketAddress); err == nil {
		err = unix.Listen(fd, backlog)
	}
	if err != nil {
		_ = unix.Close(fd)
		return noDescriptor, fmt.Errorf("listening on %s: %w", address, err)
	}
	return fd, nil
}

// LocalAddress returns the address that a listening socket got.
func (Sockets) LocalAddress(listener int) (netip.AddrPort, error) {
	socketAddress, err := unix.Getsockname(listener)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("asking for the address: %w", err)
	}
	switch a := socketAddress.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)), nil
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port)), nil
	}
	return netip.AddrPort{}, errUnknownFamily
}

// HasBacklog reports whether a connection waits to be accepted.
func (Sockets) HasBacklog(listener int) bool { return isReady(listener, unix.POLLIN) }

// PeerClosed reports whether the other side has closed, also with bytes ahead of the end that were not read.
func (Sockets) PeerClosed(fd int) bool { return isReady(fd, unix.POLLRDHUP) }

// isReady reports whether a descriptor is ready for something now, or has failed.
func isReady(fd int, events int16) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := unix.Poll(polled, 0)
	return n == 1 && err == nil
}

// Accept accepts a connection; false: none waits. An error is a lack of descriptors or memory.
func (Sockets) Accept(listener int) (fd int, ok bool, err error) {
	for {
		fd, _, err = unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			setNoDelay(fd)
			return fd, true, nil
		case errors.Is(err, unix.EAGAIN):
			return noDescriptor, false, nil
		case errors.Is(err, unix.EINTR), isAny(err, lostWhileWaiting):
		default:
			return noDescriptor, false, fmt.Errorf("accepting: %w", err)
		}
	}
}

// lostWhileWaiting are the errors by which Linux tells of a connection that failed while it waited to be accepted. They
// say nothing of the listener: the next connection may be accepted.
var lostWhileWaiting = []unix.Errno{
	unix.ECONNABORTED, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP,
	unix.ENETDOWN, unix.ENETUNREACH, unix.ETIMEDOUT, unix.EPERM,
}

// localFailures are the errors of opening a socket or of connecting it that this machine alone accounts for.
var localFailures = []unix.Errno{
	unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EAGAIN, unix.ENETUNREACH, unix.ENETDOWN,
	unix.EPERM, unix.EACCES, unix.EINTR,
}

// outOfDescriptors are the errors that a closed descriptor helps against.
var outOfDescriptors = []unix.Errno{unix.EMFILE, unix.ENFILE}

// IsLocalFailure reports whether an error of Dial says nothing of the other side: this machine lacks a descriptor, memory, a
// port or a route.
func IsLocalFailure(err error) bool { return isAny(err, localFailures) }

// IsOutOfDescriptors reports whether an error says that the process or the machine has no descriptor left.
func IsOutOfDescriptors(err error) bool { return isAny(err, outOfDescriptors) }

func isAny(err error, codes []unix.Errno) bool {
	var code unix.Errno
	return errors.As(err, &code) && slices.Contains(codes, code)
}

// Dial starts to connect. The descriptor is writable once the attempt has ended; ConnectError tells how.
func (Sockets) Dial(address netip.AddrPort) (fd int, err error) {
	fd, socketAddress, err := newSocket(address)
	if err != nil {
		return noDescriptor, fmt.Errorf("opening a socket: %w", err)
	}
	setNoDelay(fd)
	// A connect that a signal interrupts goes on in the background like any other.
	if err = unix.Connect(fd, socketAddress); err != nil && !isAny(err, []unix.Errno{unix.EINPROGRESS, unix.EINTR}) {
		_ = unix.Close(fd)
		return noDescriptor, fmt.Errorf("connecting to %s: %w", address, err)
	}
	return fd, nil
}

// ConnectError returns how an attempt to connect has ended; nil: the connection is up.
func (Sockets) ConnectError(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return err
	}
	if code != 0 {
		return unix.Errno(code)
	}
	return nil
}

// NothingToRead reports whether a connection is open and has nothing to read.
func (Sockets) NothingToRead(fd int) bool {
	var peeked [1]byte
	_, _, err := unix.Recvfrom(fd, peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

// CloseWrite ends sending; the connection can still be read.
func (Sockets) CloseWrite(fd int) { _ = unix.Shutdown(fd, unix.SHUT_WR) }

// CloseUnwatched closes a descriptor that no loop watches.
func (Sockets) CloseUnwatched(fd int) { _ = unix.Close(fd) }

// newSocket opens a socket for an address.
func newSocket(address netip.AddrPort) (int, unix.Sockaddr, error) {
	family, socketAddress := toSocketAddress(address)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	return fd, socketAddress, err
}

// toSocketAddress returns an address as the kernel takes it, and its family.
func toSocketAddress(address netip.AddrPort) (family int, socketAddress unix.Sockaddr) {
	port := int(address.Port())
	if a := address.Addr().Unmap(); a.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: port, Addr: a.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: port, Addr: address.Addr().As16()}
}

// setNoDelay has small messages sent at once.
func setNoDelay(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) }
