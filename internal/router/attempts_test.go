package router

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestNonIdempotentCommandRunsOnce(t *testing.T) {
	for ending, want := range map[Result]Action{
		Errored: Fail, TimedOut: Fail, ConnectionLost: Fail, Canceled: Fail,
		Overloaded: Forward, ConnectFailed: Forward, NeverSent: Wait,
	} {
		r := testRouter(t, testConfig())
		r.endpoints[0].resultCount, r.endpoints[0].decayedAt = 9, 10
		c := newCommand(writes)
		r.Route(10, c)
		decision := r.AttemptEnded(10.1, c, AttemptResult{Result: ending, Position: -1})
		assert.Equal(t, want, decision.Action, "ending %d", ending)
		if want == Wait { // for what this machine lacked, and only that long
			assert.Less(t, decision.ReviewAt, 10.15)
			assert.Equal(t, Forward, r.Route(decision.ReviewAt, c).Action)
		}
	}
}

// Half of all commands once erred at every endpoint, and each took eight attempts.
func TestCommandThatErrsEverywhereIsRejected(t *testing.T) {
	r := testRouter(t, testConfig())
	c := newCommand(eventualReads)
	r.Route(10, c)
	assert.Equal(t, Forward, r.AttemptEnded(10.01, c, AttemptResult{Result: Errored, Position: -1}).Action)
	assert.Equal(t, Reject, r.AttemptEnded(10.02, c, AttemptResult{Attempt: 1, Result: Errored, Position: -1}).Action)
}

func TestRetryByKeyLeavesTimeForItsConnection(t *testing.T) {
	s := testConfig()
	s.CommandGroups[writes].Idempotency = IdempotentWithKey
	r := testRouter(t, s)
	c := &Command{uncertainRuns: 1, firstUncertainAt: 10}
	assert.True(t, r.mayRetry(11.7, c, &r.groups[writes]))
	assert.False(t, r.mayRetry(11.75, c, &r.groups[writes]), "a connection may take as long as Dial")
	assert.Equal(t, Fail, r.giveUp(11.9, c, &r.groups[writes]).Action, "known in its own group only")
	r.groups[writes].KeyScope = GlobalScope
	assert.Equal(t, Reject, r.giveUp(11.9, c, &r.groups[writes]).Action)
}

func TestRetryByKeyStaysInItsZone(t *testing.T) {
	s := testConfig()
	s.CommandGroups[writes].Idempotency, s.CommandGroups[writes].KeyScope = IdempotentWithKey, ZoneScope
	r := testRouter(t, s)
	c := newCommand(writes)
	c.uncertainRuns, c.firstUncertainAt, c.firstUncertainEndpoint = 1, 10, 1
	assert.Equal(t, Forward, r.Route(10, c).Action)
	r.endpoints[1].zone = 1
	c = newCommand(writes)
	c.uncertainRuns, c.firstUncertainAt, c.firstUncertainEndpoint = 1, 10, 1
	assert.Equal(t, Wait, r.Route(10, c).Action)
}

// Lost answers once counted as queues and as seconds of work, and primaries looked full.
func TestLostAnswersAreNoQueue(t *testing.T) {
	r := testRouter(t, testConfig())
	r.fleetLatency, r.fleetQueueLength = 0.05, 1
	c := newCommand(writes)
	n := &r.endpoints[r.Route(10, c).Endpoint]
	r.Route(10.1, c)
	assert.Equal(t, 1, n.queued)
	n.lastAnswerAt, n.unansweredAttempts = 10.2, 0
	r.Route(11, c)
	assert.Equal(t, 0, n.queued, "overtaken by another answer")
	r.AttemptEnded(12, c, AttemptResult{Result: TimedOut, Elapsed: 2, Position: -1})
	assert.Equal(t, 0, n.queued)
	assert.Less(t, n.latencySum, 0.5)
}

func TestOverdueReadIsCanceled(t *testing.T) {
	r := testRouter(t, testConfig())
	r.fleetLatency = 0.02
	c := newCommand(eventualReads)
	a := r.Route(10, c)
	n := &r.endpoints[a.Endpoint]
	n.unansweredAttempts = 8
	b := r.Route(10.4, c)
	assert.Equal(t, 0, b.CancelAttempt)
	assert.Positive(t, n.failureCount, "a hang is seen by what is overdue")
	w := newCommand(writes)
	w.Attempts = []Attempt{{Endpoint: 1, SentAt: 10, InFlight: true}}
	assert.Equal(t, -1, r.Route(10.4, w).CancelAttempt, "a non-idempotent command is never canceled for a retry")
}

// A retry by key that an endpoint takes in slowly ran after its idempotency window was over.
func TestRetryByKeyTimesOutWithItsIdempotencyWindow(t *testing.T) {
	s := testConfig()
	s.CommandGroups[writes].Idempotency, s.CommandGroups[writes].IdempotencyWindow = IdempotentWithKey, 1.5
	r := testRouter(t, s)
	c := newCommand(writes)
	a := r.Route(10, c)
	assert.Equal(t, Forward, a.Action)
	assert.InDelta(t, c.ClientDeadline, a.AttemptDeadline, 0, "a first attempt has all of its client's time")
	a = r.AttemptEnded(10.01, c, AttemptResult{Result: ConnectionLost, Elapsed: 0.01, Position: -1})
	for k := 0; a.Action == Wait && k < 100; k++ {
		a = r.Route(a.ReviewAt, c)
	}
	assert.Equal(t, Forward, a.Action)
	assert.InDelta(t, 11.5, a.AttemptDeadline, 0)
}

func TestLostAnswerIsRetriedInTime(t *testing.T) {
	for left, again := range map[float64]bool{0.4: true, 0.02: false} {
		r := testRouter(t, testConfig())
		for i := range r.endpoints {
			r.endpoints[i].latencySum, r.endpoints[i].answerCount, r.endpoints[i].decayedAt = 0.1, 10, 10 // 10 ms each
		}
		c := newCommand(eventualReads)
		c.ClientDeadline = 10.1 + left
		require.Equal(t, Forward, r.Route(10, c).Action)
		n := &r.endpoints[c.Attempts[0].Endpoint]
		n.lastAnswerAt, n.unansweredAttempts = 10.05, 0 // it has answered others since
		a := r.Route(10.1, c)
		assert.Equal(t, again, a.CancelAttempt == 0, "%v seconds are left", left)
	}
}

func TestLostWriteWithKeyGoesToThePrimaryAgain(t *testing.T) {
	for effect, recall := range map[Idempotency]int{IdempotentWithKey: 0, NonIdempotent: -1} {
		r := testRouter(t, testConfig())
		r.groups[writes].Idempotency = effect
		r.endpoints[0].latencySum, r.endpoints[0].answerCount, r.endpoints[0].decayedAt = 0.1, 10, 10
		c := newCommand(writes)
		require.Equal(t, 0, r.Route(10, c).Endpoint)
		r.endpoints[0].lastAnswerAt, r.endpoints[0].unansweredAttempts = 10.05, 0
		assert.Equal(t, recall, r.Route(10.1, c).CancelAttempt)
		if effect == IdempotentWithKey {
			a := r.AttemptEnded(10.1, c, AttemptResult{Result: Canceled, Position: -1})
			assert.Equal(t, Forward, a.Action)
			assert.Equal(t, 0, a.Endpoint, "its own shard knows the key")
		}
	}
}
