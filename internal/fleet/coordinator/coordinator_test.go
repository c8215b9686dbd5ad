package coordinator

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

func TestRolloutChangesEveryInstanceAndRollsBack(t *testing.T) {
	e := newEnvironment(t, 3)
	o := e.finish(e.newCoordinator("h1", beginTask("r1", "new")))
	assert.Equal(t, OutcomeEnded, o.Kind)
	assert.Equal(t, rollout.Complete, o.Rollout.State)
	assert.Equal(t, []string{"n0 new", "n1 new", "n2 new"}, e.steps)
	for _, handler := range e.handlers {
		assert.False(t, handler.Lease.State(e.now).Held, "the lease was released")
	}
	o = e.finish(e.newCoordinator("h2", Task{Operation: OperationRollback, Operator: "ayla"}))
	assert.Equal(t, rollout.RolledBack, o.Rollout.State)
	assert.Equal(t, []string{"old", "old", "old"}, e.revisions())
	assert.Equal(t, "ayla", o.Rollout.RequestedBy)
}

func TestBadRevisionRollsBackByItself(t *testing.T) {
	e := newEnvironment(t, 3)
	e.exiting["new"] = true
	o := e.finish(e.newCoordinator("h1", beginTask("r1", "new")))
	assert.Equal(t, rollout.RolledBack, o.Rollout.State)
	assert.Equal(t, rollout.ReasonStepFailed, o.Reason.Kind)
	assert.Equal(t, []string{"n0 new", "n0 old"}, e.steps, "no other instance was changed")
	assert.Equal(t, []string{"old", "old", "old"}, e.revisions())
}

func TestLaterCoordinatorReportsTheHolder(t *testing.T) {
	e := newEnvironment(t, 3)
	a, b := e.newCoordinator("a", beginTask("r1", "new")), e.newCoordinator("b", beginTask("r2", "other"))
	e.pass(1, a)
	o := e.finish(b)
	assert.Equal(t, OutcomeLeaseHeld, o.Kind)
	assert.Equal(t, "a", o.Holder.Holder)
	assert.Equal(t, "r1", o.Rollout.ID)
	assert.Equal(t, rollout.Complete, e.finish(a).Rollout.State, "the holder of the lease goes on")
}

func TestOneOfTwoConcurrentCoordinatorsWins(t *testing.T) {
	e := newEnvironment(t, 4)
	a, b := e.newCoordinator("a", beginTask("r1", "new")), e.newCoordinator("b", beginTask("r2", "other"))
	for range 400 {
		e.pass(0.1, a, b)
	}
	oa, overA := a.Outcome()
	ob, overB := b.Outcome()
	require.True(t, overA && overB)
	won := 0
	for _, o := range []Outcome{oa, ob} {
		if o.Kind == OutcomeEnded {
			won++
			assert.Equal(t, rollout.Complete, o.Rollout.State)
		}
	}
	assert.Equal(t, 1, won, "%v %v", oa.Kind, ob.Kind)
}

func TestTakeoverFencesTheOldHolderAndContinues(t *testing.T) {
	e := newEnvironment(t, 4)
	a := e.newCoordinator("a", beginTask("r1", "new"))
	e.pass(1.2, a)
	require.NotEmpty(t, e.steps)
	b := e.newCoordinator("b", Task{Operation: OperationResume, Takeover: true})
	e.pass(0.5, b)
	o := e.finish(a)
	assert.Equal(t, OutcomeFenced, o.Kind)
	assert.Equal(t, "b", o.Holder.Holder)
	assert.Equal(t, rollout.Complete, e.finish(b).Rollout.State)
	assert.Equal(t, []string{"n0 new", "n1 new", "n2 new", "n3 new"}, e.steps, "each step began once")
}

func TestRolloutIsResumedOnceTheLeaseOfAStoppedToolHasExpired(t *testing.T) {
	e := newEnvironment(t, 3)
	a := e.newCoordinator("a", beginTask("r1", "new"))
	e.pass(0.9, a)
	assert.Equal(t, OutcomeLeaseHeld, e.finish(e.newCoordinator("b", Task{Operation: OperationResume})).Kind)
	e.pass(4)
	assert.Equal(t, OutcomeUnfinishedRollout, e.finish(e.newCoordinator("c", beginTask("r2", "other"))).Kind)
	e.fleet.Instances[0].Zone = 0
	assert.Equal(t, OutcomeOtherFleet, e.finish(e.newCoordinator("d", Task{Operation: OperationResume, FleetDigest: "another"})).Kind)
	o := e.finish(e.newCoordinator("e", Task{Operation: OperationResume}))
	assert.Equal(t, rollout.Complete, o.Rollout.State)
	assert.EqualValues(t, 2, o.Rollout.Run)
	assert.Equal(t, OutcomeNoRollout, e.finish(e.newCoordinator("g", Task{Operation: OperationResume})).Kind, "the rollout has ended")
}

func TestUnreachableAgentPausesTheRolloutUntilItsInstanceIsExcluded(t *testing.T) {
	e := newEnvironment(t, 5)
	e.fleet.MinAvailable = 3
	a := e.newCoordinator("a", beginTask("r1", "new"))
	e.pass(0.6, a)
	e.unreachable[3] = true
	o := e.finish(a)
	assert.Equal(t, rollout.Paused, o.Rollout.State)
	assert.Equal(t, rollout.Reason{Kind: rollout.ReasonAgentUnreachable, Instance: 3}, o.Reason)
	o = e.finish(e.newCoordinator("b", Task{Operation: OperationResume, ExcludedInstances: []int{3}}))
	assert.Equal(t, rollout.Paused, o.Rollout.State)
	assert.Equal(t, rollout.Reason{Kind: rollout.ReasonInstancesExcluded, Have: 1}, o.Reason)
	assert.Equal(t, []string{"new", "new", "new", "old", "new"}, e.revisions())
	e.unreachable[3] = false
	assert.Equal(t, rollout.Complete, e.finish(e.newCoordinator("c", Task{Operation: OperationResume})).Rollout.State)
	assert.Equal(t, "new", e.revisions()[3])
}

func TestWithoutAMajorityNothingBegins(t *testing.T) {
	e := newEnvironment(t, 3)
	e.unreachable[0], e.unreachable[1] = true, true
	assert.Equal(t, OutcomeNoMajority, e.finish(e.newCoordinator("a", beginTask("r1", "new"))).Kind)
	assert.Empty(t, e.steps)
	e.unreachable = map[int]bool{}
	b := e.newCoordinator("b", beginTask("r1", "new"))
	e.pass(0.5, b)
	e.unreachable[1], e.unreachable[2] = true, true
	o := e.finish(b)
	assert.Equal(t, OutcomeNoMajority, o.Kind)
	assert.LessOrEqual(t, len(e.steps), 1, "the step under way may end, but no other begins")
}

func TestInfeasibleTaskEndsBeforeAnyStep(t *testing.T) {
	e := newEnvironment(t, 3)
	e.fleet.MinAvailable = 3
	o := e.finish(e.newCoordinator("a", beginTask("r1", "new")))
	assert.Equal(t, OutcomeInfeasible, o.Kind)
	assert.Equal(t, rollout.Reason{Kind: rollout.ReasonFleetMinimum, Have: 2, Need: 3}, o.Reason)
	assert.Empty(t, e.steps)
}

func TestStepIsHeldBackWhenAnotherInstanceFailsBeforeIt(t *testing.T) {
	e := newEnvironment(t, 3)
	a := e.newCoordinator("a", beginTask("r1", "new"))
	for range 400 { // until a majority has stored the step, which is not sent yet
		e.pass(0.05, a)
		if a.rollout.CurrentStep.Number == 1 || len(e.steps) > 0 {
			break
		}
	}
	require.Empty(t, e.steps, "the step must be stored before it is sent")
	supervised := e.supervisor(2)
	supervised.ProcessExited(e.now, "without a step")
	e.limits.MinBackoffSeconds = 1e9 // the instance stays down
	a.observations[2] = supervised.Observe(e.now)
	a.observations[2].SeenAt = e.now
	a.agents[2].nextQuery = e.now + 1e9
	o := e.finish(a)
	assert.Equal(t, rollout.Paused, o.Rollout.State)
	assert.Empty(t, e.steps)
}

func TestOperatorRequestsAreFollowed(t *testing.T) {
	for request, state := range map[rollout.OperatorRequest]rollout.State{rollout.RequestPause: rollout.Paused, rollout.RequestAbort: rollout.Aborted, rollout.RequestRollback: rollout.RolledBack} {
		e := newEnvironment(t, 3)
		a := e.newCoordinator("a", beginTask("r1", "new"))
		e.pass(0.9, a)
		require.NotEmpty(t, e.steps)
		for i, handler := range e.handlers {
			operatorRequest := protocol.OperatorRequest{RolloutID: "r1", Run: 1, Action: request, Operator: "ayla"}
			if i == 0 {
				operatorRequest.Run = 9 // a request for another run is ignored
			}
			handler.Handle(e.now, protocol.Request{Verb: protocol.RequestActionVerb, OperatorRequest: operatorRequest})
		}
		o := e.finish(a)
		assert.Equal(t, state, o.Rollout.State)
		assert.Equal(t, "ayla", o.Rollout.RequestedBy)
	}
	e := newEnvironment(t, 3)
	e.pass(0.9, e.newCoordinator("a", beginTask("r1", "new")))
	e.pass(5) // the tool has stopped and its lease expired: another tool aborts the rollout
	o := e.finish(e.newCoordinator("b", Task{Operation: OperationAbort, Operator: "ayla"}))
	assert.Equal(t, rollout.Aborted, o.Rollout.State)
	assert.Equal(t, rollout.Complete, e.finish(e.newCoordinator("c", beginTask("r2", "other"))).Rollout.State)
}

func TestRefusedStepPausesTheRollout(t *testing.T) {
	e := newEnvironment(t, 3)
	e.refusing[1] = true
	o := e.finish(e.newCoordinator("a", beginTask("r1", "new")))
	assert.Equal(t, rollout.Paused, o.Rollout.State)
	assert.Equal(t, rollout.Reason{Kind: rollout.ReasonStepRefused, Instance: 1, Detail: "disk full"}, o.Reason)
	e.refusing[1] = false
	assert.Equal(t, rollout.Complete, e.finish(e.newCoordinator("b", Task{Operation: OperationResume})).Rollout.State)
}

func TestQuitReleasesTheLease(t *testing.T) {
	e := newEnvironment(t, 3)
	a := e.newCoordinator("a", beginTask("r1", "new"))
	e.pass(0.9, a)
	a.Quit(e.now)
	assert.Equal(t, OutcomeInterrupted, e.finish(a).Kind)
	assert.Equal(t, rollout.Complete, e.finish(e.newCoordinator("b", Task{Operation: OperationResume})).Rollout.State, "the lease need not expire first")
}

func TestAgentClockThatLeapsDoesNotEndTheRollout(t *testing.T) {
	e := newEnvironment(t, 3)
	a := e.newCoordinator("a", beginTask("r1", "new"))
	e.pass(0.9, a)
	e.handlers[1].Lease.Renew(e.now+100, 1, "a") // the agent's clock jumps, so the lease has expired at this agent
	assert.Equal(t, rollout.Complete, e.finish(a).Rollout.State, "the holder requests a higher epoch and goes on")
	assert.Len(t, e.steps, 3)
}

func TestObservationsWithoutTheEpochAreIgnored(t *testing.T) {
	e := newEnvironment(t, 3)
	a := e.newCoordinator("a", beginTask("r1", "new"))
	e.pass(0.3, a)
	require.Equal(t, phaseRunning, a.phase)
	a.agents[0].nextQuery = 0
	calls, _ := a.Tick(e.now)
	for _, call := range calls {
		if call.Agent == 0 && call.Request.Verb == protocol.StatusVerb {
			a.HandleReply(e.now, call.ID, protocol.Reply{Denial: lease.NotHolder, Instances: []protocol.InstanceStatus{{Name: "n0", Observation: rollout.Observation{State: rollout.ProcessCrashLooping}}}})
			assert.NotEqual(t, rollout.ProcessCrashLooping, a.observations[0].State)
			assert.False(t, a.agents[0].granted, "the coordinator requests the lease from it again")
			return
		}
	}
	require.Fail(t, "agent 0 was not asked for its status")
}
