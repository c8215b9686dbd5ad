package modelcheck

import "math"

// Saved is an exploration that was stopped, to be resumed. Its lists have an entry a state, but for Names. It is stored
// under the names of its fields.
type Saved struct {
	Parents  []int32 // the state before; negative for the first
	By       []int32 // the step from there, an index into Names
	Prints   []uint64
	Ended    []bool
	Names    []string // of steps
	Expanded []bool   // all steps from the state were taken
	Steps    int      // taken so far
}

// save returns a stopped exploration. A state of which steps were skipped counts as not expanded: an exploration that is
// resumed skips none.
func (e *explorer) save() *Saved {
	saved := &Saved{Names: e.stepNames, Steps: int(e.stepsTaken.Load())}
	for i := range e.states {
		s := &e.states[i]
		saved.Parents = append(saved.Parents, s.parent)
		saved.By = append(saved.By, s.step)
		saved.Prints = append(saved.Prints, s.fingerprint)
		saved.Ended = append(saved.Ended, s.isEnd)
		isWhole := s.expanded && len(s.sleep) == 0 && e.wakeSets[int32(i)] == nil
		saved.Expanded = append(saved.Expanded, isWhole)
	}
	return saved
}

// restore takes over a stopped exploration and returns the level to go on with: the states of the least depth that were
// not expanded, and the others as those of the next.
func (e *explorer) restore(saved *Saved) level {
	for i, fingerprint := range saved.Prints {
		e.states = append(e.states, state{
			parent: saved.Parents[i], step: saved.By[i], fingerprint: fingerprint,
			isEnd: saved.Ended[i], expanded: saved.Expanded[i],
		})
		e.seen[fingerprint%seenShards].at[fingerprint] = int32(i)
	}
	for _, name := range saved.Names {
		e.internStep(name)
	}
	e.stepsTaken.Store(int64(saved.Steps))
	return e.firstToExpand()
}

func (e *explorer) firstToExpand() level {
	depths := make([]int, len(e.states))
	first := level{depth: math.MaxInt}
	for i := range e.states { // a state comes after its parent
		s := &e.states[i]
		if s.parent >= 0 {
			depths[i] = depths[s.parent] + 1
		}
		if !s.expanded {
			first.depth = min(first.depth, depths[i])
		}
	}
	for i := range e.states {
		switch {
		case e.states[i].expanded:
		case depths[i] == first.depth:
			first.states = append(first.states, int32(i))
		default:
			first.next = append(first.next, int32(i))
		}
	}
	return first
}
