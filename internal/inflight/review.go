package inflight

import (
	"container/heap"
	"math"
)

// review is a request of the router to decide on a command again at a given time.
type review struct {
	at      float64 // seconds, on the tracker's clock
	order   uint64  // sequence number; reviews that are due at the same time run in the order in which they were pushed
	command *command
}

// reviewQueue holds the pending reviews, the earliest first. Its zero value is an empty queue.
type reviewQueue struct {
	heap  reviewHeap
	count uint64 // number of reviews ever pushed
}

// push schedules a review of c.
func (q *reviewQueue) push(at float64, c *command) {
	q.count++
	heap.Push(&q.heap, review{at: at, order: q.count, command: c})
}

// pop removes and returns the earliest review. It panics if the queue is empty.
func (q *reviewQueue) pop() review { return heap.Pop(&q.heap).(review) }

// nextAt returns the time of the earliest review, or positive infinity if the queue is empty.
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
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}
