package models

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"stoatdale.example/stoatdale/internal/fleet/coordinator"
	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
	"stoatdale.example/stoatdale/internal/fleet/supervisor"
	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/modelcheck"
)

var rolloutKind = Kind{
	Name: "rollout", Words: "operators' tools, agents of one router each, claims and the network between them",
	Faults: map[string]Fault{
		"epoch-twice":  {"an agent grants an epoch that it has granted to another", Bounds{Agents: 2, Tools: 2, Ticks: 1}},
		"forgetful":    {"an agent that starts again has forgotten what it promised", Bounds{Agents: 1, Tools: 2, Ticks: 1, Faults: 1}},
		"floorless":    {"the plan goes by a floor that is one too low", Bounds{Agents: 2, Tools: 1, Ticks: 3, Faults: 1, Only: []string{"crash"}}},
		"unkept":       {"an agent says that it keeps a record, and does not", Bounds{Agents: 2, Tools: 1, Ticks: 2}},
		"twin":         {"an agent that starts again does not look for its router", Bounds{Agents: 1, Tools: 1, Ticks: 1, Faults: 1}},
		"rash":         {"an agent is not told that a step was meant for a router that does not serve", Bounds{Agents: 2, Tools: 1, Ticks: 3, Faults: 2, Only: []string{"crash"}}},
		"untold-start": {"the outcome of a router's start is not told to its agent", Bounds{Agents: 1, Tools: 1, Ticks: 1}},
		"two-begin":    {"the plan does not look whether another instance is in a step", Bounds{Agents: 2, Tools: 1, Ticks: 2}},
	},
	New: func(b Bounds, fault string) func() modelcheck.System {
		return func() modelcheck.System { return newRollout(b, fault) }
	},
}

const (
	rollTick = 1.0 // seconds of a step of time
	rollTerm = 2.5 // that a claim runs: it runs out after three steps without a sign
)

// rolloutSystem is the system. What tools look at comes at once; what changes anything is delivered, lost, answered
// into the void or late, as the adversary picks. Each act of an agent is a step, and it may die before it.
type rolloutSystem struct {
	bounds       Bounds
	fault        string
	fleet        *rollout.Fleet
	names        []string
	limits       supervisor.Limits
	now          float64
	ticks        int
	faults       int
	agents       []*rollAgent
	tools        []*rollTool
	delayedCalls []rollCall // calls that are still on their way after their tool has given them up
	check        *invariant.RolloutChecker
}

type rollAgent struct {
	handler        supervisor.RequestHandler
	lease          lease.PersistentState
	record         supervisor.Record
	alive          bool
	pendingActions []supervisor.Action // acts that are still to be carried out
	runs           bool
	serves         bool // it has answered since it started, whichever life of the agent asked
	incarnation    uint64
	open           bool
	lives          int
}

type rollTool struct {
	coordinator *coordinator.Coordinator
	holder      string
	calls       []rollCall
	ended       bool
	// outcome of its last run
	outcome coordinator.Outcome
}

type rollCall struct {
	Tool  int
	ID    uint64
	Agent int
	Call  protocol.Request
}

func newRollout(b Bounds, fault string) *rolloutSystem {
	r := &rolloutSystem{bounds: b, fault: fault, check: invariant.NewRolloutChecker(b.Agents - 1), limits: supervisor.Limits{
		ReadyTimeoutSeconds: 100, TerminationGraceSeconds: 0.5,
		HealthCheckSeconds: 1e9, CounterReadSeconds: 1e9, RecentSeconds: 1, MinBackoffSeconds: 0.5, MaxBackoffSeconds: 1, StableSeconds: 1e9, MaxCrashes: 9, MaxMissedHealthChecks: 9, KillRetrySeconds: 100,
	}}
	r.fleet = &rollout.Fleet{ZoneMinAvailable: []int{0}, MinAvailable: b.Agents - 1, Timing: rollout.Timing{SoakSeconds: 0, StaleAfterSeconds: 1.5, ContactTimeoutSeconds: 100, StepTimeoutSeconds: 100}}
	if fault == "floorless" {
		r.fleet.MinAvailable--
	}
	for i := range b.Agents {
		r.fleet.Instances = append(r.fleet.Instances, rollout.Instance{Agent: i})
		r.names = append(r.names, fmt.Sprint("n", i))
		a := &rollAgent{runs: true, serves: true, incarnation: 1, record: supervisor.Record{ShouldRun: true, Revision: "old", Incarnation: 1}}
		r.agents = append(r.agents, a)
		r.birth(i)
		for len(a.pendingActions) > 0 {
			r.act(i)
		}
	}
	for t := range b.Tools {
		r.tools = append(r.tools, &rollTool{})
		r.start(t)
	}
	r.turn()
	return r
}

// start has a tool begin: the first a rollout, others another or the one there is.
func (r *rolloutSystem) start(t int) {
	x := r.tools[t]
	x.holder = fmt.Sprint("t", t)
	task := coordinator.Task{Operation: coordinator.OperationBegin, Takeover: t > 0, Rollout: protocol.Rollout{
		Rollout: rollout.Rollout{ID: x.holder, Revision: fmt.Sprint("new", t)},
	}}
	if t > 0 {
		task.Operation = coordinator.OperationResume
	}
	x.coordinator = coordinator.New(coordinator.Config{
		Fleet: r.fleet, InstanceNames: r.names, Agents: len(r.agents), Holder: x.holder,
		Timing: coordinator.Timing{PollSeconds: rollTick, MajorityTimeoutSeconds: 50}, Task: task,
		Random: func() float64 { return 0.5 },
	})
	x.calls, x.ended = nil, false
}

// turn lets every tool go on as far as it can without anything being delivered that changes an agent.
func (r *rolloutSystem) turn() {
	for t, x := range r.tools {
		for again := true; again && x.coordinator != nil; {
			again = false
			sends, _ := x.coordinator.Tick(r.now)
			x.coordinator.TakeEvents()
			for _, s := range sends {
				c := rollCall{Tool: t, ID: s.ID, Agent: s.Agent, Call: s.Request}
				if s.Request.Verb != protocol.StatusVerb {
					x.calls = append(x.calls, c)
					continue
				}
				r.deliver(c, true)
				again = true
			}
			if o, over := x.coordinator.Outcome(); over {
				x.coordinator, x.calls, x.outcome = nil, nil, o
				x.ended = o.Kind == coordinator.OutcomeEnded && o.Rollout.State.Terminal()
			}
		}
	}
}

// deliver has a call arrive; its answer too, if heard.
func (r *rolloutSystem) deliver(c rollCall, heard bool) {
	a, d := r.agents[c.Agent], r.tools[c.Tool].coordinator
	if !a.alive {
		if d != nil { // no call is out for good
			d.HandleFailure(r.now, c.ID, "gone")
		}
		return
	}
	reply := r.answer(c)
	if heard && d != nil {
		d.HandleReply(r.now, c.ID, reply)
	} else if d != nil {
		d.HandleFailure(r.now, c.ID, "lost")
	}
}

func (r *rolloutSystem) answer(c rollCall) protocol.Reply {
	a := r.agents[c.Agent]
	if r.fault == "unkept" && c.Call.Verb == protocol.StoreRecordVerb {
		return protocol.Reply{LeaseState: a.handler.Lease.State(r.now)}
	}
	if r.fault == "epoch-twice" && c.Call.Verb == protocol.RequestLeaseVerb && c.Call.LeaseRequest.Epoch == a.handler.Lease.Epoch {
		a.handler.Lease.Epoch--
		a.handler.Lease.Held = false
	}
	if c.Call.Verb == protocol.BeginStepVerb {
		c.Call.Step.OnlyIfNotServing = c.Call.Step.OnlyIfNotServing && r.fault != "rash"
		r.check.StepSent(stepName(c.Call.Step), r.isKept(c.Call.Epoch))
	}
	reply, saves := a.handler.Handle(r.now, c.Call)
	if r.fault == "two-begin" {
		hidePendingSteps(&reply)
	}
	isChange := c.Call.Verb == protocol.BeginStepVerb || c.Call.Verb == protocol.StoreRecordVerb
	if reply.Denial == lease.Granted && isChange {
		r.check.ChangeGranted(c.Call.Epoch, c.Call.Holder)
	}
	if saves.Lease {
		a.lease = a.handler.Lease.PersistentState
	}
	if saves.ChangedInstance >= 0 {
		r.stored(c.Agent)
	}
	a.pendingActions = append(a.pendingActions, saves.Actions...)
	return reply
}

// stepName is a step's name in the checker.
func stepName(s rollout.Step) string { return fmt.Sprint(s.RolloutID, "/", s.Number) }

// isKept tells whether a majority of agents keeps a record of an epoch or a later one.
func (r *rolloutSystem) isKept(epoch uint64) bool {
	kept := 0
	for _, a := range r.agents {
		if a.lease.Record.Version.Epoch >= epoch {
			kept++
		}
	}
	return kept >= lease.Majority(len(r.agents))
}

// hidePendingSteps has a reply say that no instance is in a step.
func hidePendingSteps(reply *protocol.Reply) {
	for i := range reply.Instances {
		x := &reply.Instances[i]
		if x.LastStep.Number != 0 && x.LastResult == rollout.StepPending {
			x.LastResult, x.State, x.Revision = rollout.StepSucceeded, rollout.ProcessReady, x.LastStep.Revision
		}
	}
}

// stored keeps an instance's record, and sees steps begin and end.
func (r *rolloutSystem) stored(i int) {
	a := r.agents[i]
	a.record = a.handler.Supervisors[0].Record
	open := a.record.Step.Number != 0 && a.record.Result == rollout.StepPending
	switch {
	case open && !a.open:
		r.check.StepBegun(i, fmt.Sprint(a.record.Step.RolloutID, "/", a.record.Step.Number))
	case !open && a.open:
		r.check.StepEnded(i)
	}
	a.open = open
}

func (r *rolloutSystem) birth(i int) {
	a := r.agents[i]
	a.alive, a.pendingActions = true, nil
	a.lives++
	if r.fault == "forgetful" {
		a.lease = lease.PersistentState{}
	}
	x, out := supervisor.NewSupervisor(a.record, &r.limits)
	a.handler = supervisor.RequestHandler{
		Agent: fmt.Sprint("a", i), InstanceNames: []string{r.names[i]}, Lease: lease.Restore(a.lease, rollTerm, r.now),
		Supervisors: []supervisor.Supervisor{x},
	}
	a.pendingActions = append(a.pendingActions, out.Actions...)
}

// act carries out an agent's next act, and hands its outcome in.
func (r *rolloutSystem) act(i int) {
	a := r.agents[i]
	x := &a.handler.Supervisors[0]
	e := a.pendingActions[0]
	a.pendingActions = a.pendingActions[1:]
	var out supervisor.Transition
	switch e.Kind {
	case supervisor.ActionFindProcess:
		out = x.ProcessFound(r.now, a.runs && a.incarnation == e.Incarnation && (r.fault != "twin" || a.lives == 1))
	case supervisor.ActionPrepareRevision:
		out = x.RevisionPrepared(r.now, supervisor.Preparation{DrainSeconds: 100}, nil)
	case supervisor.ActionInstallRevision:
		out = x.RevisionInstalled(r.now, nil)
	case supervisor.ActionStart:
		out = r.startRouter(i, e.Incarnation)
	case supervisor.ActionHealthCheck:
		a.serves = a.runs
		out = x.HealthChecked(r.now, a.runs)
	case supervisor.ActionTerminate:
		out = r.terminateRouter(i)
	case supervisor.ActionReadCounters, supervisor.ActionKill, supervisor.ActionReload: // nothing comes of them here
	}
	if out.Store {
		r.stored(i)
	}
	a.pendingActions = append(a.pendingActions, out.Actions...)
}

func (r *rolloutSystem) startRouter(i int, incarnation uint64) supervisor.Transition {
	a := r.agents[i]
	running := 0
	if a.runs {
		running = 1
	}
	r.check.ProcessStarted(i, running)
	a.runs, a.serves, a.incarnation = true, false, incarnation
	if r.fault == "untold-start" {
		return supervisor.Transition{}
	}
	return a.handler.Supervisors[0].ProcessStarted(r.now, incarnation, nil)
}

func (r *rolloutSystem) terminateRouter(i int) supervisor.Transition {
	a := r.agents[i]
	others := 0
	for j, other := range r.agents {
		if j != i && other.serves {
			others++
		}
	}
	if a.serves {
		r.check.RouterStopped(i, others)
	}
	a.runs, a.serves = false, false
	return a.handler.Supervisors[0].ProcessExited(r.now, "ended")
}

// Steps implements modelcheck.System.
func (r *rolloutSystem) Steps() []string {
	may := func(kind string) bool { return r.bounds.may(kind, r.faults) }
	var s stepList
	for i, a := range r.agents {
		s.addIf(a.alive && len(a.pendingActions) > 0, "act %d", i)
		s.addIf(a.alive && may("die"), "die agent %d", i)
		s.addIf(!a.alive, "back agent %d", i)
		s.addIf(a.alive && a.runs && may("crash") && r.calm(), "crash %d", i)
	}
	for t, x := range r.tools {
		if x.coordinator != nil {
			r.addToolSteps(&s, t, x)
		}
	}
	for k := range r.delayedCalls {
		s.add("arrive %d", k)
	}
	s.addIf(r.ticks < r.bounds.Ticks, "tick")
	return s
}

// addToolSteps adds what may become of a tool and its calls.
func (r *rolloutSystem) addToolSteps(s *stepList, t int, x *rollTool) {
	may := func(kind string) bool { return r.bounds.may(kind, r.faults) }
	s.addIf(may("die"), "die tool %d", t)
	for k := range x.calls {
		s.add("deliver %d %d", t, k)
		for _, kind := range []string{"lose", "deafen", "delay"} {
			s.addIf(may(kind), "%s %d %d", kind, t, k)
		}
	}
}

// Commute implements modelcheck.Commuter: what one agent does by itself is nothing to another.
func (r *rolloutSystem) Commute(a, b string) bool {
	if modelcheck.Kind(a) != "act" {
		a, b = b, a
	}
	if modelcheck.Kind(a) != "act" || a[len(a)-1] == b[len(b)-1] {
		return false
	}
	return modelcheck.Kind(b) == "act" || strings.HasPrefix(b, "die agent")
}

// calm tells whether no step is open or on its way: a router that ends by itself between the plan's last look
// and the step may take a hall under its floor, and nobody can help that.
func (r *rolloutSystem) calm() bool {
	for _, a := range r.agents {
		if a.open || len(a.pendingActions) > 0 {
			return false
		}
	}
	for _, t := range r.tools {
		for _, c := range t.calls {
			if c.Call.Verb == protocol.BeginStepVerb {
				return false
			}
		}
	}
	return len(r.delayedCalls) == 0 && r.ticks < r.bounds.Ticks
}

// tick lets a step of time pass.
func (r *rolloutSystem) tick() {
	r.ticks++
	r.now += rollTick
	for i, a := range r.agents {
		if x := &a.handler.Supervisors[0]; a.alive && r.now >= x.NextTick() {
			out := x.Tick(r.now)
			if out.Store {
				r.stored(i)
			}
			a.pendingActions = append(a.pendingActions, out.Actions...)
		}
	}
}

// Take implements modelcheck.System.
func (r *rolloutSystem) Take(step string) {
	kind, n, k := parseStep(step)
	switch kind {
	case "act":
		r.act(n)
	case "die", "back": // of an agent or a tool, which the second word says
		_, _ = fmt.Sscanf(step[strings.LastIndexByte(step, ' ')+1:], "%d", &n)
		r.dieOrComeBack(step, n)
	case "tick":
		r.tick()
	case "crash":
		r.crash(n)
	case "arrive":
		c := r.delayedCalls[n]
		r.delayedCalls = slices.Delete(slices.Clone(r.delayedCalls), n, n+1)
		if r.agents[c.Agent].alive {
			r.answer(c)
		}
	default:
		r.endCall(kind, n, k)
	}
	r.turn()
}

func (r *rolloutSystem) dieOrComeBack(step string, n int) {
	switch {
	case strings.HasPrefix(step, "back"):
		r.birth(n)
	case strings.HasPrefix(step, "die tool"):
		r.faults++
		r.tools[n].coordinator, r.tools[n].calls = nil, nil
	default:
		r.faults++
		r.agents[n].alive = false
	}
}

// crash has a router end by itself, and its agent see it before anything else happens.
func (r *rolloutSystem) crash(n int) {
	r.faults++
	a := r.agents[n]
	a.runs, a.serves = false, false
	if out := a.handler.Supervisors[0].ProcessExited(r.now, "by itself"); out.Store {
		r.stored(n)
	}
	r.ticks++
	r.now += rollTick
}

// endCall is what becomes of a tool's call.
func (r *rolloutSystem) endCall(kind string, n, k int) {
	x := r.tools[n]
	c := x.calls[k]
	x.calls = slices.Delete(slices.Clone(x.calls), k, k+1)
	switch kind {
	case "deliver":
		r.deliver(c, true)
	case "deafen":
		r.faults++
		r.deliver(c, false)
	default: // lost, or late
		r.faults++
		x.coordinator.HandleFailure(r.now, c.ID, "lost")
		if kind == "delay" {
			r.delayedCalls = append(r.delayedCalls, c)
		}
	}
}

// rolloutRules leave out what decides nothing: numbers of calls, which only tell them apart, readings of counters and of
// a claim's age, which nothing here goes by, and what is the same in all states. Times count from now.
var rolloutRules = &modelcheck.Rules{
	FloatGrain: 1e-6,
	Ignored: modelcheck.Fields{
		"lease.State":             {"HeldSeconds", "RemainingSeconds"},
		"rollout.Planner":         {"Fleet"},
		"rollout.Observation":     {"ReadySeconds"},
		"coordinator.Config":      {"Fleet", "Random", "Timing"},
		"coordinator.Coordinator": {"events", "lastCallID", "pendingCalls", "statuses"},
		"coordinator.agent":       {"leaseState", "pendingCommand", "pendingQuery"},
		"models.rollCall":         {"ID"},
		"supervisor.Supervisor":   {"limits", "nextCounterRead", "nextHealthCheck", "readings", "readySince"},
	},
	Times: modelcheck.Fields{
		"lease.Lease":             {"expiresAt", "heldSince", "now"},
		"rollout.Planner":         {"waitingSince"},
		"rollout.Observation":     {"SeenAt"},
		"coordinator.Coordinator": {"lastMajority", "nextStepSend", "phaseTime"},
		"coordinator.agent":       {"nextCommand", "nextQuery"},
		"supervisor.Supervisor":   {"deadline"},
	},
}

// Fingerprint implements modelcheck.System. Left out are numbers of calls, which only tell them apart, and readings
// that nothing here goes by.
func (r *rolloutSystem) Fingerprint(h *modelcheck.Hash) {
	h.Rules, h.TimeZero = rolloutRules, r.now
	h.Uint(uint64(r.bounds.Faults - r.faults))
	h.Uint(uint64(r.bounds.Ticks - r.ticks))
	for _, a := range r.agents {
		h.Value(a)
	}
	for _, t := range r.tools {
		h.Value(t.calls)
		h.Value(t.ended)
		if t.coordinator != nil {
			h.Value(t.coordinator)
			h.Uint(uint64(t.coordinator.PendingCalls()))
		} else {
			h.Uint(math.MaxUint64)
		}
	}
	h.Value(r.delayedCalls)
	h.Value(r.check)
}

// Broken implements modelcheck.System.
func (r *rolloutSystem) Broken() (string, string) { return r.check.Broken() }

// Ended implements modelcheck.System: a tool has seen the rollout to its end.
func (r *rolloutSystem) Ended() bool {
	for _, t := range r.tools {
		if t.ended {
			return true
		}
	}
	return false
}
