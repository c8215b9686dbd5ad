// Package modelcheck takes a system through every order of its steps within bounds, and tells the shortest way to
// a state in which a property is broken, or from which the promised end cannot be reached any more. It knows
// nothing of what it explores.
//
// A state is known by the fingerprint of all that decides its future. States are not kept but played again from
// the start: the systems here are the code that serves, with closures and pointers that cannot be copied.
package modelcheck

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
	MaxHeapBytes  uint64        // of this process
	MaxDuration   time.Duration // of wall time
	Workers       int           // goroutines that take steps; 0: as many as processors
	CheckLiveness bool          // look for states from which no end can be reached; it takes every step
	TakeAllSteps  bool          // take every step, also of those that commute
}

// Result of an exploration.
type Result struct {
	States          int            `json:"states"`
	Steps           int            `json:"steps"`             // taken, also to states seen before
	Depth           int            `json:"depth"`             // of the deepest state
	Complete        bool           `json:"complete"`          // all states within the bounds were expanded
	StopReason      string         `json:"stopped,omitempty"` // why it is not complete
	EndStates       int            `json:"ends"`              // states in which the promised end has come
	AtDepthBound    int            `json:"edge"`              // states at the bound of depth, whose steps were not taken
	StepsSkipped    int            `json:"spared"`            // since they commute with others
	CollisionChance float64        `json:"clash"`             // that two states have one fingerprint, between 0 and 1
	PeakHeapBytes   uint64         `json:"peak_heap_bytes"`
	Seconds         float64        `json:"seconds"`
	StepsByKind     map[string]int `json:"taken"` // by Kind
	Counterexample  *Trace         `json:"broken,omitempty"`
}

// Progress is reported before each level of an exploration.
type Progress struct {
	States    int
	Depth     int
	Frontier  int // states that are expanded next
	HeapBytes uint64
}

// fingerprintBits is the size of a state's fingerprint.
const fingerprintBits = 64

// collisionChance is the chance that two of so many states have one fingerprint.
func collisionChance(states int) float64 {
	n := float64(states)
	return -math.Expm1(-n * (n - 1) / math.Pow(2, fingerprintBits+1))
}

// Run explores breadth first, so that the first counterexample found is a shortest one. newSystem returns a system at its
// start and is called from several goroutines, report (which may be nil) from the caller's. A ctx that ends stops the
// exploration.
func Run(ctx context.Context, newSystem func() System, b Bounds, report func(Progress)) Result {
	r, _ := Resume(ctx, newSystem, b, nil, report)
	return r
}

// Resume goes on from where an exploration of the same system stopped; from nil it begins anew. If it stops again it
// returns what to go on from. What was stopped takes every step when it goes on, and does not look for liveness.
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
		e.checkLiveness(end.edge)
	}
	e.measureHeap()
	r := e.result(end, began)
	r.Complete = isComplete
	if r.StopReason == "" || e.counterexample != nil {
		return r, nil
	}
	return r, e.save()
}
