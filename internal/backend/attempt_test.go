package backend

import (
	"io"
	"net/netip"
	"testing"
	"time"

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

func TestCanceledAttemptIsNeverSentUntilItsLastByteIsWritten(t *testing.T) {
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
	assert.Equal(t, []router.Result{router.NeverSent, router.Canceled}, f.results, "which blames no endpoint")
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

// The router was held up between its poll and the sending: the statement says what is left by then.
func TestStatementTellsWhatIsLeftAfterALongTurn(t *testing.T) {
	f := newFixture(t)
	f.send("d=99", 1000)
	c := f.accept()
	f.receive(c, len(pg.AppendQuery(nil, "d=999999")))
	_, _ = c.Write(answer("one"))
	f.run(f.hasResults(1))
	deadline := f.loop.Clock() + 1
	f.run(func() bool { return true })
	time.Sleep(200 * time.Millisecond)
	f.send("d=99", deadline)
	got := f.receive(c, len(pg.AppendQuery(nil, "d=999")))
	assert.Regexp(t, `d=[67]\d\d\x00$`, got)
}

// A backend reads slowly: what a statement says of the time left would be over long before its last byte came.
func TestStatementThatIsTakenTooSlowlyIsNeverComplete(t *testing.T) {
	f := newFixture(t)
	f.pool.limits.Durations.StatementWriteTimeout = 0.1
	f.send("d=99"+string(make([]byte, 32<<20)), distantDeadline)
	c := f.accept()
	f.receive(c, 5)
	f.run(f.hasResults(1))
	assert.Equal(t, []router.Result{router.ConnectFailed}, f.results, "it has not run")
	read, err := io.Copy(io.Discard, c)
	require.NoError(t, err)
	assert.Less(t, read, int64(32<<20))
}

// The client left while its attempt's connection came up, or while the statement was being written.
func TestAttemptWhoseClientHasLeftIsNotWritten(t *testing.T) {
	f := newFixture(t)
	f.send("d=99", distantDeadline)
	f.clientsGone = true
	c := f.accept()
	f.run(f.hasResults(1))
	assert.Equal(t, []router.Result{router.NeverSent}, f.results)
	f.clientsGone = false
	f.send("d=98", distantDeadline)
	assert.Contains(t, f.receive(c, 10), "d=", "the connection was kept, and the first statement never came on it")
	assert.EqualValues(t, 1, f.counters.BackendConnects)
}

// No connection was made for reasons of this machine, or of the endpoint.
func TestLocalFailureIsNotTheEndpoints(t *testing.T) {
	f := newFixture(t)
	f.pool.limits.Counts.BackendConnections = 0
	f.send("d=99", distantDeadline)
	f.pool.CheckHealth(0)
	f.pool.SetAddress(1, netip.AddrPort{}, false)
	f.pool.Send(&Attempt{Endpoint: 1})
	assert.Equal(t, []router.Result{router.NeverSent, router.ConnectFailed}, f.results)
	assert.Equal(t, []router.Result{router.NeverSent}, f.checks)
}
