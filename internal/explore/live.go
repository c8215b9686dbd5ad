package explore

// EndReachable is the property that no state is without a way to the promised end.
const EndReachable = "the end can be reached"

// checkLiveness looks for a state from which no state that has ended can be reached. States at the bound of depth may
// still reach one, and count as if they did.
func (e *explorer) checkLiveness(frontier []int32, edge int) {
	reaches := append([]bool{}, e.isEnd...)
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
			e.counterexample = &Trace{Steps: e.path(int32(i)), Property: EndReachable, How: "from here no order of steps leads to it"}
			return
		}
	}
}
