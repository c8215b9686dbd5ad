package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestReloadPrefersTheFileAndNamesKeysThatNeedARestart(t *testing.T) {
	first, err := load(t, configText, nil)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "config.json")
	moved := strings.Replace(strings.Replace(configText, "127.2.0.1", "127.2.0.9", 1), `"sockets":600`, `"sockets":500`, 1)
	require.NoError(t, os.WriteFile(path, []byte(moved), 0o600))
	env := map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": "127.2.0.1:8500"}
	second, err := Reload(func(name string) string { return env[name] })
	require.NoError(t, err, "the variable still has the address from the start")
	assert.Equal(t, "127.2.0.9:8500", second.Discovery.String())
	assert.Equal(t, []string{"limits"}, first.RestartKeys(&second))
	assert.Empty(t, first.RestartKeys(&first))
}

func TestMigrationAdoptsSettingsWithoutARestart(t *testing.T) {
	first, err := load(t, configText, nil)
	require.NoError(t, err)
	changed := strings.Replace(strings.Replace(configText, `"basket"`, `"browse"`, 1), `"memory_mb":100`, `"memory_mb":200`, 1)
	second, err := load(t, changed, nil)
	require.NoError(t, err)
	assert.False(t, first.MigratesTo(&second))
	assert.Equal(t, []string{"limits", "settings"}, first.RestartKeys(&second))
	moved, err := load(t, strings.Replace(changed, `{"name":"n3"`, `{"move":true,"name":"n3"`, 1), nil)
	require.NoError(t, err)
	assert.True(t, first.MigratesTo(&moved))
	assert.Equal(t, []string{"limits"}, first.RestartKeys(&moved), "the memory limit still needs a restart")
	first.AdoptSettings(&moved)
	assert.Equal(t, []string{"browse", "order"}, first.Settings.GroupNames)
	assert.Equal(t, int64(100)<<20, first.Limits.Sizes.Memory)
	assert.False(t, first.MigratesTo(&moved), "the settings have been adopted")
}
