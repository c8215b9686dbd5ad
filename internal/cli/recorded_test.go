package cli

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/lab/model"
)

// TestSavedResultsOfAnEarlierReleaseRoundTrip checks that results that an earlier release saved can be loaded, and that saving
// them again writes the same bytes.
func TestSavedResultsOfAnEarlierReleaseRoundTrip(t *testing.T) {
	recorded := filepath.Join("..", "lab", "experiment", "testdata", "small")
	results, err := loadResults(recorded)
	require.NoError(t, err)
	assert.Equal(t, "small", results.Name)
	assert.True(t, results.OK)
	assert.Equal(t, 1036, results.Commands)
	assert.Len(t, results.Policies, 2)
	assert.Len(t, results.Runs, 4)
	experiment := filepath.Join(recorded, "experiment.sexp")
	text, err := os.ReadFile(experiment)
	require.NoError(t, err)
	spec, err := model.Load(experiment)
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, saveResults(dir, text, spec, results))
	for _, name := range []string{"experiment.sexp", "runs.json"} {
		want, err := os.ReadFile(filepath.Join(recorded, name))
		require.NoError(t, err)
		got, err := os.ReadFile(filepath.Join(dir, name))
		require.NoError(t, err)
		assert.Equal(t, string(want), string(got), name)
	}
	assert.FileExists(t, filepath.Join(dir, "report.html"))
}
