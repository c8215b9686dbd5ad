package member

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

func TestMemberThatDoesNotGreetProperlyHasRunNothing(t *testing.T) {
	for what, k := range map[string]struct {
		said   []byte
		ending router.Result
	}{
		"a row":           {answer("x"), router.ConnectFailed},
		"nonsense":        {[]byte("SSH-2.0-x\r\n"), router.ConnectFailed},
		"an error":        {pg.Error(nil, true, "57P03", "", ""), router.ConnectFailed},
		"too many of us":  {pg.Error(nil, true, pg.CodeFull, "", ""), router.Overloaded},
		"a password, pls": {pg.Message(nil, 'R', []byte{0, 0, 0, 3}), router.ConnectFailed},
		"one byte more":   {append(pg.Welcome(nil), 'N'), router.ConnectFailed},
	} {
		b := newBench(t)
		d := b.send("d=99", far)
		c, err := b.node.Accept()
		require.NoError(t, err)
		_, _ = c.Write(k.said)
		b.run(b.ended(1))
		_ = c.Close()
		assert.Equal(t, k.ending, b.endings[0], what)
		d.Statement.Free()
		assert.Zero(t, b.blocks.Out(), what)
	}
}

// The order that matters: an answer, the next command, then bytes that belong to no command.
func TestWhatComesBehindAnAnswerMeetsNoOtherCommand(t *testing.T) {
	b := newBench(t)
	b.m.limits.Durations.ReuseDelay = 1000
	b.send("d=99", far)
	c := b.accept()
	b.reply(c, "one")
	b.send("d=99", far)
	_, _ = c.Write(answer("one")) // a second copy, while the next command is out
	other := b.accept()
	b.reply(other, "two")
	b.run(func() bool { return b.count.BackendUnsolicited == 1 })
	assert.Equal(t, []string{"one", "two"}, b.values)
	b.m.limits.Durations.ReuseDelay = 0
	_, _ = other.Write([]byte("noise"))
	b.run(func() bool { return b.count.BackendUnsolicited == 2 })
	assert.Zero(t, b.m.ConnectionCount(), "neither connection is used again")
}
