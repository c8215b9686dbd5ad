package eventloop

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"
)

// Sockets makes the system calls of non-blocking TCP sockets: the part of a ServerNetwork that does not depend on a loop.
// Its methods may be called from any goroutine. They wrap system errors, which errors.As finds as unix.Errno.
type Sockets struct{}

// noDescriptor is the descriptor that is returned together with an error.
const noDescriptor = -1

// ErrPeerClosed is returned by Read when the other side has closed the connection.
var ErrPeerClosed = errors.New("the other side closed the connection")

// errUnknownFamily is returned for the address of a socket that is not TCP over IP.
var errUnknownFamily = errors.New("reading a socket's address: it is neither IPv4 nor IPv6")

// Listen opens a listening socket on one address. The kernel queues at most backlog connections that have not been accepted
// yet.
func (Sockets) Listen(address netip.AddrPort, backlog int) (listener int, err error) {
	fd, socketAddress, err := newSocket(address)
	if err != nil {
		return noDescriptor, fmt.Errorf("opening a socket: %w", err)
	}
	// A restarted router must be able to bind its address while connections of the earlier process are in TIME_WAIT.
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

// LocalAddress returns the address that a listening socket is bound to.
func (Sockets) LocalAddress(listener int) (netip.AddrPort, error) {
	socketAddress, err := unix.Getsockname(listener)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("reading a socket's address: %w", err)
	}
	switch a := socketAddress.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)), nil
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port)), nil
	}
	return netip.AddrPort{}, errUnknownFamily
}

// HasBacklog reports whether a connection is waiting to be accepted.
func (Sockets) HasBacklog(listener int) bool { return isReady(listener, unix.POLLIN) }

// PeerClosed reports whether the other side has closed the connection, even if unread bytes precede the end.
func (Sockets) PeerClosed(fd int) bool { return isReady(fd, unix.POLLRDHUP) }

// isReady reports whether any of the given poll events applies to a descriptor now, or the descriptor has failed.
func isReady(fd int, events int16) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := unix.Poll(polled, 0)
	return n == 1 && err == nil
}

// Accept accepts a connection. ok is false if no connection is waiting. An error means that descriptors or memory are
// lacking.
func (Sockets) Accept(listener int) (fd int, ok bool, err error) {
	for {
		fd, _, err = unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			setNoDelay(fd)
			return fd, true, nil
		case errors.Is(err, unix.EAGAIN):
			return noDescriptor, false, nil
		case errors.Is(err, unix.EINTR), isAny(err, backlogErrors):
		default:
			return noDescriptor, false, fmt.Errorf("accepting a connection: %w", err)
		}
	}
}

// backlogErrors are the errors with which accept reports on Linux that a connection failed while it waited to be accepted.
// The listener is not at fault: the next connection may be accepted.
var backlogErrors = []unix.Errno{
	unix.ECONNABORTED, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP,
	unix.ENETDOWN, unix.ENETUNREACH, unix.ETIMEDOUT, unix.EPERM,
}

// localFailures are the errors of opening or connecting a socket whose cause lies on this machine, not on the other side.
var localFailures = []unix.Errno{
	unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EAGAIN, unix.ENETUNREACH, unix.ENETDOWN,
	unix.EPERM, unix.EACCES, unix.EINTR,
}

// outOfDescriptors are the errors that closing another descriptor can remedy.
var outOfDescriptors = []unix.Errno{unix.EMFILE, unix.ENFILE}

// IsLocalFailure reports whether an error of Dial or Listen has a local cause: this machine lacks a descriptor, memory, a
// port, an address or a route, or does not permit the socket. Such an error of Dial is no evidence about the other side.
func IsLocalFailure(err error) bool { return isAny(err, localFailures) }

// IsOutOfDescriptors reports whether an error means that the process or the machine has no free descriptor.
func IsOutOfDescriptors(err error) bool { return isAny(err, outOfDescriptors) }

// isAny reports whether an error wraps one of the given system errors.
func isAny(err error, codes []unix.Errno) bool {
	var code unix.Errno
	return errors.As(err, &code) && slices.Contains(codes, code)
}

// Dial starts connecting. The descriptor becomes writable when the connection is open or has failed; ConnectError then
// returns which.
func (Sockets) Dial(address netip.AddrPort) (fd int, err error) {
	fd, socketAddress, err := newSocket(address)
	if err != nil {
		return noDescriptor, fmt.Errorf("opening a socket: %w", err)
	}
	setNoDelay(fd)
	// If a signal interrupts connect, the connection is still established in the background, as with EINPROGRESS.
	if err = unix.Connect(fd, socketAddress); err != nil && !isAny(err, []unix.Errno{unix.EINPROGRESS, unix.EINTR}) {
		_ = unix.Close(fd)
		return noDescriptor, fmt.Errorf("connecting to %s: %w", address, err)
	}
	return fd, nil
}

// ConnectError returns the error with which connecting has failed, or nil if the connection is open.
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

// NothingToRead reports whether a connection is open and there are no bytes to read from it.
func (Sockets) NothingToRead(fd int) bool {
	var peeked [1]byte
	_, _, err := unix.Recvfrom(fd, peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}

// UnreadBytes returns the number of bytes that wait to be read from a connection.
func (Sockets) UnreadBytes(fd int) int {
	count, _ := unix.IoctlGetInt(fd, unix.SIOCINQ)
	return count
}

// CloseWrite closes the sending side of a connection, which can still be read from.
func (Sockets) CloseWrite(fd int) { _ = unix.Shutdown(fd, unix.SHUT_WR) }

// CloseUnwatched closes a descriptor that no loop watches.
func (Sockets) CloseUnwatched(fd int) { _ = unix.Close(fd) }

// newSocket opens a non-blocking TCP socket of the address's family. It also returns the address in the kernel's form.
func newSocket(address netip.AddrPort) (int, unix.Sockaddr, error) {
	family, socketAddress := toSocketAddress(address)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	return fd, socketAddress, err
}

// toSocketAddress converts an address to the kernel's form and returns it with its family.
func toSocketAddress(address netip.AddrPort) (family int, socketAddress unix.Sockaddr) {
	port := int(address.Port())
	if a := address.Addr().Unmap(); a.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: port, Addr: a.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: port, Addr: address.Addr().As16()}
}

// setNoDelay makes the kernel send small messages without delay, by turning Nagle's algorithm off.
func setNoDelay(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) }
