package rollout

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var testTiming = Timing{SoakSeconds: 2, StaleAfterSeconds: 1, ContactTimeoutSeconds: 10, StepTimeoutSeconds: 30}

// sixInstances is a fleet of three zones with two instances each, one agent per instance.
func sixInstances() *Fleet {
	f := &Fleet{ZoneMinAvailable: []int{1, 1, 1}, MinAvailable: 4, Timing: testTiming}
	for i := range 6 {
		f.Instances = append(f.Instances, Instance{Zone: i / 2, Agent: i})
	}
	return f
}

// allServing observes all instances ready on revision a.
func allServing(f *Fleet, now float64) []Observation {
	s := make([]Observation, len(f.Instances))
	for i := range s {
		s[i] = Observation{SeenAt: now, State: ProcessReady, Revision: "a", ReadySeconds: 100}
	}
	return s
}

func newRunningPlanner() *Planner {
	return NewPlanner(sixInstances(), Rollout{ID: "r", Revision: "b", State: Running})
}

// recordStep has the step's instance begin it and, unless the result is pending, end it.
func recordStep(s []Observation, step Step, result StepResult) {
	o := &s[step.Instance]
	if o.LastStep.RolloutID != step.RolloutID {
		o.PreviousRevision = o.Revision
	}
	o.LastStep, o.LastResult = step, result
	if result == StepSucceeded {
		o.Revision, o.State, o.ReadySeconds, o.CommandsSinceStep = step.Revision, ProcessReady, 0, CommandCounts{}
	}
}

func TestInstancesChangeOneAtATimeWithASoakBetween(t *testing.T) {
	p := newRunningPlanner()
	s := allServing(p.Fleet, 0)
	for n := range 6 {
		d := p.Next(0, s, RequestNone)
		require.Equal(t, ActionBeginStep, d.Action, "%v", d.Reason)
		assert.Equal(t, n, d.Step.Instance)
		assert.EqualValues(t, n+1, d.Step.Number)
		p.Rollout = d.Rollout
		assert.Equal(t, ActionResendStep, p.Next(0, s, RequestNone).Action, "its agent has not begun it")
		recordStep(s, d.Step, StepPending)
		assert.Equal(t, ActionWait, p.Next(0, s, RequestNone).Action)
		recordStep(s, d.Step, StepSucceeded)
		assert.Equal(t, ActionWait, p.Next(0, s, RequestNone).Action, "the soak")
		s[n].ReadySeconds = testTiming.SoakSeconds
		d = p.Next(0, s, RequestNone)
		require.Equal(t, ActionCompleteStep, d.Action)
		p.Rollout = d.Rollout
	}
	d := p.Next(0, s, RequestNone)
	assert.Equal(t, ActionFinish, d.Action)
	assert.Equal(t, Complete, d.Rollout.State)
}

func TestStepWaitsUntilMinimumsAndObservationsAllowIt(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(s []Observation)
		what  Action
		says  Reason
		step  int
	}{
		"one that is down is changed first": {func(s []Observation) { s[3].State = ProcessDown }, ActionBeginStep, Reason{}, 3},
		"its zone waits, others go on": {func(s []Observation) {
			s[0].State = ProcessDown
			s[0].LastStep = Step{RolloutID: "r", Number: 1}
			s[0].LastResult = StepSucceeded
		}, ActionBeginStep, Reason{}, 2},
		"two down leave none to spare":          {func(s []Observation) { stopFinished(s, 0, 2) }, ActionWait, Reason{Kind: ReasonZoneMinimum, Instance: 1, Zone: 0, Have: 0, Need: 1}, 0},
		"draining does not serve":               {func(s []Observation) { stopFinished(s, 0, 2); s[0].State = ProcessDraining }, ActionWait, Reason{Kind: ReasonZoneMinimum, Instance: 1, Zone: 0, Have: 0, Need: 1}, 0},
		"unknown process may be busy":           {func(s []Observation) { s[5].State = ProcessUnknown }, ActionWait, Reason{Kind: ReasonProcessUnknown, Instance: 5}, 0},
		"not seen for too long":                 {func(s []Observation) { s[5].SeenAt = -1.1 }, ActionWait, Reason{Kind: ReasonAgentUnreachable, Instance: 5}, 0},
		"never seen":                            {func(s []Observation) { s[5].SeenAt = math.Inf(-1) }, ActionWait, Reason{Kind: ReasonAgentUnreachable, Instance: 5}, 0},
		"a step of another rollout is resolved": {func(s []Observation) { s[4].LastStep = Step{RolloutID: "q", Number: 9} }, ActionWait, Reason{Kind: ReasonInstanceBusy, Instance: 4}, 0},
	} {
		p := newRunningPlanner()
		s := allServing(p.Fleet, 0)
		c.spoil(s)
		d := p.Next(0, s, RequestNone)
		assert.Equal(t, c.what, d.Action, name)
		assert.Equal(t, c.says, d.Reason, name)
		if c.what == ActionBeginStep {
			assert.Equal(t, c.step, d.Step.Instance, name)
			continue
		}
		for i := range s {
			s[i].SeenAt += testTiming.ContactTimeoutSeconds
		}
		d = p.Next(testTiming.ContactTimeoutSeconds, s, RequestNone)
		assert.Equal(t, ActionFinish, d.Action, name)
		assert.Equal(t, Paused, d.Rollout.State, name)
		assert.Equal(t, c.says, d.Rollout.Reason, name)
	}
}

// stopFinished stops instances that the rollout has already changed, so that changing them cannot help.
func stopFinished(s []Observation, which ...int) {
	for _, i := range which {
		s[i].State, s[i].LastStep, s[i].LastResult = ProcessDown, Step{RolloutID: "r", Number: 1}, StepSucceeded
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
	assert.Equal(t, Reason{Kind: ReasonZoneMinimum, Zone: 0, Have: 0, Need: 1}, CheckFeasible(f, []int{1}), "left out ones do not serve")
	assert.Equal(t, ReasonNothingToDo, CheckFeasible(f, []int{0, 1, 2, 3, 4, 5}).Kind)
}

func TestBadRevisionRollsBack(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(x *Observation)
		kind  ReasonKind
	}{
		"the step fails":          {func(x *Observation) { x.LastResult, x.LastFailure, x.State = StepFailed, "refused", ProcessDown }, ReasonStepFailed},
		"it ends in its soak":     {func(x *Observation) { x.State = ProcessDown }, ReasonSoakFailed},
		"it keeps ending":         {func(x *Observation) { x.State = ProcessCrashLooping }, ReasonSoakFailed},
		"it leaves more commands": {func(x *Observation) { x.CommandsSinceStep = CommandCounts{Completed: 100, Unanswered: 20} }, ReasonMoreUnanswered},
	} {
		p := newRunningPlanner()
		s := allServing(p.Fleet, 0)
		s[0].RecentCommands = CommandCounts{Completed: 1000, Unanswered: 50}
		p.Rollout = p.Next(0, s, RequestNone).Rollout
		recordStep(s, p.Rollout.CurrentStep, StepSucceeded)
		c.spoil(&s[0])
		d := p.Next(0, s, RequestNone)
		require.Equal(t, ActionStartRollback, d.Action, name)
		assert.Equal(t, c.kind, d.Rollout.RollbackCause.Kind, name)
		p.Rollout = d.Rollout
		d = p.Next(0, s, RequestNone)
		require.Equal(t, ActionBeginStep, d.Action, name)
		assert.Equal(t, Step{RolloutID: "r", Number: 2, Instance: 0, Revision: "a", Rollback: true}, d.Step, name)
		p.Rollout = d.Rollout
		recordStep(s, d.Step, StepSucceeded)
		s[0].ReadySeconds = testTiming.SoakSeconds
		p.Rollout = p.Next(0, s, RequestNone).Rollout
		d = p.Next(0, s, RequestNone)
		assert.Equal(t, RolledBack, d.Rollout.State, name)
		assert.Equal(t, c.kind, d.Rollout.Reason.Kind, "the cause is still told: %s", name)
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
	p := newRunningPlanner()
	p.Rollout.RollingBack = true
	s := allServing(p.Fleet, 0)
	recordStep(s, Step{RolloutID: "r", Number: 1, Instance: 2, Revision: "b"}, StepSucceeded)
	p.Rollout = p.Next(0, s, RequestNone).Rollout
	assert.Equal(t, 2, p.Rollout.CurrentStep.Instance, "only what was touched goes back")
	recordStep(s, p.Rollout.CurrentStep, StepFailed)
	d := p.Next(0, s, RequestNone)
	assert.Equal(t, Paused, d.Rollout.State)
	assert.Equal(t, ReasonCannotRollBack, d.Reason.Kind)
	s[2].PreviousRevision, s[2].LastResult = "", StepSucceeded
	s[2].LastStep.Rollback = false
	p = newRunningPlanner()
	p.Rollout.RollingBack = true
	assert.Equal(t, ReasonCannotRollBack, p.Next(0, s, RequestNone).Reason.Kind, "nothing ran before")
}

func TestUnresolvedStepBlocksOthersUntilItsInstanceIsExcluded(t *testing.T) {
	p := newRunningPlanner()
	s := allServing(p.Fleet, 0)
	p.Rollout = p.Next(0, s, RequestNone).Rollout
	s[0].SeenAt = -5
	assert.Equal(t, ActionWait, p.Next(0, s, RequestNone).Action)
	for i := range s {
		s[i].SeenAt += testTiming.ContactTimeoutSeconds
	}
	d := p.Next(testTiming.ContactTimeoutSeconds, s, RequestNone)
	assert.Equal(t, Paused, d.Rollout.State)
	assert.Equal(t, Reason{Kind: ReasonAgentUnreachable, Instance: 0}, d.Rollout.Reason)
	assert.NotZero(t, d.Rollout.CurrentStep.Number, "the step stays on record")
	p = NewPlanner(p.Fleet, d.Rollout)
	p.Rollout.State, p.Rollout.ExcludedInstances = Running, []int{0}
	d = p.Next(20, allServing(p.Fleet, 20), RequestNone)
	require.Equal(t, ActionCompleteStep, d.Action)
	p.Rollout = d.Rollout
	assert.Equal(t, 1, p.Next(20, allServing(p.Fleet, 20), RequestNone).Step.Instance)
}

func TestStepThatIsNotAppliedIsRetriedThreeTimes(t *testing.T) {
	p := newRunningPlanner()
	s := allServing(p.Fleet, 0)
	for n := range maxStepsNotApplied {
		d := p.Next(0, s, RequestNone)
		require.Equal(t, ActionBeginStep, d.Action)
		assert.EqualValues(t, n+1, d.Step.Number)
		p.Rollout = d.Rollout
		recordStep(s, d.Step, StepNotApplied)
		d = p.Next(0, s, RequestNone)
		p.Rollout = d.Rollout
	}
	assert.Equal(t, Paused, p.Rollout.State)
	assert.Equal(t, ReasonStepNeverApplied, p.Rollout.Reason.Kind)
}

func TestOperatorRequestsAreFollowedBetweenSteps(t *testing.T) {
	for wish, state := range map[OperatorRequest]State{RequestPause: Paused, RequestAbort: Aborted} {
		p := newRunningPlanner()
		s := allServing(p.Fleet, 0)
		p.Rollout = p.Next(0, s, RequestNone).Rollout
		recordStep(s, p.Rollout.CurrentStep, StepPending)
		assert.Equal(t, ActionWait, p.Next(0, s, wish).Action, "the step comes to its end first")
		recordStep(s, p.Rollout.CurrentStep, StepSucceeded)
		s[0].ReadySeconds = testTiming.SoakSeconds
		p.Rollout = p.Next(0, s, wish).Rollout
		assert.Equal(t, state, p.Next(0, s, wish).Rollout.State)
	}
	p := newRunningPlanner()
	assert.Equal(t, ActionStartRollback, p.Next(0, allServing(p.Fleet, 0), RequestRollback).Action)
}

func TestStepIsSentOnlyWhileMinimumsAllowIt(t *testing.T) {
	p := newRunningPlanner()
	s := allServing(p.Fleet, 0)
	p.Rollout = p.Next(0, s, RequestNone).Rollout
	s[1].State = ProcessDown // the other one of its zone, by itself
	d := p.Next(0, s, RequestNone)
	assert.Equal(t, ActionWait, d.Action)
	assert.Equal(t, ReasonZoneMinimum, d.Reason.Kind)
	s[1].State = ProcessReady
	d = p.Next(0, s, RequestNone)
	assert.Equal(t, ActionResendStep, d.Action)
	assert.False(t, d.Step.OnlyIfNotServing, "the minimums were checked")
	s[4].SeenAt = -5
	assert.Equal(t, ReasonAgentUnreachable, p.Next(0, s, RequestNone).Reason.Kind)
	s[4].SeenAt = 0
	s[0].State, s[1].State = ProcessDown, ProcessDown
	d = p.Next(0, s, RequestNone)
	assert.Equal(t, ActionResendStep, d.Action, "one that does not serve can only gain")
	assert.True(t, d.Step.OnlyIfNotServing, "and its agent is told that this is why")
	assert.False(t, p.Rollout.CurrentStep.OnlyIfNotServing, "of this call only: the step may be sent again with the minimums checked")
	d = p.StepRefused("full")
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
			s := allServing(f, 0)
			for i := range n / 2 {
				s[i].LastStep, s[i].LastResult = Step{RolloutID: "r", Number: 1}, StepSucceeded
			}
			p := NewPlanner(f, Rollout{ID: "r", Revision: "b", State: Running})
			for b.Loop() {
				if d := p.Next(0, s, RequestNone); d.Action != ActionBeginStep {
					b.Fatal(d.Action)
				}
			}
		})
	}
}
