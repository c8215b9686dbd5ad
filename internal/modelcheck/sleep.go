package modelcheck

// Sleep sets avoid taking steps that commute in both orders. If a and b commute, the state after a and then b is the
// same as after b and then a. So once a state's step a has been followed, a need not be taken after that state's step b:
// it sleeps there. If a state is reached again with fewer steps asleep, the steps that were skipped before and sleep no
// more are woken: they have to be taken after all.

// expansion is the expansion of one state.
type expansion struct {
	commuter Commuter // the system; nil if no steps commute
	sleep    stepSet  // steps that need not be taken
	woken    stepSet  // the steps to take if the state was expanded before; nil: all that are not asleep
	taken    []int32  // steps of this state taken so far, in this expansion or an earlier one
}

// beginExpansion marks a state as expanded and returns its expansion, which holds which steps are to be taken.
func (e *explorer) beginExpansion(at int32, s System) *expansion {
	e.mu.Lock()
	defer e.mu.Unlock()
	begun := &expansion{sleep: e.states[at].sleep}
	if e.reduces {
		begun.commuter, _ = s.(Commuter)
	}
	if !e.states[at].expanded {
		e.states[at].expanded = true
		return begun
	}
	begun.woken = e.wakeSets[at]
	delete(e.wakeSets, at)
	if begun.woken == nil {
		begun.woken = stepSet{}
	}
	return begun
}

// skips reports whether a step is not to be taken. It records the step as taken if that was done in an earlier
// expansion of the state.
func (x *expansion) skips(step int32) bool {
	if x.woken == nil {
		return x.sleep[step]
	}
	if x.woken[step] {
		return false
	}
	if !x.sleep[step] {
		x.taken = append(x.taken, step)
	}
	return true
}

// sleepAfter returns the steps that need not be taken after a step: those that were asleep before it, or that were taken
// from the same state, and that commute with it.
func (e *explorer) sleepAfter(current *expansion, name string) stepSet {
	if current.commuter == nil {
		return nil
	}
	after := stepSet{}
	for step := range current.sleep {
		if !current.woken[step] && current.commuter.Commute(e.stepName(step), name) {
			after[step] = true
		}
	}
	for _, step := range current.taken {
		if current.commuter.Commute(e.stepName(step), name) {
			after[step] = true
		}
	}
	return after
}

// wake records that a known state was reached again with a sleep set. Steps that were skipped before and are not asleep
// in this set have to be taken after all. The caller holds mu.
func (e *explorer) wake(at int32, asleep stepSet) {
	s := &e.states[at]
	kept := stepSet{}
	for step := range s.sleep {
		if asleep[step] {
			kept[step] = true
			continue
		}
		if !s.expanded {
			continue // the state's first expansion will take the step
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
