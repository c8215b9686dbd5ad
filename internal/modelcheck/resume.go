package modelcheck

import "math"

// Saved is a stopped exploration that can be resumed. Each list but Names has one entry for each state. It is stored in
// files under the names of its fields, so they must not change.
type Saved struct {
	Parents  []int32  // index of the state from which the state was first reached; negative for the first state
	By       []int32  // step by which the state was first reached, an index into Names
	Prints   []uint64 // fingerprint
	Ended    []bool   // whether the state is an end state
	Names    []string // names of the steps
	Expanded []bool   // whether all steps from the state were taken
	Steps    int      // number of steps taken so far
}

// save returns the stopped exploration. A state some of whose steps were skipped counts as not expanded, since a resumed
// exploration skips no steps.
func (e *explorer) save() *Saved {
	saved := &Saved{Names: e.stepNames, Steps: int(e.stepsTaken.Load())}
	for i := range e.states {
		s := &e.states[i]
		saved.Parents = append(saved.Parents, s.parent)
		saved.By = append(saved.By, s.step)
		saved.Prints = append(saved.Prints, s.fingerprint)
		saved.Ended = append(saved.Ended, s.isEnd)
		isFullyExpanded := s.expanded && len(s.sleep) == 0 && e.wakeSets[int32(i)] == nil
		saved.Expanded = append(saved.Expanded, isFullyExpanded)
	}
	return saved
}

// restore loads a stopped exploration and returns the level with which to continue: its states are the unexpanded ones of
// the least depth, and all other unexpanded states are in the level after it.
func (e *explorer) restore(saved *Saved) level {
	for i, fingerprint := range saved.Prints {
		e.states = append(e.states, state{
			parent: saved.Parents[i], step: saved.By[i], fingerprint: fingerprint,
			isEnd: saved.Ended[i], expanded: saved.Expanded[i],
		})
		e.seen[fingerprint%seenShards].indexByFingerprint[fingerprint] = int32(i)
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
	for i := range e.states { // a state has a higher index than its parent
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
