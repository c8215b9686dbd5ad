package backend

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

func TestBadStartupAnswerIsConnectFailedOrOverloaded(t *testing.T) {
	for name, test := range map[string]struct {
		sent   []byte
		result router.Result
	}{
		"a row":                {answer("x"), router.ConnectFailed},
		"another protocol":     {[]byte("SSH-2.0-x\r\n"), router.ConnectFailed},
		"an error":             {pg.AppendErrorResponse(nil, true, "57P03", "", ""), router.ConnectFailed},
		"too many connections": {pg.AppendErrorResponse(nil, true, pg.CodeTooManyConnections, "", ""), router.Overloaded},
		"a password request":   {pg.AppendMessage(nil, 'R', []byte{0, 0, 0, 3}), router.ConnectFailed},
		"an extra byte":        {append(pg.AppendStartupReply(nil, pg.CancelKey{}), 'N'), router.ConnectFailed},
	} {
		f := newFixture(t)
		attempt := f.send("d=99", distantDeadline)
		c, err := f.backend.Accept()
		require.NoError(t, err)
		_, _ = c.Write(test.sent)
		f.run(f.hasResults(1))
		_ = c.Close()
		assert.Equal(t, test.result, f.results[0], name)
		attempt.Statement.Free()
		assert.Zero(t, f.blocks.BlocksInUse(), name)
	}
}

// Data that a backend sends after its answer must not become the answer to the next attempt, which goes over another
// connection until the reuse delay is over.
func TestUnsolicitedDataReachesNoOtherCommand(t *testing.T) {
	f := newFixture(t)
	f.pool.limits.Durations.ReuseDelay = 1000
	f.send("d=99", distantDeadline)
	c := f.accept()
	f.reply(c, "one")
	f.send("d=99", distantDeadline)
	_, _ = c.Write(answer("one")) // a second copy of the answer, while the next attempt is in flight
	other := f.accept()
	f.reply(other, "two")
	f.run(func() bool { return f.counters.BackendUnsolicited == 1 })
	assert.Equal(t, []string{"one", "two"}, f.values)
	f.pool.limits.Durations.ReuseDelay = 0
	_, _ = other.Write([]byte("noise"))
	f.run(func() bool { return f.counters.BackendUnsolicited == 2 })
	assert.Zero(t, f.pool.ConnectionCount(), "neither connection is reused")
}
