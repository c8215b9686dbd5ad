package modelcheck

// Sleep sets spare steps that commute. If a and b commute, the state after a and b is the same as after b and a, so b need
// not be taken after the second of them: it sleeps there. A state that is reached again with fewer steps asleep has
// to take those that were spared before: it is woken.

// expansion is the course of one state's expansion.
type expansion struct {
	commuter Commuter // nil where no steps commute
	sleep    stepSet  // steps that need not be taken
	only     stepSet  // the steps to take if the state was expanded before; nil: all that are not asleep
	taken    []int32  // steps that were taken here, now or before
}

// beginExpansion returns which steps of a state are to be taken.
func (e *explorer) beginExpansion(at int32, s System) *expansion {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := &expansion{sleep: e.states[at].sleep}
	if e.reduces {
		x.commuter, _ = s.(Commuter)
	}
	if !e.states[at].expanded {
		e.states[at].expanded = true
		return x
	}
	x.only = e.wakeSets[at]
	delete(e.wakeSets, at)
	if x.only == nil {
		x.only = stepSet{}
	}
	return x
}

// skips tells whether a step is not to be taken, and notes it if it was taken when the state was expanded before.
func (x *expansion) skips(step int32) bool {
	if x.only == nil {
		return x.sleep[step]
	}
	if x.only[step] {
		return false
	}
	if !x.sleep[step] {
		x.taken = append(x.taken, step)
	}
	return true
}

// sleepAfter is the steps that need not be taken after a step: those asleep before it or taken beside it that commute
// with it.
func (e *explorer) sleepAfter(x *expansion, name string) stepSet {
	if x.commuter == nil {
		return nil
	}
	after := stepSet{}
	for step := range x.sleep {
		if !x.only[step] && x.commuter.Commute(e.stepName(step), name) {
			after[step] = true
		}
	}
	for _, step := range x.taken {
		if x.commuter.Commute(e.stepName(step), name) {
			after[step] = true
		}
	}
	return after
}

// wake notes that a state was reached again with only some steps asleep: those that were spared before and may not be now
// are taken after all. The caller holds mu.
func (e *explorer) wake(at int32, asleep stepSet) {
	s := &e.states[at]
	kept := stepSet{}
	for step := range s.sleep {
		if asleep[step] {
			kept[step] = true
			continue
		}
		if !s.expanded {
			continue // it will be taken with the others
		}
		if e.wakeSets[at] == nil {
			e.wakeSets[at] = stepSet{}
		}
		e.wakeSets[at][step] = true
	}
	if len(kept) < len(s.sleep) {
		s.sleep = kept
	}
}
