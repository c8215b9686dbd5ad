package explore

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
)

// node is a state that was reached: by which step from which other.
type node struct {
	parent int32
	step   int32
}

const seenShards = 64

type explorer struct {
	newSystem      func() System
	bounds         Bounds
	mu             sync.Mutex // over what follows
	nodes          []node
	stepNames      []string
	stepIndex      map[string]int32
	stepsByKind    map[string]int
	edges          [][2]int32
	isEnd          []bool
	fingerprints   []uint64
	sleepSets      []map[int32]bool // steps that need not be taken, if any commute
	expanded       []bool
	wakeSets       map[int32]map[int32]bool // states of the next depth that must take some steps after all
	commutes       bool
	stepsSkipped   atomic.Int64
	counterexample *Trace
	brokenAt       int32
	stepsTaken     atomic.Int64
	stopReason     atomic.Pointer[string]
	seen           [seenShards]struct {
		sync.Mutex
		at map[uint64]int32
	}
	peakHeapBytes uint64
}

func (e *explorer) measureHeap() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	e.peakHeapBytes = max(e.peakHeapBytes, m.HeapAlloc)
	return m.HeapAlloc
}

func (e *explorer) stop(why string) { e.stopReason.CompareAndSwap(nil, &why) }

// expandLevel takes every step of every state of one depth, and returns the states that are new.
func (e *explorer) expandLevel(ctx context.Context, frontier []int32) []int32 {
	var next atomic.Int64
	var work sync.WaitGroup
	found := make([][]int32, e.bounds.Workers)
	for w := range e.bounds.Workers {
		work.Add(1)
		go func() {
			defer work.Done()
			for e.stopReason.Load() == nil {
				i := int(next.Add(1)) - 1
				if i >= len(frontier) {
					return
				}
				if ctx.Err() != nil {
					e.stop("it was ended before it was complete")
					return
				}
				if i%256 == 0 && e.bounds.MaxHeapBytes > 0 {
					var m runtime.MemStats
					runtime.ReadMemStats(&m)
					if m.HeapAlloc > e.bounds.MaxHeapBytes {
						e.stop(fmt.Sprintf("memory: %d bytes are in use, %d at most", m.HeapAlloc, e.bounds.MaxHeapBytes))
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
	for at := range e.wakeSets { // and those that were there before, and must take more steps after all
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
		back = append(back, e.stepNames[n.step])
	}
	for i, j := 0, len(back)-1; i < j; i, j = i+1, j-1 {
		back[i], back[j] = back[j], back[i]
	}
	return back
}

func (e *explorer) replay(path []string) System {
	s := e.newSystem()
	for _, p := range path {
		s.Take(p)
	}
	return s
}

func (e *explorer) expand(at int32) (fresh []int32) {
	path := e.path(at)
	s := e.replay(path)
	steps := s.Steps()
	asleep, only := e.stepsToSkip(at)
	commuter, _ := s.(Commutes)
	var done []int32 // steps that were taken here before
	used := false
	for _, step := range steps {
		n := e.internStep(step)
		if only != nil && !only[n] || only == nil && asleep[n] {
			e.stepsSkipped.Add(1)
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
		e.stepsTaken.Add(1)
		e.countStep(step)
		var rest map[int32]bool
		if e.commutes {
			rest = map[int32]bool{}
			for o := range asleep {
				if !only[o] && commuter.Commute(e.stepName(o), step) {
					rest[o] = true
				}
			}
			for _, o := range done {
				if commuter.Commute(e.stepName(o), step) {
					rest[o] = true
				}
			}
		}
		done = append(done, n)
		if c, isNew := e.add(s, at, n, path, rest); isNew {
			fresh = append(fresh, c)
			e.checkPromise(s, c)
		}
	}
	return fresh
}

// stepsToSkip are the steps that a state need not take; if it was expanded before, only are those that it must take
// after all.
func (e *explorer) stepsToSkip(at int32) (asleep, only map[int32]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.expanded[at] {
		e.expanded[at] = true
		return e.sleepSets[at], nil
	}
	only = e.wakeSets[at]
	delete(e.wakeSets, at)
	if only == nil {
		only = map[int32]bool{}
	}
	return e.sleepSets[at], only
}

func (e *explorer) stepName(step int32) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stepNames[step]
}

func (e *explorer) countStep(step string) {
	e.mu.Lock()
	e.stepsByKind[Kind(step)]++
	e.mu.Unlock()
}

func (e *explorer) internStep(step string) int32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	n, ok := e.stepIndex[step]
	if !ok {
		n = int32(len(e.stepNames))
		e.stepNames = append(e.stepNames, step)
		e.stepIndex[step] = n
	}
	return n
}

// add notes a state; isNew if it was not seen before.
func (e *explorer) add(s System, parent, step int32, path []string, rest map[int32]bool) (at int32, isNew bool) {
	buffer := buffers.Get().(*[]byte)
	h := Hash{bytes: (*buffer)[:0]}
	s.Fingerprint(&h)
	f := h.Sum()
	*buffer = h.bytes
	buffers.Put(buffer)
	shard := &e.seen[f%seenShards]
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
		e.isEnd = append(e.isEnd, s.Ended())
		e.fingerprints, e.sleepSets, e.expanded = append(e.fingerprints, f), append(e.sleepSets, rest), append(e.expanded, false)
		if e.bounds.MaxStates > 0 && len(e.nodes) >= e.bounds.MaxStates {
			e.stop(fmt.Sprintf("%d states are kept, which is the bound", len(e.nodes)))
		}
		if property != "" && e.counterexample == nil {
			steps := append([]string{}, path...)
			if step >= 0 {
				steps = append(steps, e.stepNames[step])
			}
			e.counterexample = &Trace{Steps: steps, Property: property, How: how}
			e.stop("a property is broken")
		}
	}
	if seen && e.commutes {
		e.wake(at, rest)
	}
	if e.bounds.CheckLiveness && parent >= 0 {
		e.edges = append(e.edges, [2]int32{parent, at})
	}
	return at, !seen
}

// checkPromise sees whether a new state's promise comes, left alone.
func (e *explorer) checkPromise(s System, at int32) {
	if e.stopReason.Load() != nil {
		return
	}
	if property, how := Settled(s); property != "" {
		path := e.path(at)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.counterexample == nil {
			e.counterexample = &Trace{Steps: path, Property: property, How: how}
			e.stop("a property is broken")
		}
	}
}

// wake notes that a state was reached again by a way on which fewer of its steps may be left out: those that
// were left out before and may not be now are taken after all.
func (e *explorer) wake(at int32, rest map[int32]bool) {
	kept := map[int32]bool{}
	for o := range e.sleepSets[at] {
		if rest[o] {
			kept[o] = true
			continue
		}
		if !e.expanded[at] {
			continue // it will be taken with the others
		}
		if e.wakeSets[at] == nil {
			e.wakeSets[at] = map[int32]bool{}
		}
		e.wakeSets[at][o] = true
	}
	if len(kept) < len(e.sleepSets[at]) {
		e.sleepSets[at] = kept
	}
}
