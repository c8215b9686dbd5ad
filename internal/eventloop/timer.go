package eventloop

import "container/heap"

// Timer calls a function once when its time has come. It may be set again afterwards.
type Timer struct {
	at       float64
	fire     func()
	position int // in the heap, from 1; 0: not set
}

// NewTimer returns a timer that is not set.
func NewTimer(fire func()) *Timer { return &Timer{fire: fire} }

// IsSet reports whether the timer will fire.
func (t *Timer) IsSet() bool { return t.position > 0 }

// Fire calls the timer's function. It is for implementations of Network beside Loop.
func (t *Timer) Fire() { t.fire() }

// SetTimer has a timer fire at a time, in place of any that it was set to.
func (l *Loop) SetTimer(t *Timer, at float64) {
	l.StopTimer(t)
	t.at = at
	heap.Push(&l.timers, t)
}

// StopTimer keeps a timer from firing. One that is not set is passed over.
func (l *Loop) StopTimer(t *Timer) {
	if t.position > 0 {
		heap.Remove(&l.timers, t.position-1)
	}
}

// fireTimers fires the timers that are due, in the order of their times.
func (l *Loop) fireTimers() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		due := heap.Pop(&l.timers).(*Timer)
		due.fire()
	}
}

// timerHeap implements heap.Interface: the earliest timer is the first.
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
