// Package modelcheck explores the states that a system can reach by taking its steps in every order, within bounds. It
// reports a shortest trace to a state in which a property is broken, or from which no end state can be reached any
// more. It knows nothing about the systems that it explores.
//
// A state is identified by the fingerprint of everything that decides its future. States are not stored: to visit a
// state again, a new system takes the steps that lead to it. The systems consist of production code, whose closures
// and pointers cannot be copied.
package modelcheck

import (
	"context"
	"math"
	"runtime"
	"time"
)

// Bounds limit an exploration. A bound of 0 means no limit.
type Bounds struct {
	MaxDepth      int           // number of steps from the start
	MaxStates     int           // number of states that are stored
	MaxHeapBytes  uint64        // heap of this process
	MaxDuration   time.Duration // wall time
	Workers       int           // number of goroutines that take steps; 0: one for each processor
	CheckLiveness bool          // look for states from which no end state can be reached; this takes every step
	TakeAllSteps  bool          // take steps that commute in every order
}

// Result is the result of an exploration.
type Result struct {
	States          int            `json:"states"`            // number of distinct states
	Steps           int            `json:"steps"`             // number of steps taken, including those to states seen before
	Depth           int            `json:"depth"`             // depth of the deepest state
	Complete        bool           `json:"complete"`          // whether all states within the bounds were expanded
	StopReason      string         `json:"stopped,omitempty"` // why the exploration is not complete
	EndStates       int            `json:"ends"`              // number of states that are end states (see System.Ended)
	AtDepthBound    int            `json:"edge"`              // number of states at MaxDepth, whose steps were not taken
	StepsSkipped    int            `json:"spared"`            // number of steps not taken because they commute with others
	CollisionChance float64        `json:"clash"`             // probability that two states share a fingerprint
	PeakHeapBytes   uint64         `json:"peak_heap_bytes"`
	Seconds         float64        `json:"seconds"`
	StepsByKind     map[string]int `json:"taken"` // number of steps taken, by Kind
	Counterexample  *Trace         `json:"broken,omitempty"`
}

// Progress is the progress of an exploration, reported before each level is expanded.
type Progress struct {
	States    int
	Depth     int
	Frontier  int // number of states in the level to be expanded
	HeapBytes uint64
}

// fingerprintBits is the size of a state's fingerprint in bits.
const fingerprintBits = 64

// collisionChance returns the probability, between 0 and 1, that any two of a number of states share a fingerprint.
func collisionChance(states int) float64 {
	n := float64(states)
	return -math.Expm1(-n * (n - 1) / math.Pow(2, fingerprintBits+1))
}

// Run explores breadth first, so that the first counterexample found is a shortest one. newSystem returns a system in
// its first state and is called from several goroutines. report, which may be nil, is called from the caller's
// goroutine. The exploration stops when ctx ends.
func Run(ctx context.Context, newSystem func() System, b Bounds, report func(Progress)) Result {
	r, _ := Resume(ctx, newSystem, b, nil, report)
	return r
}

// Resume continues an exploration of the same system that was stopped, or begins a new one if from is nil. If the
// exploration stops before it is complete, Resume returns what is needed to resume it. A resumed exploration takes
// every step, and cannot check liveness.
func Resume(ctx context.Context, newSystem func() System, b Bounds, from *Saved, report func(Progress)) (Result, *Saved) {
	began := time.Now()
	if b.Workers == 0 {
		b.Workers = runtime.GOMAXPROCS(0)
	}
	if b.MaxDuration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, b.MaxDuration)
		defer cancel()
	}
	e := newExplorer(newSystem, b, report)
	var first level
	if from == nil {
		first = level{states: e.start()}
	} else {
		first = e.restore(from)
	}
	end := e.run(ctx, first)
	isComplete := e.stopReason.Load() == nil
	if b.CheckLiveness && isComplete {
		e.checkLiveness(end.atDepthBound)
	}
	e.measureHeap()
	r := e.result(end, began)
	r.Complete = isComplete
	if r.StopReason == "" || e.counterexample != nil {
		return r, nil
	}
	return r, e.save()
}
