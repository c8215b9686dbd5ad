package tend

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
	_ "stoatdale.example/stoatdale/internal/lab/fixed"
)

// world plays what lies outside: one file, at most one process, a store, all in virtual time. Acts take
// effect at once and their outcomes are queued, so that an agent may die between the two.
type world struct {
	t       require.TestingT
	limits  Limits
	x       Instance
	stored  Record
	now     float64
	file    string
	bad     map[string]string // revisions, and what becomes of them: refused, exits, silent
	process struct {
		runs        bool
		mark        uint64
		file        string
		terminating bool
		stubborn    bool // it must be killed
	}
	queue   []func() Out
	storing func() bool // whether storing works
	acts    []Act
	served  int // terms sent to a process that served
}

func newWorld(t require.TestingT) *world {
	w := &world{t: t, limits: DefaultLimits(), storing: func() bool { return true }, bad: map[string]string{}}
	w.birth()
	return w
}

// birth starts the agent anew: what was not stored is lost, what was under way is not heard of again.
func (w *world) birth() {
	w.queue = nil
	var out Out
	w.x, out = NewInstance(w.stored, &w.limits)
	w.carry(out, nil)
}

// take hands an event in; if it cannot be stored it has not happened and comes again.
func (w *world) take(event func() Out) {
	before := w.x
	out := event()
	if out.Store && !w.storing() {
		w.x = before
		w.queue = append(w.queue, event)
		return
	}
	w.carry(out, nil)
}

func (w *world) carry(out Out, cut func(Act) bool) {
	if out.Store {
		w.stored = w.x.Record
	}
	for _, e := range out.Do {
		w.acts = append(w.acts, e.Act)
		w.do(e)
		if cut != nil && cut(e.Act) {
			return
		}
	}
}

func (w *world) later(event func() Out) { w.queue = append(w.queue, event) }

func (w *world) do(e Effect) {
	p := &w.process
	switch e.Act {
	case Find:
		running := p.runs && p.mark == e.Mark
		w.later(func() Out { return w.x.Found(w.now, running) })
	case Prepare:
		fault := ""
		if w.bad[e.Revision] == "refused" {
			fault = "refused by the reader"
		}
		w.later(func() Out { return w.x.Prepared(w.now, e.Revision[0] == 'r', 5, fault) })
	case Place:
		w.file = e.Revision
		w.later(func() Out { return w.x.Placed(w.now, "") })
	case Start:
		require.False(w.t, p.runs, "a second process is started")
		p.runs, p.mark, p.file, p.terminating = true, e.Mark, w.file, false
		w.later(func() Out { return w.x.Started(w.now, e.Mark, "") })
		if w.bad[w.file] == "exits" {
			w.exit()
		}
	case Probe:
		ok := p.runs && !p.terminating && w.bad[p.file] != "silent"
		w.later(func() Out { return w.x.Probed(w.now, ok) })
	case Term:
		if !p.stubborn {
			p.terminating = true
		}
	case Kill:
		w.exit()
	case Hup:
		p.file = w.file
		w.later(func() Out { return w.x.Reloaded(w.now, "") })
	}
}

func (w *world) exit() {
	if w.process.runs {
		w.process.runs, w.process.terminating = false, false
		w.later(func() Out { return w.x.Exited(w.now, "status 1") })
	}
}

// run lets time pass until what is under way has come to rest.
func (w *world) run(seconds float64) {
	for end := w.now + seconds; w.now < end; {
		for len(w.queue) > 0 {
			e := w.queue[0]
			w.queue = w.queue[1:]
			w.take(e)
			if !w.storing() {
				break
			}
		}
		if w.process.runs && w.process.terminating {
			w.exit()
			continue
		}
		w.now += 0.05
		if w.now >= w.x.Wake() {
			w.take(func() Out { return w.x.Tick(w.now) })
		}
	}
}

func (w *world) step(n uint64, revision string) string {
	before := w.x
	out, fault := w.x.Begin(w.now, plan.Step{Rollout: "roll", Number: n, Revision: revision})
	if out.Store && !w.storing() {
		w.x = before
		return "not stored"
	}
	w.carry(out, nil)
	return fault
}

// serving is a world whose router serves revision a.
func serving(t require.TestingT) *world {
	w := newWorld(t)
	w.run(1)
	w.step(1, "a")
	w.run(3)
	require.Equal(t, plan.Done, w.x.End, w.x.Why)
	require.Equal(t, plan.Ready, w.x.life)
	w.acts = nil
	return w
}

func TestStepRestartsAndReloadReloads(t *testing.T) {
	w := serving(t)
	assert.Empty(t, w.step(2, "b"))
	assert.Empty(t, w.step(2, "b"), "a repeat")
	assert.Contains(t, w.step(1, "a"), "comes after")
	assert.Contains(t, w.step(3, "c"), "under way")
	w.run(3)
	assert.Equal(t, plan.Done, w.x.End)
	assert.Equal(t, "b", w.process.file)
	assert.Contains(t, w.acts, Term)
	w.acts = nil
	assert.Empty(t, w.step(3, "reloaded"))
	w.run(3)
	assert.Equal(t, plan.Done, w.x.End)
	assert.Equal(t, "reloaded", w.process.file)
	assert.NotContains(t, w.acts, Term)
	w.acts = nil
	assert.Empty(t, w.step(4, "reloaded"))
	assert.Equal(t, plan.Done, w.x.End, "it runs that already")
	assert.NotContains(t, w.acts, Prepare)
	assert.Equal(t, "", w.x.Sight(w.now).Before)
}

// An agent that starts again finds its router running and has yet to hear whether it serves.
func TestRouterFoundRunningIsUnknownUntilItWasAsked(t *testing.T) {
	w := serving(t)
	w.birth()
	w.take(w.queue[0]) // Found
	assert.Equal(t, plan.Unknown, w.x.Sight(w.now).Life, "it may serve")
	assert.Contains(t, w.step(2, "b"), "does not know its routers yet")
	w.queue = w.queue[1:]
	w.run(1)
	assert.Equal(t, plan.Ready, w.x.Sight(w.now).Life)
	assert.Empty(t, w.step(2, "b"))

	w = serving(t)
	w.bad["a"] = "silent"
	w.birth()
	w.run(float64(w.limits.Misses-2) * w.limits.Probe)
	assert.Equal(t, plan.Unknown, w.x.Sight(w.now).Life, "an answer may be late")
	w.run(3 * w.limits.Probe)
	assert.Equal(t, plan.Starting, w.x.Sight(w.now).Life, "and one that does not answer does not serve")
	assert.Empty(t, w.step(2, "b"))
}

// A step that asked no floor leaves a router alone that serves by the time it comes.
func TestStepForAnIdleRouterLeavesOneThatServes(t *testing.T) {
	idle := func(w *world, n uint64) {
		out, fault := w.x.Begin(w.now, plan.Step{Rollout: "roll", Number: n, Revision: "b", Idle: true})
		assert.Empty(t, fault)
		w.carry(out, nil)
	}
	w := serving(t)
	idle(w, 2)
	w.run(3)
	assert.Equal(t, plan.Undone, w.x.End)
	assert.Equal(t, cameUp, w.x.Why)
	assert.NotContains(t, w.acts, Term)
	assert.Equal(t, "a", w.x.Revision)
	assert.Equal(t, plan.Ready, w.x.life)

	w.exit() // and it is started again: the step comes while the first probe is out
	next := func() {
		event := w.queue[0]
		w.queue = w.queue[1:]
		w.take(event)
	}
	next() // Exited
	w.now = w.x.Wake()
	w.take(func() Out { return w.x.Tick(w.now) })
	next() // Started
	require.Equal(t, coming, w.x.phase)
	w.acts = nil
	idle(w, 3)
	w.run(3)
	assert.Equal(t, plan.Undone, w.x.End)
	assert.NotContains(t, w.acts, Term)

	w.exit()
	for len(w.queue) > 0 {
		next()
	}
	require.Equal(t, plan.Down, w.x.life)
	idle(w, 4)
	w.run(3)
	assert.Equal(t, plan.Done, w.x.End, "one that does not serve is changed")
	assert.Equal(t, "b", w.process.file)
}

func TestBadRevisions(t *testing.T) {
	for kind, says := range map[string]string{
		"refused": "refused by the reader", "exits": "ended before it was ready",
		"silent": "not ready within",
	} {
		w := serving(t)
		w.bad["b"] = kind
		w.step(2, "b")
		w.run(15)
		assert.Equal(t, plan.Failed, w.x.End, kind)
		assert.Contains(t, w.x.Why, says)
		assert.Equal(t, kind == "refused", w.x.life == plan.Ready, kind)
		assert.Empty(t, w.step(3, "a"), "the way back")
		w.run(10)
		assert.Equal(t, plan.Done, w.x.End, kind)
		assert.Equal(t, "a", w.process.file)
	}
}

func TestCrashLoopIsToldAndNotFed(t *testing.T) {
	w := serving(t)
	w.bad["a"] = "exits"
	w.exit()
	w.run(300)
	starts := 0
	for _, a := range w.acts {
		if a == Start {
			starts++
		}
	}
	assert.Equal(t, w.limits.Crashes, starts)
	assert.Equal(t, plan.Broken, w.x.life)
	assert.Equal(t, math.Inf(1), w.x.Wake())
	w.bad["a"] = ""
	assert.Empty(t, w.step(2, "b"), "a step begins anew")
	w.run(3)
	assert.Equal(t, plan.Ready, w.x.life)
}

func TestRouterThatServedCalmlyIsStartedAtOnceEachTime(t *testing.T) {
	w := serving(t)
	for range 20 {
		w.run(w.limits.Calm + 1)
		w.exit()
		w.run(2)
		require.Equal(t, plan.Ready, w.x.life)
		assert.LessOrEqual(t, w.x.Crashes(), 1)
	}
}

func TestHangingRouterIsKilledAfterItsDrainOnly(t *testing.T) {
	w := serving(t)
	w.process.stubborn = true
	w.step(2, "b")
	w.run(4.5)
	assert.NotContains(t, w.acts, Kill)
	w.run(2)
	assert.Contains(t, w.acts, Kill)
	w.run(3)
	assert.Equal(t, plan.Done, w.x.End)
}

func TestSilentRouterNoLongerCountsAsReady(t *testing.T) {
	w := serving(t)
	w.bad["a"] = "silent"
	w.run(15)
	assert.Equal(t, plan.Starting, w.x.life)
	assert.True(t, w.process.runs, "it is left to the operator")
	w.bad["a"] = ""
	w.run(2)
	assert.Equal(t, plan.Ready, w.x.life)
}

// TestAgentThatDiesAtAnyActResolvesItsStep kills the agent after each act of a step, before its outcome is
// heard, and once before anything was done.
func TestAgentThatDiesAtAnyActResolvesItsStep(t *testing.T) {
	for _, revision := range []string{"b", "reloaded"} {
		for _, after := range []Act{Prepare, Term, Place, Start, Hup, Probe} {
			for _, away := range []float64{0, 20} {
				w := serving(t)
				died := false
				w.step(2, revision)
				for n := 0; n < 400 && !died; n++ {
					if len(w.queue) == 0 {
						if w.process.runs && w.process.terminating {
							w.exit()
						}
						w.now += 0.05
						continue
					}
					e := w.queue[0]
					w.queue = w.queue[1:]
					w.carry(e(), func(a Act) bool { died = a == after; return died })
					if !died && w.x.End != plan.Open {
						break
					}
				}
				if !died {
					continue // this way of step has no such act
				}
				before := w.process.runs && !w.process.terminating
				w.queue = nil
				w.now += away
				if away > 0 && w.process.terminating {
					w.process.runs, w.process.terminating = false, false
				}
				w.acts = nil
				w.birth()
				w.run(20)
				name := fmt.Sprint(revision, " ", after, " ", away)
				assert.NotEqual(t, plan.Open, w.x.End, name)
				assert.NotEqual(t, plan.Failed, w.x.End, name)
				assert.Equal(t, plan.Ready, w.x.life, name)
				want := "a"
				if w.x.End == plan.Done {
					want = revision
				}
				assert.Equal(t, want, w.process.file, name)
				if before {
					assert.NotContains(t, w.acts, Term, "a router that serves is left alone: %s", name)
				}
			}
		}
	}
}

func TestAgentThatDiesBetweenStoringAndTermUndoesTheStep(t *testing.T) {
	w := serving(t)
	w.step(2, "b")
	out := w.queue[len(w.queue)-1]() // prepared: stored, and the agent dies before Term
	require.Equal(t, Term, out.Do[0].Act)
	w.stored = w.x.Record
	w.birth()
	w.run(10)
	assert.Equal(t, plan.Undone, w.x.End)
	assert.Equal(t, "a", w.process.file)
	assert.EqualValues(t, 1, w.process.mark, "the same process")
}

func TestStoreThatFailsHoldsTheStepUp(t *testing.T) {
	w := serving(t)
	works := false
	w.storing = func() bool { return works }
	assert.Equal(t, "not stored", w.step(2, "b"))
	assert.Equal(t, plan.Done, w.x.End)
	works = true
	w.step(2, "b")
	works = false
	w.run(5)
	assert.Equal(t, plan.Open, w.x.End)
	assert.Equal(t, "a", w.process.file, "nothing is touched that was not stored")
	works = true
	w.run(5)
	assert.Equal(t, plan.Done, w.x.End)
}

// TestWhateverHappensThereIsOneProcessAndAnEnd mixes steps, crashes, agents that die and stores that fail.
func TestWhateverHappensThereIsOneProcessAndAnEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.bad["x"], w.bad["y"], w.bad["z"] = "refused", "exits", "silent"
		works := true
		w.storing = func() bool { return works }
		n := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				n++
				w.step(n, rapid.SampledFrom([]string{"a", "b", "r", "x", "y", "z"}).Draw(t, "revision"))
			case 2:
				w.exit()
			case 3:
				w.birth()
			case 4:
				works = !works
			case 5:
				w.process.stubborn = !w.process.stubborn
			}
			w.run(rapid.Float64Range(0, 3).Draw(t, "passes"))
		}
		works = true
		w.run(60)
		if w.x.Step.Number == 0 {
			return
		}
		assert.NotEqual(t, plan.Open, w.x.End)
		if w.x.End == plan.Done && w.x.life == plan.Ready {
			assert.Equal(t, w.x.Revision, w.process.file)
		}
		if w.x.life == plan.Ready {
			assert.True(t, w.process.runs)
			assert.Equal(t, w.x.Mark, w.process.mark)
		}
	})
}

func TestTallies(t *testing.T) {
	w := serving(t)
	x := &w.x
	for i := range 30 {
		x.Counted(float64(i), plan.Tally{Ended: uint64(10 * i), Unanswered: uint64(i)})
	}
	s := x.Sight(29)
	assert.Equal(t, plan.Tally{Ended: 100, Unanswered: 10}, s.Recent)
	assert.Equal(t, plan.Tally{Ended: 290, Unanswered: 29}, s.Since)
	assert.Equal(t, plan.Tally{Ended: 3}, minus(plan.Tally{Ended: 3}, plan.Tally{Ended: 9}), "a new process")
}

func TestDesk(t *testing.T) {
	w := serving(t)
	d := &Desk{Agent: "a1", Agents: "list", Claims: claim.Ledger{Term: 10}, Names: []string{"n1"}, Instances: []Instance{w.x}}
	now := w.now
	call := func(c form.Request) (form.Reply, Saves) { return d.Handle(now, c) }
	r, s := call(form.Request{Verb: form.RequestLeaseVerb, AgentsDigest: "other", LeaseRequest: claim.Bid{Epoch: 1, Holder: "h"}})
	assert.NotEqual(t, claim.Granted, r.Denial)
	assert.Contains(t, r.Failure, "another list of agents")
	assert.False(t, s.Claims)
	r, s = call(form.Request{Verb: form.RequestLeaseVerb, AgentsDigest: "list", LeaseRequest: claim.Bid{Epoch: 1, Holder: "h"}})
	assert.Equal(t, claim.Granted, r.Denial)
	assert.True(t, s.Claims)
	step := plan.Step{Rollout: "r", Number: 1, Revision: "b"}
	r, s = call(form.Request{Verb: form.BeginStepVerb, Epoch: 1, Holder: "x", InstanceName: "n1", Step: step})
	assert.Equal(t, claim.NotHolder, r.Denial)
	assert.Equal(t, -1, s.Instance)
	r, _ = call(form.Request{Verb: form.BeginStepVerb, Epoch: 1, Holder: "h", InstanceName: "n9", Step: step})
	assert.Contains(t, r.Failure, "no instance n9")
	_, s = call(form.Request{Verb: form.BeginStepVerb, Epoch: 1, Holder: "h", InstanceName: "n1", Step: step})
	assert.Equal(t, 0, s.Instance)
	assert.Equal(t, Prepare, s.Do[0].Act)
	_, s = call(form.Request{Verb: form.RequestActionVerb, OperatorRequest: form.OperatorRequest{RolloutID: "r", Action: plan.Pause}})
	assert.True(t, s.Wish)
	r, _ = call(form.Request{Verb: form.StatusVerb, Epoch: 1, Holder: "h"})
	assert.Equal(t, plan.Pause, r.OperatorRequest.Action)
	require.Len(t, r.Instances, 1)
	assert.Equal(t, "b", r.Instances[0].TargetRevision)
	assert.Equal(t, "a", r.Instances[0].Revision)
	now += 20
	r, _ = call(form.Request{Verb: form.BeginStepVerb, Epoch: 1, Holder: "h", InstanceName: "n1", Step: step})
	assert.Equal(t, claim.RanOut, r.Denial)
	r, _ = call(form.Request{Verb: form.PutRevisionVerb})
	assert.NotEmpty(t, r.Failure)
}

func TestStepThatTouchedNothingIsUndoneAlsoIfTheRouterIsGone(t *testing.T) {
	w := serving(t)
	w.step(2, "b") // stored, and the agent dies; then its router too
	w.process.runs = false
	w.birth()
	w.run(5)
	assert.Equal(t, plan.Undone, w.x.End)
	assert.Equal(t, "a", w.process.file)
	assert.Equal(t, plan.Ready, w.x.life)
}
