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

// Commuter is a System that knows of steps that may change places: after either order of the two, both being
// possible, the state is the same and neither makes the other possible or impossible. What commutes is taken in
// one order only. All states are still seen; fewer steps are taken.
type Commuter interface {
	Commute(a, b string) bool
}

// Settler is a System with a promise: from every state, left alone, it comes to the promised end. Settle lets it go
// on with nobody against it for as long as that may take, beyond the bounds, and names what did not come. It is
// asked in every state; the system is not used after it.
type Settler interface {
	Settle() (property, how string)
}

// Settled asks a system for its promise, if it has one.
func Settled(s System) (property, how string) {
	if x, ok := s.(Settler); ok {
		return x.Settle()
	}
	return "", ""
}

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
	prints   []uint64
	asleep   []map[int32]bool // steps that need not be taken, if any commute
	expanded []bool
	again    map[int32]map[int32]bool // states of the next depth that must take some steps after all
	commutes bool
	spared   atomic.Int64
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

// Saved is an exploration that was stopped, to be taken up again.
type Saved struct {
	Parents, By []int32
	Prints      []uint64
	Ended       []bool
	Names       []string
	Expanded    []bool
	Steps       int
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

// save keeps a stopped exploration. States whose steps commuted are marked as not expanded if some of them
// were spared: what is taken up spares none.
func (e *explorer) save() *Saved {
	s := &Saved{Prints: e.prints, Ended: e.ended, Names: e.names, Steps: int(e.steps.Load())}
	for i, n := range e.nodes {
		s.Parents, s.By = append(s.Parents, n.parent), append(s.By, n.step)
		s.Expanded = append(s.Expanded, e.expanded[i] && len(e.asleep[i]) == 0 && e.again[int32(i)] == nil)
	}
	return s
}

// restore returns the states of the least depth that were not expanded, the others, and that depth.
func (e *explorer) restore(s *Saved) (first, later []int32, depth int) {
	for i, p := range s.Prints {
		e.nodes = append(e.nodes, node{s.Parents[i], s.By[i]})
		e.seen[p%shards].at[p] = int32(i)
	}
	e.prints, e.ended = append(e.prints, s.Prints...), append(e.ended, s.Ended...)
	e.asleep, e.expanded = make([]map[int32]bool, len(s.Prints)), make([]bool, len(s.Prints))
	for i, n := range s.Names {
		e.names = append(e.names, n)
		e.byName[n] = int32(i)
	}
	e.steps.Store(int64(s.Steps))
	depths := make([]int, len(s.Parents))
	least := math.MaxInt
	for i, p := range s.Parents { // a parent comes before its children
		if p >= 0 {
			depths[i] = depths[p] + 1
		}
		if !s.Expanded[i] {
			least = min(least, depths[i])
		}
	}
	for i, done := range s.Expanded {
		e.expanded[i] = done
		switch {
		case done:
		case depths[i] == least:
			first = append(first, int32(i))
		default:
			later = append(later, int32(i))
		}
	}
	return first, later, least
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
	for at := range e.again { // and those that were there before, and must take more steps after all
		all = append(all, at)
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
	asleep, only := e.sleeping(at)
	commuter, _ := s.(Commuter)
	var done []int32 // steps that were taken here before
	used := false
	for _, step := range steps {
		n := e.name(step)
		if only != nil && !only[n] || only == nil && asleep[n] {
			e.spared.Add(1)
			if only != nil && !asleep[n] {
				done = append(done, n)
			}
			continue
		}
		if used {
			s = e.replay(path)
		}
		used = true
		s.Take(step)
		e.steps.Add(1)
		e.count(step)
		var rest map[int32]bool
		if e.commutes {
			rest = map[int32]bool{}
			for o := range asleep {
				if !only[o] && commuter.Commute(e.text(o), step) {
					rest[o] = true
				}
			}
			for _, o := range done {
				if commuter.Commute(e.text(o), step) {
					rest[o] = true
				}
			}
		}
		done = append(done, n)
		if c, isNew := e.add(s, at, n, path, rest); isNew {
			fresh = append(fresh, c)
			e.settle(s, c)
		}
	}
	return fresh
}

// sleeping are the steps that a state need not take; if it was expanded before, only are those that it must take
// after all.
func (e *explorer) sleeping(at int32) (asleep, only map[int32]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.expanded[at] {
		e.expanded[at] = true
		return e.asleep[at], nil
	}
	only = e.again[at]
	delete(e.again, at)
	if only == nil {
		only = map[int32]bool{}
	}
	return e.asleep[at], only
}

func (e *explorer) text(step int32) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.names[step]
}

func (e *explorer) count(step string) {
	e.mu.Lock()
	e.taken[Kind(step)]++
	e.mu.Unlock()
}

func (e *explorer) name(step string) int32 {
	e.mu.Lock()
	defer e.mu.Unlock()
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
func (e *explorer) add(s System, parent, step int32, path []string, rest map[int32]bool) (at int32, isNew bool) {
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
		e.prints, e.asleep, e.expanded = append(e.prints, f), append(e.asleep, rest), append(e.expanded, false)
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
	if seen && e.commutes {
		e.wake(at, rest)
	}
	if e.bounds.Live && parent >= 0 {
		e.edges = append(e.edges, [2]int32{parent, at})
	}
	return at, !seen
}

// settle sees whether a new state's promise comes, left alone.
func (e *explorer) settle(s System, at int32) {
	if e.stopped.Load() != nil {
		return
	}
	if property, how := Settled(s); property != "" {
		path := e.path(at)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.broken == nil {
			e.broken = &Trace{Steps: path, Property: property, How: how}
			e.stop("a property is broken")
		}
	}
}

// wake notes that a state was reached again by a way on which fewer of its steps may be left out: those that
// were left out before and may not be now are taken after all.
func (e *explorer) wake(at int32, rest map[int32]bool) {
	kept := map[int32]bool{}
	for o := range e.asleep[at] {
		if rest[o] {
			kept[o] = true
			continue
		}
		if !e.expanded[at] {
			continue // it will be taken with the others
		}
		if e.again[at] == nil {
			e.again[at] = map[int32]bool{}
		}
		e.again[at][o] = true
	}
	if len(kept) < len(e.asleep[at]) {
		e.asleep[at] = kept
	}
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

// Walk takes one way at random, so many steps long, and tells the first broken property on it, or what does not come after it.
func Walk(s System, steps int, pick func(n int) int, taken map[string]int) *Trace {
	var path []string
	for range steps {
		enabled := s.Steps()
		if len(enabled) == 0 {
			break
		}
		step := enabled[pick(len(enabled))]
		path = append(path, step)
		taken[Kind(step)]++
		s.Take(step)
		if property, how := s.Broken(); property != "" {
			return &Trace{Steps: path, Property: property, How: how}
		}
	}
	if property, how := Settled(s); property != "" {
		return &Trace{Steps: path, Property: property, How: how}
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
	property, how = Settled(s)
	return taken, property, how
}
