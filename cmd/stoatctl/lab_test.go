package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLabCommands(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	text, err := os.ReadFile("../../deploy/lab/smoke.sexp")
	require.NoError(t, err)
	short := strings.Replace(strings.Replace(string(text), "(seconds 30s)", "(seconds 12s)", 1), "(policies ceiling module window least two-choices round-robin any primary)",
		"(policies module any)", 1)
	short, _, found := strings.Cut(short, "(fault crash")
	require.True(t, found, "the experiment has faults")
	require.NoError(t, os.WriteFile(filepath.Join(dir, "short.sexp"), []byte(short), 0o600))
	got := run(t, dir, "lab", "run", "short.sexp", "--out", "one", "--json", "--workers", "1")
	require.Zero(t, got.exitCode, got.stderr)
	assert.Contains(t, got.stdout, `"policy":"module"`)
	got = run(t, dir, "lab", "run", "short.sexp", "--out", "two")
	require.Zero(t, got.exitCode, got.stderr)
	assert.Contains(t, got.stdout, "older than its session's own writes", "the policy any breaks a rule, which is reported but is no failure")
	firstRuns, err := os.ReadFile(filepath.Join(dir, "one", "runs.json"))
	require.NoError(t, err)
	secondRuns, err := os.ReadFile(filepath.Join(dir, "two", "runs.json"))
	require.NoError(t, err)
	assert.Equal(t, string(firstRuns), string(secondRuns), "the same seeds give the same bytes")
	page, err := os.ReadFile(filepath.Join(dir, "one", "report.html"))
	require.NoError(t, err)
	require.NoError(t, os.Remove(filepath.Join(dir, "one", "report.html")))
	require.Zero(t, run(t, dir, "lab", "report", "one").exitCode)
	rebuiltPage, err := os.ReadFile(filepath.Join(dir, "one", "report.html"))
	require.NoError(t, err)
	assert.Equal(t, string(page), string(rebuiltPage))
	got = run(t, dir, "lab", "compare", "one", "two", "--json")
	require.Zero(t, got.exitCode, got.stderr)
	assert.Contains(t, got.stdout, `"pairs":2`)
	assert.Contains(t, got.stdout, `"difference":0,`)
	savedExperiment, err := os.ReadFile(filepath.Join(dir, "one", "experiment.sexp"))
	require.NoError(t, err)
	assert.Equal(t, short, string(savedExperiment))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "bad.sexp"), []byte(strings.Replace(short, "(sets 2)", "(sets 0)", 1)), 0o600))
	got = run(t, dir, "lab", "run", "bad.sexp")
	assert.Equal(t, 2, got.exitCode)
	assert.Contains(t, got.stderr, "bad.sexp:6:1: sets is 0")
}
