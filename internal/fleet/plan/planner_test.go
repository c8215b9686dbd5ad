package plan

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "stoatdale.example/stoatdale/internal/lab/fixed"
)

var times = Timing{SoakSeconds: 2, StaleAfterSeconds: 1, ContactTimeoutSeconds: 10, StepTimeoutSeconds: 30}

// six is a fleet of three halls with two instances each, one agent an instance.
func six() *Fleet {
	f := &Fleet{ZoneMinAvailable: []int{1, 1, 1}, MinAvailable: 4, Timing: times}
	for i := range 6 {
		f.Instances = append(f.Instances, Instance{Zone: i / 2, Agent: i})
	}
	return f
}

// calm is a fleet that serves, all seen just now on revision a.
func calm(f *Fleet, now float64) []Observation {
	s := make([]Observation, len(f.Instances))
	for i := range s {
		s[i] = Observation{SeenAt: now, State: ProcessReady, Revision: "a", ReadySeconds: 100}
	}
	return s
}

func begun() *Planner { return NewPlanner(six(), Rollout{ID: "r", Revision: "b", State: Running}) }

// did has the step under way end so.
func did(s []Observation, step Step, end StepResult) {
	x := &s[step.Instance]
	if x.LastStep.RolloutID != step.RolloutID {
		x.PreviousRevision = x.Revision
	}
	x.LastStep, x.LastResult = step, end
	if end == StepSucceeded {
		x.Revision, x.State, x.ReadySeconds, x.CommandsSinceStep = step.Revision, ProcessReady, 0, CommandCounts{}
	}
}

func TestRolloutGoesOneByOneWithASoakBetween(t *testing.T) {
	p := begun()
	s := calm(p.Fleet, 0)
	for n := range 6 {
		d := p.Next(0, s, RequestNone)
		require.Equal(t, ActionBeginStep, d.Action, "%v", d.Reason)
		assert.Equal(t, n, d.Step.Instance)
		assert.EqualValues(t, n+1, d.Step.Number)
		p.Rollout = d.Rollout
		assert.Equal(t, ActionResendStep, p.Next(0, s, RequestNone).Action, "its agent has not begun it")
		did(s, d.Step, StepPending)
		assert.Equal(t, ActionWait, p.Next(0, s, RequestNone).Action)
		did(s, d.Step, StepSucceeded)
		assert.Equal(t, ActionWait, p.Next(0, s, RequestNone).Action, "the soak")
		s[n].ReadySeconds = times.SoakSeconds
		d = p.Next(0, s, RequestNone)
		require.Equal(t, ActionCompleteStep, d.Action)
		p.Rollout = d.Rollout
	}
	d := p.Next(0, s, RequestNone)
	assert.Equal(t, ActionFinish, d.Action)
	assert.Equal(t, Complete, d.Rollout.State)
}

func TestFloorsHold(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(s []Observation)
		what  Action
		says  Reason
		step  int
	}{
		"one down in a hall is done first": {func(s []Observation) { s[3].State = ProcessDown }, ActionBeginStep, Reason{}, 3},
		"its hall is passed over, others go": {func(s []Observation) {
			s[0].State = ProcessDown
			s[0].LastStep = Step{RolloutID: "r", Number: 1}
			s[0].LastResult = StepSucceeded
		}, ActionBeginStep, Reason{}, 2},
		"two down: the whole has no more":       {func(s []Observation) { down(s, 0, 2) }, ActionWait, Reason{Kind: ReasonZoneMinimum, Instance: 1, Zone: 0, Have: 0, Need: 1}, 0},
		"draining does not serve":               {func(s []Observation) { down(s, 0, 2); s[0].State = ProcessDraining }, ActionWait, Reason{Kind: ReasonZoneMinimum, Instance: 1, Zone: 0, Have: 0, Need: 1}, 0},
		"unknown life may be busy":              {func(s []Observation) { s[5].State = ProcessUnknown }, ActionWait, Reason{Kind: ReasonProcessUnknown, Instance: 5}, 0},
		"not seen for too long":                 {func(s []Observation) { s[5].SeenAt = -1.1 }, ActionWait, Reason{Kind: ReasonAgentUnreachable, Instance: 5}, 0},
		"never seen":                            {func(s []Observation) { s[5].SeenAt = math.Inf(-1) }, ActionWait, Reason{Kind: ReasonAgentUnreachable, Instance: 5}, 0},
		"a step of another rollout is resolved": {func(s []Observation) { s[4].LastStep = Step{RolloutID: "q", Number: 9} }, ActionWait, Reason{Kind: ReasonInstanceBusy, Instance: 4}, 0},
	} {
		p := begun()
		s := calm(p.Fleet, 0)
		c.spoil(s)
		d := p.Next(0, s, RequestNone)
		assert.Equal(t, c.what, d.Action, name)
		assert.Equal(t, c.says, d.Reason, name)
		if c.what == ActionBeginStep {
			assert.Equal(t, c.step, d.Step.Instance, name)
			continue
		}
		for i := range s {
			s[i].SeenAt += times.ContactTimeoutSeconds
		}
		d = p.Next(times.ContactTimeoutSeconds, s, RequestNone)
		assert.Equal(t, ActionFinish, d.Action, name)
		assert.Equal(t, Paused, d.Rollout.State, name)
		assert.Equal(t, c.says, d.Rollout.Reason, name)
	}
}

// down takes instances away that the rollout has done already, so that doing them again is no way out.
func down(s []Observation, which ...int) {
	for _, i := range which {
		s[i].State, s[i].LastStep, s[i].LastResult = ProcessDown, Step{RolloutID: "r", Number: 1}, StepSucceeded
	}
}

func TestImpossibleIsToldAtOnce(t *testing.T) {
	f := six()
	assert.Equal(t, ReasonNone, CheckFeasible(f, nil).Kind)
	f.ZoneMinAvailable[1] = 2
	assert.Equal(t, Reason{Kind: ReasonZoneMinimum, Zone: 1, Have: 1, Need: 2}, CheckFeasible(f, nil))
	f.ZoneMinAvailable[1], f.MinAvailable = 0, 6
	assert.Equal(t, Reason{Kind: ReasonFleetMinimum, Have: 5, Need: 6}, CheckFeasible(f, nil))
	f.MinAvailable = 0
	assert.Equal(t, Reason{Kind: ReasonZoneMinimum, Zone: 0, Have: 0, Need: 1}, CheckFeasible(f, []int{1}), "left out ones do not serve")
	assert.Equal(t, ReasonNothingToDo, CheckFeasible(f, []int{0, 1, 2, 3, 4, 5}).Kind)
}

func TestBadRevisionTurnsTheRolloutRound(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(x *Observation)
		kind  ReasonKind
	}{
		"the step fails":          {func(x *Observation) { x.LastResult, x.LastFailure, x.State = StepFailed, "refused", ProcessDown }, ReasonStepFailed},
		"it ends in its soak":     {func(x *Observation) { x.State = ProcessDown }, ReasonSoakFailed},
		"it keeps ending":         {func(x *Observation) { x.State = ProcessCrashLooping }, ReasonSoakFailed},
		"it leaves more commands": {func(x *Observation) { x.CommandsSinceStep = CommandCounts{Completed: 100, Unanswered: 20} }, ReasonMoreUnanswered},
	} {
		p := begun()
		s := calm(p.Fleet, 0)
		s[0].RecentCommands = CommandCounts{Completed: 1000, Unanswered: 50}
		p.Rollout = p.Next(0, s, RequestNone).Rollout
		did(s, p.Rollout.CurrentStep, StepSucceeded)
		c.spoil(&s[0])
		d := p.Next(0, s, RequestNone)
		require.Equal(t, ActionStartRollback, d.Action, name)
		assert.Equal(t, c.kind, d.Rollout.RollbackCause.Kind, name)
		p.Rollout = d.Rollout
		d = p.Next(0, s, RequestNone)
		require.Equal(t, ActionBeginStep, d.Action, name)
		assert.Equal(t, Step{RolloutID: "r", Number: 2, Instance: 0, Revision: "a", Rollback: true}, d.Step, name)
		p.Rollout = d.Rollout
		did(s, d.Step, StepSucceeded)
		s[0].ReadySeconds = times.SoakSeconds
		p.Rollout = p.Next(0, s, RequestNone).Rollout
		d = p.Next(0, s, RequestNone)
		assert.Equal(t, RolledBack, d.Rollout.State, name)
		assert.Equal(t, c.kind, d.Rollout.Reason.Kind, "the cause is still told: %s", name)
	}
}

func TestChanceIsNoWorse(t *testing.T) {
	assert.False(t, worse(CommandCounts{}, CommandCounts{Completed: 10, Unanswered: 1}))
	assert.True(t, worse(CommandCounts{}, CommandCounts{Completed: 10, Unanswered: 2}))
	assert.False(t, worse(CommandCounts{Completed: 1000, Unanswered: 100}, CommandCounts{Completed: 100, Unanswered: 19}))
	assert.True(t, worse(CommandCounts{Completed: 1000, Unanswered: 100}, CommandCounts{Completed: 100, Unanswered: 21}))
	assert.False(t, worse(CommandCounts{Completed: 10, Unanswered: 10}, CommandCounts{Completed: 10, Unanswered: 10}))
}

func TestWayBackThatFailsPauses(t *testing.T) {
	p := begun()
	p.Rollout.RollingBack = true
	s := calm(p.Fleet, 0)
	did(s, Step{RolloutID: "r", Number: 1, Instance: 2, Revision: "b"}, StepSucceeded)
	p.Rollout = p.Next(0, s, RequestNone).Rollout
	assert.Equal(t, 2, p.Rollout.CurrentStep.Instance, "only what was touched goes back")
	did(s, p.Rollout.CurrentStep, StepFailed)
	d := p.Next(0, s, RequestNone)
	assert.Equal(t, Paused, d.Rollout.State)
	assert.Equal(t, ReasonCannotRollBack, d.Reason.Kind)
	s[2].PreviousRevision, s[2].LastResult = "", StepSucceeded
	s[2].LastStep.Rollback = false
	p = begun()
	p.Rollout.RollingBack = true
	assert.Equal(t, ReasonCannotRollBack, p.Next(0, s, RequestNone).Reason.Kind, "nothing ran before")
}

func TestUnresolvedStepHoldsAllElseUntilItIsLeftOut(t *testing.T) {
	p := begun()
	s := calm(p.Fleet, 0)
	p.Rollout = p.Next(0, s, RequestNone).Rollout
	s[0].SeenAt = -5
	assert.Equal(t, ActionWait, p.Next(0, s, RequestNone).Action)
	for i := range s {
		s[i].SeenAt += times.ContactTimeoutSeconds
	}
	d := p.Next(times.ContactTimeoutSeconds, s, RequestNone)
	assert.Equal(t, Paused, d.Rollout.State)
	assert.Equal(t, Reason{Kind: ReasonAgentUnreachable, Instance: 0}, d.Rollout.Reason)
	assert.NotZero(t, d.Rollout.CurrentStep.Number, "the step stays on record")
	p = NewPlanner(p.Fleet, d.Rollout)
	p.Rollout.State, p.Rollout.ExcludedInstances = Running, []int{0}
	d = p.Next(20, calm(p.Fleet, 20), RequestNone)
	require.Equal(t, ActionCompleteStep, d.Action)
	p.Rollout = d.Rollout
	assert.Equal(t, 1, p.Next(20, calm(p.Fleet, 20), RequestNone).Step.Instance)
}

func TestAgentThatDiesBeforeItActsIsTriedAgainThreeTimes(t *testing.T) {
	p := begun()
	s := calm(p.Fleet, 0)
	for n := range undoneTries {
		d := p.Next(0, s, RequestNone)
		require.Equal(t, ActionBeginStep, d.Action)
		assert.EqualValues(t, n+1, d.Step.Number)
		p.Rollout = d.Rollout
		did(s, d.Step, StepNotApplied)
		d = p.Next(0, s, RequestNone)
		p.Rollout = d.Rollout
	}
	assert.Equal(t, Paused, p.Rollout.State)
	assert.Equal(t, ReasonStepNeverApplied, p.Rollout.Reason.Kind)
}

func TestWishesAreHeardBetweenSteps(t *testing.T) {
	for wish, state := range map[OperatorRequest]State{RequestPause: Paused, RequestAbort: Aborted} {
		p := begun()
		s := calm(p.Fleet, 0)
		p.Rollout = p.Next(0, s, RequestNone).Rollout
		did(s, p.Rollout.CurrentStep, StepPending)
		assert.Equal(t, ActionWait, p.Next(0, s, wish).Action, "the step comes to its end first")
		did(s, p.Rollout.CurrentStep, StepSucceeded)
		s[0].ReadySeconds = times.SoakSeconds
		p.Rollout = p.Next(0, s, wish).Rollout
		assert.Equal(t, state, p.Next(0, s, wish).Rollout.State)
	}
	p := begun()
	assert.Equal(t, ActionStartRollback, p.Next(0, calm(p.Fleet, 0), RequestRollback).Action)
}

// TestNoOrderOfEventsBreaksFloorOrOneAtATime plays rollouts in a world where instances end by themselves,
// agents fall silent and come back, steps end well, badly or not at all, and tools are taken over.
func TestNoOrderOfEventsBreaksFloorOrOneAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &Fleet{Timing: times, MinAvailable: rapid.IntRange(0, 5).Draw(t, "floor")}
		for h := range rapid.IntRange(1, 3).Draw(t, "halls") {
			f.ZoneMinAvailable = append(f.ZoneMinAvailable, rapid.IntRange(0, 2).Draw(t, "hall floor"))
			for range rapid.IntRange(1, 4).Draw(t, "instances") {
				f.Instances = append(f.Instances, Instance{Zone: h, Agent: len(f.Instances)})
			}
		}
		now := 0.0
		world, seen := calm(f, 0), calm(f, 0)
		silent := make([]bool, len(world))
		p := NewPlanner(f, Rollout{ID: "r", Revision: "b", State: Running})
		pick := rapid.IntRange(0, len(world)-1)
		for range rapid.IntRange(1, 120).Draw(t, "turns") {
			now += rapid.Float64Range(0, 3).Draw(t, "passes")
			x := &world[pick.Draw(t, "which")]
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0:
				x.State = ProcessDown // by itself
			case 1:
				silent[pick.Draw(t, "silent")] = true
			case 2, 3:
				clear(silent)
			case 4:
				p = NewPlanner(f, p.Rollout) // another tool takes it up
			case 5, 6:
				if x.LastStep.Number != 0 && x.LastResult == StepPending {
					did(world, x.LastStep, StepResult(rapid.IntRange(1, 3).Draw(t, "end")))
					if x.LastResult == StepNotApplied {
						x.State = ProcessReady
					}
				}
			default:
				if x.State == ProcessDown {
					x.State = ProcessReady
				}
			}
			for i := range world {
				world[i].ReadySeconds += 1
				if !silent[i] {
					seen[i] = world[i]
					seen[i].SeenAt = now
				}
			}
			d := p.Next(now, seen, RequestNone)
			if d.Action == ActionBeginStep {
				i := d.Step.Instance
				open := 0
				for j := range world {
					if world[j].LastStep.Number != 0 && world[j].LastResult == StepPending {
						open++
					}
				}
				assert.Zero(t, open, "a step is open elsewhere")
				gains := seen[i].State != ProcessReady
				here, whole := 0, 0
				for j := range seen {
					if j != i && now-seen[j].SeenAt <= times.StaleAfterSeconds && seen[j].State == ProcessReady {
						whole++
						if f.Instances[j].Zone == f.Instances[i].Zone {
							here++
						}
					}
				}
				assert.True(t, gains || here >= f.ZoneMinAvailable[f.Instances[i].Zone] && whole >= f.MinAvailable, "under a floor")
				did(world, d.Step, StepPending)
				world[i].State = ProcessDraining
			}
			if d.Action != ActionWait && d.Action != ActionResendStep {
				p.Rollout = d.Rollout
			}
			if d.Action == ActionFinish && d.Rollout.State == Paused {
				p.Rollout.State = Running // resumed
			}
			if d.Action == ActionFinish && d.Rollout.State == Complete {
				for j := range world {
					assert.Equal(t, "b", world[j].Revision)
				}
			}
			if p.Rollout.State.Terminal() {
				return
			}
		}
	})
}

func BenchmarkNext(b *testing.B) {
	for _, n := range []int{20, 200, 2000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := &Fleet{ZoneMinAvailable: make([]int, 10), MinAvailable: n / 2, Timing: times}
			for i := range n {
				f.Instances = append(f.Instances, Instance{Zone: i * 10 / n})
			}
			s := calm(f, 0)
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

func TestStepIsSentOnlyWhileItMayBe(t *testing.T) {
	p := begun()
	s := calm(p.Fleet, 0)
	p.Rollout = p.Next(0, s, RequestNone).Rollout
	s[1].State = ProcessDown // the other one of its hall, by itself
	d := p.Next(0, s, RequestNone)
	assert.Equal(t, ActionWait, d.Action)
	assert.Equal(t, ReasonZoneMinimum, d.Reason.Kind)
	s[1].State = ProcessReady
	d = p.Next(0, s, RequestNone)
	assert.Equal(t, ActionResendStep, d.Action)
	assert.False(t, d.Step.OnlyIfNotServing, "the floors were asked")
	s[4].SeenAt = -5
	assert.Equal(t, ReasonAgentUnreachable, p.Next(0, s, RequestNone).Reason.Kind)
	s[4].SeenAt = 0
	s[0].State, s[1].State = ProcessDown, ProcessDown
	d = p.Next(0, s, RequestNone)
	assert.Equal(t, ActionResendStep, d.Action, "one that does not serve can only gain")
	assert.True(t, d.Step.OnlyIfNotServing, "and its agent is told that this is why")
	assert.False(t, p.Rollout.CurrentStep.OnlyIfNotServing, "of this call only: the step may be sent again with the floors asked")
	d = p.StepRefused("full")
	assert.Equal(t, Reason{Kind: ReasonStepRefused, Detail: "full"}, d.Rollout.Reason)
	assert.NotZero(t, d.Rollout.CurrentStep.Number)
}
