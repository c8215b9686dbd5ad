package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestZoneIsOptionalAndChecked(t *testing.T) {
	config, err := load(t, configText, nil)
	require.NoError(t, err)
	assert.Equal(t, -1, config.Settings.Zone, "unknown: zones are ignored")
	config, err = load(t, strings.Replace(configText, `"me":2`, `"me":2,"zone":1`, 1), nil)
	require.NoError(t, err)
	assert.Equal(t, 1, config.Settings.Zone)
	for _, zone := range []string{"2", "-2", `"h1"`} {
		_, err = load(t, strings.Replace(configText, `"me":2`, `"me":2,"zone":`+zone, 1), nil)
		assert.ErrorContains(t, err, "zone", zone)
	}
}
