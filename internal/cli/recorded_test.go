package cli

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/lab/world"
)

// TestRecordedResultIsKeptTheSame reads a kept experiment of an earlier release and keeps it again: the same bytes.
func TestRecordedResultIsKeptTheSame(t *testing.T) {
	recorded := filepath.Join("..", "lab", "sim", "testdata", "small")
	p, err := keptPlayed(recorded)
	require.NoError(t, err)
	assert.Equal(t, "small", p.Name)
	assert.True(t, p.OK)
	assert.Equal(t, 1036, p.Commands)
	assert.Len(t, p.Policies, 2)
	assert.Len(t, p.Runs, 4)
	experiment := filepath.Join(recorded, "experiment.sexp")
	text, err := os.ReadFile(experiment)
	require.NoError(t, err)
	spec, err := world.Load(experiment)
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, keepPlayed(dir, text, spec, p))
	for _, name := range []string{"experiment.sexp", "runs.json"} {
		want, err := os.ReadFile(filepath.Join(recorded, name))
		require.NoError(t, err)
		got, err := os.ReadFile(filepath.Join(dir, name))
		require.NoError(t, err)
		assert.Equal(t, string(want), string(got), name)
	}
	assert.FileExists(t, filepath.Join(dir, "report.html"))
}
