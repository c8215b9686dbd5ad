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

// wire is a eventloop.Network without sockets: what arrives, and when it is seen, is the adversary's to pick.
type wire struct {
	now    float64
	last   int
	socks  map[int]*sock
	timers map[*eventloop.Timer]float64
	// Faults at this seam.
	deafQuiet bool // a connection always looks quiet
	loseByte  bool // the last byte of a write that went out whole did not arrive
	keepOpen  bool // what is closed stays open
	lateByte  bool // the last byte of a write goes out, and counts as unwritten
	timeless  bool // no timer fires
	earlyByte bool // the last byte of a write counts as written, and is not
}

// sock is one connection, as the wire sees it.
type sock struct {
	handler   eventloop.Handler
	up        bool
	refused   bool
	ended     bool   // by the other side
	in        []byte // arrived, and not yet read
	sent      []byte // written
	room      int    // that may still be written
	wantRead  bool
	wantWrite bool
}

var (
	errRefused = errors.New("connection refused")
	errGone    = errors.New("connection reset")
)

func newWire() *wire { return &wire{socks: map[int]*sock{}, timers: map[*eventloop.Timer]float64{}} }

func (w *wire) Now() float64                            { return w.now }
func (w *wire) Clock() float64                          { return w.now }
func (w *wire) OpenDescriptors() int                    { return len(w.socks) }
func (w *wire) SetTimer(t *eventloop.Timer, at float64) { w.timers[t] = at }
func (w *wire) StopTimer(t *eventloop.Timer)            { delete(w.timers, t) }
func (w *wire) Dial(netip.AddrPort) (int, error)        { w.last++; return w.last, nil }
func (w *wire) CloseUnwatched(int)                      {}
func (w *wire) Close(fd int) {
	if k := w.socks[fd]; w.keepOpen && k != nil {
		k.handler = nil
		return
	}
	delete(w.socks, fd)
}

func (w *wire) NothingToRead(fd int) bool {
	s := w.socks[fd]
	return w.deafQuiet || !s.ended && len(s.in) == 0
}

func (w *wire) SetInterest(fd int, read, write bool) {
	if s := w.socks[fd]; s != nil {
		s.wantRead, s.wantWrite = read, write
	}
}

func (w *wire) Add(fd int, h eventloop.Handler, read, write bool) error {
	w.socks[fd] = &sock{handler: h, wantRead: read, wantWrite: write}
	return nil
}

func (w *wire) ConnectError(fd int) error {
	if w.socks[fd].refused {
		return errRefused
	}
	return nil
}

func (w *wire) Read(fd int, into *buffer.Chain, most int) (int, error) {
	s := w.socks[fd]
	n := min(most, len(s.in))
	into.Write(s.in[:n])
	s.in = s.in[n:]
	if len(s.in) == 0 && s.ended {
		return n, eventloop.ErrPeerClosed
	}
	return n, nil
}

func (w *wire) Write(fd int, from *buffer.Chain) error {
	s := w.socks[fd]
	if s.ended {
		return errGone
	}
	for from.Len() > 0 && s.room > 0 {
		first := from.FirstPiece()
		n := min(len(first), s.room)
		if w.lateByte && n == from.Len() && n > 1 {
			s.sent = append(s.sent, first[:n]...)
			from.Discard(n - 1)
			s.room = 0
			return nil
		}
		s.sent = append(s.sent, first[:n]...)
		s.room -= n
		from.Discard(n)
	}
	if w.loseByte && from.Len() == 0 && len(s.sent) > 0 {
		s.sent = s.sent[:len(s.sent)-1]
	}
	if w.earlyByte && from.Len() == 1 { // it is taken off, and goes nowhere
		from.Discard(1)
	}
	return nil
}

// fds are the open descriptors, in order.
func (w *wire) fds() []int {
	var out []int
	for fd := range w.socks {
		out = append(out, fd)
	}
	sort.Ints(out)
	return out
}

// next is the time of the first timer, or false.
func (w *wire) next() (float64, bool) {
	first, ok := 0.0, false
	if w.timeless {
		return first, ok
	}
	for _, at := range w.timers {
		if !ok || at < first {
			first, ok = at, true
		}
	}
	return first, ok
}

// timer is a connection's, or nil. It is found by where it lies, since the connection keeps it to itself.
func (w *wire) timer(fd int) *eventloop.Timer {
	k := w.socks[fd]
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

// fire lets time pass to the first timer, and fires all that are due then: those of connections in the order
// given, others after them.
func (w *wire) fire(order []int) {
	first, ok := w.next()
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
		if t := w.timer(fd); t != nil && due(t) {
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
