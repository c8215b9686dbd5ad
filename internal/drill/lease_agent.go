package drill

import (
	"fmt"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/supervisor"
)

// Durations of an agent's actions, in virtual seconds.
const (
	findProcessSeconds = 0.01
	actionSeconds      = 0.02 // to prepare or install a revision, start a router or check its health
	reloadSeconds      = 0.05
	minExitSeconds     = 0.05 // least time in which a router that was signaled to end exits
	meanExitSeconds    = 0.3  // mean of the random time on top of minExitSeconds
	drainSeconds       = 3

	minTickSeconds = 0.01
	never          = 1e9 // later than any time of a round
)

// simulatedAgent is an agent with one router. It uses the decision code of the real agent; its store, processes and clock are
// simulated.
type simulatedAgent struct {
	round       *leaseRound
	index       int
	handler     supervisor.RequestHandler
	storedLease lease.PersistentState
	record      supervisor.Record // as last stored
	alive       bool
	incarnation int     // number of this run of the agent; events of an earlier one are dropped
	startedAt   float64 // virtual time of the last start, in seconds
	clockRate   float64 // seconds by which the agent's clock advances in a virtual second
	clockOffset float64 // seconds by which the agent's clock has jumped since the last start
	nextTick    float64 // virtual time in seconds; a tick that was scheduled for another time is dropped
	router      simulatedRouter
	openStep    string // step that has begun and not ended, as the history names it; empty: none
}

// simulatedRouter is the router process of a simulated agent.
type simulatedRouter struct {
	running     bool
	incarnation uint64
}

func newSimulatedAgent(r *leaseRound, index int) *simulatedAgent {
	return &simulatedAgent{
		round: r, index: index,
		clockRate: slowestClock + clockRateSpread*r.rng.Float64(),
		record:    supervisor.Record{ShouldRun: true, Revision: "a", Incarnation: 1},
		router:    simulatedRouter{running: true, incarnation: 1},
	}
}

// crash stops the agent and schedules its restart after the given number of virtual seconds. Its router keeps running.
func (a *simulatedAgent) crash(downSeconds float64) {
	if !a.alive {
		return
	}
	a.round.report.Crashes++
	a.alive = false
	a.incarnation++
	a.round.after(downSeconds, a.start)
}

// now returns the time of the agent's own clock in seconds.
func (a *simulatedAgent) now() float64 { return (a.round.now-a.startedAt)*a.clockRate + a.clockOffset }

// start starts the agent with its stored lease and record.
func (a *simulatedAgent) start() {
	r := a.round
	a.alive = true
	a.startedAt = r.now
	a.clockOffset = 0
	a.incarnation++
	if r.options.Fault == faultForget {
		a.storedLease = lease.PersistentState{}
	}
	a.handler = supervisor.RequestHandler{
		Agent: fmt.Sprint("a", a.index), InstanceNames: []string{r.instanceNames[a.index]},
		Lease: lease.Restore(a.storedLease, leaseSeconds, 0),
	}
	supervised, transition := supervisor.NewSupervisor(a.record, &r.limits)
	a.handler.Supervisors = []supervisor.Supervisor{supervised}
	a.perform(transition.Actions)
	a.scheduleTick()
}

func (a *simulatedAgent) supervisor() *supervisor.Supervisor { return &a.handler.Supervisors[0] }

// supervisorEvent passes an event to the agent's supervisor and returns the transition.
type supervisorEvent func(s *supervisor.Supervisor) supervisor.Transition

// after schedules a supervisor event after the given number of virtual seconds. The event is dropped if the agent crashes
// before.
func (a *simulatedAgent) after(seconds float64, e supervisorEvent) {
	incarnation := a.incarnation
	a.round.after(seconds, func() {
		if a.incarnation == incarnation {
			a.handle(e)
		}
	})
}

// handle passes an event to the supervisor, stores the record if the transition requires it, and then performs the actions.
func (a *simulatedAgent) handle(e supervisorEvent) {
	transition := e(a.supervisor())
	if transition.Store {
		a.store()
	}
	a.perform(transition.Actions)
	a.scheduleTick()
}

// store makes the record durable. With a chance of 1 in 40 the agent crashes right afterwards.
func (a *simulatedAgent) store() {
	a.record = a.supervisor().Record
	a.recordStepChange()
	if a.round.rng.IntN(40) == 0 {
		a.crash(0.1 + a.round.rng.ExpFloat64()*4)
	}
}

func (a *simulatedAgent) perform(actions []supervisor.Action) {
	for _, action := range actions {
		if !a.alive {
			return
		}
		a.performOne(action)
	}
}

func (a *simulatedAgent) performOne(action supervisor.Action) {
	switch action.Kind {
	case supervisor.ActionFindProcess:
		running := a.router.running && a.router.incarnation == action.Incarnation
		a.after(findProcessSeconds, func(s *supervisor.Supervisor) supervisor.Transition { return s.ProcessFound(a.now(), running) })
	case supervisor.ActionPrepareRevision:
		preparation := supervisor.Preparation{ReloadSuffices: a.round.rng.IntN(3) == 0, DrainSeconds: drainSeconds}
		a.after(actionSeconds, func(s *supervisor.Supervisor) supervisor.Transition {
			return s.RevisionPrepared(a.now(), preparation, nil)
		})
	case supervisor.ActionInstallRevision:
		a.after(actionSeconds, func(s *supervisor.Supervisor) supervisor.Transition { return s.RevisionInstalled(a.now(), nil) })
	case supervisor.ActionStart:
		a.startRouter(action.Incarnation)
	case supervisor.ActionHealthCheck:
		healthy := a.router.running
		a.after(actionSeconds, func(s *supervisor.Supervisor) supervisor.Transition { return s.HealthChecked(a.now(), healthy) })
	case supervisor.ActionTerminate, supervisor.ActionKill:
		a.endRouter()
	case supervisor.ActionReload:
		a.after(reloadSeconds, func(s *supervisor.Supervisor) supervisor.Transition { return s.ReloadReported(a.now(), "") })
	case supervisor.ActionReadCounters: // simulated routers serve no commands
	}
}

func (a *simulatedAgent) startRouter(incarnation uint64) {
	if a.router.running {
		a.round.recordViolation("agent %d started a second router at %.3f", a.index, a.round.now)
	}
	a.router = simulatedRouter{running: true, incarnation: incarnation}
	a.after(actionSeconds, func(s *supervisor.Supervisor) supervisor.Transition {
		return s.ProcessStarted(a.now(), incarnation, nil)
	})
}

// endRouter makes the router exit after a random time, even if the agent crashes in the meantime.
func (a *simulatedAgent) endRouter() {
	incarnation := a.router.incarnation
	a.round.after(minExitSeconds+a.round.rng.ExpFloat64()*meanExitSeconds, func() {
		if !a.router.running || a.router.incarnation != incarnation {
			return
		}
		a.router.running = false
		a.after(0, func(s *supervisor.Supervisor) supervisor.Transition { return s.ProcessExited(a.now(), "ended") })
	})
}

func (a *simulatedAgent) scheduleTick() {
	wake := a.supervisor().NextTick()
	if !a.alive || wake > never {
		return
	}
	seconds := max(minTickSeconds, (wake-a.now())/a.clockRate)
	a.nextTick = a.round.now + seconds
	tick := a.nextTick
	incarnation := a.incarnation
	a.round.after(seconds, func() {
		if a.incarnation == incarnation && a.nextTick == tick {
			a.handle(func(s *supervisor.Supervisor) supervisor.Transition { return s.Tick(a.now()) })
		}
	})
}

// answer handles a request and returns the reply. It returns false if the agent is down or crashes before it replies.
func (a *simulatedAgent) answer(request protocol.Request) (protocol.Reply, bool) {
	if !a.alive {
		return protocol.Reply{}, false
	}
	fault := a.round.options.Fault
	if fault == faultUnfenced && request.Verb == protocol.BeginStepVerb {
		request.Epoch = a.handler.Lease.Epoch
		request.Holder = a.handler.Lease.Holder
		a.handler.Lease.Acquire(a.now(), lease.Request{Epoch: request.Epoch, Holder: request.Holder})
	}
	if fault == faultUnkept && request.Verb == protocol.StoreRecordVerb {
		return protocol.Reply{LeaseState: a.handler.Lease.State(a.now())}, true
	}
	reply, changes := a.handler.Handle(a.now(), request)
	if request.Verb == protocol.BeginStepVerb && (reply.Denial == lease.StaleEpoch || reply.Denial == lease.Expired) {
		a.round.report.StaleSteps++
	}
	if changes.Lease {
		a.storedLease = a.handler.Lease.PersistentState
	}
	if changes.ChangedInstance >= 0 {
		a.store()
		if !a.alive { // the agent crashed after storing, before replying
			return protocol.Reply{}, false
		}
	}
	a.perform(changes.Actions)
	a.scheduleTick()
	return reply, true
}
