package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestExploreCommands(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	write := func(name, text string) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	write("small.sexp", "(bounds command (members 2) (commands order) (ticks 2))\n(bounds watch (ticks 1) (faults 1) (depth 9))")
	write("few.sexp", "(bounds command (members 2) (commands order) (ticks 2) (states 10))")
	write("more.sexp", "(bounds command (members 2) (commands order) (ticks 2) (states 100000))")
	got := run(t, dir, "explore", "run", "command", "--bounds", "small.sexp", "--json")
	require.Zero(t, got.exitCode, got.stderr)
	complete := got.lastJSON(t)
	assert.Equal(t, true, complete["complete"])
	got = run(t, dir, "explore", "run", "command", "--bounds", "few.sexp", "--stop", "stopped")
	assert.Equal(t, 4, got.exitCode, got.stderr)
	got = run(t, dir, "explore", "run", "command", "--bounds", "more.sexp", "--resume", "stopped", "--json")
	require.Zero(t, got.exitCode, got.stderr)
	assert.Equal(t, complete["states"], got.lastJSON(t)["states"], "the resumed exploration finds the same states")
	assert.Zero(t, run(t, dir, "explore", "run", "watch", "--bounds", "small.sexp", "--deep").exitCode)
	assert.Equal(t, 2, run(t, dir, "explore", "run", "command", "--bounds", "small.sexp", "--deep").exitCode)
	got = run(t, dir, "explore", "run", "command", "--bounds", "small.sexp", "--inject", "held-back", "--trace", "t.json")
	assert.Zero(t, got.exitCode, "the bug shows only after five ticks, beyond these bounds: %s", got.stderr)
	got = run(t, dir, "explore", "inject", "early-byte", "--keep", dir, "--json")
	require.Zero(t, got.exitCode, got.stderr)
	assert.Equal(t, true, got.lastJSON(t)["ok"])
	trace := "command-early-byte.json"
	got = run(t, dir, "explore", "show", trace, "--svg", "t.svg")
	assert.Zero(t, got.exitCode, got.stderr)
	assert.Contains(t, got.stdout, "take 0")
	svg, err := os.ReadFile(filepath.Join(dir, "t.svg"))
	require.NoError(t, err)
	assert.Contains(t, string(svg), "order 0")
	assert.Equal(t, 1, run(t, dir, "explore", "replay", trace).exitCode, "the trace still breaks a property")
	assert.Zero(t, run(t, dir, "explore", "walk", "command", "--bounds", "small.sexp", "--walks", "50", "--seed", "1").exitCode)
	assert.Equal(t, 1, run(t, dir, "explore", "walk", "watch", "--bounds", "small.sexp", "--inject", "unclosed", "--walks", "500", "--seed", "1").exitCode)
	assert.Contains(t, run(t, dir, "explore", "list").stdout, "drain-overlooked")
	write("unreadable", "no exploration")
	for _, args := range [][]string{
		{"run", "moon"},
		{"run", "command", "--bounds", "none"},
		{"run", "command", "--bounds", "small.sexp", "--inject", "x"},
		{"inject"},
		{"inject", "nothing"},
		{"show", "none"},
		{"run", "command", "--bounds", "small.sexp", "--resume", "unreadable"},
		{"run", "watch", "--bounds", "small.sexp", "--resume", "stopped"},
	} {
		got := run(t, dir, append([]string{"explore"}, args...)...)
		assert.Equal(t, 2, got.exitCode, "%v: %s", args, got.stderr)
	}
}
