package router

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Queues once passed for work under load, and crowded replicas stopped applying the log.
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

// The first answer alone once stood for a group's work for minutes: at three commands a second the least mean drifts
// up too slowly to mend a lucky one.
func TestFirstAnswersHaveEqualWeight(t *testing.T) {
	r := testRouter(t, testConfig())
	for i, latency := range []float64{0.01, 0.2, 0.2, 0.2} {
		r.recordAnswer(10, newCommand(eventualReads), &r.groups[eventualReads], &r.endpoints[1], &Attempt{Endpoint: 1}, AttemptResult{Elapsed: latency, Position: -1})
		latencySum, answers := 0.01+0.2*float64(i), float64(i+1)
		assert.InDelta(t, (latencySum+priorWeight*assumedServiceShare*0.5)/(answers+priorWeight), r.groups[eventualReads].serviceTime, 1e-9,
			"leaning on a quarter of the objective")
	}
	assert.InDelta(t, r.groups[eventualReads].serviceTime, r.fleetLatency, 0.05, "the lucky first one is no more than one of four")
	r.fleetAnswerCount, r.fleetServiceTime, r.fleetLatency, r.groups[eventualReads].serviceTime, r.groups[eventualReads].batchEndedAt = 100, 0.1, 0.1, 0.1, 10
	r.recordAnswer(10, newCommand(eventualReads), &r.groups[eventualReads], &r.endpoints[1], &Attempt{Endpoint: 1}, AttemptResult{Elapsed: 100, Position: -1})
	assert.InDelta(t, 0.11, r.fleetLatency, 1e-9, "nor does one met in a jam: a twentieth of three mean works")
}

// Clients that left after a moment made the primary that answered nobody look quick. What was waited for in vain
// counts as all of that, but for what it tells of its group's stretch.
func TestCanceledAttemptDoesNotCountAsQuick(t *testing.T) {
	for index, times := range map[int][2]float64{1: {0.01, 0.11}, 2: {9, 9.1}} { // when, and what it counts as
		r := testRouter(t, testConfig())
		r.fleetServiceTime, r.fleetLatency, r.groups[eventualReads].serviceTime = 0.1, 0.1, 0.1
		c := newCommand(eventualReads)
		c.Attempts, c.routed = []Attempt{{Endpoint: index, SentAt: 10, InFlight: true}}, true
		r.AttemptEnded(10+times[0], c, AttemptResult{Result: Canceled, Elapsed: times[0], Final: true, Position: -1})
		assert.InDelta(t, times[1], r.endpoints[index].latencySum, 1e-9)
		assert.InDelta(t, times[1], r.shards[0].latencySum, 1e-9)
		ratio := math.Min(times[1]/0.1, maxTailFactor)
		assert.InDelta(t, 1+averageWeight*(ratio-1), r.groups[eventualReads].tailFactor, 1e-9)
	}
}

// Hundreds of routers with low traffic, each of which heard an endpoint every ten seconds, went on sending to a shard
// that answered nothing in time: what one of its endpoints shows counts for those that were not heard, and for no
// other shard.
func TestShardThatAnswersNothingInTimeGetsNoCommands(t *testing.T) {
	config := testConfig()
	config.RouterCount = 300
	r := testRouter(t, config)
	r.fleetServiceTime, r.fleetLatency, r.groups[eventualReads].serviceTime = 0.05, 0.05, 0.05
	r.UpdateEndpoints(0, []EndpointInfo{{Index: 5, Shard: 1, State: Ready, StartedAt: math.Inf(-1)}}, false, false)
	other := r.meanLatency(&r.endpoints[5])
	for k := range 3 {
		c := newCommand(eventualReads)
		c.Attempts, c.routed = []Attempt{{Endpoint: 1, SentAt: 10, InFlight: true}}, true
		r.endpoints[1].inFlight, r.endpoints[1].queued = 1, 1
		r.AttemptEnded(10.5+float64(k)*0.01, c, AttemptResult{Result: TimedOut, Elapsed: 0.5, Final: true, Position: -1})
	}
	assert.Greater(t, r.meanLatency(&r.endpoints[2]), 4*other)
	assert.InDelta(t, other, r.meanLatency(&r.endpoints[5]), 1e-9)
	c := newCommand(eventualReads)
	c.ArrivedAt, c.ClientDeadline = 10.6, 12
	assert.Equal(t, Wait, r.Route(10.6, c).Action, "it would come too late everywhere in the shard")
	c = newCommand(eventualReads)
	c.Shard, c.ArrivedAt, c.ClientDeadline = 1, 10.6, 12
	assert.Equal(t, 5, r.Route(10.6, c).Endpoint)
	later := 10.6 + 4*decayObjectives*r.longestObjective // what it showed fades in the time of some objectives
	c = newCommand(eventualReads)
	c.ArrivedAt, c.ClientDeadline = later, later+1.4
	assert.Equal(t, Forward, r.Route(later, c).Action)
}

// With slow handshakes each attempt that ran out of time lost a connection that could not be replaced.
func TestOpenConnectionsAreKeptWhereNewOnesAreCostly(t *testing.T) {
	r := testRouter(t, testConfig())
	r.fleetLatency = 0.05
	c := newCommand(eventualReads)
	c.Attempts, c.routed = []Attempt{{Endpoint: 1, SentAt: 10, InFlight: true, newConnection: true}}, true
	r.AttemptEnded(10.25, c, AttemptResult{Result: Answered, Elapsed: 0.25, Position: -1, Final: true})
	assert.InDelta(t, averageWeight*(0.25-0.05), r.connectCost, 0.005)
	assert.Equal(t, 1, r.endpoints[1].idleConnections, "its connection stands")
	failed := newCommand(eventualReads)
	failed.Attempts, failed.routed = []Attempt{{Endpoint: 1, SentAt: 10, InFlight: true, newConnection: true}}, true
	r.AttemptEnded(10.26, failed, AttemptResult{Result: ConnectFailed, Elapsed: 0.25, Position: -1, Final: true})
	assert.InDelta(t, connectFailureWeight*0.25, r.connectCost, 0.01, "a failed one weighs more")
	r.recordReachable(10.26, &r.endpoints[1])
	r.connectCost, r.fleetServiceTime, r.fleetLatency, r.endpoints[1].answerCount = 0.2, 0.05, 0.05, 0
	r.endpoints[1].latencySum, r.endpoints[1].queuePositionSum, r.groups[eventualReads].serviceTime = 0, 0, 0.05
	for range 5 {
		assert.Equal(t, 1, r.chooseReplica(10.1, newCommand(eventualReads), &r.groups[eventualReads], 0), "endpoint 2 has none")
	}
	assert.InDelta(t, 12.0, r.Route(10.1, newCommand(eventualReads)).AttemptDeadline, 0, "nor is it lost at the objective")
	assert.Zero(t, r.endpoints[1].idleConnections)
}

// One heavy answer among three once made a primary look full for seconds.
func TestHeavyCommandDoesNotCountAsQueue(t *testing.T) {
	r := testRouter(t, testConfig())
	r.fleetServiceTime, r.groups[eventualReads].serviceTime = 0.1, 0.2
	r.recordLatency(&r.groups[eventualReads], &r.endpoints[1], &Attempt{}, 0.25)
	assert.InDelta(t, 0.125, r.endpoints[1].latencySum, 1e-9, "twice the mean work: half of what it took beyond")
	r.groups[sessionReads].serviceTime = 0.05
	r.recordLatency(&r.groups[sessionReads], &r.endpoints[2], &Attempt{}, 0.25)
	assert.InDelta(t, 0.3, r.endpoints[2].latencySum, 1e-9, "a light one's is all queue")
}

// Reports of a second and a half among reads of a tenth: each was blamed on its endpoint while it ran, and the first
// one at a router, whose work was not known yet, counted as a queue of its whole length.
func TestHeavyGroupCountsNeitherAsSilenceNorAsQueue(t *testing.T) {
	config := testConfig()
	config.CommandGroups[eventualReads].LatencyObjective, config.CommandGroups[eventualReads].ClientTimeout = 6, 12
	r := testRouter(t, config)
	assert.InDelta(t, 0.5, r.longestObjective, 0, "how soon one must know goes by what needs fresh data")
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
