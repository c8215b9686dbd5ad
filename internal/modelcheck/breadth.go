package modelcheck

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	seenShards        = 64  // parts of the table of states, locked separately so that workers seldom wait for each other
	heapCheckInterval = 256 // states expanded between two checks of the heap's size
	noParent          = -1  // parent of the first state
)

// Reasons why an exploration stops before it is complete.
const (
	stoppedEarly      = "it was ended before it was complete"
	stoppedByProperty = "a property is broken"
)

// stepSet is a set of steps, as indexes into explorer.stepNames.
type stepSet map[int32]bool

// state is a state that was reached.
type state struct {
	parent, step int32 // the state from which, and the step by which, this one was first reached
	fingerprint  uint64
	isEnd        bool
	expanded     bool
	sleep        stepSet // steps that need not be taken from this state; nil if no steps commute
}

// seenShard is one part of the table of states.
type seenShard struct {
	sync.Mutex
	indexByFingerprint map[uint64]int32 // index into explorer.states
}

// explorer explores breadth first, level by level. Its workers share it during a level; between levels only one
// goroutine uses it.
type explorer struct {
	newSystem func() System
	bounds    Bounds
	report    func(Progress)
	reduces   bool // steps that commute are taken in one order only

	peakHeapBytes uint64
	stepsTaken    atomic.Int64
	stepsSkipped  atomic.Int64
	stopReason    atomic.Pointer[string]
	seen          [seenShards]seenShard // table of the states reached; lock order: a part of the table, then mu

	mu             sync.Mutex // guards the fields below
	states         []state
	stepNames      []string
	stepIndex      map[string]int32
	stepsByKind    map[string]int
	edges          [][2]int32        // steps as pairs of states, from and to; kept only to check liveness
	wakeSets       map[int32]stepSet // steps that known states of the next level must take after all, by state
	counterexample *Trace
}

func newExplorer(newSystem func() System, b Bounds, report func(Progress)) *explorer {
	e := &explorer{
		newSystem: newSystem, bounds: b, report: report,
		stepIndex: map[string]int32{}, stepsByKind: map[string]int{}, wakeSets: map[int32]stepSet{},
	}
	for i := range e.seen {
		e.seen[i].indexByFingerprint = map[uint64]int32{}
	}
	return e
}

// start adds the first state and returns the states of the first level.
func (e *explorer) start() []int32 {
	first := e.newSystem()
	_, commutes := first.(Commuter)
	e.reduces = commutes && !e.bounds.TakeAllSteps && !e.bounds.CheckLiveness
	at, _ := e.add(first, arrival{parent: noParent})
	e.checkSettles(first, at)
	return []int32{at}
}

// level holds the states of one depth that are to be expanded.
type level struct {
	depth  int
	states []int32
	next   []int32 // states of the next level that are known already, from a resumed exploration
}

// runEnd holds where a run ended.
type runEnd struct {
	depth        int     // depth of the last level that was begun
	atDepthBound []int32 // states at MaxDepth, whose steps were not taken
}

// run expands level after level until no state is left, a bound is reached or a property breaks.
func (e *explorer) run(ctx context.Context, l level) (end runEnd) {
	for len(l.states) > 0 && e.counterexample == nil {
		end.depth = l.depth
		if e.bounds.MaxDepth > 0 && l.depth >= e.bounds.MaxDepth {
			end.atDepthBound = l.states
			break
		}
		if e.report != nil {
			e.report(Progress{States: len(e.states), Depth: l.depth, Frontier: len(l.states), HeapBytes: e.measureHeap()})
		}
		l = level{depth: l.depth + 1, states: append(e.expandLevel(ctx, l.states), l.next...)}
		if e.stopReason.Load() != nil {
			break
		}
	}
	return end
}

// heapInUse returns the size of this process's heap, in bytes.
func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func (e *explorer) measureHeap() uint64 {
	inUse := heapInUse()
	e.peakHeapBytes = max(e.peakHeapBytes, inUse)
	return inUse
}

// stop ends the exploration. If it is called several times, the first reason is kept.
func (e *explorer) stop(reason string) { e.stopReason.CompareAndSwap(nil, &reason) }

// expandLevel expands the states of one depth. It returns the states of the next level: those that are new, and known
// ones that must take some steps after all.
func (e *explorer) expandLevel(ctx context.Context, states []int32) []int32 {
	var next atomic.Int64
	var workers sync.WaitGroup
	found := make([][]int32, e.bounds.Workers)
	for w := range found {
		workers.Go(func() { found[w] = e.expandShare(ctx, states, &next) })
	}
	workers.Wait()
	nextLevel := slices.Concat(found...)
	for at := range e.wakeSets {
		nextLevel = append(nextLevel, at)
	}
	return nextLevel
}

// expandShare runs one worker. It expands states until none is left or the exploration stops, and returns the new states
// that it found. next, which all workers share, is the index of the next state to expand.
func (e *explorer) expandShare(ctx context.Context, states []int32, next *atomic.Int64) (found []int32) {
	for e.stopReason.Load() == nil {
		i := int(next.Add(1)) - 1
		if i >= len(states) {
			break
		}
		if ctx.Err() != nil {
			e.stop(stoppedEarly)
			break
		}
		if i%heapCheckInterval == 0 && e.isHeapFull() {
			break
		}
		found = append(found, e.expand(states[i])...)
	}
	return found
}

// isHeapFull reports whether the heap is larger than its bound, and if so stops the exploration.
func (e *explorer) isHeapFull() bool {
	if e.bounds.MaxHeapBytes == 0 {
		return false
	}
	inUse := heapInUse()
	if inUse <= e.bounds.MaxHeapBytes {
		return false
	}
	e.stop(fmt.Sprintf("memory: the heap holds %d bytes, more than the bound of %d", inUse, e.bounds.MaxHeapBytes))
	return true
}

// expand takes the steps of a state and returns the new states that they lead to.
func (e *explorer) expand(at int32) (fresh []int32) {
	path := e.path(at)
	s := e.replay(path)
	current := e.beginExpansion(at, s)
	for _, name := range s.Steps() {
		step := e.internStep(name)
		if current.skips(step) {
			e.stepsSkipped.Add(1)
			continue
		}
		if s == nil {
			s = e.replay(path)
		}
		s.Take(name)
		e.countStep(name)
		child, isNew := e.add(s, arrival{parent: at, step: step, path: path, sleep: e.sleepAfter(current, name)})
		current.taken = append(current.taken, step)
		if isNew {
			fresh = append(fresh, child)
			e.checkSettles(s, child)
		}
		s = nil // a system cannot undo a step, so the next step needs a new one
	}
	return fresh
}

// path returns the steps by which a state was first reached from the first state.
func (e *explorer) path(at int32) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var path []string
	for s := e.states[at]; s.parent != noParent; s = e.states[s.parent] {
		path = append(path, e.stepNames[s.step])
	}
	slices.Reverse(path)
	return path
}

func (e *explorer) replay(path []string) System { return replayed(e.newSystem, path) }

// replayed returns a new system that has taken the steps of a path.
func replayed(newSystem func() System, path []string) System {
	s := newSystem()
	for _, step := range path {
		s.Take(step)
	}
	return s
}

func (e *explorer) stepName(step int32) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stepNames[step]
}

func (e *explorer) countStep(name string) {
	e.stepsTaken.Add(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepsByKind[Kind(name)]++
}

// internStep returns the index of a step's name.
func (e *explorer) internStep(name string) int32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	step, known := e.stepIndex[name]
	if !known {
		step = int32(len(e.stepNames))
		e.stepNames = append(e.stepNames, name)
		e.stepIndex[name] = step
	}
	return step
}

// arrival describes how a state was reached.
type arrival struct {
	parent, step int32
	path         []string // steps to the parent
	sleep        stepSet  // steps that need not be taken from the state
}

// add records that a system has reached a state. It returns the state's index and whether the state is new.
func (e *explorer) add(s System, a arrival) (at int32, isNew bool) {
	fingerprint := fingerprintOf(s)
	shard := &e.seen[fingerprint%seenShards]
	shard.Lock()
	defer shard.Unlock()
	at, known := shard.indexByFingerprint[fingerprint]
	if !known {
		at = e.addNew(s, a, fingerprint)
		shard.indexByFingerprint[fingerprint] = at
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if known && e.reduces {
		e.wake(at, a.sleep)
	}
	if e.bounds.CheckLiveness && a.parent != noParent {
		e.edges = append(e.edges, [2]int32{a.parent, at})
	}
	return at, !known
}

func (e *explorer) addNew(s System, a arrival, fingerprint uint64) int32 {
	property, detail := s.Broken()
	isEnd := s.Ended()
	e.mu.Lock()
	defer e.mu.Unlock()
	at := int32(len(e.states))
	e.states = append(e.states, state{parent: a.parent, step: a.step, fingerprint: fingerprint, isEnd: isEnd, sleep: a.sleep})
	if e.bounds.MaxStates > 0 && len(e.states) >= e.bounds.MaxStates {
		e.stop(fmt.Sprintf("%d states are stored, which is the bound", len(e.states)))
	}
	if property != "" {
		steps := append([]string{}, a.path...)
		if a.parent != noParent {
			steps = append(steps, e.stepNames[a.step])
		}
		e.recordCounterexample(Trace{Steps: steps, Property: property, Detail: detail})
	}
	return at
}

// recordCounterexample records the first counterexample and stops the exploration. The caller holds mu.
func (e *explorer) recordCounterexample(t Trace) {
	if e.counterexample == nil {
		e.counterexample = &t
		e.stop(stoppedByProperty)
	}
}

// checkSettles checks that the system settles from a new state (see Settler). The system must not be used after it.
func (e *explorer) checkSettles(s System, at int32) {
	if e.stopReason.Load() != nil {
		return
	}
	property, detail := Settle(s)
	if property == "" {
		return
	}
	path := e.path(at)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordCounterexample(Trace{Steps: path, Property: property, Detail: detail})
}

// result returns the result of the exploration so far.
func (e *explorer) result(end runEnd, began time.Time) Result {
	r := Result{
		Depth: end.depth, AtDepthBound: len(end.atDepthBound),
		States: len(e.states), Steps: int(e.stepsTaken.Load()), StepsSkipped: int(e.stepsSkipped.Load()),
		CollisionChance: collisionChance(len(e.states)), PeakHeapBytes: e.peakHeapBytes,
		StepsByKind: e.stepsByKind, Counterexample: e.counterexample, Seconds: time.Since(began).Seconds(),
	}
	for i := range e.states {
		if e.states[i].isEnd {
			r.EndStates++
		}
	}
	if reason := e.stopReason.Load(); reason != nil {
		r.StopReason = *reason
	}
	return r
}
