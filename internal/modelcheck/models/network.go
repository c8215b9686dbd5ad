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

// fakeNetwork is an eventloop.Network without sockets. Steps of the adversary decide what arrives and when handlers learn of
// it. Times are in seconds.
type fakeNetwork struct {
	now            float64
	lastDescriptor int                          // descriptor that was returned last
	sockets        map[int]*fakeSocket          // by descriptor
	timers         map[*eventloop.Timer]float64 // time at which each set timer fires
	// Faults that can be injected here.
	alwaysQuiet          bool // NothingToRead is always true
	losesLastByte        bool // the last byte of a complete write does not arrive
	keepsOpen            bool // Close leaves the socket open
	countsLastByteUnsent bool // the last byte of a write arrives but counts as unwritten
	timersNeverFire      bool // timers that are set never fire
	dropsLastByte        bool // the last byte of a write counts as written but does not arrive
}

// fakeSocket is one connection.
type fakeSocket struct {
	handler    eventloop.Handler
	connected  bool
	refused    bool   // connecting fails
	peerClosed bool   // the remote side has closed the connection
	unread     []byte // bytes that have arrived
	written    []byte // all bytes written so far
	writable   int    // bytes that the socket still takes
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
	if socket := w.sockets[fd]; w.keepsOpen && socket != nil {
		socket.handler = nil
		return
	}
	delete(w.sockets, fd)
}

func (w *fakeNetwork) NothingToRead(fd int) bool {
	socket := w.sockets[fd]
	return w.alwaysQuiet || !socket.peerClosed && len(socket.unread) == 0
}

func (w *fakeNetwork) UnreadBytes(fd int) int { return len(w.sockets[fd].unread) }

func (w *fakeNetwork) SetInterest(fd int, read, write bool) {
	if socket := w.sockets[fd]; socket != nil {
		socket.wantRead, socket.wantWrite = read, write
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

func (w *fakeNetwork) Read(fd int, into *buffer.Chain, maxBytes int) (int, error) {
	socket := w.sockets[fd]
	n := min(maxBytes, len(socket.unread))
	into.Write(socket.unread[:n])
	socket.unread = socket.unread[n:]
	if len(socket.unread) == 0 && socket.peerClosed {
		return n, eventloop.ErrPeerClosed
	}
	return n, nil
}

func (w *fakeNetwork) Write(fd int, from *buffer.Chain) error {
	socket := w.sockets[fd]
	if socket.peerClosed {
		return errGone
	}
	for from.Len() > 0 && socket.writable > 0 {
		piece := from.FirstPiece()
		n := min(len(piece), socket.writable)
		if w.countsLastByteUnsent && n == from.Len() && n > 1 {
			socket.written = append(socket.written, piece[:n]...)
			from.Discard(n - 1)
			socket.writable = 0
			return nil
		}
		socket.written = append(socket.written, piece[:n]...)
		socket.writable -= n
		from.Discard(n)
	}
	if w.losesLastByte && from.Len() == 0 && len(socket.written) > 0 {
		socket.written = socket.written[:len(socket.written)-1]
	}
	if w.dropsLastByte && from.Len() == 1 { // removed from the chain without being written
		from.Discard(1)
	}
	return nil
}

// descriptors returns the open descriptors in ascending order.
func (w *fakeNetwork) descriptors() []int {
	var open []int
	for fd := range w.sockets {
		open = append(open, fd)
	}
	sort.Ints(open)
	return open
}

// nextTimer returns the time of the earliest timer, and false if no timer fires.
func (w *fakeNetwork) nextTimer() (float64, bool) {
	first, set := 0.0, false
	if w.timersNeverFire {
		return first, set
	}
	for _, at := range w.timers {
		if !set || at < first {
			first, set = at, true
		}
	}
	return first, set
}

// connectionTimer returns a connection's timer if it is set, or nil. Connections do not export their timer, so it is found by
// the address in the handler's field timer.
func (w *fakeNetwork) connectionTimer(fd int) *eventloop.Timer {
	socket := w.sockets[fd]
	if socket == nil || socket.handler == nil {
		return nil
	}
	address := reflect.ValueOf(socket.handler).Elem().FieldByName("timer").Pointer()
	for t := range w.timers {
		if reflect.ValueOf(t).Pointer() == address {
			return t
		}
	}
	return nil
}

// fireNextTimers lets time pass to the earliest timer and fires all timers due then: those of connections in the given order,
// then all others.
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
	var dueTimers []*eventloop.Timer
	for _, fd := range order {
		if t := w.connectionTimer(fd); t != nil && due(t) {
			dueTimers = append(dueTimers, t)
		}
	}
	for t := range w.timers { // at most one: no system has more timers without a connection
		if due(t) && !slices.Contains(dueTimers, t) {
			dueTimers = append(dueTimers, t)
		}
	}
	for _, t := range dueTimers {
		if due(t) { // an earlier timer may have stopped it
			delete(w.timers, t)
			t.Fire()
		}
	}
}
