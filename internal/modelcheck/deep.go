package modelcheck

import (
	"context"
	"time"
)

// RunDepthFirst explores depth first and remembers at most MaxStates states: what is forgotten may be explored again. It
// needs a bound of depth. Result.States counts those that were remembered at some time. Workers and CheckLiveness have no
// effect; every step is taken.
func RunDepthFirst(ctx context.Context, newSystem func() System, b Bounds) Result {
	began := time.Now()
	if b.MaxDuration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, b.MaxDuration)
		defer cancel()
	}
	d := &depthFirst{
		newSystem: newSystem, bounds: b, leastDepth: map[uint64]int{},
		result: Result{StepsByKind: map[string]int{}},
	}
	d.visit(ctx, newSystem(), nil)
	d.result.Complete = d.result.StopReason == "" && d.result.Counterexample == nil
	d.result.Seconds = time.Since(began).Seconds()
	d.result.PeakHeapBytes = heapInUse()
	return d.result
}

type depthFirst struct {
	newSystem  func() System
	bounds     Bounds
	leastDepth map[uint64]int // by fingerprint: the least depth at which a state was explored
	result     Result
}

// visit explores all that comes after a state that a path leads to.
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
	if property, how := s.Broken(); property != "" {
		d.breaks(path, property, how)
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

// remember notes a state; false if it was explored at this depth or a lesser one.
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

// forgetHalf forgets any half of the states.
func (d *depthFirst) forgetHalf() {
	for fingerprint := range d.leastDepth {
		delete(d.leastDepth, fingerprint)
		if len(d.leastDepth) <= d.bounds.MaxStates/2 {
			return
		}
	}
}

// takeSteps visits what each step leads to. Only a state without steps is asked for its promise: the others are asked on
// their way, or by a search in breadth.
func (d *depthFirst) takeSteps(ctx context.Context, s System, path []string) {
	steps := s.Steps()
	if len(steps) == 0 {
		if property, how := Settled(s); property != "" {
			d.breaks(path, property, how)
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

func (d *depthFirst) breaks(path []string, property, how string) {
	d.result.Counterexample = &Trace{Steps: append([]string{}, path...), Property: property, How: how}
}
