package drill

import (
	"fmt"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/supervisor"
)

// Virtual seconds that an agent's actions take.
const (
	findProcessSeconds = 0.01
	actionSeconds      = 0.02 // preparing, installing, starting, checking
	reloadSeconds      = 0.05
	minExitSeconds     = 0.05 // of a router that was told to end
	meanExitSeconds    = 0.3  // beyond that
	drainSeconds       = 3

	minTickSeconds = 0.01
	never          = 1e9 // later than any time of a round
)

// simulatedAgent is an agent with one router. Its decisions are those of the real agent; its store, processes and clock are
// simulated.
type simulatedAgent struct {
	round       *leaseRound
	index       int
	handler     supervisor.RequestHandler
	storedLease lease.PersistentState
	record      supervisor.Record // as it is stored
	alive       bool
	incarnation int     // events of an earlier one are dropped
	startedAt   float64 // virtual seconds
	clockRate   float64 // seconds of its clock a virtual second
	clockOffset float64 // seconds that its clock has jumped
	nextTick    float64 // virtual seconds; an earlier scheduled tick is dropped
	router      simulatedRouter
	openStep    string // name of the step that is open; empty: none
}

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

// crash ends the agent and has it start again after so many virtual seconds. Its router goes on.
func (a *simulatedAgent) crash(downSeconds float64) {
	if !a.alive {
		return
	}
	a.round.report.Crashes++
	a.alive = false
	a.incarnation++
	a.round.after(downSeconds, a.start)
}

// now is the time of the agent's own clock.
func (a *simulatedAgent) now() float64 { return (a.round.now-a.startedAt)*a.clockRate + a.clockOffset }

// start restores the agent from what it has stored.
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

// supervisorEvent is a call of the agent's supervisor.
type supervisorEvent func(s *supervisor.Supervisor) supervisor.Transition

// after schedules an event in so many virtual seconds, unless the agent crashes before.
func (a *simulatedAgent) after(seconds float64, e supervisorEvent) {
	incarnation := a.incarnation
	a.round.after(seconds, func() {
		if a.incarnation == incarnation {
			a.handle(e)
		}
	})
}

// handle has the supervisor take an event, and does what it asks for: store first, then act.
func (a *simulatedAgent) handle(e supervisorEvent) {
	transition := e(a.supervisor())
	if transition.Store {
		a.store()
	}
	a.perform(transition.Actions)
	a.scheduleTick()
}

// store makes the record durable; now and then the agent crashes right after it.
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
		a.round.violation("a second router was started by agent %d at %.3f", a.index, a.round.now)
	}
	a.router = simulatedRouter{running: true, incarnation: incarnation}
	a.after(actionSeconds, func(s *supervisor.Supervisor) supervisor.Transition {
		return s.ProcessStarted(a.now(), incarnation, nil)
	})
}

// endRouter has the router exit after a while, also if the agent crashes meanwhile.
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

// answer handles a request. It returns false if the agent is down, or crashes before it replies.
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
		if !a.alive { // it crashed between the store and the reply
			return protocol.Reply{}, false
		}
	}
	a.perform(changes.Actions)
	a.scheduleTick()
	return reply, true
}
