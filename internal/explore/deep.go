package explore

import (
	"context"
	"runtime"
	"time"
)

// RunDepthFirst explores depth first with a memory that is bounded by so many states: what is forgotten may be explored
// again. It needs a bound of depth. States counts those that were remembered at some time.
func RunDepthFirst(ctx context.Context, make_ func() System, b Bounds) Result {
	began := time.Now()
	d := &depthFirst{newSystem: make_, bounds: b, ctx: ctx, leastDepth: map[uint64]int{}, result: Result{StepsByKind: map[string]int{}}}
	if b.MaxDuration > 0 {
		var cancel context.CancelFunc
		d.ctx, cancel = context.WithTimeout(ctx, b.MaxDuration)
		defer cancel()
	}
	d.visit(make_(), nil)
	d.result.Complete = d.result.StopReason == "" && d.result.Counterexample == nil
	d.result.Seconds = time.Since(began).Seconds()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	d.result.PeakHeapBytes = m.HeapAlloc
	return d.result
}

type depthFirst struct {
	newSystem  func() System
	bounds     Bounds
	ctx        context.Context
	leastDepth map[uint64]int // the least depth at which each was explored
	result     Result
}

func (d *depthFirst) visit(s System, path []string) {
	if d.result.Counterexample != nil || d.result.StopReason != "" {
		return
	}
	if d.ctx.Err() != nil {
		d.result.StopReason = "it was ended before it was complete"
		return
	}
	var h Hash
	s.Fingerprint(&h)
	f := h.Sum()
	if depth, seen := d.leastDepth[f]; seen && depth <= len(path) {
		return
	}
	if d.bounds.MaxStates > 0 && len(d.leastDepth) >= d.bounds.MaxStates {
		for k := range d.leastDepth { // any: half of them go
			if delete(d.leastDepth, k); len(d.leastDepth) <= d.bounds.MaxStates/2 {
				break
			}
		}
	}
	d.leastDepth[f] = len(path)
	d.result.States++
	d.result.Depth = max(d.result.Depth, len(path))
	if property, how := s.Broken(); property != "" {
		d.result.Counterexample = &Trace{Steps: append([]string{}, path...), Property: property, How: how}
		return
	}
	if s.Ended() {
		d.result.EndStates++
	}
	if len(path) >= d.bounds.MaxDepth {
		d.result.AtDepthBound++
		return
	}
	steps := s.Steps()
	if len(steps) == 0 { // others are asked on their way here, or by a search in breadth
		if property, how := Settled(s); property != "" {
			d.result.Counterexample = &Trace{Steps: append([]string{}, path...), Property: property, How: how}
		}
	}
	for i, step := range steps {
		next := s
		if i > 0 {
			next = d.newSystem()
			for _, p := range path {
				next.Take(p)
			}
		}
		next.Take(step)
		d.result.Steps++
		d.result.StepsByKind[Kind(step)]++
		d.visit(next, append(path[:len(path):len(path)], step))
	}
}
