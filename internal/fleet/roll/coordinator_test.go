package roll

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/tend"
)

// field is agents of one instance each, whose acts take effect at once, and a network without delay.
type field struct {
	t      *testing.T
	now    float64
	fleet  *plan.Fleet
	names  []string
	limits tend.Limits
	desks  []*tend.RequestHandler
	cut    map[int]bool      // agents that cannot be reached
	bad    map[string]string // revisions: exits
	full   map[int]bool      // agents that refuse steps
	steps  []string          // begun, in order
}

func newField(t *testing.T, n int) *field {
	f := &field{
		t: t, cut: map[int]bool{}, bad: map[string]string{}, full: map[int]bool{}, limits: tend.DefaultLimits(),
		fleet: &plan.Fleet{ZoneMinAvailable: []int{0}, MinAvailable: n - 1, Timing: plan.Timing{SoakSeconds: 0.3, StaleAfterSeconds: 1, ContactTimeoutSeconds: 3, StepTimeoutSeconds: 20}},
	}
	for i := range n {
		f.fleet.Instances = append(f.fleet.Instances, plan.Instance{Agent: i})
		f.names = append(f.names, fmt.Sprint("n", i))
		x, out := tend.NewSupervisor(tend.Record{ShouldRun: true, Revision: "old", Incarnation: 1}, &f.limits)
		f.desks = append(f.desks, &tend.RequestHandler{InstanceNames: []string{f.names[i]}, Lease: claim.Lease{TermSeconds: 3}, Supervisors: []tend.Supervisor{x}})
		f.carry(i, out.Actions)
	}
	return f
}

func (f *field) carry(i int, do []tend.Action) {
	x := &f.desks[i].Supervisors[0]
	for _, e := range do {
		var out tend.Transition
		switch e.Kind {
		case tend.ActionFindProcess:
			out = x.ProcessFound(f.now, true)
		case tend.ActionPrepareRevision:
			out = x.RevisionPrepared(f.now, tend.Preparation{DrainSeconds: 1}, nil)
		case tend.ActionInstallRevision:
			out = x.RevisionInstalled(f.now, nil)
		case tend.ActionStart:
			if out = x.ProcessStarted(f.now, e.Incarnation, nil); f.bad[x.Revision] == "exits" {
				out = x.ProcessExited(f.now, "status 1")
			}
		case tend.ActionHealthCheck:
			out = x.HealthChecked(f.now, true)
		case tend.ActionTerminate:
			out = x.ProcessExited(f.now, "ended")
		}
		f.carry(i, out.Actions)
	}
}

func (f *field) driver(holder string, task Task) *Coordinator {
	return New(f.fleet, f.names, len(f.desks), "", holder, Timing{PollSeconds: 0.1, MajorityTimeoutSeconds: 2}, task, func() float64 { return 0.5 })
}

func begin(id, revision string) Task {
	return Task{Operation: OperationBegin, Rollout: form.Rollout{Rollout: plan.Rollout{ID: id, Revision: revision}}}
}

// turn lets one driver have its turn, and delivers what it sends.
func (f *field) turn(d *Coordinator) {
	sends, _ := d.Tick(f.now)
	for _, s := range sends {
		if f.cut[s.Agent] {
			d.HandleFailure(f.now, s.ID, "cut")
			continue
		}
		if s.Request.Verb == form.BeginStepVerb && f.full[s.Agent] {
			d.HandleReply(f.now, s.ID, form.Reply{Failure: "disk full", LeaseState: f.desks[s.Agent].Lease.State(f.now)})
			continue
		}
		r, saves := f.desks[s.Agent].Handle(f.now, s.Request)
		if saves.ChangedInstance >= 0 {
			f.steps = append(f.steps, fmt.Sprint(s.Request.InstanceName, " ", s.Request.Step.Revision))
		}
		f.carry(s.Agent, saves.Actions)
		d.HandleReply(f.now, s.ID, r)
	}
}

// pass lets time pass for agents and drivers.
func (f *field) pass(seconds float64, ds ...*Coordinator) {
	for end := f.now + seconds; f.now < end; f.now += 0.05 {
		for i, d := range f.desks {
			if x := &d.Supervisors[0]; f.now >= x.NextTick() {
				f.carry(i, x.Tick(f.now).Actions)
			}
		}
		for _, d := range ds {
			f.turn(d)
		}
	}
}

// finish plays a driver to its end.
func (f *field) finish(d *Coordinator) Outcome {
	f.t.Helper()
	for range 200 {
		if o, over := d.Outcome(); over {
			return o
		}
		f.pass(1, d)
	}
	require.Fail(f.t, "the driver does not end")
	panic("unreachable")
}

func (f *field) revisions() (out []string) {
	for _, d := range f.desks {
		out = append(out, d.Supervisors[0].Revision)
	}
	return out
}

func TestRolloutRuns(t *testing.T) {
	f := newField(t, 3)
	o := f.finish(f.driver("h1", begin("r1", "new")))
	assert.Equal(t, OutcomeEnded, o.Kind)
	assert.Equal(t, plan.Complete, o.Rollout.State)
	assert.Equal(t, []string{"n0 new", "n1 new", "n2 new"}, f.steps)
	for _, d := range f.desks {
		assert.False(t, d.Lease.State(f.now).Held, "the claim was given back")
	}
	o = f.finish(f.driver("h2", Task{Operation: OperationRollback, Operator: "ayla"}))
	assert.Equal(t, plan.RolledBack, o.Rollout.State)
	assert.Equal(t, []string{"old", "old", "old"}, f.revisions())
	assert.Equal(t, "ayla", o.Rollout.RequestedBy)
}

func TestBadRevisionGoesBackByItself(t *testing.T) {
	f := newField(t, 3)
	f.bad["new"] = "exits"
	o := f.finish(f.driver("h1", begin("r1", "new")))
	assert.Equal(t, plan.RolledBack, o.Rollout.State)
	assert.Equal(t, plan.ReasonStepFailed, o.Reason.Kind)
	assert.Equal(t, []string{"n0 new", "n0 old"}, f.steps, "no other instance was touched")
	assert.Equal(t, []string{"old", "old", "old"}, f.revisions())
}

func TestLoserIsToldWhoHolds(t *testing.T) {
	f := newField(t, 3)
	a, b := f.driver("a", begin("r1", "new")), f.driver("b", begin("r2", "other"))
	f.pass(1, a)
	o := f.finish(b)
	assert.Equal(t, OutcomeLeaseHeld, o.Kind)
	assert.Equal(t, "a", o.Holder.Holder)
	assert.Equal(t, "r1", o.Rollout.ID)
	assert.Equal(t, plan.Complete, f.finish(a).Rollout.State, "and the winner goes on")
}

func TestTwoAtOnceOneWins(t *testing.T) {
	f := newField(t, 4)
	a, b := f.driver("a", begin("r1", "new")), f.driver("b", begin("r2", "other"))
	for range 400 {
		f.pass(0.1, a, b)
	}
	oa, overA := a.Outcome()
	ob, overB := b.Outcome()
	require.True(t, overA && overB)
	won := 0
	for _, o := range []Outcome{oa, ob} {
		if o.Kind == OutcomeEnded {
			won++
			assert.Equal(t, plan.Complete, o.Rollout.State)
		}
	}
	assert.Equal(t, 1, won, "%v %v", oa.Kind, ob.Kind)
}

func TestTakeoverFencesTheOldHolderAndGoesOn(t *testing.T) {
	f := newField(t, 4)
	a := f.driver("a", begin("r1", "new"))
	f.pass(1.2, a)
	require.NotEmpty(t, f.steps)
	b := f.driver("b", Task{Operation: OperationResume, Takeover: true})
	f.pass(0.5, b)
	o := f.finish(a)
	assert.Equal(t, OutcomeFenced, o.Kind)
	assert.Equal(t, "b", o.Holder.Holder)
	assert.Equal(t, plan.Complete, f.finish(b).Rollout.State)
	assert.Equal(t, []string{"n0 new", "n1 new", "n2 new", "n3 new"}, f.steps, "each once")
}

func TestToolThatDiesIsFollowedOnceItsClaimHasRunOut(t *testing.T) {
	f := newField(t, 3)
	a := f.driver("a", begin("r1", "new"))
	f.pass(0.9, a)
	assert.Equal(t, OutcomeLeaseHeld, f.finish(f.driver("b", Task{Operation: OperationResume})).Kind)
	f.pass(4)
	assert.Equal(t, OutcomeUnfinishedRollout, f.finish(f.driver("c", begin("r2", "other"))).Kind)
	f.fleet.Instances[0].Zone = 0
	assert.Equal(t, OutcomeOtherFleet, f.finish(f.driver("d", Task{Operation: OperationResume, FleetDigest: "another"})).Kind)
	o := f.finish(f.driver("e", Task{Operation: OperationResume}))
	assert.Equal(t, plan.Complete, o.Rollout.State)
	assert.EqualValues(t, 2, o.Rollout.Run)
	assert.Equal(t, OutcomeNoRollout, f.finish(f.driver("g", Task{Operation: OperationResume})).Kind, "it is over")
}

func TestAgentThatIsCutOffHoldsTheRolloutUntilItIsLeftOut(t *testing.T) {
	f := newField(t, 5)
	f.fleet.MinAvailable = 3
	a := f.driver("a", begin("r1", "new"))
	f.pass(0.6, a)
	f.cut[3] = true
	o := f.finish(a)
	assert.Equal(t, plan.Paused, o.Rollout.State)
	assert.Equal(t, plan.Reason{Kind: plan.ReasonAgentUnreachable, Instance: 3}, o.Reason)
	o = f.finish(f.driver("b", Task{Operation: OperationResume, ExcludedInstances: []int{3}}))
	assert.Equal(t, plan.Paused, o.Rollout.State)
	assert.Equal(t, plan.Reason{Kind: plan.ReasonInstancesExcluded, Have: 1}, o.Reason)
	assert.Equal(t, []string{"new", "new", "new", "old", "new"}, f.revisions())
	f.cut[3] = false
	assert.Equal(t, plan.Complete, f.finish(f.driver("c", Task{Operation: OperationResume})).Rollout.State)
	assert.Equal(t, "new", f.revisions()[3])
}

func TestNoMajorityBeginsNothing(t *testing.T) {
	f := newField(t, 3)
	f.cut[0], f.cut[1] = true, true
	assert.Equal(t, OutcomeNoMajority, f.finish(f.driver("a", begin("r1", "new"))).Kind)
	assert.Empty(t, f.steps)
	f.cut = map[int]bool{}
	b := f.driver("b", begin("r1", "new"))
	f.pass(0.5, b)
	f.cut[1], f.cut[2] = true, true
	o := f.finish(b)
	assert.Equal(t, OutcomeNoMajority, o.Kind)
	assert.LessOrEqual(t, len(f.steps), 1, "what had begun may end, no other begins")
}

func TestImpossibleIsToldBeforeAnythingIsDone(t *testing.T) {
	f := newField(t, 3)
	f.fleet.MinAvailable = 3
	o := f.finish(f.driver("a", begin("r1", "new")))
	assert.Equal(t, OutcomeInfeasible, o.Kind)
	assert.Equal(t, plan.Reason{Kind: plan.ReasonFleetMinimum, Have: 2, Need: 3}, o.Reason)
	assert.Empty(t, f.steps)
}

func TestInstanceThatFailsBetweenPlanAndStepHoldsTheStepBack(t *testing.T) {
	f := newField(t, 3)
	a := f.driver("a", begin("r1", "new"))
	for range 400 { // until the step is kept, and not yet sent
		f.pass(0.05, a)
		if a.rollout.CurrentStep.Number == 1 || len(f.steps) > 0 {
			break
		}
	}
	require.Empty(t, f.steps, "the step's record comes first")
	x := &f.desks[2].Supervisors[0]
	x.ProcessExited(f.now, "by itself")
	f.limits.MinBackoffSeconds = 1e9 // it does not come back
	a.observations[2] = x.Observe(f.now)
	a.observations[2].SeenAt = f.now
	a.agents[2].nextQuery = f.now + 1e9
	o := f.finish(a)
	assert.Equal(t, plan.Paused, o.Rollout.State)
	assert.Empty(t, f.steps)
}

func TestWishesOfOthersAreFollowed(t *testing.T) {
	for wish, state := range map[plan.OperatorRequest]plan.State{plan.RequestPause: plan.Paused, plan.RequestAbort: plan.Aborted, plan.RequestRollback: plan.RolledBack} {
		f := newField(t, 3)
		a := f.driver("a", begin("r1", "new"))
		f.pass(0.9, a)
		require.NotEmpty(t, f.steps)
		for i, d := range f.desks {
			w := form.OperatorRequest{RolloutID: "r1", Run: 1, Action: wish, Operator: "ayla"}
			if i == 0 {
				w.Run = 9 // of another run: passed over
			}
			d.Handle(f.now, form.Request{Verb: form.RequestActionVerb, OperatorRequest: w})
		}
		o := f.finish(a)
		assert.Equal(t, state, o.Rollout.State)
		assert.Equal(t, "ayla", o.Rollout.RequestedBy)
	}
	f := newField(t, 3)
	f.pass(0.9, f.driver("a", begin("r1", "new")))
	f.pass(5) // its tool is gone: another does it
	o := f.finish(f.driver("b", Task{Operation: OperationAbort, Operator: "ayla"}))
	assert.Equal(t, plan.Aborted, o.Rollout.State)
	assert.Equal(t, plan.Complete, f.finish(f.driver("c", begin("r2", "other"))).Rollout.State)
}

func TestAgentThatRefusesItsStepPausesTheRollout(t *testing.T) {
	f := newField(t, 3)
	f.full[1] = true
	o := f.finish(f.driver("a", begin("r1", "new")))
	assert.Equal(t, plan.Paused, o.Rollout.State)
	assert.Equal(t, plan.Reason{Kind: plan.ReasonStepRefused, Instance: 1, Detail: "disk full"}, o.Reason)
	f.full[1] = false
	assert.Equal(t, plan.Complete, f.finish(f.driver("b", Task{Operation: OperationResume})).Rollout.State)
}

func TestQuitGivesTheClaimBack(t *testing.T) {
	f := newField(t, 3)
	a := f.driver("a", begin("r1", "new"))
	f.pass(0.9, a)
	a.Quit(f.now)
	assert.Equal(t, OutcomeInterrupted, f.finish(a).Kind)
	assert.Equal(t, plan.Complete, f.finish(f.driver("b", Task{Operation: OperationResume})).Rollout.State, "at once")
}

func TestClockOfAnAgentThatLeapsEndsNothing(t *testing.T) {
	f := newField(t, 3)
	a := f.driver("a", begin("r1", "new"))
	f.pass(0.9, a)
	f.desks[1].Lease.Renew(f.now+100, 1, "a") // its clock leapt: the claim has run out there
	assert.Equal(t, plan.Complete, f.finish(a).Rollout.State, "the holder bids higher and goes on")
	assert.Len(t, f.steps, 3)
}

func TestAgentThatDoesNotKnowTheEpochIsNotBelieved(t *testing.T) {
	f := newField(t, 3)
	a := f.driver("a", begin("r1", "new"))
	f.pass(0.3, a)
	require.Equal(t, phaseRunning, a.phase)
	a.agents[0].nextQuery = 0
	sends, _ := a.Tick(f.now)
	for _, s := range sends {
		if s.Agent == 0 && s.Request.Verb == form.StatusVerb {
			a.HandleReply(f.now, s.ID, form.Reply{Denial: claim.NotHolder, Instances: []form.InstanceStatus{{Name: "n0", Observation: plan.Observation{State: plan.ProcessCrashLooping}}}})
			assert.NotEqual(t, plan.ProcessCrashLooping, a.observations[0].State)
			assert.False(t, a.agents[0].granted, "and is asked for its grant anew")
			return
		}
	}
	require.Fail(t, "agent 0 was not looked at")
}
