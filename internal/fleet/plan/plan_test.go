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

var times = Times{Soak: 2, Fresh: 1, Contact: 10, Step: 30}

// six is a fleet of three halls with two instances each, one agent an instance.
func six() *Fleet {
	f := &Fleet{Halls: []int{1, 1, 1}, Floor: 4, Times: times}
	for i := range 6 {
		f.Instances = append(f.Instances, Instance{Hall: i / 2, Agent: i})
	}
	return f
}

// calm is a fleet that serves, all seen just now on revision a.
func calm(f *Fleet, now float64) []Sight {
	s := make([]Sight, len(f.Instances))
	for i := range s {
		s[i] = Sight{Seen: now, Life: Ready, Revision: "a", ReadyFor: 100}
	}
	return s
}

func begun() *Planner { return NewPlanner(six(), Rollout{ID: "r", Revision: "b", State: Running}) }

// did has the step under way end so.
func did(s []Sight, step Step, end End) {
	x := &s[step.Instance]
	if x.Last.Rollout != step.Rollout {
		x.Before = x.Revision
	}
	x.Last, x.End = step, end
	if end == Done {
		x.Revision, x.Life, x.ReadyFor, x.Since = step.Revision, Ready, 0, Tally{}
	}
}

func TestRolloutGoesOneByOneWithASoakBetween(t *testing.T) {
	p := begun()
	s := calm(p.Fleet, 0)
	for n := range 6 {
		d := p.Next(0, s, Nothing)
		require.Equal(t, Begin, d.What, "%v", d.Why)
		assert.Equal(t, n, d.Step.Instance)
		assert.EqualValues(t, n+1, d.Step.Number)
		p.Rollout = d.Rollout
		assert.Equal(t, Repeat, p.Next(0, s, Nothing).What, "its agent has not begun it")
		did(s, d.Step, Open)
		assert.Equal(t, Wait, p.Next(0, s, Nothing).What)
		did(s, d.Step, Done)
		assert.Equal(t, Wait, p.Next(0, s, Nothing).What, "the soak")
		s[n].ReadyFor = times.Soak
		d = p.Next(0, s, Nothing)
		require.Equal(t, Settle, d.What)
		p.Rollout = d.Rollout
	}
	d := p.Next(0, s, Nothing)
	assert.Equal(t, Finish, d.What)
	assert.Equal(t, Complete, d.Rollout.State)
}

func TestFloorsHold(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(s []Sight)
		what  What
		says  Reason
		step  int
	}{
		"one down in a hall is done first":      {func(s []Sight) { s[3].Life = Down }, Begin, Reason{}, 3},
		"its hall is passed over, others go":    {func(s []Sight) { s[0].Life = Down; s[0].Last = Step{Rollout: "r", Number: 1}; s[0].End = Done }, Begin, Reason{}, 2},
		"two down: the whole has no more":       {func(s []Sight) { down(s, 0, 2) }, Wait, Reason{Kind: HallFloor, Instance: 1, Hall: 0, Have: 0, Need: 1}, 0},
		"draining does not serve":               {func(s []Sight) { down(s, 0, 2); s[0].Life = Draining }, Wait, Reason{Kind: HallFloor, Instance: 1, Hall: 0, Have: 0, Need: 1}, 0},
		"unknown life may be busy":              {func(s []Sight) { s[5].Life = Unknown }, Wait, Reason{Kind: UnknownLife, Instance: 5}, 0},
		"not seen for too long":                 {func(s []Sight) { s[5].Seen = -1.1 }, Wait, Reason{Kind: Unheard, Instance: 5}, 0},
		"never seen":                            {func(s []Sight) { s[5].Seen = math.Inf(-1) }, Wait, Reason{Kind: Unheard, Instance: 5}, 0},
		"a step of another rollout is resolved": {func(s []Sight) { s[4].Last = Step{Rollout: "q", Number: 9} }, Wait, Reason{Kind: Busy, Instance: 4}, 0},
	} {
		p := begun()
		s := calm(p.Fleet, 0)
		c.spoil(s)
		d := p.Next(0, s, Nothing)
		assert.Equal(t, c.what, d.What, name)
		assert.Equal(t, c.says, d.Why, name)
		if c.what == Begin {
			assert.Equal(t, c.step, d.Step.Instance, name)
			continue
		}
		for i := range s {
			s[i].Seen += times.Contact
		}
		d = p.Next(times.Contact, s, Nothing)
		assert.Equal(t, Finish, d.What, name)
		assert.Equal(t, Paused, d.Rollout.State, name)
		assert.Equal(t, c.says, d.Rollout.Why, name)
	}
}

// down takes instances away that the rollout has done already, so that doing them again is no way out.
func down(s []Sight, which ...int) {
	for _, i := range which {
		s[i].Life, s[i].Last, s[i].End = Down, Step{Rollout: "r", Number: 1}, Done
	}
}

func TestImpossibleIsToldAtOnce(t *testing.T) {
	f := six()
	assert.Equal(t, NoReason, Possible(f, nil).Kind)
	f.Halls[1] = 2
	assert.Equal(t, Reason{Kind: HallFloor, Hall: 1, Have: 1, Need: 2}, Possible(f, nil))
	f.Halls[1], f.Floor = 0, 6
	assert.Equal(t, Reason{Kind: WholeFloor, Have: 5, Need: 6}, Possible(f, nil))
	f.Floor = 0
	assert.Equal(t, Reason{Kind: HallFloor, Hall: 0, Have: 0, Need: 1}, Possible(f, []int{1}), "left out ones do not serve")
	assert.Equal(t, NothingToDo, Possible(f, []int{0, 1, 2, 3, 4, 5}).Kind)
}

func TestBadRevisionTurnsTheRolloutRound(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(x *Sight)
		kind  Kind
	}{
		"the step fails":          {func(x *Sight) { x.End, x.Why, x.Life = Failed, "refused", Down }, StepFailed},
		"it ends in its soak":     {func(x *Sight) { x.Life = Down }, SoakFailed},
		"it keeps ending":         {func(x *Sight) { x.Life = Broken }, SoakFailed},
		"it leaves more commands": {func(x *Sight) { x.Since = Tally{Ended: 100, Unanswered: 20} }, SoakWorse},
	} {
		p := begun()
		s := calm(p.Fleet, 0)
		s[0].Recent = Tally{Ended: 1000, Unanswered: 50}
		p.Rollout = p.Next(0, s, Nothing).Rollout
		did(s, p.Rollout.Step, Done)
		c.spoil(&s[0])
		d := p.Next(0, s, Nothing)
		require.Equal(t, Turn, d.What, name)
		assert.Equal(t, c.kind, d.Rollout.Cause.Kind, name)
		p.Rollout = d.Rollout
		d = p.Next(0, s, Nothing)
		require.Equal(t, Begin, d.What, name)
		assert.Equal(t, Step{Rollout: "r", Number: 2, Instance: 0, Revision: "a", Back: true}, d.Step, name)
		p.Rollout = d.Rollout
		did(s, d.Step, Done)
		s[0].ReadyFor = times.Soak
		p.Rollout = p.Next(0, s, Nothing).Rollout
		d = p.Next(0, s, Nothing)
		assert.Equal(t, RolledBack, d.Rollout.State, name)
		assert.Equal(t, c.kind, d.Rollout.Why.Kind, "the cause is still told: %s", name)
	}
}

func TestChanceIsNoWorse(t *testing.T) {
	assert.False(t, worse(Tally{}, Tally{Ended: 10, Unanswered: 1}))
	assert.True(t, worse(Tally{}, Tally{Ended: 10, Unanswered: 2}))
	assert.False(t, worse(Tally{Ended: 1000, Unanswered: 100}, Tally{Ended: 100, Unanswered: 19}))
	assert.True(t, worse(Tally{Ended: 1000, Unanswered: 100}, Tally{Ended: 100, Unanswered: 21}))
	assert.False(t, worse(Tally{Ended: 10, Unanswered: 10}, Tally{Ended: 10, Unanswered: 10}))
}

func TestWayBackThatFailsPauses(t *testing.T) {
	p := begun()
	p.Rollout.Back = true
	s := calm(p.Fleet, 0)
	did(s, Step{Rollout: "r", Number: 1, Instance: 2, Revision: "b"}, Done)
	p.Rollout = p.Next(0, s, Nothing).Rollout
	assert.Equal(t, 2, p.Rollout.Step.Instance, "only what was touched goes back")
	did(s, p.Rollout.Step, Failed)
	d := p.Next(0, s, Nothing)
	assert.Equal(t, Paused, d.Rollout.State)
	assert.Equal(t, CannotGoBack, d.Why.Kind)
	s[2].Before, s[2].End = "", Done
	s[2].Last.Back = false
	p = begun()
	p.Rollout.Back = true
	assert.Equal(t, CannotGoBack, p.Next(0, s, Nothing).Why.Kind, "nothing ran before")
}

func TestUnresolvedStepHoldsAllElseUntilItIsLeftOut(t *testing.T) {
	p := begun()
	s := calm(p.Fleet, 0)
	p.Rollout = p.Next(0, s, Nothing).Rollout
	s[0].Seen = -5
	assert.Equal(t, Wait, p.Next(0, s, Nothing).What)
	for i := range s {
		s[i].Seen += times.Contact
	}
	d := p.Next(times.Contact, s, Nothing)
	assert.Equal(t, Paused, d.Rollout.State)
	assert.Equal(t, Reason{Kind: Unheard, Instance: 0}, d.Rollout.Why)
	assert.NotZero(t, d.Rollout.Step.Number, "the step stays on record")
	p = NewPlanner(p.Fleet, d.Rollout)
	p.Rollout.State, p.Rollout.Out = Running, []int{0}
	d = p.Next(20, calm(p.Fleet, 20), Nothing)
	require.Equal(t, Settle, d.What)
	p.Rollout = d.Rollout
	assert.Equal(t, 1, p.Next(20, calm(p.Fleet, 20), Nothing).Step.Instance)
}

func TestAgentThatDiesBeforeItActsIsTriedAgainThreeTimes(t *testing.T) {
	p := begun()
	s := calm(p.Fleet, 0)
	for n := range undoneTries {
		d := p.Next(0, s, Nothing)
		require.Equal(t, Begin, d.What)
		assert.EqualValues(t, n+1, d.Step.Number)
		p.Rollout = d.Rollout
		did(s, d.Step, Undone)
		d = p.Next(0, s, Nothing)
		p.Rollout = d.Rollout
	}
	assert.Equal(t, Paused, p.Rollout.State)
	assert.Equal(t, KeepsDying, p.Rollout.Why.Kind)
}

func TestWishesAreHeardBetweenSteps(t *testing.T) {
	for wish, state := range map[Wish]State{Pause: Paused, Abort: Aborted} {
		p := begun()
		s := calm(p.Fleet, 0)
		p.Rollout = p.Next(0, s, Nothing).Rollout
		did(s, p.Rollout.Step, Open)
		assert.Equal(t, Wait, p.Next(0, s, wish).What, "the step comes to its end first")
		did(s, p.Rollout.Step, Done)
		s[0].ReadyFor = times.Soak
		p.Rollout = p.Next(0, s, wish).Rollout
		assert.Equal(t, state, p.Next(0, s, wish).Rollout.State)
	}
	p := begun()
	assert.Equal(t, Turn, p.Next(0, calm(p.Fleet, 0), Rollback).What)
}

// TestNoOrderOfEventsBreaksFloorOrOneAtATime plays rollouts in a world where instances end by themselves,
// agents fall silent and come back, steps end well, badly or not at all, and tools are taken over.
func TestNoOrderOfEventsBreaksFloorOrOneAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &Fleet{Times: times, Floor: rapid.IntRange(0, 5).Draw(t, "floor")}
		for h := range rapid.IntRange(1, 3).Draw(t, "halls") {
			f.Halls = append(f.Halls, rapid.IntRange(0, 2).Draw(t, "hall floor"))
			for range rapid.IntRange(1, 4).Draw(t, "instances") {
				f.Instances = append(f.Instances, Instance{Hall: h, Agent: len(f.Instances)})
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
				x.Life = Down // by itself
			case 1:
				silent[pick.Draw(t, "silent")] = true
			case 2, 3:
				clear(silent)
			case 4:
				p = NewPlanner(f, p.Rollout) // another tool takes it up
			case 5, 6:
				if x.Last.Number != 0 && x.End == Open {
					did(world, x.Last, End(rapid.IntRange(1, 3).Draw(t, "end")))
					if x.End == Undone {
						x.Life = Ready
					}
				}
			default:
				if x.Life == Down {
					x.Life = Ready
				}
			}
			for i := range world {
				world[i].ReadyFor += 1
				if !silent[i] {
					seen[i] = world[i]
					seen[i].Seen = now
				}
			}
			d := p.Next(now, seen, Nothing)
			if d.What == Begin {
				i := d.Step.Instance
				open := 0
				for j := range world {
					if world[j].Last.Number != 0 && world[j].End == Open {
						open++
					}
				}
				assert.Zero(t, open, "a step is open elsewhere")
				gains := seen[i].Life != Ready
				here, whole := 0, 0
				for j := range seen {
					if j != i && now-seen[j].Seen <= times.Fresh && seen[j].Life == Ready {
						whole++
						if f.Instances[j].Hall == f.Instances[i].Hall {
							here++
						}
					}
				}
				assert.True(t, gains || here >= f.Halls[f.Instances[i].Hall] && whole >= f.Floor, "under a floor")
				did(world, d.Step, Open)
				world[i].Life = Draining
			}
			if d.What != Wait && d.What != Repeat {
				p.Rollout = d.Rollout
			}
			if d.What == Finish && d.Rollout.State == Paused {
				p.Rollout.State = Running // resumed
			}
			if d.What == Finish && d.Rollout.State == Complete {
				for j := range world {
					assert.Equal(t, "b", world[j].Revision)
				}
			}
			if p.Rollout.State.Over() {
				return
			}
		}
	})
}

func BenchmarkNext(b *testing.B) {
	for _, n := range []int{20, 200, 2000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := &Fleet{Halls: make([]int, 10), Floor: n / 2, Times: times}
			for i := range n {
				f.Instances = append(f.Instances, Instance{Hall: i * 10 / n})
			}
			s := calm(f, 0)
			for i := range n / 2 {
				s[i].Last, s[i].End = Step{Rollout: "r", Number: 1}, Done
			}
			p := NewPlanner(f, Rollout{ID: "r", Revision: "b", State: Running})
			for b.Loop() {
				if d := p.Next(0, s, Nothing); d.What != Begin {
					b.Fatal(d.What)
				}
			}
		})
	}
}

func TestStepIsSentOnlyWhileItMayBe(t *testing.T) {
	p := begun()
	s := calm(p.Fleet, 0)
	p.Rollout = p.Next(0, s, Nothing).Rollout
	s[1].Life = Down // the other one of its hall, by itself
	d := p.Next(0, s, Nothing)
	assert.Equal(t, Wait, d.What)
	assert.Equal(t, HallFloor, d.Why.Kind)
	s[1].Life = Ready
	d = p.Next(0, s, Nothing)
	assert.Equal(t, Repeat, d.What)
	assert.False(t, d.Step.Idle, "the floors were asked")
	s[4].Seen = -5
	assert.Equal(t, Unheard, p.Next(0, s, Nothing).Why.Kind)
	s[4].Seen = 0
	s[0].Life, s[1].Life = Down, Down
	d = p.Next(0, s, Nothing)
	assert.Equal(t, Repeat, d.What, "one that does not serve can only gain")
	assert.True(t, d.Step.Idle, "and its agent is told that this is why")
	assert.False(t, p.Rollout.Step.Idle, "of this call only: the step may be sent again with the floors asked")
	d = p.Refused("full")
	assert.Equal(t, Reason{Kind: Refused, Detail: "full"}, d.Rollout.Why)
	assert.NotZero(t, d.Rollout.Step.Number)
}
