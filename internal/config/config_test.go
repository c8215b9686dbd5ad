package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/router"
)

const configText = `{"name":"n3","listen":"127.0.0.4:5432","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"memory_mb":100,"sockets":600},"unheardOf":1,
 "known":{"generation":41,"reset":true,"instances":[]},
 "settings":{"balancers":3,"me":2,"zones":["h1","h2"],"tickNs":5000000,"discovery":"push",
  "classes":[{"name":"basket","effect":"pure","targetNs":500000000,"deadlineNs":2000000000,"worth":1},
   {"name":"order","effect":"token","keyScope":"cell","targetNs":500000000,"deadlineNs":2000000000,"worth":2}],
  "familyInfo":{"tokens":"kept","guards":"none","needsByClass":["causal","mutate"],"classBoundNs":[0,0],"zeroNs":5},
  "loadInfo":{"source":"probe","fields":["x0","x1"]},
  "limits":{"mostTries":4,"dialTimeoutNs":250000000,"connIdleNs":15000000000,"probes":true},
  "invariants":{"startCapacity":0.2,"rampTimeNs":9000000000,"overloadFactor":2,"fallNs":2000000000}}}`

func load(t *testing.T, text string, env map[string]string) (Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(func(name string) string {
		if name == "GW_CONFIG" {
			return path
		}
		return env[name]
	})
}

func TestConfigurationIsRead(t *testing.T) {
	config, err := load(t, configText, map[string]string{"GW_NAME": "n3"})
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.4:5432", config.Listen.String())
	assert.Equal(t, uint64(0x8c1f30d27a5be964), config.Seed)
	assert.Equal(t, int64(41), config.KnownList.Generation)
	assert.Equal(t, []string{"basket", "order"}, config.Settings.GroupNames)
	assert.Equal(t, 2, config.Settings.Instance)
	assert.True(t, config.Settings.LoadReports)
	assert.Equal(t, router.PrimaryOnly, config.Settings.CommandGroups[1].Consistency)
	assert.InDelta(t, 0.25, config.Limits.Durations.ConnectTimeout, 1e-9)
	assert.Less(t, config.Limits.Durations.BackendIdleTimeout, 0.8*15, "closed well before the backend closes it")
	assert.Greater(t, config.Limits.Sizes.BackendMessage, 2*(64<<10)+100, "the largest value fits in hexadecimal form")
	assert.Less(t, config.Limits.Counts.ClientConnections+config.Limits.Counts.BackendConnections, 600, "some are reserved")
	assert.Less(t, int64(config.Limits.Counts.BufferBlocks*config.Limits.Sizes.BufferBlock), config.Limits.Sizes.Memory)
}

func TestFaultsNameTheKey(t *testing.T) {
	for text, change := range map[string][2]string{
		"name is missing":               {`"name":"n3"`, `"nam":"n3"`},
		"listen:":                       {"127.0.0.4:5432", "127.0.0.4"},
		"discovery:":                    {"127.2.0.1:8500", "somewhere"},
		"seed:":                         {"8c1f30d27a5be964", "xyz"},
		"known is missing":              {`"known"`, `"now"`},
		"known: list: generation":       {`"generation":41,`, ""},
		"settings is missing":           {`"settings"`, `"setting"`},
		"limits.memory_mb":              {`"memory_mb":100`, `"memory_mb":-1`},
		"limits.sockets":                {`"sockets":600`, `"sockets":10`},
		"limits.sockets of type int":    {`"sockets":600`, `"sockets":"many"`},
		"classes is missing":            {`"classes"`, `"class"`},
		"classes[1].name":               {"order", "basket"},
		"classes[0]: targetNs":          {`"targetNs"`, `"target"`},
		"classes[1].keyScope":           {`"keyScope":"cell"`, `"keyScope":"moon"`},
		"familyInfo.tokens":             {"kept", "lost"},
		"familyInfo.needsByClass":       {"causal", "casual"},
		"limits.dialTimeoutNs":          {"dialTimeoutNs", "dialTimeout"},
		"limits.connIdleNs":             {"connIdleNs", "connIdle"},
		"invariants.rampTimeNs is out":  {"rampTimeNs", "rampTime"},
		"invariants.overloadFactor is":  {`"overloadFactor":2`, `"overloadFactor":0`},
		"settings: me is out of range":  {`"me":2`, `"me":-2`},
		"tickNs is out of range":        {"5000000,", "5000000000000,"},
		"limits.mostTries":              {`"mostTries":4`, `"mostTries":0`},
		"GW_CONFIG: unexpected end":     {`2000000000}}}`, ""},
		"classes.worth of type float64": {`"worth":2`, `"worth":"much"`},
	} {
		require.Contains(t, configText, change[0])
		_, err := load(t, strings.Replace(configText, change[0], change[1], 1), nil)
		assert.ErrorContains(t, err, text)
	}
}

func TestVariablesAndFileMustAgree(t *testing.T) {
	_, err := load(t, configText, map[string]string{"GW_LISTEN": "127.0.0.9:1"})
	require.ErrorContains(t, err, "GW_LISTEN")
	config, err := load(t, strings.Replace(configText, `"listen"`, `"other"`, 1), map[string]string{"GW_LISTEN": "127.0.0.9:1"})
	require.NoError(t, err, "a variable replaces a missing key")
	assert.Equal(t, "127.0.0.9:1", config.Listen.String())
	_, err = Load(func(string) string { return "" })
	require.ErrorContains(t, err, "GW_CONFIG is not set")
	_, err = Load(func(string) string { return "/nowhere/at/all" })
	assert.ErrorContains(t, err, "GW_CONFIG")
}
