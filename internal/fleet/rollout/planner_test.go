package rollout

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var testTiming = Timing{SoakSeconds: 2, StaleAfterSeconds: 1, ContactTimeoutSeconds: 10, StepTimeoutSeconds: 30}

// sixInstances returns a fleet of three zones with two instances each. Every instance has its own agent.
func sixInstances() *Fleet {
	f := &Fleet{ZoneMinAvailable: []int{1, 1, 1}, MinAvailable: 4, Timing: testTiming}
	for i := range 6 {
		f.Instances = append(f.Instances, Instance{Zone: i / 2, Agent: i})
	}
	return f
}

// allServing returns observations of a fleet in which all instances are ready with revision a.
func allServing(fleet *Fleet, now float64) []Observation {
	observations := make([]Observation, len(fleet.Instances))
	for i := range observations {
		observations[i] = Observation{SeenAt: now, State: ProcessReady, Revision: "a", ReadySeconds: 100}
	}
	return observations
}

func newRunningPlanner() *Planner {
	return NewPlanner(sixInstances(), Rollout{ID: "r", Revision: "b", State: Running})
}

// recordStep changes the observations as if the step's instance had begun the step and, unless the result is pending, ended
// it.
func recordStep(observations []Observation, step Step, result StepResult) {
	o := &observations[step.Instance]
	if o.LastStep.RolloutID != step.RolloutID {
		o.PreviousRevision = o.Revision
	}
	o.LastStep, o.LastResult = step, result
	if result == StepSucceeded {
		o.Revision, o.State, o.ReadySeconds, o.CommandsSinceStep = step.Revision, ProcessReady, 0, CommandCounts{}
	}
}

func TestInstancesChangeOneAtATimeWithASoakBetween(t *testing.T) {
	planner := newRunningPlanner()
	observations := allServing(planner.Fleet, 0)
	for n := range 6 {
		d := planner.Next(0, observations, RequestNone)
		require.Equal(t, ActionBeginStep, d.Action, "%v", d.Reason)
		assert.Equal(t, n, d.Step.Instance)
		assert.EqualValues(t, n+1, d.Step.Number)
		planner.Rollout = d.Rollout
		assert.Equal(t, ActionResendStep, planner.Next(0, observations, RequestNone).Action, "the agent has not begun the step")
		recordStep(observations, d.Step, StepPending)
		assert.Equal(t, ActionWait, planner.Next(0, observations, RequestNone).Action)
		recordStep(observations, d.Step, StepSucceeded)
		assert.Equal(t, ActionWait, planner.Next(0, observations, RequestNone).Action, "the soak is not over")
		observations[n].ReadySeconds = testTiming.SoakSeconds
		d = planner.Next(0, observations, RequestNone)
		require.Equal(t, ActionCompleteStep, d.Action)
		planner.Rollout = d.Rollout
	}
	d := planner.Next(0, observations, RequestNone)
	assert.Equal(t, ActionFinish, d.Action)
	assert.Equal(t, Complete, d.Rollout.State)
}

func TestStepWaitsUntilMinimumsAndObservationsAllowIt(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s []Observation)
		action Action
		reason Reason
		step   int
	}{
		"an instance that is down is changed first": {func(s []Observation) { s[3].State = ProcessDown }, ActionBeginStep, Reason{}, 3},
		"other zones go on while one zone is at its minimum": {func(s []Observation) {
			s[0].State = ProcessDown
			s[0].LastStep = Step{RolloutID: "r", Number: 1}
			s[0].LastResult = StepSucceeded
		}, ActionBeginStep, Reason{}, 2},
		"two instances down leave none to spare": {func(s []Observation) { stopFinished(s, 0, 2) }, ActionWait, Reason{Kind: ReasonZoneMinimum, Instance: 1, Zone: 0, Have: 0, Need: 1}, 0},
		"a draining instance does not serve":     {func(s []Observation) { stopFinished(s, 0, 2); s[0].State = ProcessDraining }, ActionWait, Reason{Kind: ReasonZoneMinimum, Instance: 1, Zone: 0, Have: 0, Need: 1}, 0},
		"an unknown process may be busy":         {func(s []Observation) { s[5].State = ProcessUnknown }, ActionWait, Reason{Kind: ReasonProcessUnknown, Instance: 5}, 0},
		"not seen for too long":                  {func(s []Observation) { s[5].SeenAt = -1.1 }, ActionWait, Reason{Kind: ReasonAgentUnreachable, Instance: 5}, 0},
		"never seen":                             {func(s []Observation) { s[5].SeenAt = math.Inf(-1) }, ActionWait, Reason{Kind: ReasonAgentUnreachable, Instance: 5}, 0},
		"a step of another rollout is resolved":  {func(s []Observation) { s[4].LastStep = Step{RolloutID: "q", Number: 9} }, ActionWait, Reason{Kind: ReasonInstanceBusy, Instance: 4}, 0},
	} {
		planner := newRunningPlanner()
		observations := allServing(planner.Fleet, 0)
		c.change(observations)
		d := planner.Next(0, observations, RequestNone)
		assert.Equal(t, c.action, d.Action, name)
		assert.Equal(t, c.reason, d.Reason, name)
		if c.action == ActionBeginStep {
			assert.Equal(t, c.step, d.Step.Instance, name)
			continue
		}
		for i := range observations {
			observations[i].SeenAt += testTiming.ContactTimeoutSeconds
		}
		d = planner.Next(testTiming.ContactTimeoutSeconds, observations, RequestNone)
		assert.Equal(t, ActionFinish, d.Action, name)
		assert.Equal(t, Paused, d.Rollout.State, name)
		assert.Equal(t, c.reason, d.Rollout.Reason, name)
	}
}

// stopFinished stops instances that the rollout has already changed and so will not change again.
func stopFinished(observations []Observation, instances ...int) {
	for _, i := range instances {
		observations[i].State, observations[i].LastStep, observations[i].LastResult = ProcessDown, Step{RolloutID: "r", Number: 1}, StepSucceeded
	}
}

func TestCheckFeasibleNamesTheMinimumThatAllowsNoStep(t *testing.T) {
	f := sixInstances()
	assert.Equal(t, ReasonNone, CheckFeasible(f, nil).Kind)
	f.ZoneMinAvailable[1] = 2
	assert.Equal(t, Reason{Kind: ReasonZoneMinimum, Zone: 1, Have: 1, Need: 2}, CheckFeasible(f, nil))
	f.ZoneMinAvailable[1], f.MinAvailable = 0, 6
	assert.Equal(t, Reason{Kind: ReasonFleetMinimum, Have: 5, Need: 6}, CheckFeasible(f, nil))
	f.MinAvailable = 0
	assert.Equal(t, Reason{Kind: ReasonZoneMinimum, Zone: 0, Have: 0, Need: 1}, CheckFeasible(f, []int{1}), "excluded instances count as not serving")
	assert.Equal(t, ReasonNothingToDo, CheckFeasible(f, []int{0, 1, 2, 3, 4, 5}).Kind)
}

func TestBadRevisionRollsBack(t *testing.T) {
	for name, c := range map[string]struct {
		change func(o *Observation)
		kind   ReasonKind
	}{
		"the step fails":                     {func(o *Observation) { o.LastResult, o.LastFailure, o.State = StepFailed, "refused", ProcessDown }, ReasonStepFailed},
		"it exits during its soak":           {func(o *Observation) { o.State = ProcessDown }, ReasonSoakFailed},
		"it keeps exiting":                   {func(o *Observation) { o.State = ProcessCrashLooping }, ReasonSoakFailed},
		"it leaves more commands unanswered": {func(o *Observation) { o.CommandsSinceStep = CommandCounts{Completed: 100, Unanswered: 20} }, ReasonMoreUnanswered},
	} {
		planner := newRunningPlanner()
		observations := allServing(planner.Fleet, 0)
		observations[0].RecentCommands = CommandCounts{Completed: 1000, Unanswered: 50}
		planner.Rollout = planner.Next(0, observations, RequestNone).Rollout
		recordStep(observations, planner.Rollout.CurrentStep, StepSucceeded)
		c.change(&observations[0])
		d := planner.Next(0, observations, RequestNone)
		require.Equal(t, ActionStartRollback, d.Action, name)
		assert.Equal(t, c.kind, d.Rollout.RollbackCause.Kind, name)
		planner.Rollout = d.Rollout
		d = planner.Next(0, observations, RequestNone)
		require.Equal(t, ActionBeginStep, d.Action, name)
		assert.Equal(t, Step{RolloutID: "r", Number: 2, Instance: 0, Revision: "a", Rollback: true}, d.Step, name)
		planner.Rollout = d.Rollout
		recordStep(observations, d.Step, StepSucceeded)
		observations[0].ReadySeconds = testTiming.SoakSeconds
		planner.Rollout = planner.Next(0, observations, RequestNone).Rollout
		d = planner.Next(0, observations, RequestNone)
		assert.Equal(t, RolledBack, d.Rollout.State, name)
		assert.Equal(t, c.kind, d.Rollout.Reason.Kind, "the reason is still the cause of the rollback: %s", name)
	}
}

func TestMoreUnansweredToleratesChance(t *testing.T) {
	assert.False(t, moreUnanswered(CommandCounts{}, CommandCounts{Completed: 10, Unanswered: 1}))
	assert.True(t, moreUnanswered(CommandCounts{}, CommandCounts{Completed: 10, Unanswered: 2}))
	assert.False(t, moreUnanswered(CommandCounts{Completed: 1000, Unanswered: 100}, CommandCounts{Completed: 100, Unanswered: 19}))
	assert.True(t, moreUnanswered(CommandCounts{Completed: 1000, Unanswered: 100}, CommandCounts{Completed: 100, Unanswered: 21}))
	assert.False(t, moreUnanswered(CommandCounts{Completed: 10, Unanswered: 10}, CommandCounts{Completed: 10, Unanswered: 10}))
}

func TestFailedRollbackPauses(t *testing.T) {
	planner := newRunningPlanner()
	planner.Rollout.RollingBack = true
	observations := allServing(planner.Fleet, 0)
	recordStep(observations, Step{RolloutID: "r", Number: 1, Instance: 2, Revision: "b"}, StepSucceeded)
	planner.Rollout = planner.Next(0, observations, RequestNone).Rollout
	assert.Equal(t, 2, planner.Rollout.CurrentStep.Instance, "only the instance that was changed is rolled back")
	recordStep(observations, planner.Rollout.CurrentStep, StepFailed)
	d := planner.Next(0, observations, RequestNone)
	assert.Equal(t, Paused, d.Rollout.State)
	assert.Equal(t, ReasonCannotRollBack, d.Reason.Kind)
	observations[2].PreviousRevision, observations[2].LastResult = "", StepSucceeded
	observations[2].LastStep.Rollback = false
	planner = newRunningPlanner()
	planner.Rollout.RollingBack = true
	assert.Equal(t, ReasonCannotRollBack, planner.Next(0, observations, RequestNone).Reason.Kind, "the instance has no previous revision")
}

func TestUnresolvedStepBlocksOthersUntilItsInstanceIsExcluded(t *testing.T) {
	planner := newRunningPlanner()
	observations := allServing(planner.Fleet, 0)
	planner.Rollout = planner.Next(0, observations, RequestNone).Rollout
	observations[0].SeenAt = -5
	assert.Equal(t, ActionWait, planner.Next(0, observations, RequestNone).Action)
	for i := range observations {
		observations[i].SeenAt += testTiming.ContactTimeoutSeconds
	}
	d := planner.Next(testTiming.ContactTimeoutSeconds, observations, RequestNone)
	assert.Equal(t, Paused, d.Rollout.State)
	assert.Equal(t, Reason{Kind: ReasonAgentUnreachable, Instance: 0}, d.Rollout.Reason)
	assert.NotZero(t, d.Rollout.CurrentStep.Number, "the step stays in the rollout")
	planner = NewPlanner(planner.Fleet, d.Rollout)
	planner.Rollout.State, planner.Rollout.ExcludedInstances = Running, []int{0}
	d = planner.Next(20, allServing(planner.Fleet, 20), RequestNone)
	require.Equal(t, ActionCompleteStep, d.Action)
	planner.Rollout = d.Rollout
	assert.Equal(t, 1, planner.Next(20, allServing(planner.Fleet, 20), RequestNone).Step.Instance)
}

func TestStepThatIsNotAppliedIsRetriedThreeTimes(t *testing.T) {
	planner := newRunningPlanner()
	observations := allServing(planner.Fleet, 0)
	for n := range maxStepsNotApplied {
		d := planner.Next(0, observations, RequestNone)
		require.Equal(t, ActionBeginStep, d.Action)
		assert.EqualValues(t, n+1, d.Step.Number)
		planner.Rollout = d.Rollout
		recordStep(observations, d.Step, StepNotApplied)
		d = planner.Next(0, observations, RequestNone)
		planner.Rollout = d.Rollout
	}
	assert.Equal(t, Paused, planner.Rollout.State)
	assert.Equal(t, ReasonStepNeverApplied, planner.Rollout.Reason.Kind)
}

func TestOperatorRequestsAreFollowedBetweenSteps(t *testing.T) {
	for request, state := range map[OperatorRequest]State{RequestPause: Paused, RequestAbort: Aborted} {
		planner := newRunningPlanner()
		observations := allServing(planner.Fleet, 0)
		planner.Rollout = planner.Next(0, observations, RequestNone).Rollout
		recordStep(observations, planner.Rollout.CurrentStep, StepPending)
		assert.Equal(t, ActionWait, planner.Next(0, observations, request).Action, "the request waits until the step has ended")
		recordStep(observations, planner.Rollout.CurrentStep, StepSucceeded)
		observations[0].ReadySeconds = testTiming.SoakSeconds
		planner.Rollout = planner.Next(0, observations, request).Rollout
		assert.Equal(t, state, planner.Next(0, observations, request).Rollout.State)
	}
	planner := newRunningPlanner()
	assert.Equal(t, ActionStartRollback, planner.Next(0, allServing(planner.Fleet, 0), RequestRollback).Action)
}

func TestStepIsSentOnlyWhileMinimumsAllowIt(t *testing.T) {
	planner := newRunningPlanner()
	observations := allServing(planner.Fleet, 0)
	planner.Rollout = planner.Next(0, observations, RequestNone).Rollout
	observations[1].State = ProcessDown // the other instance of the zone stops without a step
	d := planner.Next(0, observations, RequestNone)
	assert.Equal(t, ActionWait, d.Action)
	assert.Equal(t, ReasonZoneMinimum, d.Reason.Kind)
	observations[1].State = ProcessReady
	d = planner.Next(0, observations, RequestNone)
	assert.Equal(t, ActionResendStep, d.Action)
	assert.False(t, d.Step.OnlyIfNotServing, "the minimums were checked")
	observations[4].SeenAt = -5
	assert.Equal(t, ReasonAgentUnreachable, planner.Next(0, observations, RequestNone).Reason.Kind)
	observations[4].SeenAt = 0
	observations[0].State, observations[1].State = ProcessDown, ProcessDown
	d = planner.Next(0, observations, RequestNone)
	assert.Equal(t, ActionResendStep, d.Action, "a step of an instance that does not serve cannot lower the number of serving instances")
	assert.True(t, d.Step.OnlyIfNotServing, "the step tells the agent that the minimums were not checked")
	assert.False(t, planner.Rollout.CurrentStep.OnlyIfNotServing, "only the sent step is marked: it may be sent again after a check of the minimums")
	d = planner.StepRefused("full")
	assert.Equal(t, Reason{Kind: ReasonStepRefused, Detail: "full"}, d.Rollout.Reason)
	assert.NotZero(t, d.Rollout.CurrentStep.Number)
}

func BenchmarkNext(b *testing.B) {
	for _, n := range []int{20, 200, 2000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := &Fleet{ZoneMinAvailable: make([]int, 10), MinAvailable: n / 2, Timing: testTiming}
			for i := range n {
				f.Instances = append(f.Instances, Instance{Zone: i * 10 / n})
			}
			observations := allServing(f, 0)
			for i := range n / 2 {
				observations[i].LastStep, observations[i].LastResult = Step{RolloutID: "r", Number: 1}, StepSucceeded
			}
			p := NewPlanner(f, Rollout{ID: "r", Revision: "b", State: Running})
			for b.Loop() {
				if d := p.Next(0, observations, RequestNone); d.Action != ActionBeginStep {
					b.Fatal(d.Action)
				}
			}
		})
	}
}
