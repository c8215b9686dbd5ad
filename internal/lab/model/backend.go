package model

import (
	"math"

	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/router"
)

// backend is a simulated database server, the primary or a replica of a shard.
type backend struct {
	world       *World
	index       int // in World.backends and in the endpoint list
	shard       int // index of its shard
	primary     bool
	draining    bool
	listedState router.EndpointState // state in the list that routers received last
	listedSince float64              // virtual time in seconds
	down        bool                 // after a crash
	hung        bool                 // neither begins nor answers commands
	cut         bool                 // not reachable over the network
	slowdown    float64              // factor by which commands take longer
	startedAt   float64              // virtual time in seconds, or -Inf if it is warm from the beginning
	busySlots   int
	inTransit   int // attempts that have been sent to it and not arrived
	queue       []*attempt
	executing   map[*attempt]bool
	applied     float64  // commit time up to which its data is known to be complete
	log         []record // records not yet applied, in order of commit
	applyDoneAt float64  // time at which all records in log will be applied
	coldCheck   invariant.SlowStartChecker
}

// attempt is one attempt to have a backend execute a command.
type attempt struct {
	command  *command
	number   int
	backend  *backend
	sentAt   float64
	pending  bool // the router waits for the result
	started  bool
	position float64 // position of the data that it read or wrote
}

// capacityShare returns the share of its full capacity that the backend has at the time. It is below 1 while the backend
// warms up.
func (b *backend) capacityShare(now float64) float64 {
	f := &b.world.spec.Fleet
	return math.Min(1, f.ColdShare+(1-f.ColdShare)*math.Max(0, now-b.startedAt)/float64(f.WarmUp))
}

// receive handles an attempt that arrives. It begins the attempt, queues it or rejects it.
func (b *backend) receive(a *attempt) {
	w := b.world
	switch {
	case b.cut: // the attempt never arrives, so it times out
		return
	case b.down:
		w.deliverResult(a, router.ConnectFailed, w.networkDelay())
		return
	}
	if now := w.now; now-b.startedAt < float64(w.spec.Fleet.WarmUp) {
		b.coldCheck.AttemptSent(now, b.startedAt)
		if property, detail := b.coldCheck.Broken(); property != "" {
			// The backend is overloaded while it warms up. It crashes, and restarts after a quarter of the warm-up time.
			w.recordViolation(property, detail)
			b.coldCheck = w.newColdCheck()
			b.crash()
			w.after(float64(w.spec.Fleet.WarmUp)/4, b.start)
			return
		}
	}
	if b.busySlots >= w.spec.Fleet.Slots || b.hung {
		if len(b.queue) >= w.spec.Fleet.Queue {
			w.deliverResult(a, router.Overloaded, w.networkDelay())
			return
		}
		b.queue = append(b.queue, a)
		return
	}
	b.begin(a)
}

// begin executes an attempt, or rejects a write that arrives at a replica. Callers pass only attempts that are
// not canceled.
func (b *backend) begin(a *attempt) {
	w := b.world
	g := &w.spec.Groups[a.command.group]
	if need := consistencies[g.Consistency]; need == router.PrimaryOnly && !b.primary {
		w.deliverResult(a, router.NotServed, w.networkDelay())
		b.beginQueued()
		return
	}
	b.busySlots++
	a.started = true
	a.position = b.position(w.now)
	b.executing[a] = true
	took := w.drawWork(a.command.group) * b.slowdown / b.capacityShare(w.now)
	w.after(took, func() { b.finish(a) })
}

// finish ends the execution of an attempt and sends its answer.
func (b *backend) finish(a *attempt) {
	if !b.executing[a] { // the backend has crashed, or the attempt is canceled
		return
	}
	delete(b.executing, a)
	b.busySlots--
	if b.hung { // it has executed the attempt, but sends no answer
		return
	}
	if consistencies[b.world.spec.Groups[a.command.group].Consistency] == router.PrimaryOnly {
		a.position = b.world.commit(b)
	}
	if !b.cut {
		b.world.deliverResult(a, router.Answered, b.world.networkDelay())
	}
	b.beginQueued()
}

// beginQueued begins the first attempt in the queue whose router still waits for it, if a slot is free. It drops those
// before it.
func (b *backend) beginQueued() {
	for len(b.queue) > 0 && b.busySlots < b.world.spec.Fleet.Slots && !b.hung {
		a := b.queue[0]
		b.queue = b.queue[1:]
		if a.pending {
			b.begin(a)
			return
		}
	}
}

// cancel stops an attempt that is being executed, unless the backend hangs.
func (b *backend) cancel(a *attempt) {
	if b.executing[a] && !b.hung {
		delete(b.executing, a)
		b.busySlots--
		b.beginQueued()
	}
}

// crash stops the backend. All attempts that it executes or has queued end with a lost connection.
func (b *backend) crash() {
	b.down = true
	var lost []*attempt
	for a := range b.executing {
		lost = append(lost, a)
	}
	lost = append(sortAttempts(lost), b.queue...)
	b.executing, b.queue, b.busySlots = map[*attempt]bool{}, nil, 0
	for _, a := range lost {
		b.world.deliverResult(a, router.ConnectionLost, b.world.networkDelay())
	}
}

// start restarts the backend after a crash. It then warms up.
func (b *backend) start() {
	b.down, b.hung = false, false
	b.startedAt = b.world.now
	b.coldCheck = b.world.newColdCheck()
	b.world.publishEndpoints()
}

// resume ends a hang and begins queued attempts, at most one for each slot.
func (b *backend) resume() {
	b.hung = false
	for range b.world.spec.Fleet.Slots {
		b.beginQueued()
	}
}
