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
	broken := map[string]bool{}
	for _, k := range Kinds() {
		for _, name := range k.Names() {
			f := Inject(context.Background(), k, name, 0)
			assert.True(t, f.Found, "%s %s", k.Name, name)
			assert.True(t, f.Clean, "%s %s", k.Name, name)
			broken[f.Property] = true
			if f.Trace == nil {
				continue
			}
			taken, property, _ := f.Trace.Replay()
			assert.Equal(t, f.Property, property, "%s %s", k.Name, name)
			assert.Equal(t, f.Length, taken)
			f.Trace.Fault = ""
			_, property, _ = f.Trace.Replay()
			assert.Empty(t, property, "the same steps break nothing without it: %s %s", k.Name, name)
		}
	}
	for _, p := range []string{
		invariant.OneInstanceInStep, invariant.OneHolderPerEpoch, invariant.KeepsMinAvailable, invariant.OneProcessPerInstance, invariant.RecordedBeforeBegun,
		invariant.OneAnswer, invariant.AnsweredInTime, invariant.NothingSentAfterEnd, invariant.NoUnsafeRetry, invariant.KeyedRetryInWindow, invariant.OneAttemptInFlight, invariant.NothingSentToDraining,
		invariant.ReadsOwnWrites, invariant.MonotonicReads, invariant.AttemptEndsOnce, invariant.NeverRanIffUnwritten, invariant.OwnAnswer, invariant.NoLeaks, invariant.ListCompleteOrFollows, invariant.ListFromWatchedAddress,
		invariant.CompleteListAsked, invariant.OneCallAtATime, invariant.AnswersInOrder, invariant.CommandEndsOnce, invariant.SlowStartBudget,
		invariant.Terminates, invariant.ServesAgain,
	} {
		assert.True(t, broken[p], "no injected bug breaks it: %s", p)
	}
}

// TestEveryTypeThatRulesNameIsMet sees that no rule is without effect: a field that its type does not have is an error of
// the hash, and a type that is not met within CI's bounds is one here.
func TestEveryTypeThatRulesNameIsMet(t *testing.T) {
	rules := map[string]*modelcheck.Rules{
		"client": clientRules, "cold": coldRules, "command": commandRules, "member": memberRules,
		"rollout": rolloutRules, "watch": watchRules,
	}
	require.Len(t, rules, len(Kinds()))
	for _, k := range Kinds() {
		require.Contains(t, rules, k.Name)
		bounds, err := Load("../../../deploy/bounds/ci.sexp", k.Name)
		require.NoError(t, err)
		within := bounds[0].Explore(0)
		within.MaxStates = 2000
		modelcheck.Run(context.Background(), k.New(bounds[0], ""), within, nil)
		assert.Empty(t, rules[k.Name].Unmet(), "%s: rules name types that are not met", k.Name)
	}
}

// TestFoldingIsHarmless compares verdicts with times folded and with them as they are, in small bounds.
func TestFoldingIsHarmless(t *testing.T) {
	b := Bounds{System: "rollout", Agents: 1, Tools: 2, Ticks: 1, Faults: 1}
	folded := rolloutRules
	defer func() { rolloutRules = folded }()
	for _, fault := range []string{"", "forgetful", "twin"} {
		rolloutRules = folded
		with := modelcheck.Run(context.Background(), rolloutKind.New(b, fault), b.Explore(0), nil)
		rolloutRules = &modelcheck.Rules{}
		without := modelcheck.Run(context.Background(), rolloutKind.New(b, fault), b.Explore(0), nil)
		if fault == "" { // a search that finds something ends wherever its cores are
			assert.GreaterOrEqual(t, without.States, with.States)
		}
		assert.Equal(t, with.Counterexample == nil, without.Counterexample == nil, fault)
		if with.Counterexample != nil {
			assert.Equal(t, with.Counterexample.Property, without.Counterexample.Property, fault)
			assert.Len(t, without.Counterexample.Steps, len(with.Counterexample.Steps), fault)
		}
	}
}

// TestStepsThatCommuteAreSparedAndNoStateIsMissed compares the search that spares steps with the whole one.
func TestStepsThatCommuteAreSparedAndNoStateIsMissed(t *testing.T) {
	for _, b := range []Bounds{
		{System: "command", Members: 3, Commands: []string{"look"}, Ticks: 2},
		{System: "command", Members: 2, Commands: []string{"order", "own"}, Ticks: 1, Faults: 1},
		{System: "rollout", Agents: 2, Tools: 1, Ticks: 1, Faults: 1},
		{System: "rollout", Agents: 3, Tools: 1, Ticks: 1},
		{System: "client", Clients: 2, Commands: []string{"look"}, Faults: 1},
		{System: "cold", Routers: 2, Ticks: 3, Faults: 1},
	} {
		k, err := Find(b.System)
		require.NoError(t, err)
		spared := modelcheck.Run(context.Background(), k.New(b, ""), b.Explore(0), nil)
		x := b.Explore(0)
		x.TakeAllSteps = true
		whole := modelcheck.Run(context.Background(), k.New(b, ""), x, nil)
		assert.True(t, spared.Complete && whole.Complete)
		assert.Equal(t, whole.States, spared.States, "%v", b)
		assert.Less(t, spared.Steps, whole.Steps, "%v", b)
		assert.Zero(t, whole.StepsSkipped)
	}
}

// TestWaysAtRandomBreakNothing takes the same systems further than they can be explored, and shrinks what breaks.
func TestWaysAtRandomBreakNothing(t *testing.T) {
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
				property, how := s.Broken()
				require.Empty(t, property, how)
			}
			property, how := modelcheck.Settled(s)
			require.Empty(t, property, how)
		})
	}
}

// TestMendedFaults takes the ways to faults of the code that were found and mended. They end where the code goes another
// way by now.
func TestMendedFaults(t *testing.T) {
	look := Bounds{Members: 2, Commands: []string{"look"}, Ticks: 4, Faults: 2}
	for name, steps := range map[string][]string{
		"a member that is back is shunned for what never reached it": {"take 0", "unreached 0 0", "tick", "tick", "tick", "report 1", "promote 1"},
		"a doubted member that becomes the primary gets no write":    {"take 0", "errored 0 0", "promote 1", "tick", "tick", "tick", "tick"},
	} {
		taken, property, how := Trace{System: "command", Bounds: look, Trace: modelcheck.Trace{Steps: steps}}.Replay()
		assert.Empty(t, property, "%s: %s", name, how)
		assert.Equal(t, len(steps), taken, name)
	}
	for name, steps := range map[string][]string{
		"an agent that starts again calls the last router in service starting": {
			"crash 1", "crash 2", "die agent 0", "back agent 0",
			"act 0", "deliver 0 0", "deliver 0 0", "deliver 0 0", "act 0", "deliver 0 0", "deliver 0 0", "deliver 0 1", "deliver 0 1",
			"deliver 0 1", "act 0", "act 0",
		},
		"a router comes up while the step for it is on its way": {
			"lose 1 0", "crash 1", "crash 0", "deliver 0 0", "deliver 0 0",
			"deliver 1 0", "deliver 0 0", "deliver 1 0", "deliver 0 0", "tick", "act 0", "act 0", "act 2", "deliver 0 0", "deliver 0 1",
			"deliver 0 1", "deliver 0 1", "act 0", "act 0",
		},
	} {
		w := Trace{System: "rollout", Bounds: Bounds{Agents: 3, Tools: 2, Ticks: 8, Faults: 3}, Trace: modelcheck.Trace{Steps: steps}}
		taken, property, how := w.Replay()
		assert.Empty(t, property, "%s: %s", name, how)
		assert.Greater(t, taken, len(steps)/2, name)
	}
}

// TestColdMemberIsUsedAndNotPushedOver: what it may get is the bound, not what is asked for, and it is no way out to send it nothing.
func TestColdMemberIsUsedAndNotPushedOver(t *testing.T) {
	for routers := 1; routers <= 4; routers++ {
		c := newCold(Bounds{Routers: routers, Ticks: 9}, "")
		sent := 0
		for range 8 {
			for i := range routers {
				c.Take(fmt.Sprint("burst ", i))
			}
			sent = max(sent, len(c.check.SentTimes()))
			assert.LessOrEqual(t, float64(len(c.check.SentTimes())), 0.9*c.check.MaxAttempts(c.now, c.started), "%d routers", routers)
			c.Take("tick")
		}
		property, how := c.Broken()
		assert.Empty(t, property, how)
		assert.Greater(t, sent, 8, "%d routers: within two seconds, of some 40 asked for", routers)
	}
}

// TestRowsAreLetGoAndUsedAgain sees that the bounds with long quiet reach what they are for.
func TestRowsAreLetGoAndUsedAgain(t *testing.T) {
	c := newCommands(Bounds{Members: 2, Commands: []string{"order", "own"}, Ticks: 1, Faults: 5, Only: []string{"idle", "replace"}}, "")
	for _, step := range []string{"take 0", "answered 0 0", "replace 1", "idle", "idle"} {
		require.Contains(t, c.Steps(), step)
		c.Take(step)
	}
	require.Equal(t, []int{1}, c.freeRows)
	c.Take("replace 2")
	assert.Len(t, c.endpoints, 3, "the index was used again")
	c.Take("take 1")
	c.Take("idle")
	property, how := c.Broken()
	assert.Empty(t, property, how)
}

func TestWalk(t *testing.T) {
	b := Bounds{Members: 2, Commands: []string{"order", "keyed"}, Ticks: 5, Faults: 2}
	w := Walk(context.Background(), commandKind, b, "", 1, 400, 60, 0)
	assert.Nil(t, w.Broken)
	assert.Equal(t, 400, w.Walks)
	for _, kind := range []string{"take", "answered", "broken", "errored", "full", "unreached", "leave", "drain", "promote", "restart", "report", "apply", "tick"} {
		assert.Positive(t, w.Taken[kind], "never taken: %s", kind)
	}
	w = Walk(context.Background(), commandKind, b, "early-byte", 1, 2000, 60, 0)
	require.NotNil(t, w.Broken)
	assert.Equal(t, invariant.NoUnsafeRetry, w.Broken.Property)
}

func TestBoundsAndTracesAreFiles(t *testing.T) {
	for _, file := range []string{"ci", "large"} {
		for _, k := range Kinds() {
			b, err := Load("../../../deploy/bounds/"+file+".sexp", k.Name)
			require.NoError(t, err)
			assert.NotEmpty(t, b)
		}
	}
	dir := t.TempDir()
	path := filepath.Join(dir, "f")
	for text, says := range map[string]string{
		"(bounds moon)":                     `f:1:1: there is no system "moon"; there are [client cold command member rollout watch]`,
		"(bounds command (commands dance))": "f:1:1: commands: there is no command group dance",
		"(bounds command (memers 2))":       "did you mean members?",
		"(bounds rollout (agents 99))":      "agents is 99, and must be within 0 and 9",
		"(bounds rollout (agents 2))":       "there are no bounds for command",
	} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := Load(path, "command")
		require.ErrorContains(t, err, says)
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

// TestReadAfterARestartInTheMomentOfItsWrite is a trace that exploration found: the age of a write of this very
// moment was 0, which stands for none, and a router that had just started read from a replica behind it.
func TestReadAfterARestartInTheMomentOfItsWrite(t *testing.T) {
	trace := Trace{
		System: "command", Bounds: Bounds{Members: 2, Commands: []string{"order", "own"}, Ticks: 3, Faults: 1},
		Trace: modelcheck.Trace{Steps: []string{"tick", "take 0", "answered 0 0", "restart", "take 1"}},
	}
	taken, property, how := trace.Replay()
	assert.Equal(t, 5, taken)
	assert.Empty(t, property, how)
	trace.Fault = "no-age"
	trace.Steps = append(trace.Steps, "answered 1 0")
	_, property, _ = trace.Replay()
	assert.Equal(t, invariant.ReadsOwnWrites, property)
}

// TestBoundsOfCIAreExploredWhole is the exploration itself.
func TestBoundsOfCIAreExploredWhole(t *testing.T) {
	for _, k := range Kinds() {
		bounds, err := Load("../../../deploy/bounds/ci.sexp", k.Name)
		require.NoError(t, err)
		for _, b := range bounds {
			r := modelcheck.Run(context.Background(), k.New(b, ""), b.Explore(0), nil)
			assert.True(t, r.Complete, "%s: %s", b.Place, r.StopReason)
			assert.Nil(t, r.Counterexample, "%s", b.Place)
			assert.Greater(t, r.States, 1000, "%s", b.Place)
		}
	}
}
