package explore

import (
	"context"
	"runtime"
	"time"
)

// Deep explores depth first with a memory that is bounded by so many states: what is forgotten may be explored
// again. It needs a bound of depth. States counts those that were remembered at some time.
func Deep(ctx context.Context, make_ func() System, b Bounds) Result {
	began := time.Now()
	d := &diver{make: make_, bounds: b, ctx: ctx, seen: map[uint64]int{}, r: Result{Taken: map[string]int{}}}
	if b.For > 0 {
		var cancel context.CancelFunc
		d.ctx, cancel = context.WithTimeout(ctx, b.For)
		defer cancel()
	}
	d.dive(make_(), nil)
	d.r.Complete = d.r.Stopped == "" && d.r.Broken == nil
	d.r.Seconds = time.Since(began).Seconds()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	d.r.Heap = m.HeapAlloc
	return d.r
}

type diver struct {
	make   func() System
	bounds Bounds
	ctx    context.Context
	seen   map[uint64]int // the least depth at which each was explored
	r      Result
}

func (d *diver) dive(s System, path []string) {
	if d.r.Broken != nil || d.r.Stopped != "" {
		return
	}
	if d.ctx.Err() != nil {
		d.r.Stopped = "it was ended before it was complete"
		return
	}
	var h Hash
	s.Fingerprint(&h)
	f := h.Sum()
	if depth, seen := d.seen[f]; seen && depth <= len(path) {
		return
	}
	if d.bounds.States > 0 && len(d.seen) >= d.bounds.States {
		for k := range d.seen { // any: half of them go
			if delete(d.seen, k); len(d.seen) <= d.bounds.States/2 {
				break
			}
		}
	}
	d.seen[f] = len(path)
	d.r.States++
	d.r.Depth = max(d.r.Depth, len(path))
	if property, how := s.Broken(); property != "" {
		d.r.Broken = &Trace{Steps: append([]string{}, path...), Property: property, How: how}
		return
	}
	if s.Ended() {
		d.r.Ends++
	}
	if len(path) >= d.bounds.Depth {
		d.r.Edge++
		return
	}
	steps := s.Steps()
	if len(steps) == 0 { // others are asked on their way here, or by a search in breadth
		if property, how := Settled(s); property != "" {
			d.r.Broken = &Trace{Steps: append([]string{}, path...), Property: property, How: how}
		}
	}
	for i, step := range steps {
		next := s
		if i > 0 {
			next = d.make()
			for _, p := range path {
				next.Take(p)
			}
		}
		next.Take(step)
		d.r.Steps++
		d.r.Taken[Kind(step)]++
		d.dive(next, append(path[:len(path):len(path)], step))
	}
}
