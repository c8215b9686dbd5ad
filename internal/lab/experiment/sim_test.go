package experiment

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/lab/model"
)

// small returns a small experiment with the given policies and faults.
func small(t *testing.T, policies, faults string) *model.Spec {
	t.Helper()
	path := filepath.Join(t.TempDir(), "small.sexp")
	text := `(name small) (seconds 6s) (seeds 1) (policies ` + policies + `)
(fleet (routers 2) (sets 1) (replicas 2) (slots 4) (queue 20) (sessions 50) (way 0.5ms) (dial 100ms) (ship 20ms) (apply 0.5ms)
 (list 500ms) (cold-share 0.2) (warm-in 2s) (overload 2) (fall-span 500ms))
(group order (need write) (effect mutating) (rate 40) (work 5ms) (target 300ms) (timeout 1s) (benefit 3))
(group keyed (need write) (effect keyed) (rate 20) (work 5ms) (target 300ms) (timeout 1s) (benefit 3) (memory 3s))
(group own (need session) (effect replayable) (rate 200) (work 5ms) (target 250ms) (timeout 1s) (benefit 1))
` + faults
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := model.Load(path)
	require.NoError(t, err)
	return s
}

func run(t *testing.T, s *model.Spec, workers int) []Run {
	t.Helper()
	runs, err := RunAll(context.Background(), s, workers, nil)
	require.NoError(t, err)
	return runs
}

func TestSameSeedSameBytesOnAnyNumberOfCores(t *testing.T) {
	s := small(t, "module any ceiling", "(fault crash (set 0) (member 1) (at 2s) (for 1s))")
	s.Seeds = []int{1, 2}
	one, err := json.Marshal(run(t, s, 1))
	require.NoError(t, err)
	many, err := json.Marshal(run(t, s, 6))
	require.NoError(t, err)
	assert.Equal(t, string(one), string(many))
	runs := run(t, s, 0)
	assert.NotEqual(t, runs[0].Tally, runs[1].Tally, "runs with different seeds differ")
	assert.Equal(t, runs[0].Tally.Commands, runs[2].Tally.Commands, "all policies get the same load")
}

func TestModuleKeepsAllRulesUnderEveryFault(t *testing.T) {
	for _, fault := range []string{
		"", "(fault crash (set 0) (member 0) (at 2s) (for 1s))", "(fault crash (set 0) (member 1) (at 2s) (for 1s))",
		"(fault hang (set 0) (member 1) (at 2s) (for 2s))", "(fault hang (set 0) (member 0) (at 2s) (for 1s))", "(fault cut (set 0) (member 2) (at 2s) (for 2s))",
		"(fault slow (set 0) (member 1) (at 2s) (for 2s) (times 8))", "(fault drain (set 0) (member 1) (at 2s) (for 2s))",
		"(fault elect (set 0) (member 1) (at 2s))", "(fault restart (router 0) (at 2s))",
		"(fault crash (set 0) (member 1) (at 2s) (for 1s)) (fault crash (set 0) (member 2) (at 2s) (for 1s)) (fault restart (router 1) (at 3s))",
	} {
		s := small(t, "module", fault)
		s.Seeds = []int{1, 2, 3}
		for _, r := range run(t, s, 0) {
			assert.Empty(t, r.Violations, "%s, seed %d", fault, r.Seed)
			assert.Greater(t, r.Service, 0.6, "%s, seed %d", fault, r.Seed)
		}
	}
}

// A checker that cannot fail proves nothing. The baselines violate properties, and the checkers must report it.
func TestCheckersReportViolationsOfBaselines(t *testing.T) {
	seen := map[string]bool{}
	for _, test := range []struct {
		policy, faults string
		rate           float64 // of reads
	}{
		{"any", "", 200},
		{"window", "(fault slow (set 0) (member 1) (at 1s) (for 4s) (times 3))", 1500},
		{"two-choices", "(fault crash (set 0) (member 1) (at 2s) (for 1s)) (fault crash (set 0) (member 2) (at 2s) (for 1s))", 1200},
	} {
		s := small(t, test.policy, test.faults)
		s.Groups[2].Rate, s.Fleet.HeavyShare, s.Fleet.HeavyApplyTime = test.rate, 0.01, 0.5
		for _, r := range run(t, s, 0) {
			for p := range r.Violations {
				seen[p] = true
			}
		}
	}
	assert.True(t, seen[invariant.ReadsOwnWrites], "a read from any replica can be older than its session's writes: %v", seen)
	assert.True(t, seen[invariant.MonotonicReads], "%v", seen)
	assert.True(t, seen[invariant.SlowStartBudget], "policies that do not spare starting backends overload them: %v", seen)
}

func TestPoliciesRankAsExpected(t *testing.T) {
	s := small(t, "ceiling module any primary", "(fault slow (set 0) (member 1) (at 1s) (for 4s) (times 10))")
	s.Seeds = []int{1, 2, 3, 4}
	s.Groups[2].Rate = 1200 // more than a primary can serve
	rows := Table(run(t, s, 0))
	require.Len(t, rows, 4)
	ceiling, module, anyReplica, primary := rows[0], rows[1], rows[2], rows[3]
	assert.Equal(t, 4, ceiling.Runs)
	assert.Greater(t, ceiling.Service+0.02, module.Service)
	assert.Greater(t, module.Service, primary.Service, "the primary alone cannot serve the load")
	assert.Greater(t, module.Service, anyReplica.Service, "a slow replica delays reads that are spread without regard to load")
	assert.Empty(t, module.Violations)
	assert.InDelta(t, 1.0, primary.PrimaryReads, 0)
	assert.Less(t, module.PrimaryReads, 0.35)
}

// The load is open: clients send as many commands to a policy that falls behind. Its backlog is bounded by the timeouts.
func TestLoadDoesNotWaitForAnswers(t *testing.T) {
	s := small(t, "primary module", "")
	s.Groups[2].Rate = 4000
	runs := run(t, s, 0)
	assert.Equal(t, runs[0].Tally.Commands, runs[1].Tally.Commands)
	assert.Greater(t, runs[0].Tally.Commands, 20_000)
	assert.Less(t, runs[0].Service, 0.7)
}

func TestInterruptedExperimentReportsItsProgress(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := small(t, "module", "")
	s.Seeds = []int{1, 2, 3, 4, 5}
	_, err := RunAll(ctx, s, 1, func(p Progress) {
		if p.Done == 2 {
			cancel()
		}
	})
	require.ErrorIs(t, err, context.Canceled)
	assert.Contains(t, err.Error(), "2 of 5")
}

func TestInvalidExperimentsAreRejectedWithTheirPosition(t *testing.T) {
	good := `(name x) (seconds 6s) (seeds 1) (policies module)
(fleet (routers 2) (sets 1) (replicas 2) (slots 4) (queue 20) (sessions 50) (way 0.5ms) (dial 100ms) (ship 20ms) (apply 0.5ms)
 (list 500ms) (cold-share 0.2) (warm-in 2s) (overload 2) (fall-span 500ms))
(group order (need write) (effect mutating) (rate 40) (work 5ms) (target 300ms) (timeout 1s) (benefit 3))
(fault hang (set 0) (member 1) (at 2s) (for 1s))`
	load := func(text string) error {
		path := filepath.Join(t.TempDir(), "f")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := model.Load(path)
		return err
	}
	require.NoError(t, load(good))
	for wantError, change := range map[string][2]string{
		":2:1: routers is 0, but must be between 1 and 10000":            {"(routers 2)", "(routers 0)"},
		":4:1: effect: the effect of a write must be keyed":              {"mutating", "replayable"},
		":4:1: need: \"wite\" is not one of":                             {"(need write)", "(need wite)"},
		":4:1: timeout is 0.1 and target 0.3":                            {"(timeout 1s)", "(timeout 100ms)"},
		"writes keep 20.0 slots of primaries busy, but there are only 4": {"(rate 40)", "(rate 4000)"},
		"there is no policy \"modul\"":                                   {"(policies module)", "(policies modul)"},
		":5:1: there is no member 3 in set 0":                            {"(member 1)", "(member 3)"},
		":5:1: at must be within the run":                                {"(at 2s)", "(at 20s)"},
		":6:1: the same member has this fault at":                        {"(for 1s))", "(for 1s))\n(fault hang (set 0) (member 1) (at 2500ms) (for 1s))"},
		":6:1: the member is down by then":                               {"(for 1s))", "(for 1s))\n(fault elect (set 0) (member 2) (at 3s)) (fault crash (set 0) (member 2) (at 2900ms) (for 1s))"},
		":6:1: member 0 is the primary already":                          {"(for 1s))", "(for 1s))\n(fault elect (set 0) (member 0) (at 3s))"},
		"commands, but at most 200000000 are allowed":                    {"(seconds 6s)", "(seconds 80000s)"},
		"group: there must be at least one":                              {"(group order (need write) (effect mutating) (rate 40) (work 5ms) (target 300ms) (timeout 1s) (benefit 3))", ""},
	} {
		text := strings.Replace(good, change[0], change[1], 1)
		if wantError == "commands, but at most 200000000 are allowed" {
			text = strings.Replace(strings.Replace(text, "(rate 40)", "(rate 4000)", 1), "(work 5ms)", "(work 0.5ms)", 1)
		}
		err := load(text)
		require.Error(t, err, wantError)
		assert.Contains(t, err.Error(), wantError)
	}
}

func TestQuantile(t *testing.T) {
	assert.Zero(t, quantile(nil, 0.5))
	sorted := []float64{1, 2, 3, 4}
	assert.InDelta(t, 2.0, quantile(sorted, 0.5), 0)
	assert.InDelta(t, 4.0, quantile(sorted, 0.99), 0)
	assert.InDelta(t, 1.0, quantile(sorted, 0), 0)
}

func TestCompareIsPairedBySeed(t *testing.T) {
	var a, b, other []Run
	for seed := range 10 {
		hard := float64(seed) / 20 // service differs far more between seeds than between the experiments
		a = append(a, Run{Policy: "module", Seed: seed, Service: 0.9 - hard})
		b = append(b, Run{Policy: "module", Seed: seed, Service: 0.91 - hard + float64(seed%3)/1000})
		other = append(other, Run{Policy: "module", Seed: seed, Service: 0.9 - hard + float64(seed%2*2-1)/100})
	}
	d, err := Compare(a, b)
	require.NoError(t, err)
	require.Len(t, d, 1)
	assert.Equal(t, 10, d[0].Pairs)
	assert.InDelta(t, 0.0109, d[0].Mean, 1e-9)
	assert.Equal(t, "better", d[0].Verdict())
	assert.LessOrEqual(t, d[0].Low, d[0].Mean)
	assert.GreaterOrEqual(t, d[0].High, d[0].Mean)
	d, err = Compare(b, a)
	require.NoError(t, err)
	assert.Equal(t, "worse", d[0].Verdict())
	d, err = Compare(a, other)
	require.NoError(t, err)
	assert.Equal(t, "no clear difference", d[0].Verdict())
	d, err = Compare(a[:3], b[:3])
	require.NoError(t, err)
	assert.Equal(t, "too few seeds to tell", d[0].Verdict())
	_, err = Compare(a, b[:9])
	require.ErrorContains(t, err, "seed 9 is in the first")
	_, err = Compare(a[1:], b)
	assert.ErrorContains(t, err, "seed 0 is in the second")
}
