package explore

import (
	"math"
)

// Saved is an exploration that was stopped, to be taken up again.
type Saved struct {
	Parents, By []int32
	Prints      []uint64
	Ended       []bool
	Names       []string
	Expanded    []bool
	Steps       int
}

// save keeps a stopped exploration. States whose steps commuted are marked as not expanded if some of them
// were spared: what is taken up spares none.
func (e *explorer) save() *Saved {
	s := &Saved{Prints: e.fingerprints, Ended: e.isEnd, Names: e.stepNames, Steps: int(e.stepsTaken.Load())}
	for i, n := range e.nodes {
		s.Parents, s.By = append(s.Parents, n.parent), append(s.By, n.step)
		s.Expanded = append(s.Expanded, e.expanded[i] && len(e.sleepSets[i]) == 0 && e.wakeSets[int32(i)] == nil)
	}
	return s
}

// restore returns the states of the least depth that were not expanded, the others, and that depth.
func (e *explorer) restore(s *Saved) (first, later []int32, depth int) {
	for i, p := range s.Prints {
		e.nodes = append(e.nodes, node{s.Parents[i], s.By[i]})
		e.seen[p%seenShards].at[p] = int32(i)
	}
	e.fingerprints, e.isEnd = append(e.fingerprints, s.Prints...), append(e.isEnd, s.Ended...)
	e.sleepSets, e.expanded = make([]map[int32]bool, len(s.Prints)), make([]bool, len(s.Prints))
	for i, n := range s.Names {
		e.stepNames = append(e.stepNames, n)
		e.stepIndex[n] = int32(i)
	}
	e.stepsTaken.Store(int64(s.Steps))
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
