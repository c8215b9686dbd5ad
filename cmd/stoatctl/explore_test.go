package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestExploringFromTheCommandLine(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	write := func(name, text string) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	write("small.sexp", "(bounds command (members 2) (commands order) (ticks 2))\n(bounds watch (ticks 1) (faults 1) (depth 9))")
	write("few.sexp", "(bounds command (members 2) (commands order) (ticks 2) (states 10))")
	write("more.sexp", "(bounds command (members 2) (commands order) (ticks 2) (states 100000))")
	s := run(t, dir, "explore", "run", "command", "--bounds", "small.sexp", "--json")
	require.Zero(t, s.status, s.err)
	whole := s.last(t)
	assert.Equal(t, true, whole["complete"])
	s = run(t, dir, "explore", "run", "command", "--bounds", "few.sexp", "--stop", "stopped")
	assert.Equal(t, 4, s.status, s.err)
	s = run(t, dir, "explore", "run", "command", "--bounds", "more.sexp", "--resume", "stopped", "--json")
	require.Zero(t, s.status, s.err)
	assert.Equal(t, whole["states"], s.last(t)["states"], "taken up, it sees the same")
	assert.Zero(t, run(t, dir, "explore", "run", "watch", "--bounds", "small.sexp", "--deep").status)
	assert.Equal(t, 2, run(t, dir, "explore", "run", "command", "--bounds", "small.sexp", "--deep").status)
	s = run(t, dir, "explore", "run", "command", "--bounds", "small.sexp", "--inject", "held-back", "--trace", "t.json")
	assert.Zero(t, s.status, "it takes five ticks: %s", s.err)
	s = run(t, dir, "explore", "inject", "early-byte", "--keep", dir, "--json")
	require.Zero(t, s.status, s.err)
	assert.Equal(t, true, s.last(t)["ok"])
	trace := "command-early-byte.json"
	s = run(t, dir, "explore", "show", trace, "--svg", "t.svg")
	assert.Zero(t, s.status, s.err)
	assert.Contains(t, s.out, "take 0")
	svg, err := os.ReadFile(filepath.Join(dir, "t.svg"))
	require.NoError(t, err)
	assert.Contains(t, string(svg), "order 0")
	assert.Equal(t, 1, run(t, dir, "explore", "replay", trace).status, "while it breaks")
	assert.Zero(t, run(t, dir, "explore", "walk", "command", "--bounds", "small.sexp", "--walks", "50", "--seed", "1").status)
	assert.Equal(t, 1, run(t, dir, "explore", "walk", "watch", "--bounds", "small.sexp", "--inject", "unclosed", "--walks", "500", "--seed", "1").status)
	assert.Contains(t, run(t, dir, "explore", "list").out, "drain-overlooked")
	write("broken", "no exploration")
	for _, args := range [][]string{
		{"run", "moon"},
		{"run", "command", "--bounds", "none"},
		{"run", "command", "--bounds", "small.sexp", "--inject", "x"},
		{"inject"},
		{"inject", "nothing"},
		{"show", "none"},
		{"run", "command", "--bounds", "small.sexp", "--resume", "broken"},
		{"run", "watch", "--bounds", "small.sexp", "--resume", "stopped"},
	} {
		s := run(t, dir, append([]string{"explore"}, args...)...)
		assert.Equal(t, 2, s.status, "%v: %s", args, s.err)
	}
}
