package model

import "container/heap"

// event is an action at a virtual time. Events at the same time run in the order in which they were scheduled.
type event struct {
	at  float64
	seq uint64
	do  func()
}

// events is a heap of events by time, for container/heap.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// at schedules do for a virtual time in seconds.
func (w *World) at(t float64, do func()) {
	w.seq++
	heap.Push(&w.events, event{t, w.seq, do})
}

// after schedules do for after a delay in seconds.
func (w *World) after(delay float64, do func()) { w.at(w.now+delay, do) }
