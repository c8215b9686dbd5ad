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
	Name: "rollout", Description: "operators' rollout tools, agents with one router each, the lease and the network between them",
	Faults: map[string]Fault{
		"epoch-twice": {"an agent grants an epoch that it has already granted to another holder", Bounds{Agents: 2, Tools: 2, Ticks: 1}},
		"forgetful":   {"a restarted agent has forgotten the lease that it granted", Bounds{Agents: 1, Tools: 2, Ticks: 1, Faults: 1}},
		"floorless": {
			"the plan keeps one instance fewer in service than it must",
			Bounds{Agents: 2, Tools: 1, Ticks: 3, Faults: 1, Only: []string{"crash"}},
		},
		"unkept": {"an agent acknowledges a record without storing it", Bounds{Agents: 2, Tools: 1, Ticks: 2}},
		"twin":   {"a restarted agent does not look for its running router", Bounds{Agents: 1, Tools: 1, Ticks: 1, Faults: 1}},
		"rash": {
			"an agent does not learn that a step is only for a router that does not serve",
			Bounds{Agents: 2, Tools: 1, Ticks: 3, Faults: 2, Only: []string{"crash"}},
		},
		"untold-start": {"an agent does not learn the outcome of its router's start", Bounds{Agents: 1, Tools: 1, Ticks: 1}},
		"two-begin":    {"the plan ignores that another instance is in a step", Bounds{Agents: 2, Tools: 1, Ticks: 2}},
	},
	New: func(b Bounds, fault string) func() modelcheck.System {
		return func() modelcheck.System { return newRolloutSystem(b, fault) }
	},
}

const (
	rolloutTickSeconds  = 1.0 // length of one time step
	rolloutLeaseSeconds = 2.5 // duration of a lease: it expires after three time steps without renewal
)

// rolloutSystem is the system "rollout". Status calls are answered immediately. Of every other call, the adversary may lose the
// call or its reply, or deliver the call late. Each action of an agent is a step of its own, and the agent may die before it.
// Times are in seconds.
type rolloutSystem struct {
	bounds       Bounds
	fault        string
	fleet        *rollout.Fleet
	names        []string
	limits       supervisor.Limits
	now          float64
	ticks        int
	faults       int
	agents       []*rolloutAgent
	tools        []*rolloutTool
	delayedCalls []rolloutCall // calls that may still arrive although their tool counts them as failed
	checker      *invariant.RolloutChecker
}

// rolloutAgent is an agent and the router that it supervises.
type rolloutAgent struct {
	handler        supervisor.RequestHandler
	lease          lease.PersistentState // as the agent has stored it
	record         supervisor.Record     // as the agent has stored it
	alive          bool
	pendingActions []supervisor.Action // not yet carried out, in order
	routerRuns     bool
	routerServes   bool   // the router has answered a health check since its start, perhaps one of an earlier agent process
	incarnation    uint64 // of the router's process
	stepOpen       bool   // the stored record has a step without a result
	starts         int    // number of starts of the agent
}

// rolloutTool is an operator's tool. Its coordinator is nil if it does not run.
type rolloutTool struct {
	coordinator *coordinator.Coordinator
	holder      string
	calls       []rolloutCall       // calls that have not been delivered, lost or delayed
	ended       bool                // the rollout was in a final state when its last run ended
	outcome     coordinator.Outcome // outcome of its last run
}

// rolloutCall is a call of a tool to an agent.
type rolloutCall struct {
	Tool    int
	ID      uint64
	Agent   int
	Request protocol.Request
}

func newRolloutSystem(b Bounds, fault string) *rolloutSystem {
	r := &rolloutSystem{bounds: b, fault: fault, checker: invariant.NewRolloutChecker(b.Agents - 1), limits: supervisor.Limits{
		ReadyTimeoutSeconds: 100, TerminationGraceSeconds: 0.5,
		HealthCheckSeconds: 1e9, CounterReadSeconds: 1e9, RecentSeconds: 1,
		MinBackoffSeconds: 0.5, MaxBackoffSeconds: 1, StableSeconds: 1e9, MaxCrashes: 9, MaxMissedHealthChecks: 9, KillRetrySeconds: 100,
	}}
	r.fleet = &rollout.Fleet{ZoneMinAvailable: []int{0}, MinAvailable: b.Agents - 1, Timing: rollout.Timing{
		SoakSeconds: 0, StaleAfterSeconds: 1.5, ContactTimeoutSeconds: 100, StepTimeoutSeconds: 100,
	}}
	if fault == "floorless" {
		r.fleet.MinAvailable--
	}
	for i := range b.Agents {
		r.fleet.Instances = append(r.fleet.Instances, rollout.Instance{Agent: i})
		r.names = append(r.names, fmt.Sprint("n", i))
		agent := &rolloutAgent{
			routerRuns: true, routerServes: true, incarnation: 1,
			record: supervisor.Record{ShouldRun: true, Revision: "old", Incarnation: 1},
		}
		r.agents = append(r.agents, agent)
		r.startAgent(i)
		for len(agent.pendingActions) > 0 {
			r.runNextAction(i)
		}
	}
	for t := range b.Tools {
		r.tools = append(r.tools, &rolloutTool{})
		r.startTool(t)
	}
	r.runTools()
	return r
}

// startTool starts a tool's run: tool 0 begins a rollout, each other tool takes over and resumes the present one.
func (r *rolloutSystem) startTool(t int) {
	tool := r.tools[t]
	tool.holder = fmt.Sprint("t", t)
	task := coordinator.Task{Operation: coordinator.OperationBegin, Takeover: t > 0, Rollout: protocol.Rollout{
		Rollout: rollout.Rollout{ID: tool.holder, Revision: fmt.Sprint("new", t)},
	}}
	if t > 0 {
		task.Operation = coordinator.OperationResume
	}
	tool.coordinator = coordinator.New(coordinator.Config{
		Fleet: r.fleet, InstanceNames: r.names, AgentCount: len(r.agents), Holder: tool.holder,
		Timing: coordinator.Timing{PollSeconds: rolloutTickSeconds, MajorityTimeoutSeconds: 50}, Task: task,
		Random: func() float64 { return 0.5 },
	})
	tool.calls, tool.ended = nil, false
}

// runTools runs every tool as far as it gets without a call that changes an agent.
func (r *rolloutSystem) runTools() {
	for t, tool := range r.tools {
		for again := true; again && tool.coordinator != nil; {
			again = false
			sends, _ := tool.coordinator.Tick(r.now)
			tool.coordinator.TakeEvents()
			for _, send := range sends {
				call := rolloutCall{Tool: t, ID: send.ID, Agent: send.Agent, Request: send.Request}
				if send.Request.Verb != protocol.StatusVerb {
					tool.calls = append(tool.calls, call)
					continue
				}
				r.deliverCall(call, true)
				again = true
			}
			if outcome, over := tool.coordinator.Outcome(); over {
				tool.coordinator, tool.calls, tool.outcome = nil, nil, outcome
				tool.ended = outcome.Kind == coordinator.OutcomeEnded && outcome.Rollout.State.Terminal()
			}
		}
	}
}

// deliverCall delivers a call to its agent, and the reply to the tool if replyArrives.
func (r *rolloutSystem) deliverCall(call rolloutCall, replyArrives bool) {
	agent, caller := r.agents[call.Agent], r.tools[call.Tool].coordinator
	if !agent.alive {
		if caller != nil { // every call ends, also one to a stopped agent
			caller.HandleFailure(r.now, call.ID, "gone")
		}
		return
	}
	reply := r.handleCall(call)
	if replyArrives && caller != nil {
		caller.HandleReply(r.now, call.ID, reply)
	} else if caller != nil {
		caller.HandleFailure(r.now, call.ID, "lost")
	}
}

// handleCall lets an agent handle a call and returns its reply.
func (r *rolloutSystem) handleCall(call rolloutCall) protocol.Reply {
	agent := r.agents[call.Agent]
	if r.fault == "unkept" && call.Request.Verb == protocol.StoreRecordVerb {
		return protocol.Reply{LeaseState: agent.handler.Lease.State(r.now)}
	}
	if r.fault == "epoch-twice" && call.Request.Verb == protocol.RequestLeaseVerb &&
		call.Request.LeaseRequest.Epoch == agent.handler.Lease.Epoch {
		agent.handler.Lease.Epoch--
		agent.handler.Lease.Held = false
	}
	if call.Request.Verb == protocol.BeginStepVerb {
		call.Request.Step.OnlyIfNotServing = call.Request.Step.OnlyIfNotServing && r.fault != "rash"
		r.checker.StepSent(stepName(call.Request.Step), r.isRecordedByMajority(call.Request.Epoch))
	}
	reply, effects := agent.handler.Handle(r.now, call.Request)
	if r.fault == "two-begin" {
		hidePendingSteps(&reply)
	}
	isChange := call.Request.Verb == protocol.BeginStepVerb || call.Request.Verb == protocol.StoreRecordVerb
	if reply.Denial == lease.Granted && isChange {
		r.checker.ChangeGranted(call.Request.Epoch, call.Request.Holder)
	}
	if effects.Lease {
		agent.lease = agent.handler.Lease.PersistentState
	}
	if effects.ChangedInstance >= 0 {
		r.storeRecord(call.Agent)
	}
	agent.pendingActions = append(agent.pendingActions, effects.Actions...)
	return reply
}

// stepName returns the name by which the checker knows a step.
func stepName(s rollout.Step) string { return fmt.Sprint(s.RolloutID, "/", s.Number) }

// isRecordedByMajority reports whether a majority of agents has stored a record of an epoch or a later one.
func (r *rolloutSystem) isRecordedByMajority(epoch uint64) bool {
	recorded := 0
	for _, a := range r.agents {
		if a.lease.Record.Version.Epoch >= epoch {
			recorded++
		}
	}
	return recorded >= lease.Majority(len(r.agents))
}

// hidePendingSteps changes a reply so that no instance is in a step.
func hidePendingSteps(reply *protocol.Reply) {
	for i := range reply.Instances {
		instance := &reply.Instances[i]
		if instance.LastStep.Number != 0 && instance.LastResult == rollout.StepPending {
			instance.LastResult, instance.State, instance.Revision = rollout.StepSucceeded, rollout.ProcessReady, instance.LastStep.Revision
		}
	}
}

// storeRecord stores an instance's record and tells the checker whether its step began or ended.
func (r *rolloutSystem) storeRecord(i int) {
	agent := r.agents[i]
	agent.record = agent.handler.Supervisors[0].Record
	open := agent.record.Step.Number != 0 && agent.record.Result == rollout.StepPending
	switch {
	case open && !agent.stepOpen:
		r.checker.StepBegun(i, fmt.Sprint(agent.record.Step.RolloutID, "/", agent.record.Step.Number))
	case !open && agent.stepOpen:
		r.checker.StepEnded(i)
	}
	agent.stepOpen = open
}

// startAgent starts an agent, or restarts it from what it has stored.
func (r *rolloutSystem) startAgent(i int) {
	agent := r.agents[i]
	agent.alive, agent.pendingActions = true, nil
	agent.starts++
	if r.fault == "forgetful" {
		agent.lease = lease.PersistentState{}
	}
	routerSupervisor, transition := supervisor.NewSupervisor(agent.record, &r.limits)
	agent.handler = supervisor.RequestHandler{
		Agent: fmt.Sprint("a", i), InstanceNames: []string{r.names[i]}, Lease: lease.Restore(agent.lease, rolloutLeaseSeconds, r.now),
		Supervisors: []supervisor.Supervisor{routerSupervisor},
	}
	agent.pendingActions = append(agent.pendingActions, transition.Actions...)
}

// runNextAction carries out an agent's next action and reports the outcome to its supervisor.
func (r *rolloutSystem) runNextAction(i int) {
	agent := r.agents[i]
	routerSupervisor := &agent.handler.Supervisors[0]
	action := agent.pendingActions[0]
	agent.pendingActions = agent.pendingActions[1:]
	var transition supervisor.Transition
	switch action.Kind {
	case supervisor.ActionFindProcess:
		transition = routerSupervisor.ProcessFound(r.now,
			agent.routerRuns && agent.incarnation == action.Incarnation && (r.fault != "twin" || agent.starts == 1))
	case supervisor.ActionPrepareRevision:
		transition = routerSupervisor.RevisionPrepared(r.now, supervisor.Preparation{DrainSeconds: 100}, nil)
	case supervisor.ActionInstallRevision:
		transition = routerSupervisor.RevisionInstalled(r.now, nil)
	case supervisor.ActionStart:
		transition = r.startRouter(i, action.Incarnation)
	case supervisor.ActionHealthCheck:
		agent.routerServes = agent.routerRuns
		transition = routerSupervisor.HealthChecked(r.now, agent.routerRuns)
	case supervisor.ActionTerminate:
		transition = r.terminateRouter(i)
	case supervisor.ActionReadCounters, supervisor.ActionKill, supervisor.ActionReload: // they have no effect in this system
	}
	if transition.Store {
		r.storeRecord(i)
	}
	agent.pendingActions = append(agent.pendingActions, transition.Actions...)
}

func (r *rolloutSystem) startRouter(i int, incarnation uint64) supervisor.Transition {
	agent := r.agents[i]
	running := 0
	if agent.routerRuns {
		running = 1
	}
	r.checker.ProcessStarted(i, running)
	agent.routerRuns, agent.routerServes, agent.incarnation = true, false, incarnation
	if r.fault == "untold-start" {
		return supervisor.Transition{}
	}
	return agent.handler.Supervisors[0].ProcessStarted(r.now, incarnation, nil)
}

func (r *rolloutSystem) terminateRouter(i int) supervisor.Transition {
	agent := r.agents[i]
	othersServing := 0
	for j, other := range r.agents {
		if j != i && other.routerServes {
			othersServing++
		}
	}
	if agent.routerServes {
		r.checker.RouterStopped(i, othersServing)
	}
	agent.routerRuns, agent.routerServes = false, false
	return agent.handler.Supervisors[0].ProcessExited(r.now, "ended")
}

// Steps implements modelcheck.System.
func (r *rolloutSystem) Steps() []string {
	mayInject := func(kind string) bool { return r.bounds.mayInject(kind, r.faults) }
	var steps stepList
	for i, agent := range r.agents {
		steps.addIf(agent.alive && len(agent.pendingActions) > 0, "act %d", i)
		steps.addIf(agent.alive && mayInject("die"), "die agent %d", i)
		steps.addIf(!agent.alive, "back agent %d", i)
		steps.addIf(agent.alive && agent.routerRuns && mayInject("crash") && r.crashAllowed(), "crash %d", i)
	}
	for t, tool := range r.tools {
		if tool.coordinator != nil {
			r.addToolSteps(&steps, t, tool)
		}
	}
	for k := range r.delayedCalls {
		steps.add("arrive %d", k)
	}
	steps.addIf(r.ticks < r.bounds.Ticks, "tick")
	return steps
}

// addToolSteps adds what may happen to a tool and its calls.
func (r *rolloutSystem) addToolSteps(steps *stepList, t int, tool *rolloutTool) {
	mayInject := func(kind string) bool { return r.bounds.mayInject(kind, r.faults) }
	steps.addIf(mayInject("die"), "die tool %d", t)
	for k := range tool.calls {
		steps.add("deliver %d %d", t, k)
		for _, kind := range []string{"lose", "deafen", "delay"} {
			steps.addIf(mayInject(kind), "%s %d %d", kind, t, k)
		}
	}
}

// Commute implements modelcheck.Commuter. An agent's own actions do not change another agent.
func (r *rolloutSystem) Commute(a, b string) bool {
	if modelcheck.Kind(a) != "act" {
		a, b = b, a
	}
	if modelcheck.Kind(a) != "act" || a[len(a)-1] == b[len(b)-1] {
		return false
	}
	return modelcheck.Kind(b) == "act" || strings.HasPrefix(b, "die agent")
}

// crashAllowed reports whether a router may crash now: no step is open or being sent, no call is delayed, and a time step, which
// crashRouter takes, is left. A router that crashes between the plan's last status call and the step may bring its zone below the
// number of instances that must serve, which no plan can prevent.
func (r *rolloutSystem) crashAllowed() bool {
	for _, a := range r.agents {
		if a.stepOpen || len(a.pendingActions) > 0 {
			return false
		}
	}
	for _, tool := range r.tools {
		for _, call := range tool.calls {
			if call.Request.Verb == protocol.BeginStepVerb {
				return false
			}
		}
	}
	return len(r.delayedCalls) == 0 && r.ticks < r.bounds.Ticks
}

// passTick lets one time step pass.
func (r *rolloutSystem) passTick() {
	r.ticks++
	r.now += rolloutTickSeconds
	for i, a := range r.agents {
		if routerSupervisor := &a.handler.Supervisors[0]; a.alive && r.now >= routerSupervisor.NextTick() {
			transition := routerSupervisor.Tick(r.now)
			if transition.Store {
				r.storeRecord(i)
			}
			a.pendingActions = append(a.pendingActions, transition.Actions...)
		}
	}
}

// Take implements modelcheck.System.
func (r *rolloutSystem) Take(step string) {
	kind, n, k := parseStep(step)
	switch kind {
	case "act":
		r.runNextAction(n)
	case "die", "back": // the second word of the step is "agent" or "tool"
		_, _ = fmt.Sscanf(step[strings.LastIndexByte(step, ' ')+1:], "%d", &n)
		r.killOrRestart(step, n)
	case "tick":
		r.passTick()
	case "crash":
		r.crashRouter(n)
	case "arrive":
		call := r.delayedCalls[n]
		r.delayedCalls = slices.Delete(slices.Clone(r.delayedCalls), n, n+1)
		if r.agents[call.Agent].alive {
			r.handleCall(call)
		}
	default:
		r.endCall(kind, n, k)
	}
	r.runTools()
}

// killOrRestart kills a tool or an agent, or restarts an agent.
func (r *rolloutSystem) killOrRestart(step string, n int) {
	switch {
	case strings.HasPrefix(step, "back"):
		r.startAgent(n)
	case strings.HasPrefix(step, "die tool"):
		r.faults++
		r.tools[n].coordinator, r.tools[n].calls = nil, nil
	default:
		r.faults++
		r.agents[n].alive = false
	}
}

// crashRouter ends a router's process. Its agent notices before anything else happens, and then one time step passes.
func (r *rolloutSystem) crashRouter(n int) {
	r.faults++
	agent := r.agents[n]
	agent.routerRuns, agent.routerServes = false, false
	if transition := agent.handler.Supervisors[0].ProcessExited(r.now, "by itself"); transition.Store {
		r.storeRecord(n)
	}
	r.ticks++
	r.now += rolloutTickSeconds
}

// endCall delivers, loses or delays a tool's call.
func (r *rolloutSystem) endCall(kind string, n, index int) {
	tool := r.tools[n]
	call := tool.calls[index]
	tool.calls = slices.Delete(slices.Clone(tool.calls), index, index+1)
	switch kind {
	case "deliver":
		r.deliverCall(call, true)
	case "deafen":
		r.faults++
		r.deliverCall(call, false)
	default: // lose or delay
		r.faults++
		tool.coordinator.HandleFailure(r.now, call.ID, "lost")
		if kind == "delay" {
			r.delayedCalls = append(r.delayedCalls, call)
		}
	}
}

// rolloutRules ignore call ids, which only tell calls apart, readings of counters and of the lease's age, which no decision here
// uses, and fields that are the same in all states. Times count from now.
var rolloutRules = &modelcheck.Rules{
	FloatGrain: 1e-6,
	Ignored: modelcheck.Fields{
		"lease.State":             {"HeldSeconds", "RemainingSeconds"},
		"rollout.Planner":         {"Fleet"},
		"rollout.Observation":     {"ReadySeconds"},
		"coordinator.Config":      {"Fleet", "Random", "Timing"},
		"coordinator.Coordinator": {"events", "lastCallID", "pendingCalls", "statuses"},
		"coordinator.agent":       {"leaseState", "pendingCommand", "pendingQuery"},
		"models.rolloutCall":      {"ID"},
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

// Fingerprint implements modelcheck.System.
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
	h.Value(r.checker)
}

// Broken implements modelcheck.System.
func (r *rolloutSystem) Broken() (string, string) { return r.checker.Broken() }

// Ended implements modelcheck.System: a tool has ended with the rollout in a final state.
func (r *rolloutSystem) Ended() bool {
	for _, t := range r.tools {
		if t.ended {
			return true
		}
	}
	return false
}
