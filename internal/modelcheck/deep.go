package modelcheck

import (
	"context"
	"time"
)

// RunDepthFirst explores depth first and remembers at most MaxStates states at a time. States that were forgotten may be
// explored again, and Result.States counts them again. MaxDepth must be set. MaxHeapBytes, Workers, CheckLiveness and
// TakeAllSteps have no effect; every step is taken.
func RunDepthFirst(ctx context.Context, newSystem func() System, b Bounds) Result {
	began := time.Now()
	if b.MaxDuration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, b.MaxDuration)
		defer cancel()
	}
	search := &depthFirst{
		newSystem: newSystem, bounds: b, leastDepth: map[uint64]int{},
		result: Result{StepsByKind: map[string]int{}},
	}
	search.visit(ctx, newSystem(), nil)
	search.result.Complete = search.result.StopReason == "" && search.result.Counterexample == nil
	search.result.Seconds = time.Since(began).Seconds()
	search.result.PeakHeapBytes = heapInUse()
	return search.result
}

// depthFirst is the state of a depth-first exploration.
type depthFirst struct {
	newSystem  func() System
	bounds     Bounds
	leastDepth map[uint64]int // least depth at which a state was explored, by fingerprint
	result     Result
}

// visit explores the state to which a path leads, and all states after it.
func (d *depthFirst) visit(ctx context.Context, s System, path []string) {
	if d.result.Counterexample != nil || d.result.StopReason != "" {
		return
	}
	if ctx.Err() != nil {
		d.result.StopReason = stoppedEarly
		return
	}
	if isNew := d.remember(fingerprintOf(s), len(path)); !isNew {
		return
	}
	if property, detail := s.Broken(); property != "" {
		d.recordCounterexample(path, property, detail)
		return
	}
	if s.Ended() {
		d.result.EndStates++
	}
	if len(path) >= d.bounds.MaxDepth {
		d.result.AtDepthBound++
		return
	}
	d.takeSteps(ctx, s, path)
}

// remember records that a state is explored at a depth. It returns false if the state was explored before at this depth
// or a lesser one.
func (d *depthFirst) remember(fingerprint uint64, depth int) bool {
	if least, known := d.leastDepth[fingerprint]; known && least <= depth {
		return false
	}
	if d.bounds.MaxStates > 0 && len(d.leastDepth) >= d.bounds.MaxStates {
		d.forgetHalf()
	}
	d.leastDepth[fingerprint] = depth
	d.result.States++
	d.result.Depth = max(d.result.Depth, depth)
	return true
}

// forgetHalf forgets half of the states, chosen arbitrarily.
func (d *depthFirst) forgetHalf() {
	for fingerprint := range d.leastDepth {
		delete(d.leastDepth, fingerprint)
		if len(d.leastDepth) <= d.bounds.MaxStates/2 {
			return
		}
	}
}

// takeSteps takes each step of a state and visits the state after it. Only a state without steps, in which a path ends, is
// checked for settling; Run checks every state.
func (d *depthFirst) takeSteps(ctx context.Context, s System, path []string) {
	steps := s.Steps()
	if len(steps) == 0 {
		if property, detail := Settle(s); property != "" {
			d.recordCounterexample(path, property, detail)
		}
		return
	}
	for i, step := range steps {
		next := s
		if i > 0 {
			next = replayed(d.newSystem, path)
		}
		next.Take(step)
		d.result.Steps++
		d.result.StepsByKind[Kind(step)]++
		d.visit(ctx, next, append(path[:len(path):len(path)], step))
	}
}

func (d *depthFirst) recordCounterexample(path []string, property, detail string) {
	d.result.Counterexample = &Trace{Steps: append([]string{}, path...), Property: property, Detail: detail}
}
