package backend

import (
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

func TestStatementIsForwardedWithTheRemainingWait(t *testing.T) {
	f := newFixture(t)
	f.send("d=99 rest", 1000)
	c := f.accept()
	want := pg.AppendQuery(nil, "d=999999 rest")
	got := f.receive(c, len(want))
	assert.Regexp(t, `^Q\x00\x00\x00\x12d=99\d{4} rest\x00$`, got)
	_, _ = c.Write(answer("one"))
	f.run(f.hasResults(1))
	assert.Equal(t, []router.Result{router.Answered}, f.results)
	assert.Equal(t, []string{"one"}, f.values)

	f.send("d=99 again", distantDeadline)
	f.receive(c, 5)
	assert.Equal(t, 1, f.pool.ConnectionCount(), "the connection is used again")
}

func TestTimeoutBeforeTheLastByteIsConnectFailed(t *testing.T) {
	f := newFixture(t)
	f.send("d=99", 0.2) // no answer to the start-up packet
	f.run(f.hasResults(1))
	c, err := f.backend.Accept()
	require.NoError(t, err)
	_ = c.Close()
	d := f.send("d=99"+string(make([]byte, 32<<20)), distantDeadline)
	c = f.accept()
	f.receive(c, 5)
	d.conn.timerExpired() // its deadline passes while the backend reads no more
	assert.Equal(t, []router.Result{router.ConnectFailed, router.ConnectFailed}, f.results)
	assert.Zero(t, f.pool.ConnectionCount())
}

func TestCanceledAttemptIsConnectFailedUntilItsLastByteIsWritten(t *testing.T) {
	f := newFixture(t)
	long := f.send("d=99"+string(make([]byte, 32<<20)), distantDeadline)
	c := f.accept()
	f.receive(c, 5)
	require.True(t, long.Unsent())
	f.pool.Cancel(long)
	f.pool.Cancel(long)
	short := f.send("d=99", distantDeadline)
	c = f.accept()
	f.receive(c, 5)
	require.False(t, short.Unsent())
	f.pool.Cancel(short)
	assert.Equal(t, []router.Result{router.ConnectFailed, router.Canceled}, f.results)
	_, err := io.Copy(io.Discard, c)
	require.NoError(t, err, "the connection was closed at once")
	assert.Zero(t, f.pool.ConnectionCount())
}

func TestSilenceAfterTheLastByteIsTimedOut(t *testing.T) {
	f := newFixture(t)
	f.send("d=99", 0.3)
	f.accept()
	f.run(f.hasResults(1))
	assert.Equal(t, []router.Result{router.TimedOut}, f.results)
	assert.Zero(t, f.pool.ConnectionCount())
}

func TestResultFollowsTheAnswer(t *testing.T) {
	fail := func(code string, fatal bool) []byte { return pg.AppendErrorResponse(nil, fatal, code, "", "") }
	for name, k := range map[string]struct {
		sent   []byte
		result router.Result
		open   int
	}{
		"full":           {pg.AppendReadyForQuery(fail(pg.CodeTooManyConnections, false)), router.Overloaded, 1},
		"full and ended": {fail(pg.CodeTooManyConnections, true), router.Overloaded, 0},
		"no primary":     {pg.AppendReadyForQuery(fail(pg.CodeReadOnlyTransaction, false)), router.NotServed, 1},
		"too far behind": {pg.AppendReadyForQuery(fail(pg.CodeSnapshotTooOld, false)), router.NotServed, 1},
		"error":          {pg.AppendReadyForQuery(fail("XX000", false)), router.Errored, 1},
		"no row":         {pg.AppendReadyForQuery(nil), router.Errored, 1},
		"3 GB promised":  {[]byte("D\xb2\xd0\x5e\x00"), router.Errored, 0},
		"full in a row":  {pg.AppendReadyForQuery(pg.AppendErrorResponse(answer("x")[:41], false, pg.CodeTooManyConnections, "", "")), router.Errored, 1},
		"nonsense":       {[]byte("HTTP/1.1 400 Bad Request\r\n\r\n"), router.Errored, 0},
		"too much":       {append(answer("x"), answer("y")...), router.Answered, 0},
	} {
		f := newFixture(t)
		f.send("d=99", distantDeadline)
		c := f.accept()
		f.receive(c, 5)
		_, _ = c.Write(k.sent)
		f.run(f.hasResults(1))
		assert.Equal(t, k.result, f.results[0], name)
		assert.Equal(t, k.open, f.pool.ConnectionCount(), name)
	}
	f := newFixture(t)
	f.send("d=99", distantDeadline)
	c := f.accept()
	f.receive(c, 5)
	_, _ = c.Write(answer("cut short")[:20])
	_ = c.Close()
	f.run(f.hasResults(1))
	assert.Equal(t, router.ConnectionLost, f.results[0], "an incomplete answer is not passed on")
	assert.Empty(t, f.values)
}
