package router

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Fairness follows the weights that the site states for the whole and for the worst-served group.
func TestWorstServedGroupIsFavoured(t *testing.T) {
	s := testSite()
	s.TotalWeight, s.WorstGroupWeight = 0.5, 0.25
	r := testRouter(t, s)
	for i := range r.groups {
		r.groups[i].arrivals, r.groups[i].answeredInTime = 100, 90
	}
	r.groups[gAny].answeredInTime = 20
	r.favourWorstGroup()
	assert.InDelta(t, 1.0, r.groups[gBound].fairnessWeight, 0)
	assert.InDelta(t, 1+0.5*7, r.groups[gAny].fairnessWeight, 1e-9, "one seventh of the benefit asked for")
}

// Commands past their target were sent again at once until their tries ran out.
func TestNothingIsSentThatIsOfNoUseAnyMore(t *testing.T) {
	r := testRouter(t, testSite())
	assert.Equal(t, Reject, r.Route(10.6, command(gAny)).Action)
	r.groups[gWrite].LateValue = 0.5
	assert.Equal(t, Forward, r.Route(10.6, command(gWrite)).Action, "late benefit is worth having")
}

// A group with a roomy target filled queues past what a denser group could bear.
func TestQueueLimitFollowsValueDensity(t *testing.T) {
	r := testRouter(t, testSite())
	for i := range r.groups {
		r.groups[i].serviceTime = 0.05
	}
	r.groups[gAny].serviceTime, r.groups[gAny].LatencyObjective = 0.1, 2
	assert.Less(t, r.queueLimitOf(&r.groups[gAny], false), r.queueLimitOf(&r.groups[gBound], false))
	assert.Less(t, r.queueLimitOf(&r.groups[gBound], true), r.queueLimitOf(&r.groups[gWrite], true), "the write has the most benefit")
	// A hundred routers that see nothing of a queue once held back by a few stray answers.
	r.warmRate = 4
	assert.InDelta(t, queueShare*0.45, r.queueLimitOf(&r.groups[gBound], false), 1e-9)
	r.warmRate = 0
	assert.InDelta(t, (queueShare+lowTrafficQueueShare)*0.45, r.queueLimitOf(&r.groups[gBound], false), 1e-9)
	r.serviceTime = 0.05
	n := &r.endpoints[1]
	n.latencySum, n.queueSum, n.answerSum, n.queued = 2, 50, 10, 5
	c := command(gBound)
	assert.True(t, r.admits(10, c, &r.groups[gBound], 1, 0.2))
	c.ClientRetry = true
	assert.False(t, r.admits(10, c, &r.groups[gBound], 1, 0.2), "a client's repeat")
}

// Eight routers' single free places once filled hosts of four cores twice over.
func TestManyRoutersTakeFreeAttemptsInTurn(t *testing.T) {
	s := testSite()
	s.RouterCount = 12
	r := testRouter(t, s)
	r.serviceTime, r.latency, r.queueLength = 0.01, 0.1, 1
	r.endpoints[1].answeredAt = 10
	c := command(gAny)
	assert.False(t, r.admits(10.1, c, &r.groups[gAny], 1, 0), "just answered: the others' turn")
	assert.True(t, r.admits(10.35, c, &r.groups[gAny], 1, 0))
	r.config.RouterCount = 3
	assert.True(t, r.admits(10.1, c, &r.groups[gAny], 1, 0))
}

// A write went back to the primary that had just turned it away as full: 1.8 attempts a command in a burst.
func TestOverloadedEndpointRestsForAMeanServiceTime(t *testing.T) {
	r := testRouter(t, testSite())
	r.serviceTime, r.latency = 0.1, 0.1
	c := command(gWrite)
	r.Route(10, c)
	assert.Equal(t, Wait, r.AttemptEnded(10.001, c, AttemptResult{Result: Overloaded, Elapsed: 0.001, Position: -1}).Action)
	assert.Equal(t, Wait, r.Route(10.05, c).Action)
	n := &r.endpoints[0]
	n.latencySum, n.answerSum = 0, 0 // what it told of its pace is another matter
	a := r.Route(10.102, c)
	assert.Equal(t, Forward, a.Action)
	assert.Equal(t, 0, a.Endpoint)
}

// Clients that leave long before their time cost work that nobody waits for.
func TestLeavingClientsShortenTheUsefulTime(t *testing.T) {
	r := testRouter(t, testSite())
	for range 20 {
		c := command(gAny)
		c.Attempts = []Attempt{{Endpoint: 1, InFlight: true}}
		assert.Equal(t, 0, r.ClientGone(10.1, c), "its dispatch is called off")
	}
	assert.InDelta(t, 10.1, r.usefulUntil(command(gAny), &r.groups[gAny]), 0.001)
	assert.InDelta(t, 10.5, r.usefulUntil(command(gBound), &r.groups[gBound]), 0)
	// A router that stalled once took its own lateness for leaving clients and never sent again.
	r.Maintain(11)
	r.Maintain(20)
	assert.InDelta(t, 10.5, r.usefulUntil(command(gAny), &r.groups[gAny]), 0, "not seen again, it is forgotten")
}

func TestFewEarlyLeaversDoNotShortenOthersTime(t *testing.T) {
	r := testRouter(t, testSite())
	g := &r.groups[gAny]
	g.leaverShare, g.leaverStay = 0.2, 0.01
	assert.InDelta(t, 10.5, r.usefulUntil(command(gAny), g), 0)
	g.leaverShare = 0.6
	assert.InDelta(t, 10.01, r.usefulUntil(command(gAny), g), 0)
}
