// Package eventloop implements the event loop of a router: epoll, timers, sockets, and function calls posted from other
// goroutines. Each turn handles the ready descriptors and the due timers, and then calls a function that acts on all of
// these events together.
//
// Times are in seconds on the loop's clock, which is 0 when the loop is created.
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
	// Ready is called when the descriptor is readable or writable and watched for that, and on a hang-up or an error. A
	// hang-up is reported as readable, an error as both readable and writable.
	Ready(readable, writable bool)
}

// HangupHandler is a Handler with a separate method for a hang-up or an error of the connection. The loop calls that
// method even if the descriptor is watched for neither reading nor writing, and even if unread bytes precede the end.
type HangupHandler interface {
	Handler
	// HungUp is called instead of Ready. It has to close the descriptor, which would otherwise stay ready forever.
	HungUp()
}

// registration describes a watched descriptor. The kernel reuses descriptor numbers; the generation distinguishes this
// descriptor from an earlier one with the same number.
type registration struct {
	handler    Handler
	generation int32
	read       bool
	write      bool
}

// Loop is an event loop. It belongs to the goroutine that calls Run; only Post may be called from other goroutines.
type Loop struct {
	Sockets

	eventsPerTurn int
	epoll         int // descriptor of the epoll instance
	wakeup        int // descriptor of the eventfd that Post makes ready

	registered     map[int]*registration // by descriptor
	lastGeneration int32
	timers         timerHeap
	stopped        bool

	start       time.Time // wall time at which the clock was 0
	now         float64   // time of this turn
	lastPoll    float64   // when epoll_wait last returned
	readySince  float64   // see ReadySince
	longestTurn float64   // seconds

	mu     sync.Mutex // guards posted
	posted []func()   // functions to call in the next turn
}

const (
	// briefWait is a duration in seconds. If epoll_wait returns sooner, descriptors may have been ready before the call.
	briefWait = 0.001
	// maxWait is the longest wait for events, in seconds.
	maxWait = 60
)

// New returns a loop that handles at most eventsPerTurn events in each turn, which keeps turns short. It reads the wall
// time once; afterwards the clock follows monotonic time.
func New(eventsPerTurn int) (*Loop, error) {
	l := &Loop{eventsPerTurn: eventsPerTurn, start: time.Now(), registered: map[int]*registration{}}
	var err error
	if l.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("creating the epoll instance: %w", err)
	}
	if l.wakeup, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK); err != nil {
		return nil, fmt.Errorf("creating the eventfd: %w", err)
	}
	return l, l.Add(l.wakeup, wakeupHandler{l}, true, false)
}

// StartedAt returns the wall time at which the clock was 0.
func (l *Loop) StartedAt() time.Time { return l.start }

// Now returns the time of this turn: the time at which its poll returned.
func (l *Loop) Now() float64 { return l.now }

// Clock reads the clock and returns the current time. Bytes that are read in this turn may have arrived after its poll, so
// that Now would be too early for them.
func (l *Loop) Clock() float64 { return time.Since(l.start).Seconds() }

// ReadySince returns the earliest time at which the descriptors that are ready in this turn may have become ready. Bytes
// that arrived during the last turn may have waited since that turn's poll.
func (l *Loop) ReadySince() float64 { return l.readySince }

// OpenDescriptors returns the number of descriptors that the loop watches, including its own eventfd.
func (l *Loop) OpenDescriptors() int { return len(l.registered) }

// LongestTurn returns the duration of the longest turn so far, in seconds.
func (l *Loop) LongestTurn() float64 { return l.longestTurn }

// Add starts watching a descriptor for being readable, writable, both or neither. Hang-ups are always watched for.
func (l *Loop) Add(fd int, handler Handler, read, write bool) error {
	l.lastGeneration++
	r := &registration{handler: handler, generation: l.lastGeneration, read: read, write: write}
	event := r.event(fd)
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		return fmt.Errorf("watching descriptor %d: %w", fd, err)
	}
	l.registered[fd] = r
	return nil
}

// SetInterest changes whether a descriptor is watched for being readable and writable. It does nothing if the descriptor
// is not watched.
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

// event returns the event mask and data to register with epoll. The mask always includes hang-ups: otherwise epoll would
// report a hang-up only as readable, which misses a peer that disconnects while the router does not read from it.
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

// Close closes a watched descriptor. Its events of this turn that have not been handled yet are dropped.
func (l *Loop) Close(fd int) {
	if _, ok := l.registered[fd]; ok {
		delete(l.registered, fd)
		_ = unix.Close(fd)
	}
}

// Stop makes Run return at the end of this turn.
func (l *Loop) Stop() { l.stopped = true }

// Run runs the loop until Stop is called; it may be called again afterwards. Each turn first handles the hang-ups that a
// HangupHandler is registered for, then the other ready descriptors, then the due timers, and finally calls afterEvents,
// which returns the latest time at which the next turn has to start. Run fails only if epoll_wait fails.
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

// poll waits for events, but not beyond the time until or the first timer. It returns the number of events that it stored in
// ready.
func (l *Loop) poll(ready []unix.EpollEvent, until float64) (int, error) {
	l.readClock()
	l.longestTurn = math.Max(l.longestTurn, l.now-l.lastPoll)
	waitStart := l.now
	n, err := unix.EpollWait(l.epoll, ready, l.waitMilliseconds(until))
	if err != nil && !errors.Is(err, unix.EINTR) {
		return 0, fmt.Errorf("waiting for epoll events: %w", err)
	}
	l.readClock()
	l.readySince = l.now
	if l.now-waitStart < briefWait {
		l.readySince = l.lastPoll
	}
	l.lastPoll = l.now
	return max(0, n), nil
}

// handleHangup calls the HangupHandler of the event's descriptor if the event is a hang-up. Hang-ups are handled before
// all other events of the turn, so that these events cause no work for a client that has already disconnected.
func (l *Loop) handleHangup(event unix.EpollEvent) {
	r := l.registrationOf(event)
	if r == nil || !isHangup(event) {
		return
	}
	if handler, ok := r.handler.(HangupHandler); ok {
		handler.HungUp()
	}
}

// registrationOf returns the registration that an event belongs to, or nil if its descriptor has been closed since.
func (l *Loop) registrationOf(event unix.EpollEvent) *registration {
	r := l.registered[int(event.Fd)]
	if r == nil || r.generation != event.Pad {
		return nil
	}
	return r
}

// hasFailed reports whether an event is an error, or a hang-up in both directions.
func hasFailed(event unix.EpollEvent) bool { return event.Events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 }

// isHangup reports whether an event is an error, or the other side has at least stopped sending.
func isHangup(event unix.EpollEvent) bool {
	return hasFailed(event) || event.Events&unix.EPOLLRDHUP != 0
}

// handle calls the handler of an event, unless its descriptor has been closed since.
func (l *Loop) handle(event unix.EpollEvent) {
	r := l.registrationOf(event)
	if r == nil {
		return
	}
	failed, hungUp := hasFailed(event), isHangup(event)
	if handler, ok := r.handler.(HangupHandler); ok && hungUp {
		handler.HungUp() // reached only if the call by handleHangup left the descriptor open
		return
	}
	readable := hungUp || event.Events&unix.EPOLLIN != 0
	writable := failed || event.Events&unix.EPOLLOUT != 0
	r.handler.Ready(readable, writable)
}

func (l *Loop) readClock() { l.now = l.Clock() }

// waitMilliseconds returns the wait until the given time or the first timer, whichever is earlier, but at most maxWait. It
// is rounded up so that the timer is due when the wait ends.
func (l *Loop) waitMilliseconds(until float64) int {
	const millisecondsPerSecond = 1000
	if len(l.timers) > 0 {
		until = math.Min(until, l.timers[0].at)
	}
	seconds := math.Min(math.Max(0, until-l.now), maxWait)
	return int(math.Ceil(seconds * millisecondsPerSecond))
}
