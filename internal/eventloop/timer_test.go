package eventloop

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTimersFireOnceInTheOrderOfTheirTimes(t *testing.T) {
	l := newLoop(t)
	fired := ""
	newTimer := func(name string) *Timer { return NewTimer(func() { fired += name }) }
	moved := newTimer("a")
	first := newTimer("b")
	second := newTimer("c")
	stopped := newTimer("d")
	l.SetTimer(moved, 0.003)
	l.SetTimer(first, 0.001)
	l.SetTimer(second, 0.002)
	l.SetTimer(stopped, 0.002)
	l.SetTimer(moved, 0) // replaces the time set before
	l.StopTimer(stopped)
	l.StopTimer(stopped)
	require.NoError(t, l.Run(func(now float64) float64 {
		if now > 0.01 {
			l.Stop()
		}
		return now + 0.002
	}))
	assert.Equal(t, "abc", fired)
	assert.False(t, moved.IsSet())
}
