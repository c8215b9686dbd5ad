package modelcheck

// EndReachable is the property that an end state can be reached from every state.
const EndReachable = "the end can be reached"

// checkLiveness looks for a state from which no end state can be reached, and records it as the counterexample. States at
// the bound of depth may still reach an end state, so they count as if they did.
func (e *explorer) checkLiveness(atDepthBound []int32) {
	for i, reaches := range e.reachEnd(atDepthBound) {
		if !reaches { // states are ordered by depth, so the first one has a shortest trace
			e.counterexample = &Trace{
				Steps: e.path(int32(i)), Property: EndReachable,
				Detail: "no sequence of steps from here leads to an end state",
			}
			return
		}
	}
}

// reachEnd returns, for each state, whether an end state or a state at the bound of depth can be reached from it. It
// follows all steps taken backwards from those states.
func (e *explorer) reachEnd(atDepthBound []int32) []bool {
	predecessors := make([][]int32, len(e.states))
	for _, step := range e.edges {
		from, to := step[0], step[1]
		predecessors[to] = append(predecessors[to], from)
	}
	reaches := make([]bool, len(e.states))
	var queue []int32
	visit := func(at int32) {
		if !reaches[at] {
			reaches[at] = true
			queue = append(queue, at)
		}
	}
	for i := range e.states {
		if e.states[i].isEnd {
			visit(int32(i))
		}
	}
	for _, at := range atDepthBound {
		visit(at)
	}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for _, earlier := range predecessors[at] {
			visit(earlier)
		}
	}
	return reaches
}
