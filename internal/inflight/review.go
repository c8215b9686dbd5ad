package inflight

import (
	"container/heap"
	"math"
)

// review is a time at which the router wants to look at a command again.
type review struct {
	at      float64
	order   uint64 // tells reviews of one time apart: first come, first served
	command *command
}

// reviewQueue is the reviews to come, by their times. Its zero value is empty and ready for use.
type reviewQueue struct {
	heap  reviewHeap
	count uint64 // of all reviews pushed
}

// push adds a review.
func (q *reviewQueue) push(at float64, c *command) {
	q.count++
	heap.Push(&q.heap, review{at: at, order: q.count, command: c})
}

// pop removes the next review. There must be one.
func (q *reviewQueue) pop() review { return heap.Pop(&q.heap).(review) }

// nextAt is the time of the next review; positive infinity if there is none.
func (q *reviewQueue) nextAt() float64 {
	if len(q.heap) == 0 {
		return math.Inf(1)
	}
	return q.heap[0].at
}

// reviewHeap implements heap.Interface.
type reviewHeap []review

func (h reviewHeap) Len() int { return len(h) }

func (h reviewHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h reviewHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *reviewHeap) Push(x any) { *h = append(*h, x.(review)) }

func (h *reviewHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
