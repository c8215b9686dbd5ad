package router

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFallbacksAreOneReadInFive(t *testing.T) {
	r := testRouter(t, testSite())
	count(&r.reads, 10, 9)
	assert.True(t, r.mayFallBack(10))
	count(&r.fallbacks, 10, 2)
	assert.False(t, r.mayFallBack(10))
	assert.False(t, r.mayFallBack(11.5), "the last second only")
}

// A fresh router, or one whose primary died, finds the primary by a write's harmless miss.
func TestWriteFindsThePrimaryByRoleTests(t *testing.T) {
	r := New(testSite(), 1)
	r.UpdateEndpoints(10, []EndpointInfo{listed(0), listed(1)}, true, true)
	c := command(gWrite)
	first := r.Route(10, c)
	require.Equal(t, Forward, first.Action)
	second := r.AttemptEnded(10.01, c, AttemptResult{Result: NotServed, Position: -1, Role: RoleReplica})
	assert.Equal(t, Forward, second.Action)
	assert.NotEqual(t, first.Endpoint, second.Endpoint)
}

// While a whole set was down the tests of 311 routers pushed each member over as it came back cold.
func TestRoleTestsAreRarerAmongManyRouters(t *testing.T) {
	for routers, again := range map[int]bool{3: true, 300: false} {
		s := testSite()
		s.RouterCount = routers
		r := New(s, 1)
		r.UpdateEndpoints(10, []EndpointInfo{listed(0)}, true, true)
		require.Equal(t, Forward, r.Route(10, command(gWrite)).Action)
		r.endpoints[0].queued, r.endpoints[0].unanswered, r.endpoints[0].role = 0, 0, RoleReplica
		assert.Equal(t, again, r.Route(10.2, command(gWrite)).Action == Forward)
	}
}

func TestListNeverOverridesAnEndpointsOwnRole(t *testing.T) {
	r := testRouter(t, testSite())
	r.endpoints[0].role = RoleReplica
	r.endpoints[1].listedPrimary = true
	assert.Equal(t, -1, r.primary(0), "node 1 has said that it is a replica; a stale read would not be excused")
	r.endpoints[1].role = RoleUnknown
	assert.Equal(t, 1, r.primary(0))
}

// A member that was doubted as a replica and became the primary got no write, in a set with few reads for ever.
func TestWriteReachesAnEjectedEndpointWhereNoPrimaryIsKnown(t *testing.T) {
	r := testRouter(t, testSite())
	r.endpoints[0].role = RoleReplica // the primary that was, by its own word of late
	r.endpoints[1].ejected = true
	r.UpdateEndpoints(10, []EndpointInfo{listed(0), {Index: 1, State: Ready, StartedAt: math.Inf(-1), Primary: true}, listed(2)}, true, false)
	at := map[int]int{}
	for now := 10.05; now < 20; now += 0.5 {
		c := command(gWrite)
		c.ArrivedAt, c.ClientDeadline = now, now+2
		a := r.Route(now, c)
		for ; a.Action == Forward; a = r.AttemptEnded(now, c, AttemptResult{Attempt: len(c.Attempts) - 1, Result: NotServed, Role: RoleReplica, Position: -1}) {
			at[a.Endpoint]++
			if a.Endpoint == 1 {
				r.AttemptEnded(now, c, AttemptResult{Attempt: len(c.Attempts) - 1, Result: Answered, Final: true, Role: RolePrimary, Elapsed: 0.01, Position: -1})
				break
			}
		}
	}
	assert.GreaterOrEqual(t, at[1], 15, "once it has answered it has them all: %v", at)
	assert.Equal(t, 1, r.primary(0))
}

// Reads that spilled from hundreds of routers overran primaries with writes to do.
func TestReadDoesNotFallBackToACrowdedPrimary(t *testing.T) {
	r := testRouter(t, testSite())
	for i := range r.endpoints {
		r.endpoints[i].latencySum, r.endpoints[i].answerSum, r.endpoints[i].decayedAt = 0.2, 10, 10.2
	}
	r.latency = 0.02
	count(&r.reads, 10.2, 10)
	r.endpoints[0].latencySum = 2
	c := uncovered(r)
	assert.Equal(t, Wait, r.Route(10.2, c).Action)
	r.endpoints[1].latencySum, r.endpoints[2].latencySum = 2, 2
	a := r.Route(10.2, c)
	require.Equal(t, Forward, a.Action)
	assert.Equal(t, 0, a.Endpoint, "the replicas are no better")
}
