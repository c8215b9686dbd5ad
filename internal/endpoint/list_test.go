package endpoint

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validList = `{"generation":41,"reset":true,"instances":[
 {"instanceId":"s-1","hostPort":"10.1.0.18:5432","zone":"a","cell":3,"lifecycle":"ready","startedAtMs":7,
  "recovery":"off","unheardOf":[1]},
 {"instanceId":"s-2","lifecycle":"gone","cell":3,"recovery":"on"}]}`

func TestParseReadsAListAndIgnoresUnknownKeys(t *testing.T) {
	list, err := Parse([]byte(validList))
	require.NoError(t, err)
	assert.Equal(t, int64(41), list.Generation)
	assert.True(t, list.Complete)
	require.Len(t, list.Endpoints, 2)
	first, gone := list.Endpoints[0], list.Endpoints[1]
	assert.Equal(t, "10.1.0.18:5432", first.Address.String())
	first.Address = gone.Address
	assert.Equal(t, Endpoint{ID: "s-1", Zone: "a", Shard: 3, State: StateReady, StartedUnixMs: 7, Primary: true}, first)
	assert.Equal(t, StateGone, gone.State, "an endpoint that is gone needs no address")
	assert.False(t, gone.Primary)
}

func TestParseErrorsNameTheEntryAndKey(t *testing.T) {
	for want, change := range map[string][2]string{
		"list:":                       {"{", "["},
		"generation":                  {`"generation":41,`, ""},
		"instances[0].instanceId":     {"s-1", ""},
		"instances[0].hostPort":       {"10.1.0.18:5432", "here"},
		"instances[1].lifecycle":      {"gone", "tired"},
		"instances.cell":              {`"cell":3`, `"cell":"x"`},
		"instances[0].lifecycle: unk": {"ready", ""},
	} {
		_, err := Parse([]byte(strings.Replace(validList, change[0], change[1], 1)))
		var parseError *ParseError
		require.ErrorAs(t, err, &parseError)
		assert.ErrorContains(t, err, want)
	}
}
