package models

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "stoatdale.example/stoatdale/internal/lab/fixed"
	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/modelcheck"
)

func TestEveryInjectedBugIsFoundAndNothingElse(t *testing.T) {
	violated := map[string]bool{}
	for _, k := range Kinds() {
		for _, name := range k.FaultNames() {
			f := Inject(context.Background(), k, name, 0)
			assert.True(t, f.Found, "%s %s", k.Name, name)
			assert.True(t, f.Clean, "%s %s", k.Name, name)
			violated[f.Property] = true
			if f.Trace == nil {
				continue
			}
			taken, property, _ := f.Trace.Replay()
			assert.Equal(t, f.Property, property, "%s %s", k.Name, name)
			assert.Equal(t, f.TraceLength, taken)
			f.Trace.Fault = ""
			_, property, _ = f.Trace.Replay()
			assert.Empty(t, property, "without the fault, the same steps violate nothing: %s %s", k.Name, name)
		}
	}
	for _, p := range []string{
		invariant.OneInstanceInStep, invariant.OneHolderPerEpoch, invariant.KeepsMinAvailable, invariant.OneProcessPerInstance,
		invariant.RecordedBeforeBegun, invariant.OneAnswer, invariant.AnsweredInTime, invariant.NothingSentAfterEnd,
		invariant.NoUnsafeRetry, invariant.KeyedRetryInWindow, invariant.OneAttemptInFlight, invariant.NothingSentToDraining,
		invariant.ReadsOwnWrites, invariant.MonotonicReads, invariant.NoFormerPrimary, invariant.AttemptEndsOnce, invariant.NeverRanIffUnwritten,
		invariant.OwnAnswer, invariant.NoLeaks, invariant.ListCompleteOrFollows, invariant.ListFromWatchedAddress,
		invariant.CompleteListAsked, invariant.FewCallsAtATime, invariant.OvertakenCallsClosed, invariant.LateReplyAwaited,
		invariant.AnswersInOrder, invariant.CommandEndsOnce,
		invariant.SlowStartBudget, invariant.Terminates, invariant.ServesAgain,
	} {
		assert.True(t, violated[p], "no injected fault violates the property %q", p)
	}
}

// TestEveryTypeInHashRulesIsMet guards against hash rules without effect. The hash panics on a field that its type does not
// have; this test fails on a type that no state within CI's bounds holds.
func TestEveryTypeInHashRulesIsMet(t *testing.T) {
	rules := map[string]*modelcheck.Rules{
		"client": clientRules, "cold": slowStartRules, "command": commandRules, "member": backendRules,
		"rollout": rolloutRules, "watch": watchRules,
	}
	require.Len(t, rules, len(Kinds()))
	for _, k := range Kinds() {
		require.Contains(t, rules, k.Name)
		bounds, err := LoadBounds("../../../deploy/bounds/ci.sexp", k.Name)
		require.NoError(t, err)
		explorerBounds := bounds[0].ExplorerBounds(0)
		explorerBounds.MaxStates = 2000
		modelcheck.Run(context.Background(), k.New(bounds[0], ""), explorerBounds, nil)
		assert.Empty(t, rules[k.Name].UnusedTypes(), "%s: hash rules name types that no state holds", k.Name)
	}
}

// TestRelativeTimesKeepTheVerdict compares, in small bounds, the verdicts of explorations under rolloutRules, which hash times
// relative to now and ignore fields, with those of explorations that hash every field as it is.
func TestRelativeTimesKeepTheVerdict(t *testing.T) {
	b := Bounds{System: "rollout", Agents: 1, Tools: 2, Ticks: 1, Faults: 1}
	relative := rolloutRules
	defer func() { rolloutRules = relative }()
	for _, fault := range []string{"", "forgetful", "twin"} {
		rolloutRules = relative
		with := modelcheck.Run(context.Background(), rolloutKind.New(b, fault), b.ExplorerBounds(0), nil)
		rolloutRules = &modelcheck.Rules{}
		without := modelcheck.Run(context.Background(), rolloutKind.New(b, fault), b.ExplorerBounds(0), nil)
		if fault == "" { // otherwise the exploration stops at the violation, with more or fewer states by then
			assert.GreaterOrEqual(t, without.States, with.States)
		}
		assert.Equal(t, with.Counterexample == nil, without.Counterexample == nil, fault)
		if with.Counterexample != nil {
			assert.Equal(t, with.Counterexample.Property, without.Counterexample.Property, fault)
			assert.Len(t, without.Counterexample.Steps, len(with.Counterexample.Steps), fault)
		}
	}
}

// TestSkippingCommutingStepsMissesNoState compares explorations that skip commuting steps with those that take every step.
func TestSkippingCommutingStepsMissesNoState(t *testing.T) {
	for _, b := range []Bounds{
		{System: "command", Members: 3, Commands: []string{"look"}, Ticks: 2},
		{System: "command", Members: 2, Commands: []string{"order", "own"}, Ticks: 1, Faults: 1},
		{System: "rollout", Agents: 2, Tools: 1, Ticks: 1, Faults: 1},
		{System: "rollout", Agents: 3, Tools: 1, Ticks: 1},
		{System: "client", Clients: 2, Commands: []string{"look"}, Faults: 1},
		{System: "cold", Routers: 2, Ticks: 3, Faults: 1},
	} {
		k, err := FindKind(b.System)
		require.NoError(t, err)
		reduced := modelcheck.Run(context.Background(), k.New(b, ""), b.ExplorerBounds(0), nil)
		allSteps := b.ExplorerBounds(0)
		allSteps.TakeAllSteps = true
		complete := modelcheck.Run(context.Background(), k.New(b, ""), allSteps, nil)
		assert.True(t, reduced.Complete && complete.Complete)
		assert.Equal(t, complete.States, reduced.States, "%v", b)
		assert.Less(t, reduced.Steps, complete.Steps, "%v", b)
		assert.Zero(t, complete.StepsSkipped)
	}
}

// TestRandomWalksViolateNothing takes random steps in bounds too large to explore; rapid shrinks the steps that violate a
// property.
func TestRandomWalksViolateNothing(t *testing.T) {
	bounds := map[string]Bounds{
		"cold": {Routers: 4, Ticks: 30, Faults: 2}, "command": {Members: 3, Commands: []string{"order", "own", "keyed", "look"}, Ticks: 8, Faults: 4},
		"rollout": {Agents: 3, Tools: 2, Ticks: 8, Faults: 3}, "member": {Commands: []string{"look", "look", "look", "look"}, Ticks: 6, Faults: 5},
		"watch": {Ticks: 9, Faults: 9}, "client": {Clients: 2, Commands: []string{"look", "empty", "look", "bad", "extended", "look"}, Ticks: 6, Faults: 6},
	}
	for _, k := range Kinds() {
		rapid.Check(t, func(t *rapid.T) {
			s := k.New(bounds[k.Name], "")()
			for range rapid.IntRange(1, 120).Draw(t, "steps") {
				steps := s.Steps()
				if len(steps) == 0 {
					return
				}
				s.Take(rapid.SampledFrom(steps).Draw(t, "step"))
				property, detail := s.Broken()
				require.Empty(t, property, detail)
			}
			property, detail := modelcheck.Settle(s)
			require.Empty(t, property, detail)
		})
	}
}

// TestMendedFaults replays traces of faults that were found in the code and fixed. They end early where the code now does
// something else.
func TestMendedFaults(t *testing.T) {
	look := Bounds{Members: 2, Commands: []string{"look"}, Ticks: 4, Faults: 2}
	for name, steps := range map[string][]string{
		"an endpoint that is back is avoided for an attempt that never reached it": {"take 0", "unreached 0 0", "tick", "tick", "tick", "report 1", "promote 1"},
		"an endpoint that failed and then becomes the primary gets no write":       {"take 0", "errored 0 0", "promote 1", "tick", "tick", "tick", "tick"},
	} {
		taken, property, detail := Trace{System: "command", Bounds: look, Trace: modelcheck.Trace{Steps: steps}}.Replay()
		assert.Empty(t, property, "%s: %s", name, detail)
		assert.Equal(t, len(steps), taken, name)
	}
	for name, steps := range map[string][]string{
		"a restarted agent reports the last router in service as starting": {
			"crash 1", "crash 2", "die agent 0", "back agent 0",
			"act 0", "deliver 0 0", "deliver 0 0", "deliver 0 0", "act 0", "deliver 0 0", "deliver 0 0", "deliver 0 1", "deliver 0 1",
			"deliver 0 1", "act 0", "act 0",
		},
		"a router starts to serve while a step for it is on its way": {
			"lose 1 0", "crash 1", "crash 0", "deliver 0 0", "deliver 0 0",
			"deliver 1 0", "deliver 0 0", "deliver 1 0", "deliver 0 0", "tick", "act 0", "act 0", "act 2", "deliver 0 0", "deliver 0 1",
			"deliver 0 1", "deliver 0 1", "act 0", "act 0",
		},
	} {
		trace := Trace{System: "rollout", Bounds: Bounds{Agents: 3, Tools: 2, Ticks: 8, Faults: 3}, Trace: modelcheck.Trace{Steps: steps}}
		taken, property, detail := trace.Replay()
		assert.Empty(t, property, "%s: %s", name, detail)
		assert.Greater(t, taken, len(steps)/2, name)
	}
}

// TestColdMemberIsUsedAndNotPushedOver guards both sides of the slow start budget: a backend in slow start gets no more than the
// budget however many commands come, and routers do not keep the budget by sending it nothing.
func TestColdMemberIsUsedAndNotPushedOver(t *testing.T) {
	for routers := 1; routers <= 4; routers++ {
		c := newSlowStartSystem(Bounds{Routers: routers, Ticks: 9}, "")
		sent := 0
		for range 8 {
			for i := range routers {
				c.Take(fmt.Sprint("burst ", i))
			}
			sent = max(sent, len(c.checker.SentTimes()))
			assert.LessOrEqual(t, float64(len(c.checker.SentTimes())), 0.9*c.checker.MaxAttempts(c.now, c.startedAt), "%d routers", routers)
			c.Take("tick")
		}
		property, detail := c.Broken()
		assert.Empty(t, property, detail)
		assert.Greater(t, sent, 8, "%d routers: attempts within two seconds, of some 40 commands", routers)
	}
}

// TestReleasedRowsAreReused checks that bounds with the step idle reach released and reused rows, for which they exist.
func TestReleasedRowsAreReused(t *testing.T) {
	c := newCommandSystem(Bounds{Members: 2, Commands: []string{"order", "own"}, Ticks: 1, Faults: 5, Only: []string{"idle", "replace"}}, "")
	for _, step := range []string{"take 0", "answered 0 0", "replace 1", "idle", "idle"} {
		require.Contains(t, c.Steps(), step)
		c.Take(step)
	}
	require.Equal(t, []int{1}, c.freeRows)
	c.Take("replace 2")
	assert.Len(t, c.endpoints, 3, "the released index is reused")
	c.Take("take 1")
	c.Take("idle")
	property, detail := c.Broken()
	assert.Empty(t, property, detail)
}

func TestWalk(t *testing.T) {
	b := Bounds{Members: 2, Commands: []string{"order", "keyed"}, Ticks: 5, Faults: 2}
	w := Walk(context.Background(), commandKind, b, "", 1, 400, 60, 0)
	assert.Nil(t, w.Counterexample)
	assert.Equal(t, 400, w.Walks)
	for _, kind := range []string{"take", "answered", "broken", "errored", "full", "unreached", "leave", "drain", "promote", "restart", "report", "apply", "tick"} {
		assert.Positive(t, w.StepsByKind[kind], "step never taken: %s", kind)
	}
	w = Walk(context.Background(), commandKind, b, "early-byte", 1, 2000, 60, 0)
	require.NotNil(t, w.Counterexample)
	assert.Equal(t, invariant.NoUnsafeRetry, w.Counterexample.Property)
}

func TestBoundsAndTracesAreReadFromFiles(t *testing.T) {
	for _, file := range []string{"ci", "large"} {
		for _, k := range Kinds() {
			b, err := LoadBounds("../../../deploy/bounds/"+file+".sexp", k.Name)
			require.NoError(t, err)
			assert.NotEmpty(t, b)
		}
	}
	dir := t.TempDir()
	path := filepath.Join(dir, "f")
	for text, message := range map[string]string{
		"(bounds moon)":                     `f:1:1: there is no system "moon"; there are [client cold command member rollout watch]`,
		"(bounds command (commands dance))": "f:1:1: commands: there is no command group dance",
		"(bounds command (memers 2))":       "did you mean members?",
		"(bounds rollout (agents 99))":      "agents is 99, and must be within 0 and 9",
		"(bounds rollout (agents 2))":       "there are no bounds for command",
	} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := LoadBounds(path, "command")
		require.ErrorContains(t, err, message)
	}
	f := Inject(context.Background(), commandKind, "early-byte", 1)
	require.NoError(t, f.Trace.Save(path))
	again, err := LoadTrace(path)
	require.NoError(t, err)
	assert.Equal(t, *f.Trace, again)
	require.NoError(t, os.WriteFile(path, []byte(`{"system":"command","fault":"x"}`), 0o600))
	_, err = LoadTrace(path)
	assert.ErrorContains(t, err, `has no fault "x"`)
}

// TestReadAfterARestartInTheMomentOfItsWrite replays a trace that exploration found: a write of this very moment had age 0, which
// means no write, and a router that had just started read from a replica without it.
func TestReadAfterARestartInTheMomentOfItsWrite(t *testing.T) {
	trace := Trace{
		System: "command", Bounds: Bounds{Members: 2, Commands: []string{"order", "own"}, Ticks: 3, Faults: 1},
		Trace: modelcheck.Trace{Steps: []string{"tick", "take 0", "answered 0 0", "restart", "take 1"}},
	}
	taken, property, detail := trace.Replay()
	assert.Equal(t, 5, taken)
	assert.Empty(t, property, detail)
	trace.Fault = "no-age"
	trace.Steps = append(trace.Steps, "answered 1 0")
	_, property, _ = trace.Replay()
	assert.Equal(t, invariant.ReadsOwnWrites, property)
}

// TestBoundsOfCIAreExploredWhole explores every system in CI's bounds.
func TestBoundsOfCIAreExploredWhole(t *testing.T) {
	for _, k := range Kinds() {
		bounds, err := LoadBounds("../../../deploy/bounds/ci.sexp", k.Name)
		require.NoError(t, err)
		for _, b := range bounds {
			r := modelcheck.Run(context.Background(), k.New(b, ""), b.ExplorerBounds(0), nil)
			assert.True(t, r.Complete, "%s: %s", b.Place, r.StopReason)
			assert.Nil(t, r.Counterexample, "%s", b.Place)
			assert.Greater(t, r.States, 1000, "%s", b.Place)
		}
	}
}
