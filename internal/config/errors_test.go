package config

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestErrorsCarryFileSectionAndKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string {
		if name == fileVariable {
			return path
		}
		return ""
	}
	var fault *Error

	_, err := Load(env)
	require.ErrorAs(t, err, &fault)
	require.ErrorIs(t, err, fs.ErrNotExist)
	assert.Equal(t, path, fault.File)
	assert.Equal(t, "GW_CONFIG", fault.Key)

	broken := strings.Replace(configText, `"tickNs":5000000`, `"tickNs":-1`, 1)
	require.NoError(t, os.WriteFile(path, []byte(broken), 0o600))
	_, err = Load(env)
	require.ErrorAs(t, err, &fault)
	assert.Equal(t, Error{File: path, Section: "settings", Key: "tickNs", Reason: "is out of range"}, *fault)
	require.EqualError(t, err, "settings: tickNs is out of range")

	_, err = Parse([]byte(broken))
	require.ErrorAs(t, err, &fault)
	assert.Empty(t, fault.File, "the document was not read from a file")

	_, err = ParseSettings([]byte("nonsense"))
	require.ErrorAs(t, err, &fault)
	assert.Equal(t, "settings", fault.Section)
	assert.Empty(t, fault.Key, "the section cannot be parsed")
}
