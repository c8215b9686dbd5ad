package drill

import (
	"fmt"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/tend"
)

// actor is an agent and its one router.
type actor struct {
	w      *theatre
	i      int
	desk   tend.RequestHandler
	claims claim.PersistentState
	record tend.Record
	alive  bool
	life   int // which; events of an earlier one are lost
	born   float64
	drift  float64 // its clock's rate
	leap   float64
	alarm  float64
	router struct {
		runs bool
		mark uint64
	}
	open string // the step that is open
}

func (a *actor) die(away float64) {
	if !a.alive {
		return
	}
	a.w.report.Deaths++
	a.alive = false
	a.life++
	a.w.at(away, a.birth)
}

func (a *actor) now() float64 { return (a.w.now-a.born)*a.drift + a.leap }

func (a *actor) birth() {
	a.alive, a.born, a.leap = true, a.w.now, 0
	a.life++
	if a.w.Break == "forget" {
		a.claims = claim.PersistentState{}
	}
	a.desk = tend.RequestHandler{Agent: fmt.Sprint("a", a.i), InstanceNames: []string{a.w.names[a.i]}, Lease: claim.Restore(a.claims, 5, 0)}
	x, out := tend.NewSupervisor(a.record, &a.w.limits)
	a.desk.Supervisors = []tend.Supervisor{x}
	a.carry(out.Actions)
	a.tick()
}

// later is something that this life of the agent hears of after a while.
func (a *actor) later(in float64, do func(x *tend.Supervisor) tend.Transition) {
	life := a.life
	a.w.at(in, func() {
		if a.life == life {
			a.event(do)
		}
	})
}

func (a *actor) event(do func(x *tend.Supervisor) tend.Transition) {
	out := do(&a.desk.Supervisors[0])
	if out.Store {
		a.store()
	}
	a.carry(out.Actions)
	a.tick()
}

// store makes the record durable; now and then the agent dies right after it.
func (a *actor) store() {
	x := &a.desk.Supervisors[0]
	a.record = x.Record
	a.saw()
	if a.w.rng.IntN(40) == 0 {
		a.die(0.1 + a.w.rng.ExpFloat64()*4)
	}
}

func (a *actor) carry(do []tend.Action) {
	w := a.w
	for _, e := range do {
		if !a.alive {
			return
		}
		switch e.Kind {
		case tend.ActionFindProcess:
			running := a.router.runs && a.router.mark == e.Incarnation
			a.later(0.01, func(x *tend.Supervisor) tend.Transition { return x.ProcessFound(a.now(), running) })
		case tend.ActionPrepareRevision:
			reload := w.rng.IntN(3) == 0
			a.later(0.02, func(x *tend.Supervisor) tend.Transition {
				return x.RevisionPrepared(a.now(), tend.Preparation{ReloadSuffices: reload, DrainSeconds: 3}, nil)
			})
		case tend.ActionInstallRevision:
			a.later(0.02, func(x *tend.Supervisor) tend.Transition { return x.RevisionInstalled(a.now(), nil) })
		case tend.ActionStart:
			if a.router.runs {
				w.report.Break("round %d, seed %d: a second router was started by agent %d at %.3f", w.n, w.Seed, a.i, w.now)
			}
			a.router.runs, a.router.mark = true, e.Incarnation
			a.later(0.02, func(x *tend.Supervisor) tend.Transition { return x.ProcessStarted(a.now(), e.Incarnation, nil) })
		case tend.ActionHealthCheck:
			ok := a.router.runs
			a.later(0.02, func(x *tend.Supervisor) tend.Transition { return x.HealthChecked(a.now(), ok) })
		case tend.ActionTerminate, tend.ActionKill:
			mark := a.router.mark
			w.at(0.05+w.rng.ExpFloat64()*0.3, func() {
				if a.router.runs && a.router.mark == mark {
					a.router.runs = false
					a.later(0, func(x *tend.Supervisor) tend.Transition { return x.ProcessExited(a.now(), "ended") })
				}
			})
		case tend.ActionReload:
			a.later(0.05, func(x *tend.Supervisor) tend.Transition { return x.ReloadReported(a.now(), "") })
		}
	}
}

func (a *actor) tick() {
	wake := a.desk.Supervisors[0].NextTick()
	if !a.alive || wake > 1e9 {
		return
	}
	in := max(0.01, (wake-a.now())/a.drift)
	a.alarm = a.w.now + in
	alarm := a.alarm
	life := a.life
	a.w.at(in, func() {
		if a.life == life && a.alarm == alarm {
			a.event(func(x *tend.Supervisor) tend.Transition { return x.Tick(a.now()) })
		}
	})
}

func (a *actor) answer(c form.Request) (form.Reply, bool) {
	if !a.alive {
		return form.Reply{}, false
	}
	if a.w.Break == "unfenced" && c.Verb == form.BeginStepVerb {
		c.Epoch, c.Holder = a.desk.Lease.Epoch, a.desk.Lease.Holder
		a.desk.Lease.Acquire(a.now(), claim.Request{Epoch: c.Epoch, Holder: c.Holder})
	}
	if a.w.Break == "unkept" && c.Verb == form.StoreRecordVerb {
		return form.Reply{LeaseState: a.desk.Lease.State(a.now())}, true
	}
	r, s := a.desk.Handle(a.now(), c)
	if c.Verb == form.BeginStepVerb && (r.Denial == claim.StaleEpoch || r.Denial == claim.Expired) {
		a.w.report.Late++
	}
	if s.Lease {
		a.claims = a.desk.Lease.PersistentState
	}
	if s.ChangedInstance >= 0 {
		a.store()
		if !a.alive { // it was stored, and not answered
			return form.Reply{}, false
		}
	}
	a.carry(s.Actions)
	a.tick()
	return r, true
}
