// Package loop is the router's one event loop: epoll, timers, and calls posted from outside. A turn
// gathers what is ready, then has it settled in one go.
package loop

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Handler is told that its descriptor is ready. A hang-up shows as readable.
type Handler interface {
	Ready(readable, writable bool)
}

// HangupHandler is a Handler that is told of a hang-up by a call of its own, in place of Ready: also where it is watched for
// nothing, and with bytes that were not read still ahead of the end. It has to close the descriptor then, which
// would be ready for good.
type HangupHandler interface {
	Handler
	HungUp()
}

type registration struct {
	handler     Handler
	generation  int32
	read, write bool
}

// Loop belongs to the goroutine that calls Run; only Post may be called from others.
type Loop struct {
	eventsPerTurn  int
	start          time.Time
	now            float64
	lastPoll       float64 // when the wait before this one ended
	readySince     float64
	epoll, wakeup  int
	registered     map[int]*registration
	lastGeneration int32
	timers         timerHeap
	stopped        bool
	longestTurn    float64

	mu     sync.Mutex
	posted []func()
}

// New returns a loop that gathers so many events in one turn at the most, so that no turn grows long. Its clock
// reads 0 at its start: wall time is read once, and the clock then goes on by monotonic time.
func New(events int) (*Loop, error) {
	l := &Loop{eventsPerTurn: events, start: time.Now(), registered: map[int]*registration{}}
	var err error
	if l.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if l.wakeup, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK); err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	return l, l.Add(l.wakeup, wakeupHandler{l}, true, false)
}

// StartedAt is the wall time at which the clock read 0.
func (l *Loop) StartedAt() time.Time { return l.start }

// Now is the time of this turn in seconds.
func (l *Loop) Now() float64 { return l.now }

// Clock reads the time anew: what was read in this turn may have come after its poll.
func (l *Loop) Clock() float64 { return time.Since(l.start).Seconds() }

// ReadySince is the earliest time at which what is ready in this turn may have become so: bytes that came
// while the last turn was at work have waited since that turn's poll.
func (l *Loop) ReadySince() float64 { return l.readySince }

// OpenDescriptors is the number of descriptors that the loop watches.
func (l *Loop) OpenDescriptors() int { return len(l.registered) }

// LongestTurn is the longest turn so far, in seconds.
func (l *Loop) LongestTurn() float64 { return l.longestTurn }

// eventMask asks for the other side's end always: epoll would tell of it only together with bytes to read, and who is
// not read at present may leave all the same.
func eventMask(read, write bool) uint32 {
	e := uint32(unix.EPOLLRDHUP)
	if read {
		e |= unix.EPOLLIN
	}
	if write {
		e |= unix.EPOLLOUT
	}
	return e
}

// Add watches a descriptor.
func (l *Loop) Add(fd int, h Handler, read, write bool) error {
	l.lastGeneration++
	w := &registration{handler: h, generation: l.lastGeneration, read: read, write: write}
	e := unix.EpollEvent{Events: eventMask(read, write), Fd: int32(fd), Pad: w.generation}
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &e); err != nil {
		return fmt.Errorf("watching a descriptor: %w", err)
	}
	l.registered[fd] = w
	return nil
}

// SetInterest changes what a descriptor is watched for.
func (l *Loop) SetInterest(fd int, read, write bool) {
	w := l.registered[fd]
	if w == nil || w.read == read && w.write == write {
		return
	}
	w.read, w.write = read, write
	e := unix.EpollEvent{Events: eventMask(read, write), Fd: int32(fd), Pad: w.generation}
	_ = unix.EpollCtl(l.epoll, unix.EPOLL_CTL_MOD, fd, &e)
}

// Close closes a watched descriptor; events that were gathered for it go nowhere.
func (l *Loop) Close(fd int) {
	if _, ok := l.registered[fd]; ok {
		delete(l.registered, fd)
		_ = unix.Close(fd)
	}
}

// Stop ends Run after this turn.
func (l *Loop) Stop() { l.stopped = true }

// Run turns until Stop, and may be called again: descriptors, timers, then settle, which says when it wants
// to be called at the latest.
func (l *Loop) Run(settle func(now float64) float64) error {
	ready := make([]unix.EpollEvent, l.eventsPerTurn)
	next := 0.0
	l.readClock()
	l.lastPoll, l.stopped = l.now, false
	for !l.stopped {
		l.readClock()
		l.longestTurn = math.Max(l.longestTurn, l.now-l.lastPoll)
		before := l.now
		n, err := unix.EpollWait(l.epoll, ready, l.waitMilliseconds(next))
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("waiting: %w", err)
		}
		l.readClock()
		if l.readySince = l.now; l.now-before < 0.001 { // it hardly waited
			l.readySince = l.lastPoll
		}
		l.lastPoll = l.now
		for _, e := range ready[:max(0, n)] {
			if w := l.registered[int(e.Fd)]; w != nil && w.generation == e.Pad {
				bad := e.Events&(unix.EPOLLERR|unix.EPOLLHUP) != 0
				if h, ok := w.handler.(HangupHandler); ok && (bad || e.Events&unix.EPOLLRDHUP != 0) {
					h.HungUp()
					continue
				}
				w.handler.Ready(bad || e.Events&(unix.EPOLLIN|unix.EPOLLRDHUP) != 0,
					bad || e.Events&unix.EPOLLOUT != 0)
			}
		}
		for len(l.timers) > 0 && l.timers[0].at <= l.now {
			t := heap.Pop(&l.timers).(*Timer)
			t.fire()
		}
		next = settle(l.now)
	}
	return nil
}

func (l *Loop) readClock() { l.now = l.Clock() }

// waitMilliseconds is how long to wait, in whole milliseconds and never short of what is due.
func (l *Loop) waitMilliseconds(next float64) int {
	if len(l.timers) > 0 {
		next = math.Min(next, l.timers[0].at)
	}
	return int(math.Ceil(math.Min(math.Max(0, next-l.now), 60) * 1000))
}
