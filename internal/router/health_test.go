package router

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A single accidental connection failure once put a warm endpoint into slow start, and commands were
// rejected on days with little traffic.
func TestOneFailedConnectionDoesNotCountAsARestart(t *testing.T) {
	r := testRouter(t, testConfig())
	r.endpoints[1].recordUnreachable(10)
	r.recordReachable(10.3, &r.endpoints[1])
	assert.True(t, math.IsInf(r.endpoints[1].startedAt, -1))
	r.endpoints[1].recordUnreachable(10)
	r.recordReachable(12, &r.endpoints[1])
	assert.True(t, math.IsInf(r.endpoints[1].startedAt, -1), "a long gap after a single failure changes nothing")
	r.endpoints[1].recordUnreachable(10)
	r.endpoints[1].recordUnreachable(11)
	r.recordReachable(12, &r.endpoints[1])
	assert.InDelta(t, 12.0, r.endpoints[1].startedAt, 0)
}

// A hung endpoint keeps the last position it reported, by which it would stay a candidate.
func TestSilentEndpointIsEjectedUntilItAnswers(t *testing.T) {
	r := testRouter(t, testConfig())
	r.fleetLatency = 0.05
	e := &r.endpoints[1]
	e.queued, e.unansweredAttempts, e.unansweredSince = 4, 4, 10
	assert.False(t, r.updateEjection(10.05, 1))
	assert.True(t, r.updateEjection(10.2, 1))
	e.queued = 0
	assert.True(t, r.updateEjection(13, 1), "it has not answered since")
	e.queued = 1
	c := &Command{
		Group: eventualReads, Attempts: []Attempt{{Endpoint: 1, InFlight: true}}, ArrivedAt: 10,
		ClientDeadline: 14, routed: true,
	}
	r.AttemptEnded(13, c, AttemptResult{Result: Answered, Elapsed: 0.05, Position: -1, Final: true})
	assert.False(t, r.updateEjection(13, 1))
}

// An endpoint that rejected all commands quickly looked idle and attracted a third of them.
func TestOverloadedResultIsAFailure(t *testing.T) {
	r := testRouter(t, testConfig())
	for range 4 {
		c := newCommand(eventualReads)
		c.Attempts, c.routed = []Attempt{{Endpoint: 1, SentAt: 10, InFlight: true}}, true
		r.AttemptEnded(10, c, AttemptResult{Result: Overloaded, Position: -1})
	}
	assert.True(t, r.updateEjection(10, 1))
}

// Forty routers once ejected all endpoints of all shards. As nothing was sent any more, nothing changed
// that.
func TestWhereAllAreEjectedOneFailsOpen(t *testing.T) {
	r := testRouter(t, testConfig())
	for i := range r.endpoints {
		r.endpoints[i].ejected, r.endpoints[i].nextRecoveryAt = true, 10.6-float64(i)/10
	}
	r.lastRecoveryAt, r.recoveryInterval = 10, 100
	assert.Equal(t, 2, r.Route(10.1, newCommand(eventualReads)).Endpoint,
		"the endpoint whose failure is longest ago")
	assert.Equal(t, Wait, r.Route(10.1, newCommand(eventualReads)).Action,
		"only one attempt at a time, and not too soon")
}

// An endpoint that can be reached but answers no command still answers health checks. Hundreds of routers
// each kept checking the endpoints they had ejected, though only the answer to a command ends an
// ejection. An unreachable endpoint has to be checked.
func TestEjectedEndpointIsCheckedOnlyIfUnreachable(t *testing.T) {
	config := testConfig()
	config.RouterCount = 300
	r := testRouter(t, config)
	r.endpoints[1].ejected, r.endpoints[2].ejected = true, true
	r.endpoints[2].recordUnreachable(10)
	r.commandCount, r.lastReviewAt = 3, 20
	_, due := r.Maintain(25)
	assert.Equal(t, []int{2}, due.HealthCheck)
}

// Attempts to an unreachable endpoint counted as its silence. That ejected it again as soon as it had
// answered a health check, and from then on it was not checked any more.
func TestRecoveredEndpointIsNotEjectedForAttemptsThatNeverReachedIt(t *testing.T) {
	r := testRouter(t, testConfig())
	for at := 10.0; at < 10.4; at += 0.1 {
		c := newCommand(eventualReads)
		c.Attempts, c.routed = []Attempt{{Endpoint: 1, SentAt: at, InFlight: true}}, true
		r.endpoints[1].unansweredAttempts++
		r.endpoints[1].unansweredSince = 10
		r.endpoints[1].inFlight++
		r.AttemptEnded(at+0.05, c, AttemptResult{Result: ConnectFailed, Position: -1})
	}
	require.True(t, r.updateEjection(11, 1))
	r.HealthChecked(11, 1, Answered, 0, 11, false)
	assert.False(t, r.updateEjection(12, 1))
	r.endpoints[1].unansweredAttempts, r.endpoints[1].unansweredSince = 3, 12
	r.HealthChecked(13, 1, Answered, 0, 13, false)
	assert.True(t, r.updateEjection(14, 1), "an endpoint that can be reached but is silent stays ejected")
}

// A router that has an answer from each endpoint every few seconds ejected it after one lost or late
// answer.
func TestOneLostAnswerDoesNotEjectItsEndpoint(t *testing.T) {
	r := testRouter(t, testConfig())
	r.fleetLatency = 0.05
	for lost, wantEjected := range []bool{false, true} {
		c := newCommand(eventualReads)
		c.ArrivedAt = 10 + float64(lost)
		require.Equal(t, Forward, r.Route(c.ArrivedAt, c).Action)
		index := c.Attempts[0].Endpoint
		for i := range r.endpoints { // the next command has to go to the same endpoint
			r.endpoints[i].draining = i != index
		}
		c.Attempts[0].overdue = true
		r.AttemptEnded(c.ArrivedAt+0.1, c, AttemptResult{Result: TimedOut, Elapsed: 0.1, Position: -1, Final: true})
		assert.Equal(t, wantEjected, r.updateEjection(c.ArrivedAt+0.9, index))
	}
}

// Among many routers, a router mostly knows no replica that covers a read. All reads then went to an
// ejected primary.
func TestNoFailOpenWhereAHealthyReplicaMayCover(t *testing.T) {
	r := testRouter(t, testConfig())
	r.endpoints[0].ejected, r.endpoints[0].nextRecoveryAt, r.lastRecoveryAt, r.recoveryInterval =
		true, 9, 10, 100
	c := uncoveredRead(r)
	assert.Equal(t, Wait, r.Route(10.2, c).Action)
	assert.Len(t, r.pendingChecks, 1, "the position of a replica is requested")
	r.endpoints[1].ejected, r.endpoints[2].ejected = true, true
	r.endpoints[1].nextRecoveryAt, r.endpoints[2].nextRecoveryAt = 12, 12
	decision := r.Route(10.2, c)
	require.Equal(t, Forward, decision.Action, "no other endpoint is left")
	assert.Equal(t, 0, decision.Endpoint)
}

// A router that has an answer from an endpoint every few seconds ejected it after a single failure.
func TestOneFailureDoesNotEjectItsEndpoint(t *testing.T) {
	r := testRouter(t, testConfig())
	r.decayTime = 5 * decayObjectives
	r.recordFailure(10, &r.endpoints[1])
	assert.False(t, r.updateEjection(10, 1))
	r.recordFailure(12, &r.endpoints[1])
	assert.True(t, r.updateEjection(12, 1), "two failures count where attempts are rare")
}

func TestFailuresAreComparedWithTheFleetsMedian(t *testing.T) {
	r := testRouter(t, testConfig())
	for i := range r.endpoints {
		r.endpoints[i].failureCount, r.endpoints[i].resultCount, r.endpoints[i].decayedAt = 4, 8, 10
	}
	r.updateFleet(10)
	assert.False(t, r.updateEjection(10, 1), "all endpoints fail alike")
	r.endpoints[1].failureCount, r.endpoints[1].resultCount = 8, 8
	assert.True(t, r.updateEjection(10, 1))
}

func TestShortSilenceDoesNotEjectAQuickEndpoint(t *testing.T) {
	r := testRouter(t, testConfig())
	e := &r.endpoints[1]
	*r.trafficAt(e) = traffic{decayedAt: 10, latencySum: 0.02, answerCount: 10} // 2 ms mean
	e.unansweredAttempts, e.unansweredSince = 3, 10
	assert.False(t, r.updateEjection(10.04, 1), "twenty answer times, but a small part of the objective")
	assert.True(t, r.updateEjection(10.06, 1))
}

// When health checks failed for half a minute at endpoints that served commands as usual, these counted
// as unreachable and, once a health check succeeded, as restarted.
func TestFailedHealthChecksDoNotCountAtServingEndpoints(t *testing.T) {
	r := testRouter(t, testConfig())
	for now := 10.1; now < 20; now += 0.5 {
		r.endpoints[1].lastAnswerAt = now - 0.05
		r.HealthChecked(now, 1, Errored, 0.01, -1, false)
		r.HealthChecked(now+0.01, 1, TimedOut, 0.25, -1, false)
	}
	e := &r.endpoints[1]
	assert.True(t, math.IsInf(e.unreachableSince, 1), "commands were answered meanwhile")
	r.HealthChecked(20.5, 1, TimedOut, 0.25, -1, false)
	assert.InDelta(t, 20.5, e.unreachableSince, 0, "no command has been answered since")
	r.HealthChecked(21.5, 1, TimedOut, 0.25, -1, false)
	r.HealthChecked(21.6, 1, Errored, 0.01, -1, false)
	assert.InDelta(t, 20.5, e.unreachableSince, 0, "an error does not end the unreachable time")
	r.HealthChecked(21.7, 1, Answered, 0.01, -1, false)
	assert.InDelta(t, 21.7, e.startedAt, 0, "unreachable for longer than by accident, it may have restarted")
}

// The position in a health check that ended with an error was once recorded, so that a replica counted as
// fresher than it was. Reads then returned data older than their consistency allows, when a whole fleet
// joined on one day.
func TestReportOfAFailedHealthCheckSaysNothingOfData(t *testing.T) {
	r := testRouter(t, testConfig())
	for _, result := range []Result{Errored, Overloaded, NotServed, TimedOut, ConnectionLost} {
		r.HealthChecked(20, 1, result, 0.01, 19, true)
		assert.InDelta(t, 10.0, r.endpoints[1].position, 0)
		assert.Equal(t, RoleReplica, r.endpoints[1].role)
	}
	r.HealthChecked(20, 1, Answered, 0.01, 19, false)
	assert.InDelta(t, 19, r.endpoints[1].position, 1e-3)
}

// Guards against a read that waits for its whole timeout at a hanging endpoint: it was sent there to find out
// whether the endpoint answers again, and the endpoint's own mean had grown to minutes while it hung.
func TestRecoveryAttemptAtAHangingEndpointIsRetriedElsewhere(t *testing.T) {
	config := testConfig()
	config.CommandGroups[eventualReads].Idempotency = Idempotent
	r := testRouter(t, config)
	r.fleetLatency, r.fleetServiceTime = 0.05, 0.05
	e := &r.endpoints[1]
	for range 100 {
		r.recordLatency(10, &r.groups[writes], e, &Attempt{}, 60)
	}
	e.ejected, e.unansweredAttempts, e.unansweredSince, e.inFlight, e.queued = true, 1, 9, 1, 1
	c := newCommand(eventualReads)
	c.Attempts, c.routed = []Attempt{{Endpoint: 1, SentAt: 10, InFlight: true}}, true
	assert.Equal(t, noIndex, r.Route(10.1, c).CancelAttempt, "the endpoint has had little time")
	assert.Equal(t, 0, r.Route(10.6, c).CancelAttempt)
}
