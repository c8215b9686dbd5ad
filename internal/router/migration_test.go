package router

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestMigrationKeepsStateThatIsStillValid(t *testing.T) {
	old := testRouter(t, testConfig())
	old.endpoints[1].position, old.endpoints[1].latencySum, old.endpoints[1].answerCount,
		old.endpoints[1].inFlight, old.endpoints[1].unansweredAttempts = 11, 40, 100, 3, 2
	old.endpoints[2].ejected, old.endpoints[2].startedAt, old.endpoints[2].slowStartBudget = true, 9, 5
	old.UpdateEndpoints(10, []EndpointInfo{{Index: 0, State: Draining, StartedAt: math.Inf(-1)}}, false, false)
	old.sessions.Put(7, session{lastWrite: 10.5, highestRead: 10.7, writesInFlight: 2})
	old.sessions.Rotate()
	old.sessions.Put(9, session{lastWrite: 10.5, highestRead: 10.7})
	old.shards[0].latencySum, old.shards[0].answerCount = 40, 100
	old.shards[0].positionFloor, old.fleetLatency, old.warmAttemptRate = 9.5, 0.4, 50
	config := testConfig()
	// The new settings have fewer groups, and the session reads have another index.
	config.CommandGroups = append(config.CommandGroups[:1:1], config.CommandGroups[sessionReads])
	r := New(config, 8)
	r.MigrateFrom(12, old)
	assert.InDelta(t, 11.0, r.endpoints[1].position, 0, "a reported position stays valid")
	assert.Equal(t, RolePrimary, r.endpoints[0].role)
	assert.False(t, r.eligible(&r.endpoints[0]), "a draining endpoint stays draining")
	assert.True(t, r.endpoints[2].ejected, "an ejected endpoint stays ejected until it answers")
	assert.InDelta(t, 9.0, r.endpoints[2].startedAt, 0, "a start time stays valid")
	assert.InDelta(t, 5.0, r.endpoints[2].slowStartBudget, 0)
	assert.True(t, r.subscribed)
	assert.Zero(t, r.endpoints[1].latencySum+r.endpoints[1].answerCount,
		"latencies of the earlier configuration are dropped")
	assert.Zero(t, r.endpoints[1].inFlight+r.endpoints[1].unansweredAttempts,
		"attempts in flight end at the old router")
	assert.Zero(t, r.fleetLatency+r.warmAttemptRate+r.shards[0].latencySum+r.shards[0].answerCount)
	c := &Command{Group: 1, Session: 9, ArrivedAt: 12, ClientDeadline: 14}
	assert.Equal(t, 1, r.chooseReplica(12, c, &r.groups[1], r.session(9).highestRead),
		"the replica covers what the session has read")
	assert.InDelta(t, 10.7, r.sessionPosition(12, c), 0)
	command := &Command{Group: 1, Session: 7, ArrivedAt: 12, ClientDeadline: 14}
	assert.InDelta(t, 12.5, r.sessionPosition(12.5, command), 0,
		"the session's writes are in flight at the old router")
	// A write of the session starts at the new router.
	r.recordSession(command, &group{CommandGroup: CommandGroup{Consistency: PrimaryOnly}}, 1, math.Inf(-1))
	for remaining := 1.0; remaining >= 0; remaining-- {
		old.sessions.Put(7, session{lastWrite: math.Inf(-1), highestRead: math.Inf(-1), writesInFlight: remaining})
		r.MergeSession(command, old)
		assert.InDelta(t, 12.5, r.sessionPosition(12.5, command), 0)
	}
	r.recordSession(command, &group{CommandGroup: CommandGroup{Consistency: PrimaryOnly}}, -1, math.Inf(-1))
	assert.InDelta(t, 10.7, r.sessionPosition(12.5, command), 0, "no write is in flight any more")
	other := &Command{Group: 1, Session: 4, ArrivedAt: 12, ClientDeadline: 14}
	assert.InDelta(t, 9.5, r.sessionPosition(12, other), 0, "the position floor is kept")
	old.endpoints[1].position, old.shards[0].endpoints[0] = 0, 7
	assert.InDelta(t, 11.0, r.endpoints[1].position, 0, "the routers share no state")
	assert.Equal(t, []int{0, 1, 2}, r.shards[0].endpoints)
}
