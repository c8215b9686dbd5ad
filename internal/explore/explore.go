// Package explore takes a system through every order of its steps within bounds, and tells the shortest way to
// a state in which a property is broken, or from which the promised end cannot be reached any more. It knows
// nothing of what it explores.
//
// A state is known by the fingerprint of all that decides its future. States are not kept but played again from
// the start: the systems here are the code that serves, with closures and pointers that cannot be copied.
package explore

import (
	"context"
	"math"
	"runtime"
	"time"
)

// Bounds of an exploration. What is 0 is not bounded.
type Bounds struct {
	Depth   int           // steps from the start
	States  int           // that are kept
	Memory  uint64        // bytes of this process's heap
	For     time.Duration // of wall time
	Workers int           // 0: as many as cores
	Live    bool          // look for states from which no end can be reached; it takes every step
	Whole   bool          // take every step, also of those that commute
}

// Result of an exploration.
type Result struct {
	States   int            `json:"states"`
	Steps    int            `json:"steps"` // taken, also to states seen before
	Depth    int            `json:"depth"` // of the deepest state
	Complete bool           `json:"complete"`
	Stopped  string         `json:"stopped,omitempty"` // why it is not
	Ends     int            `json:"ends"`              // states in which the promised end has come
	Edge     int            `json:"edge"`              // states at the bound of depth, whose steps were not taken
	Spared   int            `json:"spared"`            // steps that were not taken since they commute with others
	Clash    float64        `json:"clash"`             // chance that two states bore one fingerprint
	Heap     uint64         `json:"peak_heap_bytes"`
	Seconds  float64        `json:"seconds"`
	Taken    map[string]int `json:"taken"` // steps by kind: the name up to the first blank
	Broken   *Trace         `json:"broken,omitempty"`
}

// Progress is told now and then while an exploration runs.
type Progress struct {
	States, Depth, Frontier int
	Heap                    uint64
}

// Run explores breadth first, so that the first broken property found has a shortest trace.
func Run(ctx context.Context, make_ func() System, b Bounds, tell func(Progress)) Result {
	r, _ := RunFrom(ctx, make_, b, nil, tell)
	return r
}

// RunFrom goes on from where an exploration of the same system stopped, and returns how it stands if it stops
// again. What is taken up takes every step, and looks for no liveness.
func RunFrom(ctx context.Context, make_ func() System, b Bounds, from *Saved, tell func(Progress)) (Result, *Saved) {
	began := time.Now()
	if b.Workers == 0 {
		b.Workers = runtime.GOMAXPROCS(0)
	}
	if b.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, b.For)
		defer cancel()
	}
	e := &explorer{make: make_, bounds: b, byName: map[string]int32{}, taken: map[string]int{}, again: map[int32]map[int32]bool{}}
	for i := range e.seen {
		e.seen[i].at = map[uint64]int32{}
	}
	root := make_()
	_, commutes := root.(Commuter)
	e.commutes = commutes && !b.Whole && !b.Live && from == nil
	r := Result{}
	frontier, first := []int32{0}, 0
	var later []int32 // of the next depth, found before the stop
	if from == nil {
		e.add(root, -1, -1, nil, nil)
		e.settle(root, 0)
	} else {
		frontier, later, first = e.restore(from)
	}
	for depth := first; len(frontier) > 0 && e.broken == nil; depth++ {
		r.Depth = depth
		if b.Depth > 0 && depth >= b.Depth {
			r.Edge = len(frontier)
			break
		}
		if tell != nil {
			tell(Progress{States: len(e.nodes), Depth: depth, Frontier: len(frontier), Heap: e.measure()})
		}
		frontier = append(e.level(ctx, frontier), later...)
		later = nil
		if e.stopped.Load() != nil {
			break
		}
	}
	if why := e.stopped.Load(); why != nil {
		r.Stopped = *why
	}
	r.Complete = r.Stopped == "" && e.broken == nil
	if r.Complete && b.Live && e.broken == nil {
		e.live(frontier, r.Edge)
	}
	e.measure()
	for _, end := range e.ended {
		if end {
			r.Ends++
		}
	}
	n := float64(len(e.nodes))
	r.States, r.Steps, r.Clash, r.Heap = len(e.nodes), int(e.steps.Load()), -math.Expm1(-n*(n-1)/math.Pow(2, 65)), e.heap
	r.Taken, r.Broken, r.Seconds, r.Spared = e.taken, e.broken, time.Since(began).Seconds(), int(e.spared.Load())
	if r.Stopped == "" || e.broken != nil {
		return r, nil
	}
	return r, e.save()
}
