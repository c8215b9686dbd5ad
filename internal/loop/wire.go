package loop

import (
	"net/netip"

	"stoatdale.example/stoatdale/internal/buffer"
)

// Network is what connections need of a loop: its clock, its timers and its sockets. A Loop is one; whatever else
// is one can drive the same connections without a socket.
type Network interface {
	Now() float64
	OpenDescriptors() int // descriptors that are watched
	SetTimer(t *Timer, at float64)
	StopTimer(t *Timer)
	Dial(at netip.AddrPort) (fd int, err error)
	ConnectError(fd int) error
	CloseUnwatched(fd int) // closes one that is not watched
	Add(fd int, h Handler, read, write bool) error
	SetInterest(fd int, read, write bool)
	Close(fd int)
	NothingToRead(fd int) bool
	Read(fd int, into *buffer.Chain, most int) (got int, err error)
	Write(fd int, from *buffer.Chain) error
}

// ServerNetwork is a Wire that listens.
type ServerNetwork interface {
	Network
	ReadySince() float64
	Listen(at netip.AddrPort, backlog int) (listener int, err error)
	LocalAddress(listener int) (netip.AddrPort, error)
	HasBacklog(listener int) bool
	Accept(listener int) (fd int, ok bool, err error)
	PeerClosed(fd int) bool // the other side has ended, whatever it sent before
	CloseWrite(fd int)
}

var _ ServerNetwork = (*Loop)(nil)

// Dial implements Network by the function of that name, as the others do.
func (*Loop) Dial(at netip.AddrPort) (int, error) { return Dial(at) }

// ConnectError implements Network.
func (*Loop) ConnectError(fd int) error { return ConnectError(fd) }

// CloseUnwatched implements Network.
func (*Loop) CloseUnwatched(fd int) { CloseUnwatched(fd) }

// NothingToRead implements Network.
func (*Loop) NothingToRead(fd int) bool { return NothingToRead(fd) }

// Read implements Network.
func (*Loop) Read(fd int, into *buffer.Chain, most int) (int, error) { return Read(fd, into, most) }

// Write implements Network.
func (*Loop) Write(fd int, from *buffer.Chain) error { return Write(fd, from) }

// Listen implements ServerNetwork.
func (*Loop) Listen(at netip.AddrPort, backlog int) (int, error) { return Listen(at, backlog) }

// LocalAddress implements ServerNetwork.
func (*Loop) LocalAddress(listener int) (netip.AddrPort, error) { return LocalAddress(listener) }

// HasBacklog implements ServerNetwork.
func (*Loop) HasBacklog(listener int) bool { return HasBacklog(listener) }

// Accept implements ServerNetwork.
func (*Loop) Accept(listener int) (int, bool, error) { return Accept(listener) }

// PeerClosed implements ServerNetwork.
func (*Loop) PeerClosed(fd int) bool { return PeerClosed(fd) }

// CloseWrite implements ServerNetwork.
func (*Loop) CloseWrite(fd int) { CloseWrite(fd) }
