package router

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A hundred routers once checked every endpoint at the interval of the tightest staleness bound.
func TestHealthChecksFollowTheRoutersOwnTraffic(t *testing.T) {
	config := testConfig()
	config.RouterCount, config.Instance = 100, 3
	r := testRouter(t, config)
	_, due := r.Maintain(11)
	assert.Empty(t, due.HealthCheck, "without commands there are no health checks")
	c := newCommand(boundedReads)
	c.ArrivedAt, c.ClientDeadline = 11, 13
	r.Route(11, c)
	_, due = r.Maintain(11)
	assert.Equal(t, []int{2}, due.HealthCheck, "a read requests one, chosen by the router's index")
	r.Route(11.05, c)
	_, due = r.Maintain(11.05)
	assert.Empty(t, due.HealthCheck)
}

// Three hundred routers and a hundred and twenty endpoints: at its start each router requested the
// position of every endpoint, over a new connection, but got few commands while the positions were still
// usable.
func TestLowTrafficRouterChecksNoPositionInAdvance(t *testing.T) {
	const routers, endpoints = 300, 120
	config := testConfig()
	config.RouterCount = routers
	var list []EndpointInfo
	for i := range endpoints {
		row := warmEndpoint(i)
		row.Shard = i / 6
		list = append(list, row)
	}
	checks := 0
	for index := range routers {
		config.Instance = index
		r := New(config, routerSeed(index))
		r.UpdateEndpoints(0, list, true, true)
		for now := 0.0; now < 4; now += 0.2 {
			c := newCommand(eventualReads)
			c.Shard, c.ArrivedAt, c.ClientDeadline = r.random.IntN(endpoints/6), now, now+2
			if a := r.Route(now, c); a.Action == Forward {
				r.AttemptEnded(now+0.05, c, AttemptResult{Result: Answered, Elapsed: 0.05, Position: -1, Final: true})
			}
			_, due := r.Maintain(now + 0.05)
			checks += len(due.HealthCheck)
		}
	}
	assert.Zero(t, checks, "no read needed a position")
}

// If every endpoint gets commands while a position is usable, positions are checked before a read needs
// them.
func TestBusyRouterChecksPositionsInAdvance(t *testing.T) {
	r := testRouter(t, testConfig())
	r.commandCount, r.lastReviewAt = 200, 10
	_, due := r.Maintain(10.5)
	assert.ElementsMatch(t, []int{0, 1, 2}, due.HealthCheck)
}

// Where endpoints are reviewed rarely, a failed poll of the list was repeated up to half a review
// interval late.
func TestFailedListIsPolledWhenItIsDue(t *testing.T) {
	config := testConfig()
	config.PollList = true
	for i := range config.CommandGroups {
		config.CommandGroups[i].Consistency, config.CommandGroups[i].LatencyObjective,
			config.CommandGroups[i].ClientTimeout = Eventual, 8, 20
	}
	r := testRouter(t, config)
	_, due := r.Maintain(10)
	require.True(t, due.Subscribe)
	r.EndpointListFailed(10.1)
	next, due := r.Maintain(10.2)
	assert.False(t, due.Subscribe)
	assert.InDelta(t, r.nextPollAt, 10.2+next, 1e-9)
	assert.Less(t, r.nextPollAt, 10.1+pollRetryShare*r.config.PollWindow+1e-9)
	_, due = r.Maintain(r.nextPollAt)
	assert.True(t, due.Subscribe)
	next, _ = r.Maintain(r.nextPollAt)
	assert.Positive(t, next)
	r.UpdateEndpoints(12, nil, false, false)
	next, due = r.Maintain(12)
	assert.False(t, due.Subscribe)
	assert.Greater(t, next, 1.0, "the list is subscribed: no poll is due")
}

func TestListPollsBackOff(t *testing.T) {
	config := testConfig()
	config.PollList = true
	r := testRouter(t, config)
	_, due := r.Maintain(10)
	require.True(t, due.Subscribe)
	last := 0.0
	for range 4 {
		r.EndpointListFailed(10)
		gap := r.nextPollAt - 10
		assert.Greater(t, gap, last/2)
		last = gap
	}
	assert.LessOrEqual(t, last, config.PollWindow/2)
	_, due = r.Maintain(10.01)
	assert.False(t, due.Subscribe)
	r.UpdateEndpoints(11, nil, false, false)
	_, due = r.Maintain(30)
	assert.False(t, due.Subscribe, "the list is subscribed")
}

func TestRemovedEndpointIsReleasedAndStartsClean(t *testing.T) {
	r := testRouter(t, testConfig())
	r.endpoints[2].shard, r.endpoints[2].startedAt = 0, 9
	gone := warmEndpoint(2)
	gone.State = Removed
	r.UpdateEndpoints(10, []EndpointInfo{gone}, false, false)
	span := r.config.SlowStart + retentionTimeouts*r.longestTimeout
	r.endpoints[2].inFlight = 1
	_, due := r.Maintain(11 + span)
	assert.Empty(t, due.Release, "an attempt is in flight")
	r.endpoints[2].inFlight = 0
	_, due = r.Maintain(9 + span)
	assert.Empty(t, due.Release, "the endpoint may soon be listed again")
	_, due = r.Maintain(12 + span)
	assert.Equal(t, []int{2}, due.Release)
	assert.Equal(t, []int{0, 1}, r.shards[0].endpoints)
	_, due = r.Maintain(13 + span)
	assert.Empty(t, due.Release, "an index is released once")
	r.UpdateEndpoints(14+span, []EndpointInfo{{Index: 2, Shard: 1, State: Ready, StartedAt: math.Inf(-1)}},
		false, false)
	assert.True(t, r.eligible(&r.endpoints[2]))
	assert.True(t, math.IsInf(r.endpoints[2].position, -1), "nothing of the earlier endpoint is kept")
	_, due = r.Maintain(99 + span)
	assert.Empty(t, due.Release, "a listed endpoint is not released")
}
