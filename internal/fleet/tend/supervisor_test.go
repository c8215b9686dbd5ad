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
	x       Supervisor
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
	queue   []func() Transition
	storing func() bool // whether storing works
	acts    []ActionKind
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
	var out Transition
	w.x, out = NewSupervisor(w.stored, &w.limits)
	w.carry(out, nil)
}

// take hands an event in; if it cannot be stored it has not happened and comes again.
func (w *world) take(event func() Transition) {
	before := w.x
	out := event()
	if out.Store && !w.storing() {
		w.x = before
		w.queue = append(w.queue, event)
		return
	}
	w.carry(out, nil)
}

func (w *world) carry(out Transition, cut func(ActionKind) bool) {
	if out.Store {
		w.stored = w.x.Record
	}
	for _, e := range out.Actions {
		w.acts = append(w.acts, e.Kind)
		w.do(e)
		if cut != nil && cut(e.Kind) {
			return
		}
	}
}

func (w *world) later(event func() Transition) { w.queue = append(w.queue, event) }

func (w *world) do(e Action) {
	p := &w.process
	switch e.Kind {
	case ActionFindProcess:
		running := p.runs && p.mark == e.Incarnation
		w.later(func() Transition { return w.x.ProcessFound(w.now, running) })
	case ActionPrepareRevision:
		fault := ""
		if w.bad[e.Revision] == "refused" {
			fault = "refused by the reader"
		}
		w.later(func() Transition { return w.x.RevisionPrepared(w.now, e.Revision[0] == 'r', 5, fault) })
	case ActionInstallRevision:
		w.file = e.Revision
		w.later(func() Transition { return w.x.RevisionInstalled(w.now, "") })
	case ActionStart:
		require.False(w.t, p.runs, "a second process is started")
		p.runs, p.mark, p.file, p.terminating = true, e.Incarnation, w.file, false
		w.later(func() Transition { return w.x.ProcessStarted(w.now, e.Incarnation, "") })
		if w.bad[w.file] == "exits" {
			w.exit()
		}
	case ActionHealthCheck:
		ok := p.runs && !p.terminating && w.bad[p.file] != "silent"
		w.later(func() Transition { return w.x.HealthChecked(w.now, ok) })
	case ActionTerminate:
		if !p.stubborn {
			p.terminating = true
		}
	case ActionKill:
		w.exit()
	case ActionReload:
		p.file = w.file
		w.later(func() Transition { return w.x.ReloadReported(w.now, "") })
	}
}

func (w *world) exit() {
	if w.process.runs {
		w.process.runs, w.process.terminating = false, false
		w.later(func() Transition { return w.x.ProcessExited(w.now, "status 1") })
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
		if w.now >= w.x.NextTick() {
			w.take(func() Transition { return w.x.Tick(w.now) })
		}
	}
}

func (w *world) step(n uint64, revision string) string {
	before := w.x
	out, fault := w.x.BeginStep(w.now, plan.Step{RolloutID: "roll", Number: n, Revision: revision})
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
	require.Equal(t, plan.StepSucceeded, w.x.Result, w.x.Failure)
	require.Equal(t, plan.ProcessReady, w.x.life)
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
	assert.Equal(t, plan.StepSucceeded, w.x.Result)
	assert.Equal(t, "b", w.process.file)
	assert.Contains(t, w.acts, ActionTerminate)
	w.acts = nil
	assert.Empty(t, w.step(3, "reloaded"))
	w.run(3)
	assert.Equal(t, plan.StepSucceeded, w.x.Result)
	assert.Equal(t, "reloaded", w.process.file)
	assert.NotContains(t, w.acts, ActionTerminate)
	w.acts = nil
	assert.Empty(t, w.step(4, "reloaded"))
	assert.Equal(t, plan.StepSucceeded, w.x.Result, "it runs that already")
	assert.NotContains(t, w.acts, ActionPrepareRevision)
	assert.Equal(t, "", w.x.Observe(w.now).PreviousRevision)
}

// An agent that starts again finds its router running and has yet to hear whether it serves.
func TestRouterFoundRunningIsUnknownUntilItWasAsked(t *testing.T) {
	w := serving(t)
	w.birth()
	w.take(w.queue[0]) // Found
	assert.Equal(t, plan.ProcessUnknown, w.x.Observe(w.now).State, "it may serve")
	assert.Contains(t, w.step(2, "b"), "does not know its routers yet")
	w.queue = w.queue[1:]
	w.run(1)
	assert.Equal(t, plan.ProcessReady, w.x.Observe(w.now).State)
	assert.Empty(t, w.step(2, "b"))

	w = serving(t)
	w.bad["a"] = "silent"
	w.birth()
	w.run(float64(w.limits.MaxMissedHealthChecks-2) * w.limits.HealthCheckSeconds)
	assert.Equal(t, plan.ProcessUnknown, w.x.Observe(w.now).State, "an answer may be late")
	w.run(3 * w.limits.HealthCheckSeconds)
	assert.Equal(t, plan.ProcessStarting, w.x.Observe(w.now).State, "and one that does not answer does not serve")
	assert.Empty(t, w.step(2, "b"))
}

// A step that asked no floor leaves a router alone that serves by the time it comes.
func TestStepForAnIdleRouterLeavesOneThatServes(t *testing.T) {
	idle := func(w *world, n uint64) {
		out, fault := w.x.BeginStep(w.now, plan.Step{RolloutID: "roll", Number: n, Revision: "b", OnlyIfNotServing: true})
		assert.Empty(t, fault)
		w.carry(out, nil)
	}
	w := serving(t)
	idle(w, 2)
	w.run(3)
	assert.Equal(t, plan.StepNotApplied, w.x.Result)
	assert.Equal(t, cameUp, w.x.Failure)
	assert.NotContains(t, w.acts, ActionTerminate)
	assert.Equal(t, "a", w.x.Revision)
	assert.Equal(t, plan.ProcessReady, w.x.life)

	w.exit() // and it is started again: the step comes while the first probe is out
	next := func() {
		event := w.queue[0]
		w.queue = w.queue[1:]
		w.take(event)
	}
	next() // Exited
	w.now = w.x.NextTick()
	w.take(func() Transition { return w.x.Tick(w.now) })
	next() // Started
	require.Equal(t, coming, w.x.phase)
	w.acts = nil
	idle(w, 3)
	w.run(3)
	assert.Equal(t, plan.StepNotApplied, w.x.Result)
	assert.NotContains(t, w.acts, ActionTerminate)

	w.exit()
	for len(w.queue) > 0 {
		next()
	}
	require.Equal(t, plan.ProcessDown, w.x.life)
	idle(w, 4)
	w.run(3)
	assert.Equal(t, plan.StepSucceeded, w.x.Result, "one that does not serve is changed")
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
		assert.Equal(t, plan.StepFailed, w.x.Result, kind)
		assert.Contains(t, w.x.Failure, says)
		assert.Equal(t, kind == "refused", w.x.life == plan.ProcessReady, kind)
		assert.Empty(t, w.step(3, "a"), "the way back")
		w.run(10)
		assert.Equal(t, plan.StepSucceeded, w.x.Result, kind)
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
		if a == ActionStart {
			starts++
		}
	}
	assert.Equal(t, w.limits.MaxCrashes, starts)
	assert.Equal(t, plan.ProcessCrashLooping, w.x.life)
	assert.Equal(t, math.Inf(1), w.x.NextTick())
	w.bad["a"] = ""
	assert.Empty(t, w.step(2, "b"), "a step begins anew")
	w.run(3)
	assert.Equal(t, plan.ProcessReady, w.x.life)
}

func TestRouterThatServedCalmlyIsStartedAtOnceEachTime(t *testing.T) {
	w := serving(t)
	for range 20 {
		w.run(w.limits.StableSeconds + 1)
		w.exit()
		w.run(2)
		require.Equal(t, plan.ProcessReady, w.x.life)
		assert.LessOrEqual(t, w.x.Crashes(), 1)
	}
}

func TestHangingRouterIsKilledAfterItsDrainOnly(t *testing.T) {
	w := serving(t)
	w.process.stubborn = true
	w.step(2, "b")
	w.run(4.5)
	assert.NotContains(t, w.acts, ActionKill)
	w.run(2)
	assert.Contains(t, w.acts, ActionKill)
	w.run(3)
	assert.Equal(t, plan.StepSucceeded, w.x.Result)
}

func TestSilentRouterNoLongerCountsAsReady(t *testing.T) {
	w := serving(t)
	w.bad["a"] = "silent"
	w.run(15)
	assert.Equal(t, plan.ProcessStarting, w.x.life)
	assert.True(t, w.process.runs, "it is left to the operator")
	w.bad["a"] = ""
	w.run(2)
	assert.Equal(t, plan.ProcessReady, w.x.life)
}

// TestAgentThatDiesAtAnyActResolvesItsStep kills the agent after each act of a step, before its outcome is
// heard, and once before anything was done.
func TestAgentThatDiesAtAnyActResolvesItsStep(t *testing.T) {
	for _, revision := range []string{"b", "reloaded"} {
		for _, after := range []ActionKind{ActionPrepareRevision, ActionTerminate, ActionInstallRevision, ActionStart, ActionReload, ActionHealthCheck} {
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
					w.carry(e(), func(a ActionKind) bool { died = a == after; return died })
					if !died && w.x.Result != plan.StepPending {
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
				assert.NotEqual(t, plan.StepPending, w.x.Result, name)
				assert.NotEqual(t, plan.StepFailed, w.x.Result, name)
				assert.Equal(t, plan.ProcessReady, w.x.life, name)
				want := "a"
				if w.x.Result == plan.StepSucceeded {
					want = revision
				}
				assert.Equal(t, want, w.process.file, name)
				if before {
					assert.NotContains(t, w.acts, ActionTerminate, "a router that serves is left alone: %s", name)
				}
			}
		}
	}
}

func TestAgentThatDiesBetweenStoringAndTermUndoesTheStep(t *testing.T) {
	w := serving(t)
	w.step(2, "b")
	out := w.queue[len(w.queue)-1]() // prepared: stored, and the agent dies before Term
	require.Equal(t, ActionTerminate, out.Actions[0].Kind)
	w.stored = w.x.Record
	w.birth()
	w.run(10)
	assert.Equal(t, plan.StepNotApplied, w.x.Result)
	assert.Equal(t, "a", w.process.file)
	assert.EqualValues(t, 1, w.process.mark, "the same process")
}

func TestStoreThatFailsHoldsTheStepUp(t *testing.T) {
	w := serving(t)
	works := false
	w.storing = func() bool { return works }
	assert.Equal(t, "not stored", w.step(2, "b"))
	assert.Equal(t, plan.StepSucceeded, w.x.Result)
	works = true
	w.step(2, "b")
	works = false
	w.run(5)
	assert.Equal(t, plan.StepPending, w.x.Result)
	assert.Equal(t, "a", w.process.file, "nothing is touched that was not stored")
	works = true
	w.run(5)
	assert.Equal(t, plan.StepSucceeded, w.x.Result)
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
		assert.NotEqual(t, plan.StepPending, w.x.Result)
		if w.x.Result == plan.StepSucceeded && w.x.life == plan.ProcessReady {
			assert.Equal(t, w.x.Revision, w.process.file)
		}
		if w.x.life == plan.ProcessReady {
			assert.True(t, w.process.runs)
			assert.Equal(t, w.x.Incarnation, w.process.mark)
		}
	})
}

func TestTallies(t *testing.T) {
	w := serving(t)
	x := &w.x
	for i := range 30 {
		x.CountersRead(float64(i), plan.CommandCounts{Completed: uint64(10 * i), Unanswered: uint64(i)})
	}
	s := x.Observe(29)
	assert.Equal(t, plan.CommandCounts{Completed: 100, Unanswered: 10}, s.RecentCommands)
	assert.Equal(t, plan.CommandCounts{Completed: 290, Unanswered: 29}, s.CommandsSinceStep)
	assert.Equal(t, plan.CommandCounts{Completed: 3}, minus(plan.CommandCounts{Completed: 3}, plan.CommandCounts{Completed: 9}), "a new process")
}

func TestDesk(t *testing.T) {
	w := serving(t)
	d := &RequestHandler{Agent: "a1", AgentsDigest: "list", Lease: claim.Lease{TermSeconds: 10}, InstanceNames: []string{"n1"}, Supervisors: []Supervisor{w.x}}
	now := w.now
	call := func(c form.Request) (form.Reply, Changes) { return d.Handle(now, c) }
	r, s := call(form.Request{Verb: form.RequestLeaseVerb, AgentsDigest: "other", LeaseRequest: claim.Request{Epoch: 1, Holder: "h"}})
	assert.NotEqual(t, claim.Granted, r.Denial)
	assert.Contains(t, r.Failure, "another list of agents")
	assert.False(t, s.Lease)
	r, s = call(form.Request{Verb: form.RequestLeaseVerb, AgentsDigest: "list", LeaseRequest: claim.Request{Epoch: 1, Holder: "h"}})
	assert.Equal(t, claim.Granted, r.Denial)
	assert.True(t, s.Lease)
	step := plan.Step{RolloutID: "r", Number: 1, Revision: "b"}
	r, s = call(form.Request{Verb: form.BeginStepVerb, Epoch: 1, Holder: "x", InstanceName: "n1", Step: step})
	assert.Equal(t, claim.NotHolder, r.Denial)
	assert.Equal(t, -1, s.ChangedInstance)
	r, _ = call(form.Request{Verb: form.BeginStepVerb, Epoch: 1, Holder: "h", InstanceName: "n9", Step: step})
	assert.Contains(t, r.Failure, "no instance n9")
	_, s = call(form.Request{Verb: form.BeginStepVerb, Epoch: 1, Holder: "h", InstanceName: "n1", Step: step})
	assert.Equal(t, 0, s.ChangedInstance)
	assert.Equal(t, ActionPrepareRevision, s.Actions[0].Kind)
	_, s = call(form.Request{Verb: form.RequestActionVerb, OperatorRequest: form.OperatorRequest{RolloutID: "r", Action: plan.RequestPause}})
	assert.True(t, s.OperatorRequest)
	r, _ = call(form.Request{Verb: form.StatusVerb, Epoch: 1, Holder: "h"})
	assert.Equal(t, plan.RequestPause, r.OperatorRequest.Action)
	require.Len(t, r.Instances, 1)
	assert.Equal(t, "b", r.Instances[0].TargetRevision)
	assert.Equal(t, "a", r.Instances[0].Revision)
	now += 20
	r, _ = call(form.Request{Verb: form.BeginStepVerb, Epoch: 1, Holder: "h", InstanceName: "n1", Step: step})
	assert.Equal(t, claim.Expired, r.Denial)
	r, _ = call(form.Request{Verb: form.PutRevisionVerb})
	assert.NotEmpty(t, r.Failure)
}

func TestStepThatTouchedNothingIsUndoneAlsoIfTheRouterIsGone(t *testing.T) {
	w := serving(t)
	w.step(2, "b") // stored, and the agent dies; then its router too
	w.process.runs = false
	w.birth()
	w.run(5)
	assert.Equal(t, plan.StepNotApplied, w.x.Result)
	assert.Equal(t, "a", w.process.file)
	assert.Equal(t, plan.ProcessReady, w.x.life)
}
