package loop

import (
	"container/heap"
)

// Timer calls once when its time has come.
type Timer struct {
	at       float64
	fire     func()
	position int // place in the heap, 1 first; 0: not set
}

// NewTimer returns a timer that is not set.
func NewTimer(fire func()) *Timer { return &Timer{fire: fire} }

// SetTimer has a timer fire at a time instead of any it was set to.
func (l *Loop) SetTimer(t *Timer, at float64) {
	l.StopTimer(t)
	t.at = at
	heap.Push(&l.timers, t)
}

// StopTimer keeps a timer from firing.
func (l *Loop) StopTimer(t *Timer) {
	if t.position > 0 {
		heap.Remove(&l.timers, t.position-1)
	}
}

// IsSet says whether the timer will fire.
func (t *Timer) IsSet() bool { return t.position > 0 }

// Fire has the timer's call made, for a Network that is no Loop.
func (t *Timer) Fire() { t.fire() }

type timerHeap []*Timer

func (t timerHeap) Len() int { return len(t) }

func (t timerHeap) Less(i, j int) bool { return t[i].at < t[j].at }

func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].position, t[j].position = i+1, j+1
}

func (t *timerHeap) Push(x any) {
	timer := x.(*Timer)
	*t = append(*t, timer)
	timer.position = len(*t)
}

func (t *timerHeap) Pop() any {
	old := *t
	timer := old[len(old)-1]
	*t = old[:len(old)-1]
	timer.position = 0
	return timer
}
