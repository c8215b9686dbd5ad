// Package eventloop is the event loop of a router: epoll, timers, sockets, and calls posted from other goroutines. A turn
// handles the ready descriptors and the due timers, and then calls once for what they add up to.
//
// Times are seconds on the loop's clock, which reads 0 when the loop is made.
package eventloop

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Handler handles the events of a descriptor.
type Handler interface {
	// Ready is called when the descriptor is ready for something that it is watched for. A hang-up counts as
	// readable, an error as both.
	Ready(readable, writable bool)
}

// HangupHandler is a Handler that handles a hang-up or an error of the other side apart: also while the descriptor is
// watched for nothing, and with bytes ahead of the end that were not read.
type HangupHandler interface {
	Handler
	// HungUp is called in place of Ready. It has to close the descriptor, which would be ready for good.
	HungUp()
}

// registration is a watched descriptor. Its generation tells it from an earlier one under the same number.
type registration struct {
	handler    Handler
	generation int32
	read       bool
	write      bool
}

// Loop is an event loop. It belongs to the goroutine that calls Run; only Post may be called from others.
type Loop struct {
	Sockets

	eventsPerTurn int
	epoll         int // descriptor
	wakeup        int // descriptor of the eventfd that a posted call makes ready

	registered     map[int]*registration // by descriptor
	lastGeneration int32
	timers         timerHeap
	stopped        bool

	start       time.Time // when the clock read 0
	now         float64
	lastPoll    float64 // when the wait of the last turn ended
	readySince  float64
	longestTurn float64 // seconds

	mu     sync.Mutex // guards posted
	posted []func()
}

const (
	// briefWait is the wait, in seconds, up to which descriptors may have become ready before it.
	briefWait = 0.001
	// maxWait bounds the wait for events, in seconds.
	maxWait = 60
)

// New returns a loop that handles at most so many events a turn, so that no turn grows long. Wall time is read once; the
// clock then goes on by monotonic time.
func New(eventsPerTurn int) (*Loop, error) {
	l := &Loop{eventsPerTurn: eventsPerTurn, start: time.Now(), registered: map[int]*registration{}}
	var err error
	if l.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if l.wakeup, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK); err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	return l, l.Add(l.wakeup, wakeupHandler{l}, true, false)
}

// StartedAt returns the wall time at which the clock read 0.
func (l *Loop) StartedAt() time.Time { return l.start }

// Now returns the time of this turn.
func (l *Loop) Now() float64 { return l.now }

// Clock reads the clock anew: what was read in this turn may have come after its poll.
func (l *Loop) Clock() float64 { return time.Since(l.start).Seconds() }

// ReadySince returns the earliest time at which what is ready in this turn may have become so: bytes that came during the
// last turn have waited since that turn's poll.
func (l *Loop) ReadySince() float64 { return l.readySince }

// OpenDescriptors returns the number of descriptors that the loop watches, its own included.
func (l *Loop) OpenDescriptors() int { return len(l.registered) }

// LongestTurn returns the duration of the longest turn so far, in seconds.
func (l *Loop) LongestTurn() float64 { return l.longestTurn }

// Add watches a descriptor for being readable, writable, both or neither.
func (l *Loop) Add(fd int, handler Handler, read, write bool) error {
	l.lastGeneration++
	r := &registration{handler: handler, generation: l.lastGeneration, read: read, write: write}
	event := r.event(fd)
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		return fmt.Errorf("watching a descriptor: %w", err)
	}
	l.registered[fd] = r
	return nil
}

// SetInterest changes what a descriptor is watched for. One that is not watched is passed over.
func (l *Loop) SetInterest(fd int, read, write bool) {
	r := l.registered[fd]
	if r == nil || r.read == read && r.write == write {
		return
	}
	r.read = read
	r.write = write
	event := r.event(fd)
	_ = unix.EpollCtl(l.epoll, unix.EPOLL_CTL_MOD, fd, &event)
}

// event returns what epoll is asked for. Hang-ups are always part of it: epoll would report them only together with
// bytes to read, and a peer that is not read at present may leave all the same.
func (r *registration) event(fd int) unix.EpollEvent {
	mask := uint32(unix.EPOLLRDHUP)
	if r.read {
		mask |= unix.EPOLLIN
	}
	if r.write {
		mask |= unix.EPOLLOUT
	}
	return unix.EpollEvent{Events: mask, Fd: int32(fd), Pad: r.generation}
}

// Close closes a watched descriptor. Events of this turn that were not handled yet are dropped.
func (l *Loop) Close(fd int) {
	if _, ok := l.registered[fd]; ok {
		delete(l.registered, fd)
		_ = unix.Close(fd)
	}
}

// Stop has Run return after this turn.
func (l *Loop) Stop() { l.stopped = true }

// Run turns until Stop is called, and may be called again. Each turn handles the hang-ups of clients, the other ready
// descriptors and the due timers, in this order, and then calls afterEvents, which returns the time of the next turn at
// the latest. It fails only if the kernel refuses to wait.
func (l *Loop) Run(afterEvents func(now float64) float64) error {
	ready := make([]unix.EpollEvent, l.eventsPerTurn)
	next := 0.0
	l.readClock()
	l.lastPoll = l.now
	l.stopped = false
	for !l.stopped {
		n, err := l.poll(ready, next)
		if err != nil {
			return err
		}
		for _, event := range ready[:n] {
			l.handleHangup(event)
		}
		for _, event := range ready[:n] {
			l.handle(event)
		}
		l.fireTimers()
		next = afterEvents(l.now)
	}
	return nil
}

// poll waits for events until a time at the latest, and returns how many there are.
func (l *Loop) poll(ready []unix.EpollEvent, until float64) (int, error) {
	l.readClock()
	l.longestTurn = math.Max(l.longestTurn, l.now-l.lastPoll)
	waitStart := l.now
	n, err := unix.EpollWait(l.epoll, ready, l.waitMilliseconds(until))
	if err != nil && !errors.Is(err, unix.EINTR) {
		return 0, fmt.Errorf("waiting: %w", err)
	}
	l.readClock()
	l.readySince = l.now
	if l.now-waitStart < briefWait {
		l.readySince = l.lastPoll
	}
	l.lastPoll = l.now
	return max(0, n), nil
}

// handleHangup calls the handler of a hang-up that is handled apart. It comes before all other events of the turn: nothing
// that they lead to may be done for whoever has left already.
func (l *Loop) handleHangup(event unix.EpollEvent) {
	r := l.registrationOf(event)
	if r == nil || !isHangup(event) {
		return
	}
	if handler, ok := r.handler.(HangupHandler); ok {
		handler.HungUp()
	}
}

// registrationOf returns the descriptor that an event belongs to, or nil if it has been closed meanwhile.
func (l *Loop) registrationOf(event unix.EpollEvent) *registration {
	r := l.registered[int(event.Fd)]
	if r == nil || r.generation != event.Pad {
		return nil
	}
	return r
}

func hasFailed(event unix.EpollEvent) bool { return event.Events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 }

func isHangup(event unix.EpollEvent) bool {
	return hasFailed(event) || event.Events&unix.EPOLLRDHUP != 0
}

// handle calls the handler of an event, unless the descriptor has been closed meanwhile.
func (l *Loop) handle(event unix.EpollEvent) {
	r := l.registrationOf(event)
	if r == nil {
		return
	}
	failed, hungUp := hasFailed(event), isHangup(event)
	if handler, ok := r.handler.(HangupHandler); ok && hungUp {
		handler.HungUp() // it came to this descriptor during the turn
		return
	}
	readable := hungUp || event.Events&unix.EPOLLIN != 0
	writable := failed || event.Events&unix.EPOLLOUT != 0
	r.handler.Ready(readable, writable)
}

func (l *Loop) readClock() { l.now = l.Clock() }

// waitMilliseconds returns how long to wait until a time or the first timer, rounded up so that it is due then.
func (l *Loop) waitMilliseconds(until float64) int {
	const millisecondsPerSecond = 1000
	if len(l.timers) > 0 {
		until = math.Min(until, l.timers[0].at)
	}
	seconds := math.Min(math.Max(0, until-l.now), maxWait)
	return int(math.Ceil(seconds * millisecondsPerSecond))
}
