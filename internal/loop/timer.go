package loop

import (
	"container/heap"
)

// Timer calls once when its time has come.
type Timer struct {
	at   float64
	fire func()
	pos  int // place in the heap, 1 first; 0: not set
}

// NewTimer returns a timer that is not set.
func NewTimer(fire func()) *Timer { return &Timer{fire: fire} }

// Set has a timer fire at a time instead of any it was set to.
func (l *Loop) Set(t *Timer, at float64) {
	l.Unset(t)
	t.at = at
	heap.Push(&l.timers, t)
}

// Unset keeps a timer from firing.
func (l *Loop) Unset(t *Timer) {
	if t.pos > 0 {
		heap.Remove(&l.timers, t.pos-1)
	}
}

// IsSet says whether the timer will fire.
func (t *Timer) IsSet() bool { return t.pos > 0 }

// Fire has the timer's call made, for a Wire that is no Loop.
func (t *Timer) Fire() { t.fire() }

type timers []*Timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].pos, t[j].pos = i+1, j+1
}

func (t *timers) Push(x any) {
	timer := x.(*Timer)
	*t = append(*t, timer)
	timer.pos = len(*t)
}

func (t *timers) Pop() any {
	old := *t
	timer := old[len(old)-1]
	*t = old[:len(old)-1]
	timer.pos = 0
	return timer
}
