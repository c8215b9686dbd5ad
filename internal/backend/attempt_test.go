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
	assert.Equal(t, 1, f.pool.ConnectionCount(), "the connection is reused")
}

func TestTimeoutBeforeTheLastByteIsConnectFailed(t *testing.T) {
	f := newFixture(t)
	f.send("d=99", 0.2) // no answer to the start-up packet
	f.run(f.hasResults(1))
	c, err := f.backend.Accept()
	require.NoError(t, err)
	_ = c.Close()
	attempt := f.send("d=99"+string(make([]byte, 32<<20)), distantDeadline)
	c = f.accept()
	f.receive(c, 5)
	attempt.conn.timerExpired() // the deadline passes while the backend has stopped reading
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
	assert.Equal(t, []router.Result{router.NeverSent, router.Canceled}, f.results, "neither result counts against the endpoint")
	_, err := io.Copy(io.Discard, c)
	require.NoError(t, err, "canceling closes the connection")
	assert.Zero(t, f.pool.ConnectionCount())
}

func TestMissingAnswerIsTimedOut(t *testing.T) {
	f := newFixture(t)
	f.send("d=99", 0.3)
	f.accept()
	f.run(f.hasResults(1))
	assert.Equal(t, []router.Result{router.TimedOut}, f.results)
	assert.Zero(t, f.pool.ConnectionCount())
}

func TestResultFollowsTheAnswer(t *testing.T) {
	errorResponse := func(code string, fatal bool) []byte { return pg.AppendErrorResponse(nil, fatal, code, "", "") }
	for name, test := range map[string]struct {
		sent   []byte
		result router.Result
		open   int // connections that stay open
	}{
		"overloaded":            {pg.AppendReadyForQuery(errorResponse(pg.CodeTooManyConnections, false)), router.Overloaded, 1},
		"overloaded and closed": {errorResponse(pg.CodeTooManyConnections, true), router.Overloaded, 0},
		"no primary":            {pg.AppendReadyForQuery(errorResponse(pg.CodeReadOnlyTransaction, false)), router.NotServed, 1},
		"replica behind":        {pg.AppendReadyForQuery(errorResponse(pg.CodeSnapshotTooOld, false)), router.NotServed, 1},
		"error":                 {pg.AppendReadyForQuery(errorResponse("XX000", false)), router.Errored, 1},
		"no row":                {pg.AppendReadyForQuery(nil), router.Errored, 1},
		"3 GB announced":        {[]byte("D\xb2\xd0\x5e\x00"), router.Errored, 0},
		"overloaded after a row": {
			pg.AppendReadyForQuery(pg.AppendErrorResponse(answer("x")[:41], false, pg.CodeTooManyConnections, "", "")),
			router.Errored, 1,
		},
		"another protocol": {[]byte("HTTP/1.1 400 Bad Request\r\n\r\n"), router.Errored, 0},
		"two answers":      {append(answer("x"), answer("y")...), router.Answered, 0},
	} {
		f := newFixture(t)
		f.send("d=99", distantDeadline)
		c := f.accept()
		f.receive(c, 5)
		_, _ = c.Write(test.sent)
		f.run(f.hasResults(1))
		assert.Equal(t, test.result, f.results[0], name)
		assert.Equal(t, test.open, f.pool.ConnectionCount(), name)
	}
	f := newFixture(t)
	f.send("d=99", distantDeadline)
	c := f.accept()
	f.receive(c, 5)
	_, _ = c.Write(answer("cut short")[:20])
	_ = c.Close()
	f.run(f.hasResults(1))
	assert.Equal(t, router.ConnectionLost, f.results[0], "an incomplete answer is not reported")
	assert.Empty(t, f.values)
}

// If the router is delayed between its poll and the sending, the statement must contain the waiting time that remains when
// it is sent.
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

// If a backend reads so slowly that writing the statement exceeds its timeout, the rest is not written. The waiting time in
// the statement would be over long before its last byte arrived.
func TestStatementThatIsTakenTooSlowlyIsNeverComplete(t *testing.T) {
	f := newFixture(t)
	f.pool.limits.Durations.StatementWriteTimeout = 0.1
	f.send("d=99"+string(make([]byte, 32<<20)), distantDeadline)
	c := f.accept()
	f.receive(c, 5)
	f.run(f.hasResults(1))
	assert.Equal(t, []router.Result{router.ConnectFailed}, f.results, "the backend cannot have run a part of a statement")
	read, err := io.Copy(io.Discard, c)
	require.NoError(t, err)
	assert.Less(t, read, int64(32<<20))
}

// An attempt must not be written if its client leaves while the connection is being opened.
func TestAttemptWhoseClientHasLeftIsNotWritten(t *testing.T) {
	f := newFixture(t)
	f.send("d=99", distantDeadline)
	f.sendsForbidden = true
	c := f.accept()
	f.run(f.hasResults(1))
	assert.Equal(t, []router.Result{router.NeverSent}, f.results)
	f.sendsForbidden = false
	f.send("d=98", distantDeadline)
	assert.Contains(t, f.receive(c, 10), "d=", "the connection is kept, and the first statement was not written to it")
	assert.EqualValues(t, 1, f.counters.BackendConnects)
}

// A lack of descriptors at the router is reported as NeverSent, and an endpoint without an address as ConnectFailed.
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
