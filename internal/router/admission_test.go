package router

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The worst-served group gets extra weight in the proportion that the configuration gives it against all
// groups.
func TestWorstServedGroupIsFavoured(t *testing.T) {
	config := testConfig()
	config.TotalWeight, config.WorstGroupWeight = 0.5, 0.25
	r := testRouter(t, config)
	for i := range r.groups {
		r.groups[i].arrivalCount, r.groups[i].inTimeAnswerCount = 100, 90
	}
	r.groups[eventualReads].inTimeAnswerCount = 20
	r.favourWorstGroup()
	assert.InDelta(t, 1.0, r.groups[boundedReads].fairnessWeight, 0)
	assert.InDelta(t, 1+0.5*7, r.groups[eventualReads].fairnessWeight, 1e-9,
		"the group asks for one seventh of the total value")
}

// Guards against a group whose commands are all rejected at once: a few clients left early with many commands in flight each.
func TestClientThatLeavesWithManyCommandsCountsOnce(t *testing.T) {
	r := testRouter(t, testConfig())
	g := &r.groups[eventualReads]
	g.serviceTime = 0.05
	for range 5 { // clients
		r.ClientGone(10.01, newCommand(eventualReads))
		for range 60 {
			r.CommandAbandoned(newCommand(eventualReads))
		}
	}
	assert.Less(t, g.earlyLeaveShare, earlyLeaveThreshold)
	assert.Equal(t, Forward, r.Route(10.02, newCommand(eventualReads)).Action)
}

// Commands past their objective were once sent again immediately until they had no attempts left.
func TestNothingIsSentThatIsOfNoUseAnyMore(t *testing.T) {
	r := testRouter(t, testConfig())
	assert.Equal(t, Reject, r.Route(10.6, newCommand(eventualReads)).Action)
	r.groups[writes].LateValue = 0.5
	assert.Equal(t, Forward, r.Route(10.6, newCommand(writes)).Action, "a late answer still has value")
}

// A group with a long objective once filled queues beyond what a group of more value density could accept.
func TestQueueLimitFollowsValueDensity(t *testing.T) {
	r := testRouter(t, testConfig())
	for i := range r.groups {
		r.groups[i].serviceTime = 0.05
	}
	r.groups[eventualReads].serviceTime, r.groups[eventualReads].LatencyObjective = 0.1, 2
	assert.Less(t, r.queueLimitOf(&r.groups[eventualReads], false),
		r.queueLimitOf(&r.groups[boundedReads], false))
	assert.Less(t, r.queueLimitOf(&r.groups[boundedReads], true), r.queueLimitOf(&r.groups[writes], true),
		"writes have the highest value density")
	// A hundred routers with too little traffic to observe a queue once held commands back because of a
	// few slow answers.
	r.warmAttemptRate = 4
	assert.InDelta(t, queueShare*0.45, r.queueLimitOf(&r.groups[boundedReads], false), 1e-9)
	r.warmAttemptRate = 0
	assert.InDelta(t, (queueShare+lowTrafficQueueShare)*0.45, r.queueLimitOf(&r.groups[boundedReads], false),
		1e-9)
	r.fleetServiceTime = 0.05
	e := &r.endpoints[1]
	measured := r.trafficAt(e)
	measured.latencySum, measured.queuePositionSum, measured.answerCount = 2, 50, 10
	e.queued = 5
	c := newCommand(boundedReads)
	assert.True(t, r.admits(10, c, &r.groups[boundedReads], 1, 0.2))
	c.ClientRetry = true
	assert.False(t, r.admits(10, c, &r.groups[boundedReads], 1, 0.2), "a client's retry")
}

// Eight routers, each with a single free attempt at the same time, once gave endpoints of four cores
// twice the work that fills them.
func TestManyRoutersTakeFreeAttemptsInTurn(t *testing.T) {
	config := testConfig()
	config.RouterCount = 12
	r := testRouter(t, config)
	r.fleetServiceTime, r.fleetLatency, r.fleetQueueLength = 0.01, 0.1, 1
	r.endpoints[1].lastAnswerAt = 10
	c := newCommand(eventualReads)
	assert.False(t, r.admits(10.1, c, &r.groups[eventualReads], 1, 0),
		"it has just answered: the other routers' turn")
	assert.True(t, r.admits(10.35, c, &r.groups[eventualReads], 1, 0))
	r.config.RouterCount = 3
	assert.True(t, r.admits(10.1, c, &r.groups[eventualReads], 1, 0))
}

// A write went back to the primary that had just rejected it as overloaded, which cost 1.8 attempts per
// command in a burst.
func TestOverloadedEndpointRestsForAMeanServiceTime(t *testing.T) {
	r := testRouter(t, testConfig())
	r.fleetServiceTime, r.fleetLatency = 0.1, 0.1
	c := newCommand(writes)
	r.Route(10, c)
	assert.Equal(t, Wait, r.AttemptEnded(10.001, c,
		AttemptResult{Result: Overloaded, Elapsed: 0.001, Position: -1}).Action)
	assert.Equal(t, Wait, r.Route(10.05, c).Action)
	measured := r.trafficAt(&r.endpoints[0])
	measured.latencySum, measured.answerCount = 0, 0 // discard the latency of the rejection, which is not tested here
	decision := r.Route(10.102, c)
	assert.Equal(t, Forward, decision.Action)
	assert.Equal(t, 0, decision.Endpoint)
}

// Commands of clients that leave long before their timeout cost work for answers that nobody receives.
func TestLeavingClientsShortenTheUsefulTime(t *testing.T) {
	r := testRouter(t, testConfig())
	for range 20 {
		c := newCommand(eventualReads)
		c.Attempts = []Attempt{{Endpoint: 1, InFlight: true}}
		assert.Equal(t, 0, r.ClientGone(10.1, c), "its attempt is canceled")
	}
	assert.InDelta(t, 10.1, r.usefulUntil(newCommand(eventualReads), &r.groups[eventualReads]), 0.001)
	assert.InDelta(t, 10.5, r.usefulUntil(newCommand(boundedReads), &r.groups[boundedReads]), 0)
	// A router that had once stalled took its own delay for early leaving and never sent anything again.
	r.Maintain(11)
	r.Maintain(20)
	assert.InDelta(t, 10.5, r.usefulUntil(newCommand(eventualReads), &r.groups[eventualReads]), 0,
		"without new early leavers the share decays")
}

func TestFewEarlyLeaversDoNotShortenOthersTime(t *testing.T) {
	r := testRouter(t, testConfig())
	g := &r.groups[eventualReads]
	g.earlyLeaveShare, g.earlyLeaveDelay = 0.2, 0.01
	assert.InDelta(t, 10.5, r.usefulUntil(newCommand(eventualReads), g), 0)
	g.earlyLeaveShare = 0.6
	assert.InDelta(t, 10.01, r.usefulUntil(newCommand(eventualReads), g), 0)
}

// Guards against a group whose commands are all rejected for seconds after a crowd of impatient clients: they had left
// sooner than any endpoint answers, and without answers nothing showed that others stay.
func TestClientsThatStayAreServedAfterACrowdThatLeftEarly(t *testing.T) {
	const crowd, commands, interval, leaveDelay, serviceTime = 100, 100, 0.05, 0.01, 0.04
	const recovered = 80 // commands after which all are served
	r := testRouter(t, testConfig())
	g := &r.groups[eventualReads]
	g.serviceTime = serviceTime
	for range crowd {
		r.ClientGone(10+leaveDelay, newCommand(eventualReads))
	}
	require.Greater(t, g.earlyLeaveShare, 0.9)
	for i := range commands {
		c := newCommand(eventualReads)
		c.ArrivedAt += interval * float64(i+1)
		c.ClientDeadline += interval * float64(i+1)
		if r.Route(c.ArrivedAt, c).Action != Forward {
			require.Less(t, i, recovered)
			continue
		}
		r.AttemptEnded(c.ArrivedAt+serviceTime, c, AttemptResult{Result: Answered, Elapsed: serviceTime, Position: -1, Final: true})
	}
	assert.Less(t, g.earlyLeaveShare, earlyLeaveThreshold)
}

// While clients leave early, only one command in each service time is sent as if they stayed.
func TestFewCommandsSampleThePatienceOfClients(t *testing.T) {
	const commands, serviceTime = 100, 0.04
	r := testRouter(t, testConfig())
	g := &r.groups[eventualReads]
	g.serviceTime, g.earlyLeaveShare, g.earlyLeaveDelay = serviceTime, 0.9, 0.01
	sent := 0
	for i := range commands {
		now := 10 + serviceTime*2*float64(i)/commands
		c := newCommand(eventualReads)
		c.ArrivedAt = now
		if r.Route(now, c).Action == Forward {
			sent++
		}
	}
	assert.Equal(t, 2, sent)
}
