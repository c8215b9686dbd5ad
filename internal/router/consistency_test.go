package router

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSessionReadCoversItsLastWriteAndHighestRead(t *testing.T) {
	r := testRouter(t, testConfig())
	r.sessions.Put(9, session{lastWrite: 9, highestRead: 10.2})
	r.endpoints[2].position = 10.3
	for range 20 {
		decision := r.Route(10.3, newCommand(sessionReads))
		assert.Equal(t, Forward, decision.Action)
		assert.Equal(t, 2, decision.Endpoint, "only endpoint 2 covers both positions")
		r.endpoints[2].queued = 0
	}
}

func TestClientTokenIsTheTimeOfTheLastWrite(t *testing.T) {
	config := testConfig()
	config.ClientTokens = true
	r := testRouter(t, config)
	c := newCommand(sessionReads)
	c.LastWriteAge = 0.25
	r.Route(10, c)
	assert.InDelta(t, 9.75, c.requiredPosition, 1e-9)
}

func TestBoundedStalenessReadWaitsAndThenFallsBack(t *testing.T) {
	r := testRouter(t, testConfig())
	r.endpoints[1].position, r.endpoints[2].position = 9.5, 9.7
	assert.Equal(t, 2, r.Route(10.05, newCommand(boundedReads)).Endpoint)
	c := newCommand(boundedReads)
	c.ArrivedAt = 10.15
	assert.Equal(t, Wait, r.Route(10.15, c).Action, "none within the bound: it waits")
	assert.Equal(t, 0, r.Route(10.26, c).Endpoint, "and then goes to the primary")
}

// With every replica stalled by one heavy record the wait only spent the objective.
func TestReadDoesNotWaitWhereNoReplicaCanCatchUp(t *testing.T) {
	r := testRouter(t, testConfig())
	c := newCommand(boundedReads)
	c.ArrivedAt, c.ClientDeadline = 10.6, 12
	assert.Equal(t, Wait, r.Route(10.6, c).Action, "heard 0.6 s ago, a replica may have caught up")
	r.endpoints[1].position, r.endpoints[2].position = 5, 5
	assert.Equal(t, 0, r.Route(10.6, c).Endpoint, "the primary at once")
}

func TestFreshestReplicaServesWhereReplicasCheckReads(t *testing.T) {
	config := testConfig()
	config.ReplicasCheckReads = true
	r := testRouter(t, config)
	r.sessions.Put(9, session{lastWrite: 10.1, highestRead: math.Inf(-1)})
	r.endpoints[1].reportedLag, r.endpoints[2].reportedLag = 3, 0.01
	c := newCommand(sessionReads)
	assert.Equal(t, 2, r.Route(10, c).Endpoint)
	decision := r.AttemptEnded(10.06, c, AttemptResult{Result: NotServed, Position: -1, Role: RoleReplica})
	assert.Equal(t, 0, decision.Endpoint, "not served as too stale, it goes to the primary")
}

// With 127 routers a primary was often unknown, and what was heard of replicas seconds old.
func TestLinearizableReadWithoutAPrimary(t *testing.T) {
	config := testConfig()
	config.ReplicasCheckReads = true
	r := testRouter(t, config)
	r.endpoints[0].role = RoleReplica
	for i := range r.endpoints {
		r.endpoints[i].reportedLag = float64(i)
	}
	assert.Equal(t, 0, r.Route(10.2, newCommand(linearizableReads)).Endpoint, "the least behind checks it itself")
	c := newCommand(linearizableReads)
	c.Attempts, c.ArrivedAt, c.routed = []Attempt{{Endpoint: 0, SentAt: 10.1, InFlight: true}}, 10.1, true
	decision := r.AttemptEnded(10.2, c, AttemptResult{Result: NotServed, Position: -1, Role: RoleReplica})
	assert.Equal(t, 1, decision.Endpoint, "not served, it meets the next: one of them may be the primary")
	assert.InDelta(t, 1.0, r.recentLag(10.2, 1), 0)
	assert.Zero(t, r.recentLag(11, 1), "it may have caught up since")
}

func TestUnheardReplicaCoversNoBoundedRead(t *testing.T) {
	r := New(testConfig(), 1)
	r.UpdateEndpoints(10, []EndpointInfo{warmEndpoint(0), warmEndpoint(1)}, true, true)
	assert.Equal(t, Wait, r.Route(10, newCommand(boundedReads)).Action)
	_, due := r.Maintain(10)
	assert.Equal(t, []int{0}, due.HealthCheck, "the one that the read needs")
	assert.Equal(t, Forward, r.Route(10, newCommand(eventualReads)).Action, "any read may go to any replica")
}

func TestForgottenSessionsRaiseThePositionFloor(t *testing.T) {
	r := testRouter(t, testConfig())
	r.sessions.Put(1, session{lastWrite: 9})
	r.shards[0].newestPosition = 9
	span := retentionTimeouts * 2.0
	r.expireSessions(10 + span)
	_, known := r.sessions.Get(1)
	assert.True(t, known)
	assert.Zero(t, r.sessions.YoungerLen())
	r.expireSessions(10 + 2*span)
	_, known = r.sessions.Get(1)
	assert.False(t, known)
	assert.InDelta(t, 9.0, r.shards[0].positionFloor, 0)
}

func TestLastWriteAheadOfTheClockCounts(t *testing.T) {
	config := testConfig()
	config.ClientTokens = true
	for _, age := range []float64{-math.SmallestNonzeroFloat64, -0.25} {
		c := newCommand(sessionReads)
		c.LastWriteAge = age
		testRouter(t, config).Route(10, c)
		assert.InDelta(t, 10-age, c.requiredPosition, 1e-9)
	}
	c := newCommand(sessionReads)
	testRouter(t, config).Route(10, c)
	assert.Less(t, c.requiredPosition, 10.0, "0: none is known")
}

// A session read is sent while a write of its session is out, or after one that broke: the endpoint may have run the
// write and its answer been on its way, so that the read owes what it wrote. A lagging replica was read (rule 5).
func TestSessionReadCoversWritesThatMayHaveRun(t *testing.T) {
	config := testConfig()
	config.CommandGroups[writes].Idempotency = IdempotentWithKey
	replicas := []int{1, 2}
	for name, write := range map[string]struct {
		result      *AttemptResult // at 10.1; nil: it is out
		covers float64        // what replicas must hold then to be read
	}{
		"out":       {nil, 10.15},
		"broke":     {&AttemptResult{Result: ConnectionLost}, 10.1},
		"timed out": {&AttemptResult{Result: TimedOut}, 10.1},
		"erred":     {&AttemptResult{Result: Errored}, 10.1},
		"left":      {&AttemptResult{Result: Canceled}, 10.1},
		"answered":  {&AttemptResult{Result: Answered}, 10.05},
		"never ran": {&AttemptResult{Result: ConnectFailed}, 10},
		"full":      {&AttemptResult{Result: Overloaded}, 10},
		"missed":    {&AttemptResult{Result: NotServed}, 10},
	} {
		for _, offset := range []float64{-0.001, 0.001} { // what replicas hold, beside that
			r := testRouter(t, config)
			r.fleetServiceTime, r.fleetLatency = 0.01, 0.01
			setPositions := func(position float64) {
				for _, i := range replicas {
					r.endpoints[i].position, r.endpoints[i].positionReportedAt, r.endpoints[i].reportedLag = position, 10.15, 10.15-position
				}
			}
			firstRead := newCommand(sessionReads)
			require.Contains(t, replicas, r.Route(10, firstRead).Endpoint)
			r.AttemptEnded(10, firstRead, AttemptResult{Result: Answered, Elapsed: 0.01, Final: true, Position: 10}) // highest read 10
			c := newCommand(writes)
			require.Equal(t, 0, r.Route(10, c).Endpoint)
			waitingRead := newCommand(sessionReads) // arrived before the write ended, and found no replica
			waitingRead.routed, waitingRead.requiredPosition = true, 10
			if write.result != nil {
				result := *write.result
				result.Elapsed, result.Final, result.Position = 0.1, true, -1
				if result.Result == Answered {
					result.Position = 10.05
				}
				r.AttemptEnded(10.1, c, result)
			}
			assert.Equal(t, write.result == nil, r.session(9).writesInFlight == 1, name)
			setPositions(write.covers + offset)
			other := newCommand(sessionReads)
			other.Session, other.ArrivedAt, other.ClientDeadline = 8, 10.15, 12
			assert.Contains(t, replicas, r.Route(10.15, other).Endpoint, "%s: of another session", name)
			assert.Equal(t, offset > 0, slices.Contains(replicas, r.chooseReplica(10.15, waitingRead, &r.groups[sessionReads], r.sessionPosition(10.15, waitingRead))), "%s, %g", name, offset)
		}
	}
}

// Where those that cover a read have no room a position more is of no use: at a burst each read held for want of room
// once had a health check every 100 ms.
func TestKnownPositionIsNotChecked(t *testing.T) {
	r := testRouter(t, testConfig())
	for i := range r.endpoints {
		r.endpoints[i].latencySum, r.endpoints[i].answerCount, r.endpoints[i].queued, r.endpoints[i].lastAnswerAt = 400, 100, 9, 10.25
	}
	c := newCommand(boundedReads)
	c.ArrivedAt, c.ClientDeadline = 10.25, 12.25
	require.Equal(t, Wait, r.Route(10.25, c).Action)
	assert.Empty(t, r.pendingChecks, "both replicas cover it")
	for i := range r.endpoints {
		r.endpoints[i].position = 9.5
	}
	require.Equal(t, Wait, r.Route(10.25, c).Action)
	assert.Len(t, r.pendingChecks, 1)
}

// Where replicas check reads a miss tells their position for nothing; health checks for it cost a service point in
// thirty.
func TestPositionIsNotCheckedWhereReplicasCheckReads(t *testing.T) {
	for _, replicasCheckReads := range []bool{true, false} {
		config := testConfig()
		config.ReplicasCheckReads = replicasCheckReads
		r := testRouter(t, config)
		addReads(&r.readCounter, 10.2, 1, true)
		r.Route(10.2, uncoveredRead(r))
		assert.Equal(t, replicasCheckReads, len(r.pendingChecks) == 0)
	}
}

// A read that goes to the primary at once has no replica asked for it.
func TestReadThatFallsBackAtOnceChecksNoPosition(t *testing.T) {
	r := testRouter(t, testConfig())
	c := uncoveredRead(r)
	addReads(&r.readCounter, 10, 10, false)
	decision := r.Route(10.2, c)
	require.Equal(t, Forward, decision.Action)
	assert.Equal(t, 0, decision.Endpoint)
	assert.Empty(t, r.pendingChecks)
}

// A replica that is cold and has its share was asked, found to cover, and waited for in vain, beside warm ones that
// nobody asked.
func TestReplicaWithoutSlowStartBudgetIsNotChecked(t *testing.T) {
	for index := range 4 {
		config := testConfig()
		config.Instance, config.RouterCount = index, 1000
		r := testRouter(t, config)
		r.endpoints[1].startedAt, r.endpoints[1].slowStartBudgetSetAt = 10, 10.2
		c := uncoveredRead(r)
		require.Equal(t, Wait, r.Route(10.2, c).Action)
		assert.Equal(t, []int{2}, r.pendingChecks, "router %d", index)
	}
}

// A read waits for a replica for no longer than leaves its primary time to answer within a short objective.
func TestReadWaitsNoLongerThanHalfOfAShortObjective(t *testing.T) {
	config := testConfig()
	config.CommandGroups[boundedReads].LatencyObjective = 0.1
	r := testRouter(t, config)
	c := uncoveredRead(r)
	require.Equal(t, Wait, r.Route(10.2, c).Action)
	require.Equal(t, Wait, r.Route(10.245, c).Action)
	decision := r.Route(10.255, c)
	require.Equal(t, Forward, decision.Action)
	assert.Equal(t, 0, decision.Endpoint)
}
