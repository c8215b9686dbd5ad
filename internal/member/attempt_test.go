package member

import (
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

func TestStatementIsPassedOnWithTheTimeLeft(t *testing.T) {
	b := newBench(t)
	b.send("d=99 rest", 1000)
	c := b.accept()
	want := pg.Query(nil, "d=999999 rest")
	got := b.hear(c, len(want))
	assert.Regexp(t, `^Q\x00\x00\x00\x12d=99\d{4} rest\x00$`, got)
	_, _ = c.Write(answer("one"))
	b.run(b.ended(1))
	assert.Equal(t, []router.Result{router.Answered}, b.endings)
	assert.Equal(t, []string{"one"}, b.values)

	b.send("d=99 again", far)
	b.hear(c, 5)
	assert.Equal(t, 1, b.m.ConnectionCount(), "the connection is used again")
}

func TestTimeOutBeforeTheLastByteHasNeverRun(t *testing.T) {
	b := newBench(t)
	b.send("d=99", 0.2) // nobody greets
	b.run(b.ended(1))
	c, err := b.node.Accept()
	require.NoError(t, err)
	_ = c.Close()
	d := b.send("d=99"+string(make([]byte, 32<<20)), far)
	c = b.accept()
	b.hear(c, 5)
	d.conn.timerExpired() // its time has run out while the member reads no more
	assert.Equal(t, []router.Result{router.ConnectFailed, router.ConnectFailed}, b.endings)
	assert.Zero(t, b.m.ConnectionCount())
}

func TestRecallGoesByTheLastByte(t *testing.T) {
	b := newBench(t)
	long := b.send("d=99"+string(make([]byte, 32<<20)), far)
	c := b.accept()
	b.hear(c, 5)
	require.True(t, long.Unsent())
	b.m.Cancel(long)
	b.m.Cancel(long)
	short := b.send("d=99", far)
	c = b.accept()
	b.hear(c, 5)
	require.False(t, short.Unsent())
	b.m.Cancel(short)
	assert.Equal(t, []router.Result{router.ConnectFailed, router.Canceled}, b.endings)
	_, err := io.Copy(io.Discard, c)
	assert.NoError(t, err, "the connection was closed at once")
	assert.Zero(t, b.m.ConnectionCount())
}

func TestSilenceAfterTheLastByteIsATimeOut(t *testing.T) {
	b := newBench(t)
	b.send("d=99", 0.3)
	b.accept()
	b.run(b.ended(1))
	assert.Equal(t, []router.Result{router.TimedOut}, b.endings)
	assert.Zero(t, b.m.ConnectionCount())
}

func TestOutcomesByWhatComesBack(t *testing.T) {
	fail := func(code string, fatal bool) []byte { return pg.Error(nil, fatal, code, "", "") }
	for what, k := range map[string]struct {
		said   []byte
		ending router.Result
		open   int
	}{
		"full":           {pg.Ready(fail(pg.CodeFull, false)), router.Overloaded, 1},
		"full and ended": {fail(pg.CodeFull, true), router.Overloaded, 0},
		"no primary":     {pg.Ready(fail(pg.CodeNotPrimary, false)), router.NotServed, 1},
		"too far behind": {pg.Ready(fail(pg.CodeBehind, false)), router.NotServed, 1},
		"error":          {pg.Ready(fail("XX000", false)), router.Errored, 1},
		"no row":         {pg.Ready(nil), router.Errored, 1},
		"3 GB promised":  {[]byte("D\xb2\xd0\x5e\x00"), router.Errored, 0},
		"full in a row":  {pg.Ready(pg.Error(answer("x")[:41], false, pg.CodeFull, "", "")), router.Errored, 1},
		"nonsense":       {[]byte("HTTP/1.1 400 Bad Request\r\n\r\n"), router.Errored, 0},
		"too much":       {append(answer("x"), answer("y")...), router.Answered, 0},
	} {
		b := newBench(t)
		b.send("d=99", far)
		c := b.accept()
		b.hear(c, 5)
		_, _ = c.Write(k.said)
		b.run(b.ended(1))
		assert.Equal(t, k.ending, b.endings[0], what)
		assert.Equal(t, k.open, b.m.ConnectionCount(), what)
	}
	b := newBench(t)
	b.send("d=99", far)
	c := b.accept()
	b.hear(c, 5)
	_, _ = c.Write(answer("cut short")[:20])
	_ = c.Close()
	b.run(b.ended(1))
	assert.Equal(t, router.ConnectionLost, b.endings[0], "what was not whole reaches nobody")
	assert.Empty(t, b.values)
}
