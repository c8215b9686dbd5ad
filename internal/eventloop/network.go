package eventloop

import (
	"net/netip"

	"stoatdale.example/stoatdale/internal/buffer"
)

// Network is what connections need of an event loop: its clock, its timers, its descriptors and its sockets. Loop is one;
// others drive the same connections without sockets.
type Network interface {
	// Now returns the time of this turn.
	Now() float64
	// Clock reads the clock anew: a turn may have been held up since its poll.
	Clock() float64
	// SetTimer has a timer fire at a time, in place of any that it was set to.
	SetTimer(t *Timer, at float64)
	// StopTimer keeps a timer from firing.
	StopTimer(t *Timer)

	// OpenDescriptors returns the number of descriptors that are watched.
	OpenDescriptors() int
	// Add watches a descriptor.
	Add(fd int, handler Handler, read, write bool) error
	// SetInterest changes what a descriptor is watched for.
	SetInterest(fd int, read, write bool)
	// Close closes a watched descriptor.
	Close(fd int)
	// CloseUnwatched closes a descriptor that is not watched.
	CloseUnwatched(fd int)

	// Dial starts to connect. The descriptor is writable once the attempt has ended; ConnectError tells how.
	Dial(address netip.AddrPort) (fd int, err error)
	// ConnectError returns how an attempt to connect has ended; nil: the connection is up.
	ConnectError(fd int) error
	// NothingToRead reports whether a connection is open and has nothing to read.
	NothingToRead(fd int) bool
	// Read appends about limit bytes at the most to a chain, and returns their number. More may wait then. The error
	// is ErrPeerClosed at the end of the connection; bytes may come with it.
	Read(fd int, into *buffer.Chain, limit int) (n int, err error)
	// Write writes what the socket takes and removes that from the chain.
	Write(fd int, from *buffer.Chain) error
}

// ServerNetwork is a Network whose sockets can also listen.
type ServerNetwork interface {
	Network

	// ReadySince returns the earliest time at which what is ready in this turn may have become so.
	ReadySince() float64
	// Listen opens a listening socket on one address.
	Listen(address netip.AddrPort, backlog int) (listener int, err error)
	// LocalAddress returns the address that a listener got.
	LocalAddress(listener int) (netip.AddrPort, error)
	// HasBacklog reports whether a connection waits to be accepted.
	HasBacklog(listener int) bool
	// Accept accepts a connection; false: none waits. An error is a lack of descriptors or memory; see
	// IsOutOfDescriptors.
	Accept(listener int) (fd int, ok bool, err error)
	// PeerClosed reports whether the other side has closed, also with bytes ahead of the end that were not read.
	PeerClosed(fd int) bool
	// CloseWrite ends sending; the connection can still be read.
	CloseWrite(fd int)
}

var _ ServerNetwork = (*Loop)(nil)
