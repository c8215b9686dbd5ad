package loop

import (
	"net/netip"

	"stoatdale.example/stoatdale/internal/buffer"
)

// Wire is what connections need of a loop: its clock, its timers and its sockets. A Loop is one; whatever else
// is one can drive the same connections without a socket.
type Wire interface {
	Now() float64
	Open() int // descriptors that are watched
	Set(t *Timer, at float64)
	Unset(t *Timer)
	Dial(at netip.AddrPort) (fd int, err error)
	Dialled(fd int) error
	Discard(fd int) // closes one that is not watched
	Add(fd int, h Handler, read, write bool) error
	Want(fd int, read, write bool)
	Close(fd int)
	Quiet(fd int) bool
	Read(fd int, into *buffer.Chain, most int) (got int, err error)
	Write(fd int, from *buffer.Chain) error
}

// ListenWire is a Wire that listens.
type ListenWire interface {
	Wire
	Since() float64
	Listen(at netip.AddrPort, backlog int) (listener int, err error)
	Bound(listener int) (netip.AddrPort, error)
	Waiting(listener int) bool
	Accept(listener int) (fd int, ok bool, err error)
	Left(fd int) bool // the other side has ended, whatever it sent before
	EndSending(fd int)
}

var _ ListenWire = (*Loop)(nil)

// Dial implements Wire by the function of that name, as the others do.
func (*Loop) Dial(at netip.AddrPort) (int, error) { return Dial(at) }

// Dialled implements Wire.
func (*Loop) Dialled(fd int) error { return Dialled(fd) }

// Discard implements Wire.
func (*Loop) Discard(fd int) { Discard(fd) }

// Quiet implements Wire.
func (*Loop) Quiet(fd int) bool { return Quiet(fd) }

// Read implements Wire.
func (*Loop) Read(fd int, into *buffer.Chain, most int) (int, error) { return Read(fd, into, most) }

// Write implements Wire.
func (*Loop) Write(fd int, from *buffer.Chain) error { return Write(fd, from) }

// Listen implements ListenWire.
func (*Loop) Listen(at netip.AddrPort, backlog int) (int, error) { return Listen(at, backlog) }

// Bound implements ListenWire.
func (*Loop) Bound(listener int) (netip.AddrPort, error) { return Bound(listener) }

// Waiting implements ListenWire.
func (*Loop) Waiting(listener int) bool { return Waiting(listener) }

// Accept implements ListenWire.
func (*Loop) Accept(listener int) (int, bool, error) { return Accept(listener) }

// Left implements ListenWire.
func (*Loop) Left(fd int) bool { return Left(fd) }

// EndSending implements ListenWire.
func (*Loop) EndSending(fd int) { EndSending(fd) }
