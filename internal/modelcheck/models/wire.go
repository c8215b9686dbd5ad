package models

import (
	"errors"
	"net/netip"
	"reflect"
	"slices"
	"sort"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/eventloop"
)

// fakeNetwork is a eventloop.Network without sockets: what arrives, and when it is seen, is the adversary's to pick.
type fakeNetwork struct {
	now            float64
	lastDescriptor int
	sockets        map[int]*fakeSocket
	timers         map[*eventloop.Timer]float64
	// Faults at this seam.
	alwaysQuiet          bool // a connection always looks quiet
	losesLastByte        bool // the last byte of a write that went out whole did not arrive
	keepsOpen            bool // what is closed stays open
	countsLastByteUnsent bool // the last byte of a write goes out, and counts as unwritten
	timersNeverFire      bool // no timer fires
	dropsLastByte        bool // the last byte of a write counts as written, and is not
}

// fakeSocket is one connection, as the wire sees it.
type fakeSocket struct {
	handler    eventloop.Handler
	connected  bool
	refused    bool
	peerClosed bool   // by the other side
	unread     []byte // arrived, and not yet read
	written    []byte // written
	writable   int    // that may still be written
	wantRead   bool
	wantWrite  bool
}

var (
	errRefused = errors.New("connection refused")
	errGone    = errors.New("connection reset")
)

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{sockets: map[int]*fakeSocket{}, timers: map[*eventloop.Timer]float64{}}
}

func (w *fakeNetwork) Now() float64                            { return w.now }
func (w *fakeNetwork) Clock() float64                          { return w.now }
func (w *fakeNetwork) OpenDescriptors() int                    { return len(w.sockets) }
func (w *fakeNetwork) SetTimer(t *eventloop.Timer, at float64) { w.timers[t] = at }
func (w *fakeNetwork) StopTimer(t *eventloop.Timer)            { delete(w.timers, t) }
func (w *fakeNetwork) Dial(netip.AddrPort) (int, error) {
	w.lastDescriptor++
	return w.lastDescriptor, nil
}
func (w *fakeNetwork) CloseUnwatched(int) {}
func (w *fakeNetwork) Close(fd int) {
	if k := w.sockets[fd]; w.keepsOpen && k != nil {
		k.handler = nil
		return
	}
	delete(w.sockets, fd)
}

func (w *fakeNetwork) NothingToRead(fd int) bool {
	s := w.sockets[fd]
	return w.alwaysQuiet || !s.peerClosed && len(s.unread) == 0
}

func (w *fakeNetwork) SetInterest(fd int, read, write bool) {
	if s := w.sockets[fd]; s != nil {
		s.wantRead, s.wantWrite = read, write
	}
}

func (w *fakeNetwork) Add(fd int, h eventloop.Handler, read, write bool) error {
	w.sockets[fd] = &fakeSocket{handler: h, wantRead: read, wantWrite: write}
	return nil
}

func (w *fakeNetwork) ConnectError(fd int) error {
	if w.sockets[fd].refused {
		return errRefused
	}
	return nil
}

func (w *fakeNetwork) Read(fd int, into *buffer.Chain, most int) (int, error) {
	s := w.sockets[fd]
	n := min(most, len(s.unread))
	into.Write(s.unread[:n])
	s.unread = s.unread[n:]
	if len(s.unread) == 0 && s.peerClosed {
		return n, eventloop.ErrPeerClosed
	}
	return n, nil
}

func (w *fakeNetwork) Write(fd int, from *buffer.Chain) error {
	s := w.sockets[fd]
	if s.peerClosed {
		return errGone
	}
	for from.Len() > 0 && s.writable > 0 {
		first := from.FirstPiece()
		n := min(len(first), s.writable)
		if w.countsLastByteUnsent && n == from.Len() && n > 1 {
			s.written = append(s.written, first[:n]...)
			from.Discard(n - 1)
			s.writable = 0
			return nil
		}
		s.written = append(s.written, first[:n]...)
		s.writable -= n
		from.Discard(n)
	}
	if w.losesLastByte && from.Len() == 0 && len(s.written) > 0 {
		s.written = s.written[:len(s.written)-1]
	}
	if w.dropsLastByte && from.Len() == 1 { // it is taken off, and goes nowhere
		from.Discard(1)
	}
	return nil
}

// descriptors are the open descriptors, in order.
func (w *fakeNetwork) descriptors() []int {
	var out []int
	for fd := range w.sockets {
		out = append(out, fd)
	}
	sort.Ints(out)
	return out
}

// nextTimer is the time of the first timer, or false.
func (w *fakeNetwork) nextTimer() (float64, bool) {
	first, ok := 0.0, false
	if w.timersNeverFire {
		return first, ok
	}
	for _, at := range w.timers {
		if !ok || at < first {
			first, ok = at, true
		}
	}
	return first, ok
}

// connectionTimer is a connection's, or nil. It is found by where it lies, since the connection keeps it to itself.
func (w *fakeNetwork) connectionTimer(fd int) *eventloop.Timer {
	k := w.sockets[fd]
	if k == nil || k.handler == nil {
		return nil
	}
	at := reflect.ValueOf(k.handler).Elem().FieldByName("timer").Pointer()
	for t := range w.timers {
		if reflect.ValueOf(t).Pointer() == at {
			return t
		}
	}
	return nil
}

// fireNextTimers lets time pass to the first timer, and fires all that are due then: those of connections in the order
// given, others after them.
func (w *fakeNetwork) fireNextTimers(order []int) {
	first, ok := w.nextTimer()
	if !ok {
		return
	}
	w.now = max(w.now, first)
	due := func(t *eventloop.Timer) bool {
		at, set := w.timers[t]
		return set && at <= w.now
	}
	var all []*eventloop.Timer
	for _, fd := range order {
		if t := w.connectionTimer(fd); t != nil && due(t) {
			all = append(all, t)
		}
	}
	for t := range w.timers { // no system has more than one that is no connection's
		if due(t) && !slices.Contains(all, t) {
			all = append(all, t)
		}
	}
	for _, t := range all {
		if due(t) { // an earlier one may have unset it
			delete(w.timers, t)
			t.Fire()
		}
	}
}
