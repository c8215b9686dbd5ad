package idtable

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestReleasedIDsAreUsedAgain(t *testing.T) {
	table := New[string]()
	ids := []int{table.Intern("a"), table.Intern("b"), table.Intern("a"), table.Intern("c")}
	assert.Equal(t, []int{0, 1, 0, 2}, ids)
	table.Release(1)
	_, ok := table.Lookup("b")
	assert.False(t, ok)
	assert.Equal(t, 1, table.Intern("d"))
	assert.Equal(t, "d", table.Key(1))
	assert.Equal(t, 3, table.Intern("b"), "no id is released, so the key gets a new one")
	assert.Equal(t, 4, table.Len())
}
