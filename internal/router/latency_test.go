package router

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Time in queues once counted as work under load, and crowded replicas stopped applying the log.
func TestServiceTimeIsTheLowestMean(t *testing.T) {
	r := testRouter(t, testConfig())
	g, e, attempt := &r.groups[eventualReads], &r.endpoints[1], &Attempt{Endpoint: 1}
	c := newCommand(eventualReads)
	for range 8 {
		r.recordAnswer(10, c, g, e, attempt, AttemptResult{Elapsed: 0.1, Position: -1})
	}
	for k := range 80 {
		r.recordAnswer(10+float64(k)/100, c, g, e, attempt, AttemptResult{Elapsed: 1, Position: -1})
	}
	assert.InDelta(t, 0.15, g.serviceTime, 0.06)
}

// The first answer alone once set a group's service time for minutes. At three commands per second the
// estimate rises too slowly to correct a first answer that was unusually quick.
func TestFirstAnswersHaveEqualWeight(t *testing.T) {
	r := testRouter(t, testConfig())
	for i, latency := range []float64{0.01, 0.2, 0.2, 0.2} {
		r.recordAnswer(10, newCommand(eventualReads), &r.groups[eventualReads], &r.endpoints[1],
			&Attempt{Endpoint: 1}, AttemptResult{Elapsed: latency, Position: -1})
		latencySum, answers := 0.01+0.2*float64(i), float64(i+1)
		assert.InDelta(t, (latencySum+priorWeight*assumedServiceShare*0.5)/(answers+priorWeight),
			r.groups[eventualReads].serviceTime, 1e-9,
			"the mean leans on a quarter of the objective")
	}
	assert.InDelta(t, r.groups[eventualReads].serviceTime, r.fleetLatency, 0.05,
		"the quick first answer counts as one of four")
	r.fleetAnswerCount, r.fleetServiceTime, r.fleetLatency, r.groups[eventualReads].serviceTime,
		r.groups[eventualReads].batchEndedAt = 100, 0.1, 0.1, 0.1, 10
	r.recordAnswer(10, newCommand(eventualReads), &r.groups[eventualReads], &r.endpoints[1],
		&Attempt{Endpoint: 1}, AttemptResult{Elapsed: 100, Position: -1})
	assert.InDelta(t, 0.11, r.fleetLatency, 1e-9,
		"a very slow answer counts as 3 service times with weight 1/20")
}

// Clients that left after a moment made a primary that answered nobody look quick. An attempt abandoned
// by its client counts with the time waited plus the expected latency, but for at most maxTailFactor in
// the group's tail factor.
func TestCanceledAttemptDoesNotCountAsQuick(t *testing.T) {
	// Seconds after which the attempt is canceled, and the latency that is recorded for it.
	for index, times := range map[int][2]float64{1: {0.01, 0.11}, 2: {9, 9.1}} {
		r := testRouter(t, testConfig())
		r.fleetServiceTime, r.fleetLatency, r.groups[eventualReads].serviceTime = 0.1, 0.1, 0.1
		c := newCommand(eventualReads)
		c.Attempts, c.routed = []Attempt{{Endpoint: index, SentAt: 10, InFlight: true}}, true
		r.AttemptEnded(10+times[0], c, AttemptResult{
			Result: Canceled, Elapsed: times[0], Final: true,
			Position: -1,
		})
		assert.InDelta(t, times[1], r.trafficAt(&r.endpoints[index]).latencySum, 1e-9)
		assert.InDelta(t, times[1], r.trafficOfShard(0).latencySum, 1e-9)
		ratio := math.Min(times[1]/0.1, maxTailFactor)
		assert.InDelta(t, 1+averageWeight*(ratio-1), r.groups[eventualReads].tailFactor, 1e-9)
	}
}

// Hundreds of routers with low traffic, each with an answer from an endpoint every ten seconds, kept
// sending to a shard that answered nothing in time. The latency of one endpoint has to count for the
// other endpoints of its shard, and for no other shard.
func TestShardThatAnswersNothingInTimeGetsNoCommands(t *testing.T) {
	config := testConfig()
	config.RouterCount = 300
	r := testRouter(t, config)
	r.fleetServiceTime, r.fleetLatency, r.groups[eventualReads].serviceTime = 0.05, 0.05, 0.05
	r.UpdateEndpoints(0, []EndpointInfo{{Index: 5, Shard: 1, State: Ready, StartedAt: math.Inf(-1)}}, false,
		false)
	other := r.meanLatency(&r.endpoints[5])
	for k := range 3 {
		c := newCommand(eventualReads)
		c.Attempts, c.routed = []Attempt{{Endpoint: 1, SentAt: 10, InFlight: true}}, true
		r.endpoints[1].inFlight, r.endpoints[1].queued = 1, 1
		r.AttemptEnded(10.5+float64(k)*0.01, c, AttemptResult{
			Result: TimedOut, Elapsed: 0.5, Final: true,
			Position: -1,
		})
	}
	assert.Greater(t, r.meanLatency(&r.endpoints[2]), 4*other)
	assert.InDelta(t, other, r.meanLatency(&r.endpoints[5]), 1e-9)
	c := newCommand(eventualReads)
	c.ArrivedAt, c.ClientDeadline = 10.6, 12
	assert.Equal(t, Wait, r.Route(10.6, c).Action, "no endpoint of the shard would answer in time")
	c = newCommand(eventualReads)
	c.Shard, c.ArrivedAt, c.ClientDeadline = 1, 10.6, 12
	assert.Equal(t, 5, r.Route(10.6, c).Endpoint)
	later := 10.6 + 4*decayObjectives*r.longestObjective // the shard's latency has decayed by then
	c = newCommand(eventualReads)
	c.ArrivedAt, c.ClientDeadline = later, later+1.4
	assert.Equal(t, Forward, r.Route(later, c).Action)
}

// With slow handshakes, each attempt that timed out closed a connection that could not be replaced in time.
func TestOpenConnectionsAreKeptWhereNewOnesAreCostly(t *testing.T) {
	r := testRouter(t, testConfig())
	r.fleetLatency = 0.05
	c := newCommand(eventualReads)
	c.Attempts, c.routed = []Attempt{{Endpoint: 1, SentAt: 10, InFlight: true, newConnection: true}}, true
	r.AttemptEnded(10.25, c, AttemptResult{Result: Answered, Elapsed: 0.25, Position: -1, Final: true})
	assert.InDelta(t, averageWeight*(0.25-0.05), r.connectCost, 0.005)
	assert.Equal(t, 1, r.endpoints[1].idleConnections, "its connection stays open")
	failed := newCommand(eventualReads)
	failed.Attempts, failed.routed = []Attempt{{
		Endpoint: 1, SentAt: 10, InFlight: true,
		newConnection: true,
	}}, true
	r.AttemptEnded(10.26, failed, AttemptResult{Result: ConnectFailed, Elapsed: 0.25, Position: -1, Final: true})
	assert.InDelta(t, connectFailureWeight*0.25, r.connectCost, 0.01, "a failed connection has more weight")
	r.recordReachable(10.26, &r.endpoints[1])
	r.connectCost, r.fleetServiceTime, r.fleetLatency, r.trafficAt(&r.endpoints[1]).answerCount = 0.2, 0.05, 0.05, 0
	r.trafficAt(&r.endpoints[1]).latencySum, r.trafficAt(&r.endpoints[1]).queuePositionSum, r.groups[eventualReads].serviceTime = 0, 0, 0.05
	for range 5 {
		assert.Equal(t, 1, r.chooseReplica(10.1, newCommand(eventualReads), &r.groups[eventualReads], 0),
			"endpoint 2 has no open connection")
	}
	assert.InDelta(t, 12.0, r.Route(10.1, newCommand(eventualReads)).AttemptDeadline, 0,
		"its connection is not given up at the objective")
	assert.Zero(t, r.endpoints[1].idleConnections)
}

// One heavy answer among three once made a primary look full for seconds.
func TestHeavyCommandDoesNotCountAsQueue(t *testing.T) {
	r := testRouter(t, testConfig())
	r.fleetServiceTime, r.groups[eventualReads].serviceTime = 0.1, 0.2
	r.recordLatency(10, &r.groups[eventualReads], &r.endpoints[1], &Attempt{}, 0.25)
	assert.InDelta(t, 0.125, r.trafficAt(&r.endpoints[1]).latencySum, 1e-9,
		"twice the mean service time: half of the excess counts")
	r.groups[sessionReads].serviceTime = 0.05
	r.recordLatency(10, &r.groups[sessionReads], &r.endpoints[2], &Attempt{}, 0.25)
	assert.InDelta(t, 0.3, r.trafficAt(&r.endpoints[2]).latencySum, 1e-9, "for a lighter group all of the excess counts")
}

// Heavy reads (reports) took a second and a half among reads of a tenth of a second. Each counted as
// silence of its endpoint while it ran. The first one at a router, with its service time still unknown,
// counted as a queue of its whole length.
func TestHeavyGroupCountsNeitherAsSilenceNorAsQueue(t *testing.T) {
	config := testConfig()
	config.CommandGroups[eventualReads].LatencyObjective,
		config.CommandGroups[eventualReads].ClientTimeout = 6, 12
	r := testRouter(t, config)
	assert.InDelta(t, 0.5, r.longestObjective, 0, "heavy groups do not count")
	r.fleetLatency, r.fleetServiceTime, r.fleetQueueLength = 0.1, 0.1, 1
	c := newCommand(eventualReads)
	c.ClientDeadline = 22
	decision := r.Route(10, c)
	assert.Equal(t, Forward, decision.Action)
	for now := 10.1; now < 13; now += 0.1 {
		assert.Equal(t, -1, r.Route(now, c).CancelAttempt)
		assert.False(t, r.updateEjection(now, decision.Endpoint), "at %v", now)
	}
	r.AttemptEnded(13, c, AttemptResult{Result: Answered, Elapsed: 3, Final: true, Position: -1})
	assert.InDelta(t, 0.1, r.meanLatency(&r.endpoints[decision.Endpoint]), 0.05)
	assert.InDelta(t, 0.1, r.fleetServiceTime, 0)
}

// Guards against reads that no replica gets: what was estimated for hundreds of attempts in the queue of a
// hanging primary counted as the answer time of its whole shard.
func TestHangingPrimaryDoesNotMakeReplicasSlow(t *testing.T) {
	const attempts = 500
	r := testRouter(t, testConfig())
	r.fleetLatency, r.fleetServiceTime = 0.05, 0.05
	primary := &r.endpoints[0]
	primary.ejected, primary.nextRecoveryAt = true, 20
	for position := range attempts {
		elapsed := 2 + r.expectedLatency(primary, position)
		r.recordLatency(10, &r.groups[writes], primary, &Attempt{queuePosition: position}, elapsed)
	}
	decision := r.Route(10, newCommand(eventualReads))
	assert.Equal(t, Forward, decision.Action)
	assert.Contains(t, []int{1, 2}, decision.Endpoint)
}
