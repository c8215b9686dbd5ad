package router

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSameSeedGivesSameRandomNumbers(t *testing.T) {
	a, b := testRouter(t, testConfig()), testRouter(t, testConfig())
	seen := map[int]bool{}
	for range 100 {
		number := a.random.IntN(5)
		require.Equal(t, number, b.random.IntN(5))
		seen[number] = true
	}
	assert.Len(t, seen, 5)
}

func TestUnknownShardAndPassedDeadlineAreRejected(t *testing.T) {
	r := testRouter(t, testConfig())
	c := newCommand(eventualReads)
	c.Shard = -1
	assert.Equal(t, Reject, r.Route(10, c).Action)
	c = newCommand(eventualReads)
	c.ClientDeadline = 9
	assert.Equal(t, Reject, r.Route(10, c).Action)
}

// Guards against commands that are sent although the router has no memory left for their answers.
func TestCommandWithoutBuffersForItsAnswerIsRejectedUnsent(t *testing.T) {
	r := testRouter(t, testConfig())
	for group := range r.groups {
		c := newCommand(group)
		c.NoBuffers = true
		assert.Equal(t, Reject, r.Route(10, c).Action)
		assert.Empty(t, c.Attempts)
	}
}

func TestDrainingAndRemovedEndpointsGetNothingNew(t *testing.T) {
	r := testRouter(t, testConfig())
	draining := warmEndpoint(1)
	draining.State = Draining
	removed := warmEndpoint(2)
	removed.State = Removed
	r.UpdateEndpoints(10, []EndpointInfo{draining, removed}, false, false)
	assert.NotContains(t, []int{1, 2}, r.Route(10, newCommand(eventualReads)).Endpoint)
	r.config.SoftRemoval = true
	r.UpdateEndpoints(10, []EndpointInfo{removed}, false, false)
	assert.True(t, r.eligible(&r.endpoints[2]), "with soft removal a removed endpoint may be used")
	draining.State = Removed
	r.UpdateEndpoints(10, []EndpointInfo{draining}, false, false)
	assert.False(t, r.eligible(&r.endpoints[1]), "unless it was draining before")
}

func TestCommandNeverSentIsRejectedByHalfOfItsClientsTime(t *testing.T) {
	r := testRouter(t, testConfig())
	for i := range r.endpoints {
		r.endpoints[i].draining = true
	}
	c := newCommand(eventualReads)
	c.ClientDeadline = 10.4 // half of the client's time ends well before the objective
	assert.Equal(t, Wait, r.Route(10.15, c).Action)
	assert.Equal(t, Reject, r.Route(10.195, c).Action, "rejected early enough for one more batch")
	c = newCommand(eventualReads)
	c.ClientDeadline = 10.4
	r.endpoints[1].draining = false
	require.Equal(t, Forward, r.Route(10, c).Action)
	r.endpoints[2].draining = false
	assert.Equal(t, Forward, r.AttemptEnded(10.25, c,
		AttemptResult{Result: Overloaded, Position: -1}).Action, "a command that was delivered goes on")
}

func TestCommandNeverDeliveredIsRejectedByHalfOfItsClientsTime(t *testing.T) {
	r := testRouter(t, testConfig())
	c := newCommand(eventualReads)
	decision := r.Route(10, c)
	require.Equal(t, Forward, decision.Action)
	decision = r.AttemptEnded(11, c, AttemptResult{Result: ConnectFailed, Position: -1})
	assert.Equal(t, Reject, decision.Action, "half of its client's time is over and no endpoint has received it")
	c = newCommand(linearizableReads)
	r.groups[linearizableReads].LateValue = 1
	require.Equal(t, Forward, r.Route(10, c).Action)
	decision = r.AttemptEnded(11, c, AttemptResult{Result: Overloaded, Position: -1})
	assert.NotEqual(t, Reject, decision.Action, "an endpoint has received it")
}

// A list from an agent that is behind calls endpoints ready that a newer list, received before it, has
// marked as draining or removed.
func TestOutdatedRowRevivesNothingOfTheSameLife(t *testing.T) {
	r := testRouter(t, testConfig())
	row := func(i int, state EndpointState, startedAt float64, outdated bool) EndpointInfo {
		return EndpointInfo{Index: i, State: state, StartedAt: startedAt, Outdated: outdated}
	}
	r.UpdateEndpoints(10, []EndpointInfo{row(1, Draining, 3, false), row(2, Removed, 3, false)}, false, false)
	behind := []EndpointInfo{row(0, Ready, 3, true), row(1, Ready, 3, true), row(2, Ready, 3, true)}
	for _, complete := range []bool{false, true} {
		r.UpdateEndpoints(11, behind, complete, false)
		assert.True(t, r.eligible(&r.endpoints[0]))
		assert.False(t, r.eligible(&r.endpoints[1]), "a newer list marks it as draining")
		assert.False(t, r.eligible(&r.endpoints[2]), "a newer list marks it as removed")
	}
	r.UpdateEndpoints(12, []EndpointInfo{row(1, Ready, 11, true), row(2, Ready, 3, false)}, false, false)
	assert.True(t, r.eligible(&r.endpoints[1]), "it has restarted")
	assert.True(t, r.eligible(&r.endpoints[2]), "a newer list calls it ready")
}
