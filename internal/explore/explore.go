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
	MaxDepth      int           // steps from the start
	MaxStates     int           // that are kept
	MaxHeapBytes  uint64        // bytes of this process's heap
	MaxDuration   time.Duration // of wall time
	Workers       int           // 0: as many as cores
	CheckLiveness bool          // look for states from which no end can be reached; it takes every step
	TakeAllSteps  bool          // take every step, also of those that commute
}

// Result of an exploration.
type Result struct {
	States          int            `json:"states"`
	Steps           int            `json:"steps"` // taken, also to states seen before
	Depth           int            `json:"depth"` // of the deepest state
	Complete        bool           `json:"complete"`
	StopReason      string         `json:"stopped,omitempty"` // why it is not
	EndStates       int            `json:"ends"`              // states in which the promised end has come
	AtDepthBound    int            `json:"edge"`              // states at the bound of depth, whose steps were not taken
	StepsSkipped    int            `json:"spared"`            // steps that were not taken since they commute with others
	CollisionChance float64        `json:"clash"`             // chance that two states bore one fingerprint
	PeakHeapBytes   uint64         `json:"peak_heap_bytes"`
	Seconds         float64        `json:"seconds"`
	StepsByKind     map[string]int `json:"taken"` // steps by kind: the name up to the first blank
	Counterexample  *Trace         `json:"broken,omitempty"`
}

// Progress is told now and then while an exploration runs.
type Progress struct {
	States, Depth, Frontier int
	Heap                    uint64
}

// Run explores breadth first, so that the first broken property found has a shortest trace.
func Run(ctx context.Context, make_ func() System, b Bounds, tell func(Progress)) Result {
	r, _ := Resume(ctx, make_, b, nil, tell)
	return r
}

// Resume goes on from where an exploration of the same system stopped, and returns how it stands if it stops
// again. What is taken up takes every step, and looks for no liveness.
func Resume(ctx context.Context, make_ func() System, b Bounds, from *Saved, tell func(Progress)) (Result, *Saved) {
	began := time.Now()
	if b.Workers == 0 {
		b.Workers = runtime.GOMAXPROCS(0)
	}
	if b.MaxDuration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, b.MaxDuration)
		defer cancel()
	}
	e := &explorer{newSystem: make_, bounds: b, stepIndex: map[string]int32{}, stepsByKind: map[string]int{}, wakeSets: map[int32]map[int32]bool{}}
	for i := range e.seen {
		e.seen[i].at = map[uint64]int32{}
	}
	root := make_()
	_, commutes := root.(Commutes)
	e.commutes = commutes && !b.TakeAllSteps && !b.CheckLiveness && from == nil
	r := Result{}
	frontier, first := []int32{0}, 0
	var later []int32 // of the next depth, found before the stop
	if from == nil {
		e.add(root, -1, -1, nil, nil)
		e.checkPromise(root, 0)
	} else {
		frontier, later, first = e.restore(from)
	}
	for depth := first; len(frontier) > 0 && e.counterexample == nil; depth++ {
		r.Depth = depth
		if b.MaxDepth > 0 && depth >= b.MaxDepth {
			r.AtDepthBound = len(frontier)
			break
		}
		if tell != nil {
			tell(Progress{States: len(e.nodes), Depth: depth, Frontier: len(frontier), Heap: e.measureHeap()})
		}
		frontier = append(e.expandLevel(ctx, frontier), later...)
		later = nil
		if e.stopReason.Load() != nil {
			break
		}
	}
	if why := e.stopReason.Load(); why != nil {
		r.StopReason = *why
	}
	r.Complete = r.StopReason == "" && e.counterexample == nil
	if r.Complete && b.CheckLiveness && e.counterexample == nil {
		e.checkLiveness(frontier, r.AtDepthBound)
	}
	e.measureHeap()
	for _, end := range e.isEnd {
		if end {
			r.EndStates++
		}
	}
	n := float64(len(e.nodes))
	r.States, r.Steps, r.CollisionChance, r.PeakHeapBytes = len(e.nodes), int(e.stepsTaken.Load()), -math.Expm1(-n*(n-1)/math.Pow(2, 65)), e.peakHeapBytes
	r.StepsByKind, r.Counterexample, r.Seconds, r.StepsSkipped = e.stepsByKind, e.counterexample, time.Since(began).Seconds(), int(e.stepsSkipped.Load())
	if r.StopReason == "" || e.counterexample != nil {
		return r, nil
	}
	return r, e.save()
}
