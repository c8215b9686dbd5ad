package eventloop

import (
	"net/netip"

	"stoatdale.example/stoatdale/internal/buffer"
)

// Network is the part of an event loop that connections use: clock, timers, descriptors and sockets. Loop implements it;
// other implementations run the same connections without sockets.
type Network interface {
	// Now returns the time of this turn, in seconds.
	Now() float64
	// Clock reads the clock and returns the current time. Now may be earlier, since a turn takes time after its poll.
	Clock() float64
	// SetTimer makes a timer fire at the given time. It replaces the time to which the timer was set before.
	SetTimer(t *Timer, at float64)
	// StopTimer prevents a timer from firing. It does nothing if the timer is not set.
	StopTimer(t *Timer)

	// OpenDescriptors returns the number of watched descriptors.
	OpenDescriptors() int
	// Add starts watching a descriptor for being readable, writable, both or neither.
	Add(fd int, handler Handler, read, write bool) error
	// SetInterest changes whether a descriptor is watched for being readable and writable.
	SetInterest(fd int, read, write bool)
	// Close closes a watched descriptor.
	Close(fd int)
	// CloseUnwatched closes a descriptor that is not watched.
	CloseUnwatched(fd int)

	// Dial starts connecting. The descriptor becomes writable when the connection is open or has failed; ConnectError
	// then returns which.
	Dial(address netip.AddrPort) (fd int, err error)
	// ConnectError returns the error with which connecting has failed, or nil if the connection is open.
	ConnectError(fd int) error
	// NothingToRead reports whether a connection is open and there are no bytes to read from it.
	NothingToRead(fd int) bool
	// UnreadBytes returns the number of bytes that wait to be read from a connection.
	UnreadBytes(fd int) int
	// Read reads bytes and appends them to a chain, and returns their number. It stops at about limit bytes, although
	// more may be available. At the end of the connection it returns ErrPeerClosed, possibly together with bytes.
	Read(fd int, into *buffer.Chain, limit int) (n int, err error)
	// Write writes as many bytes of a chain as the socket accepts and removes them from the chain.
	Write(fd int, from *buffer.Chain) error
}

// ServerNetwork is a Network whose sockets can also listen.
type ServerNetwork interface {
	Network

	// ReadySince returns the earliest time at which the descriptors that are ready in this turn may have become ready.
	ReadySince() float64
	// Listen opens a listening socket on one address. The kernel queues at most backlog connections that have not been
	// accepted yet.
	Listen(address netip.AddrPort, backlog int) (listener int, err error)
	// LocalAddress returns the address that a listener is bound to.
	LocalAddress(listener int) (netip.AddrPort, error)
	// HasBacklog reports whether a connection is waiting to be accepted.
	HasBacklog(listener int) bool
	// Accept accepts a connection. ok is false if no connection is waiting. An error means that descriptors or memory
	// are lacking; see IsOutOfDescriptors.
	Accept(listener int) (fd int, ok bool, err error)
	// PeerClosed reports whether the other side has closed the connection, even if unread bytes precede the end.
	PeerClosed(fd int) bool
	// CloseWrite closes the sending side of a connection, which can still be read from.
	CloseWrite(fd int)
}

var _ ServerNetwork = (*Loop)(nil)
