// Package explore takes a system through every order of its steps within bounds, and tells the shortest way to
// a state in which a property is broken, or from which the promised end cannot be reached any more. It knows
// nothing of what it explores.
//
// A state is known by the fingerprint of all that decides its future. States are not kept but played again from
// the start: the systems here are the code that serves, with closures and pointers that cannot be copied.
package explore

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// System is one that is explored. It must be deterministic: the same steps lead to the same state.
type System interface {
	// Steps lists what may happen now, always in the same order, each name once.
	Steps() []string
	// Take has one of them happen.
	Take(step string)
	// Fingerprint adds all that decides the future to a hash.
	Fingerprint(h *Hash)
	// Broken names a property that does not hold any more, and how; empty: all hold.
	Broken() (property, how string)
	// Ended tells whether what is promised to come has come.
	Ended() bool
}

// Bounds of an exploration. What is 0 is not bounded.
type Bounds struct {
	Depth   int           // steps from the start
	States  int           // that are kept
	Memory  uint64        // bytes of this process's heap
	For     time.Duration // of wall time
	Workers int           // 0: as many as cores
	Live    bool          // look for states from which no end can be reached
}

// Trace is a way to a state.
type Trace struct {
	Steps    []string `json:"steps"`
	Property string   `json:"property"`
	How      string   `json:"how"`
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

// node is a state that was reached: by which step from which other.
type node struct {
	parent int32
	step   int32
}

const shards = 64

type explorer struct {
	make     func() System
	bounds   Bounds
	mu       sync.Mutex // over what follows
	nodes    []node
	names    []string
	byName   map[string]int32
	taken    map[string]int
	edges    [][2]int32
	ended    []bool
	broken   *Trace
	brokenAt int32
	steps    atomic.Int64
	stopped  atomic.Pointer[string]
	seen     [shards]struct {
		sync.Mutex
		at map[uint64]int32
	}
	heap uint64
}

// Run explores breadth first, so that the first broken property found has a shortest trace.
func Run(ctx context.Context, make_ func() System, b Bounds, tell func(Progress)) Result {
	began := time.Now()
	if b.Workers == 0 {
		b.Workers = runtime.GOMAXPROCS(0)
	}
	if b.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, b.For)
		defer cancel()
	}
	e := &explorer{make: make_, bounds: b, byName: map[string]int32{}, taken: map[string]int{}}
	for i := range e.seen {
		e.seen[i].at = map[uint64]int32{}
	}
	root := make_()
	e.add(root, -1, -1, nil)
	r := Result{}
	frontier := []int32{0}
	for depth := 0; len(frontier) > 0 && e.broken == nil; depth++ {
		r.Depth = depth
		if b.Depth > 0 && depth >= b.Depth {
			r.Edge = len(frontier)
			break
		}
		if tell != nil {
			tell(Progress{States: len(e.nodes), Depth: depth, Frontier: len(frontier), Heap: e.measure()})
		}
		frontier = e.level(ctx, frontier)
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
	r.Taken, r.Broken, r.Seconds = e.taken, e.broken, time.Since(began).Seconds()
	return r
}

func (e *explorer) measure() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	e.heap = max(e.heap, m.HeapAlloc)
	return m.HeapAlloc
}

func (e *explorer) stop(why string) { e.stopped.CompareAndSwap(nil, &why) }

// level takes every step of every state of one depth, and returns the states that are new.
func (e *explorer) level(ctx context.Context, frontier []int32) []int32 {
	var next atomic.Int64
	var work sync.WaitGroup
	found := make([][]int32, e.bounds.Workers)
	for w := range e.bounds.Workers {
		work.Add(1)
		go func() {
			defer work.Done()
			for e.stopped.Load() == nil {
				i := int(next.Add(1)) - 1
				if i >= len(frontier) {
					return
				}
				if ctx.Err() != nil {
					e.stop("it was ended before it was complete")
					return
				}
				if i%256 == 0 && e.bounds.Memory > 0 {
					var m runtime.MemStats
					runtime.ReadMemStats(&m)
					if m.HeapAlloc > e.bounds.Memory {
						e.stop(fmt.Sprintf("memory: %d bytes are in use, %d at most", m.HeapAlloc, e.bounds.Memory))
						return
					}
				}
				found[w] = append(found[w], e.expand(frontier[i])...)
			}
		}()
	}
	work.Wait()
	var all []int32
	for _, f := range found {
		all = append(all, f...)
	}
	return all
}

// path is the steps that lead to a state.
func (e *explorer) path(at int32) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var back []string
	for n := e.nodes[at]; n.parent >= 0; n = e.nodes[n.parent] {
		back = append(back, e.names[n.step])
	}
	for i, j := 0, len(back)-1; i < j; i, j = i+1, j-1 {
		back[i], back[j] = back[j], back[i]
	}
	return back
}

func (e *explorer) replay(path []string) System {
	s := e.make()
	for _, p := range path {
		s.Take(p)
	}
	return s
}

func (e *explorer) expand(at int32) (fresh []int32) {
	path := e.path(at)
	s := e.replay(path)
	steps := s.Steps()
	for i, step := range steps {
		if i > 0 {
			s = e.replay(path)
		}
		s.Take(step)
		e.steps.Add(1)
		if n, isNew := e.add(s, at, e.name(step), path); isNew {
			fresh = append(fresh, n)
		}
	}
	return fresh
}

func (e *explorer) name(step string) int32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.taken[Kind(step)]++
	n, ok := e.byName[step]
	if !ok {
		n = int32(len(e.names))
		e.names = append(e.names, step)
		e.byName[step] = n
	}
	return n
}

// Kind is a step's name up to the first blank.
func Kind(step string) string {
	for i := range step {
		if step[i] == ' ' {
			return step[:i]
		}
	}
	return step
}

// add notes a state; isNew if it was not seen before.
func (e *explorer) add(s System, parent, step int32, path []string) (at int32, isNew bool) {
	buffer := buffers.Get().(*[]byte)
	h := Hash{raw: (*buffer)[:0]}
	s.Fingerprint(&h)
	f := h.Sum()
	*buffer = h.raw
	buffers.Put(buffer)
	shard := &e.seen[f%shards]
	shard.Lock()
	defer shard.Unlock()
	at, seen := shard.at[f]
	property, how := "", ""
	if !seen {
		property, how = s.Broken()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !seen {
		at = int32(len(e.nodes))
		shard.at[f] = at
		e.nodes = append(e.nodes, node{parent, step})
		e.ended = append(e.ended, s.Ended())
		if e.bounds.States > 0 && len(e.nodes) >= e.bounds.States {
			e.stop(fmt.Sprintf("%d states are kept, which is the bound", len(e.nodes)))
		}
		if property != "" && e.broken == nil {
			steps := append([]string{}, path...)
			if step >= 0 {
				steps = append(steps, e.names[step])
			}
			e.broken = &Trace{Steps: steps, Property: property, How: how}
			e.stop("a property is broken")
		}
	}
	if e.bounds.Live && parent >= 0 {
		e.edges = append(e.edges, [2]int32{parent, at})
	}
	return at, !seen
}

// Stuck is the property that no state is without a way to the promised end.
const Stuck = "the end can be reached"

// live looks for a state from which no state that has ended can be reached. States at the bound of depth may
// still reach one, and count as if they did.
func (e *explorer) live(frontier []int32, edge int) {
	reaches := append([]bool{}, e.ended...)
	if edge > 0 {
		for _, f := range frontier {
			reaches[f] = true
		}
	}
	back := make([][]int32, len(e.nodes))
	for _, x := range e.edges {
		back[x[1]] = append(back[x[1]], x[0])
	}
	var queue []int32
	for i, r := range reaches {
		if r {
			queue = append(queue, int32(i))
		}
	}
	for len(queue) > 0 {
		n := queue[0]
		queue = queue[1:]
		for _, p := range back[n] {
			if !reaches[p] {
				reaches[p] = true
				queue = append(queue, p)
			}
		}
	}
	for i, r := range reaches {
		if !r { // they are in the order of their depth
			e.broken = &Trace{Steps: e.path(int32(i)), Property: Stuck, How: "from here no order of steps leads to it"}
			return
		}
	}
}

// Walk takes one way at random, so many steps long, and tells the first broken property on it.
func Walk(s System, steps int, pick func(n int) int, taken map[string]int) *Trace {
	var path []string
	for range steps {
		enabled := s.Steps()
		if len(enabled) == 0 {
			return nil
		}
		step := enabled[pick(len(enabled))]
		path = append(path, step)
		taken[Kind(step)]++
		s.Take(step)
		if property, how := s.Broken(); property != "" {
			return &Trace{Steps: path, Property: property, How: how}
		}
	}
	return nil
}

// Replay plays a trace on a system as it is now: how far its steps could be taken, and what was broken.
func Replay(s System, t Trace) (taken int, property, how string) {
	for _, step := range t.Steps {
		enabled := false
		for _, e := range s.Steps() {
			enabled = enabled || e == step
		}
		if !enabled {
			return taken, "", fmt.Sprintf("step %d, %q, is not possible any more", taken+1, step)
		}
		s.Take(step)
		taken++
		if property, how = s.Broken(); property != "" {
			return taken, property, how
		}
	}
	return taken, "", ""
}
