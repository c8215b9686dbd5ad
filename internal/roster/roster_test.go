package roster

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const list = `{"generation":41,"reset":true,"instances":[
 {"instanceId":"s-1","hostPort":"10.1.0.18:5432","zone":"a","cell":3,"lifecycle":"ready","startedAtMs":7,
  "recovery":"off","unheardOf":[1]},
 {"instanceId":"s-2","lifecycle":"gone","cell":3,"recovery":"on"}]}`

func TestListIsRead(t *testing.T) {
	l, err := Parse([]byte(list))
	require.NoError(t, err)
	assert.Equal(t, int64(41), l.Generation)
	assert.True(t, l.Whole)
	require.Len(t, l.Members, 2)
	m := l.Members[0]
	assert.Equal(t, "10.1.0.18:5432", m.At.String())
	m.At = l.Members[1].At
	assert.Equal(t, Member{ID: "s-1", Zone: "a", Cell: 3, State: Ready, StartedMs: 7, Primary: true}, m)
	assert.Equal(t, Gone, l.Members[1].State, "one that is gone needs no address")
	assert.False(t, l.Members[1].Primary)
}

func TestBadListsNameTheFault(t *testing.T) {
	for says, change := range map[string][2]string{
		"list:":                       {"{", "["},
		"generation":                  {`"generation":41,`, ""},
		"instances[0].instanceId":     {"s-1", ""},
		"instances[0].hostPort":       {"10.1.0.18:5432", "here"},
		"instances[1].lifecycle":      {"gone", "tired"},
		"instances.cell":              {`"cell":3`, `"cell":"x"`},
		"instances[0].lifecycle: unk": {"ready", ""},
	} {
		_, err := Parse([]byte(strings.Replace(list, change[0], change[1], 1)))
		assert.ErrorContains(t, err, says)
	}
}
