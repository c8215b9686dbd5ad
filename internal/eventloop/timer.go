package eventloop

import "container/heap"

// Timer calls a function once, at the time to which it is set. It may be set again afterwards.
type Timer struct {
	at       float64 // loop time at which it fires
	fire     func()
	position int // index in the timer heap plus 1; 0 if the timer is not set
}

// NewTimer returns a timer that is not set.
func NewTimer(fire func()) *Timer { return &Timer{fire: fire} }

// IsSet reports whether the timer is set and has not fired yet.
func (t *Timer) IsSet() bool { return t.position > 0 }

// Fire calls the timer's function. Only implementations of Network other than Loop call it.
func (t *Timer) Fire() { t.fire() }

// SetTimer makes a timer fire at the given time. It replaces the time to which the timer was set before.
func (l *Loop) SetTimer(t *Timer, at float64) {
	l.StopTimer(t)
	t.at = at
	heap.Push(&l.timers, t)
}

// StopTimer prevents a timer from firing. It does nothing if the timer is not set.
func (l *Loop) StopTimer(t *Timer) {
	if t.position > 0 {
		heap.Remove(&l.timers, t.position-1)
	}
}

// fireTimers fires the due timers in the order of their times.
func (l *Loop) fireTimers() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		due := heap.Pop(&l.timers).(*Timer)
		due.fire()
	}
}

// timerHeap implements heap.Interface. Its first element is the earliest timer.
type timerHeap []*Timer

func (t timerHeap) Len() int { return len(t) }

func (t timerHeap) Less(i, j int) bool { return t[i].at < t[j].at }

func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].position = i + 1
	t[j].position = j + 1
}

func (t *timerHeap) Push(x any) {
	timer := x.(*Timer)
	*t = append(*t, timer)
	timer.position = len(*t)
}

func (t *timerHeap) Pop() any {
	old := *t
	last := len(old) - 1
	timer := old[last]
	*t = old[:last]
	timer.position = 0
	return timer
}
