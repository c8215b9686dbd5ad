package modelcheck

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// counters is a system of two numbers that grow up to a limit. If bad is not 0, the state with a equal to bad and b equal
// to 1 breaks a property. If dead is not 0, no step is possible in states in which a and b add up to it.
type counters struct {
	a, b, limit, bad, dead int
}

func (c *counters) Steps() (s []string) {
	if c.a+c.b == c.dead && c.dead > 0 {
		return nil
	}
	if c.a < c.limit {
		s = append(s, "grow a")
	}
	if c.b < c.limit {
		s = append(s, "grow b")
	}
	return s
}

func (c *counters) Take(step string) {
	if step == "grow a" {
		c.a++
	} else {
		c.b++
	}
}

func (c *counters) Fingerprint(h *Hash) { h.Value(c) }

func (c *counters) Broken() (string, string) {
	if c.bad > 0 && c.a == c.bad && c.b == 1 {
		return "never so", fmt.Sprint(c.a)
	}
	return "", ""
}

func (c *counters) Ended() bool { return c.a == c.limit && c.b == c.limit }

func newCounters(c counters) func() System { return func() System { system := c; return &system } }

func TestEveryStateIsSeenOnce(t *testing.T) {
	for _, workers := range []int{1, 4} {
		r := Run(context.Background(), newCounters(counters{limit: 20}), Bounds{Workers: workers, CheckLiveness: true}, nil)
		assert.True(t, r.Complete, r.StopReason)
		assert.Equal(t, 21*21, r.States)
		assert.Equal(t, 2*20*21, r.Steps)
		assert.Equal(t, 40, r.Depth)
		assert.Equal(t, 1, r.EndStates)
		assert.Equal(t, map[string]int{"grow": 840}, r.StepsByKind)
		assert.Nil(t, r.Counterexample)
		assert.Less(t, r.CollisionChance, 1e-10)
	}
}

func TestCounterexampleIsAShortestTrace(t *testing.T) {
	r := Run(context.Background(), newCounters(counters{limit: 20, bad: 5}), Bounds{}, nil)
	require.NotNil(t, r.Counterexample)
	assert.Equal(t, "never so", r.Counterexample.Property)
	assert.Len(t, r.Counterexample.Steps, 6)
	assert.False(t, r.Complete)
	taken, property, detail := Replay(&counters{limit: 20, bad: 5}, *r.Counterexample)
	assert.Equal(t, 6, taken)
	assert.Equal(t, "never so", property)
	assert.Equal(t, "5", detail)
	_, property, detail = Replay(&counters{limit: 2}, *r.Counterexample)
	assert.Empty(t, property)
	assert.Contains(t, detail, "is not possible any more")
}

func TestStateFromWhichNoEndIsReachedIsFound(t *testing.T) {
	r := Run(context.Background(), newCounters(counters{limit: 5, dead: 3}), Bounds{CheckLiveness: true}, nil)
	require.NotNil(t, r.Counterexample)
	assert.Equal(t, EndReachable, r.Counterexample.Property)
	r = Run(context.Background(), newCounters(counters{limit: 5, dead: 3}), Bounds{CheckLiveness: true, MaxDepth: 2}, nil)
	assert.Nil(t, r.Counterexample, "states at the bound of depth may still reach an end state")
	assert.Equal(t, 3, r.AtDepthBound)
}

func TestStopReasonNamesTheBound(t *testing.T) {
	r := Run(context.Background(), newCounters(counters{limit: 1000}), Bounds{MaxStates: 500}, nil)
	assert.Contains(t, r.StopReason, "which is the bound")
	assert.False(t, r.Complete)
	assert.GreaterOrEqual(t, r.States, 500)
	r = Run(context.Background(), newCounters(counters{limit: 1000}), Bounds{MaxHeapBytes: 1}, nil)
	assert.Contains(t, r.StopReason, "memory")
	r = Run(context.Background(), newCounters(counters{limit: 1 << 30}), Bounds{MaxDuration: 20 * time.Millisecond}, nil)
	assert.Contains(t, r.StopReason, "before it was complete")
}

func TestRandomWalkFindsABrokenProperty(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	taken := map[string]int{}
	found := 0
	for range 200 {
		if trace := RandomWalk(&counters{limit: 9, bad: 2}, 30, rng.IntN, taken); trace != nil {
			found++
		}
	}
	assert.Positive(t, found)
	assert.Positive(t, taken["grow"])
}

func TestHashCoversAllThatAValueHolds(t *testing.T) {
	type inner struct {
		at float64
		m  map[string]int
	}
	type outer struct {
		p *inner
		s []any
		f func()
	}
	sum := func(v any, grain float64) uint64 {
		h := Hash{Rules: &Rules{FloatGrain: grain}}
		h.Value(v)
		return h.Sum()
	}
	a := outer{p: &inner{1.25, map[string]int{"a": 1, "b": 2}}, s: []any{1, "x"}}
	b := outer{p: &inner{1.25, map[string]int{"b": 2, "a": 1}}, s: []any{1, "x"}, f: func() {}}
	assert.Equal(t, sum(a, 0), sum(b, 0))
	b.p.m["a"] = 3
	assert.NotEqual(t, sum(a, 0), sum(b, 0))
	assert.NotEqual(t, sum(&inner{at: 1}, 0), sum(&inner{at: 1.01}, 0))
	assert.Equal(t, sum(&inner{at: 1}, 0.5), sum(&inner{at: 1.01}, 0.5))
	assert.NotEqual(t, sum(outer{}, 0), sum(outer{p: &inner{}}, 0))
}

func TestRulesIgnoreFieldsAndTakeTimesFromZero(t *testing.T) {
	type clock struct {
		at    float64
		calls int
	}
	sum := func(c clock, zero float64) uint64 {
		h := Hash{TimeZero: zero, Rules: &Rules{Ignored: Fields{"modelcheck.clock": {"calls"}}, Times: Fields{"modelcheck.clock": {"at"}}}}
		h.Value(c)
		return h.Sum()
	}
	assert.Equal(t, sum(clock{at: 1, calls: 1}, 1), sum(clock{at: 3, calls: 2}, 3))
	assert.NotEqual(t, sum(clock{at: 1}, 1), sum(clock{at: 3}, 1))
}

func TestRuleThatNamesNoFieldIsAnError(t *testing.T) {
	type embedded struct{ inherited int }
	type clock struct {
		embedded
		at    float64
		calls int
	}
	for message, rules := range map[string]*Rules{
		"modelcheck: rules ignore modelcheck.clock.call, but the type has no such field":             {Ignored: Fields{"modelcheck.clock": {"calls", "call"}}},
		"modelcheck: rules ignore modelcheck.clock.inherited, but the type has no such field":        {Ignored: Fields{"modelcheck.clock": {"inherited"}}},
		"modelcheck: rules treat modelcheck.clock.sentAt as a time, but the type has no such field":  {Times: Fields{"modelcheck.clock": {"at", "sentAt"}}},
		"modelcheck: rules treat modelcheck.clock.calls as a time, but its type is int, not float64": {Times: Fields{"modelcheck.clock": {"calls"}}},
		"modelcheck: rules both ignore modelcheck.clock.at and treat it as a time":                   {Ignored: Fields{"modelcheck.clock": {"at"}}, Times: Fields{"modelcheck.clock": {"at"}}},
	} {
		h := Hash{Rules: rules}
		assert.PanicsWithValue(t, message, func() { h.Value(clock{embedded: embedded{inherited: 1}, at: 2, calls: 3}) })
	}
}

func TestUnusedTypesReturnsTheTypesThatNoHashHasMet(t *testing.T) {
	type clock struct{ at, unused float64 }
	rules := &Rules{Ignored: Fields{"modelcheck.clock": {"unused"}, "modelcheck.watch": {"face"}}, Times: Fields{"modelcheck.clock": {"at"}, "modelcheck.bell": {"at"}}}
	assert.Equal(t, []string{"modelcheck.bell", "modelcheck.clock", "modelcheck.watch"}, rules.UnusedTypes())
	h := Hash{Rules: rules}
	h.Value(clock{at: 1, unused: 2})
	assert.Equal(t, []string{"modelcheck.bell", "modelcheck.watch"}, rules.UnusedTypes())
}

func TestDepthFirstFindsTheSameWithLittleMemory(t *testing.T) {
	for _, states := range []int{0, 50} {
		r := RunDepthFirst(context.Background(), newCounters(counters{limit: 6}), Bounds{MaxDepth: 12, MaxStates: states})
		assert.True(t, r.Complete)
		assert.GreaterOrEqual(t, r.States, 49)
		assert.Positive(t, r.EndStates)
		r = RunDepthFirst(context.Background(), newCounters(counters{limit: 9, bad: 4}), Bounds{MaxDepth: 18, MaxStates: states})
		require.NotNil(t, r.Counterexample)
		assert.Equal(t, "never so", r.Counterexample.Property)
	}
	r := RunDepthFirst(context.Background(), newCounters(counters{limit: 1 << 20}), Bounds{MaxDepth: 1 << 20, MaxDuration: 5 * time.Millisecond})
	assert.Contains(t, r.StopReason, "before it was complete")
}

func TestStoppedExplorationIsResumed(t *testing.T) {
	whole := Run(context.Background(), newCounters(counters{limit: 30}), Bounds{}, nil)
	var saved *Saved
	var r Result
	for states := 100; ; states += 100 {
		if r, saved = Resume(context.Background(), newCounters(counters{limit: 30}), Bounds{MaxStates: states}, saved, nil); saved == nil {
			break
		}
		assert.False(t, r.Complete)
	}
	assert.True(t, r.Complete)
	assert.Equal(t, whole.States, r.States)
	assert.Equal(t, whole.EndStates, r.EndStates)
	assert.Equal(t, whole.Depth, r.Depth)
}

// commutingCounters are counters whose two steps commute.
type commutingCounters struct{ counters }

func (c *commutingCounters) Commute(a, b string) bool { return a != b }

func TestStepsThatCommuteAreSkipped(t *testing.T) {
	newSystem := func() System { return &commutingCounters{counters{limit: 20}} }
	r := Run(context.Background(), newSystem, Bounds{}, nil)
	assert.Equal(t, 21*21, r.States)
	assert.Equal(t, 21*21-1, r.Steps, "each state is reached by one step")
	r = Run(context.Background(), newSystem, Bounds{TakeAllSteps: true}, nil)
	assert.Equal(t, 2*20*21, r.Steps)
}

// settlingCounters are counters that are to reach their limit if left undisturbed, but do not from the state 2, 1.
type settlingCounters struct{ counters }

func (p *settlingCounters) Settle() (string, string) {
	if p.a == 2 && p.b == 1 {
		return "it grows", "no more from 2, 1"
	}
	return "", ""
}

// Settling is checked in every state, including those with possible steps. The counterexample ends in the state from
// which the system does not settle.
func TestSettlingIsCheckedInEveryState(t *testing.T) {
	newSystem := func() System { return &settlingCounters{counters{limit: 4}} }
	for _, workers := range []int{1, 4} {
		r := Run(context.Background(), newSystem, Bounds{Workers: workers}, nil)
		require.NotNil(t, r.Counterexample)
		assert.Equal(t, "it grows", r.Counterexample.Property)
		assert.Len(t, r.Counterexample.Steps, 3, "a shortest trace")
		taken, property, _ := Replay(newSystem(), *r.Counterexample)
		assert.Equal(t, 3, taken)
		assert.Equal(t, "it grows", property)
	}
	assert.Nil(t, Run(context.Background(), func() System { return &settlingCounters{counters{limit: 1}} }, Bounds{}, nil).Counterexample)
	trace := RandomWalk(&settlingCounters{counters{a: 1, b: 1, limit: 4}}, 1, func(int) int { return 0 }, map[string]int{})
	require.NotNil(t, trace, "a random walk checks settling at its end")
	assert.Equal(t, "it grows", trace.Property)
}
