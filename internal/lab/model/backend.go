package model

import (
	"math"

	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/router"
)

// backend is a database server: a primary or replica of a shard.
type backend struct {
	world       *World
	node        int
	shard       int
	primary     bool
	drains      bool
	listedState router.EndpointState // the state that routers were last told
	listedSince float64
	down        bool
	hung        bool
	cut         bool
	slow        float64
	started     float64 // virtual time in seconds; -Inf: long ago
	busy        int
	inTransit   int // attempts under way on the network
	queue       []*attempt
	working     map[*attempt]bool
	applied     float64  // commit time of the newest record that it has applied
	log         []record // shipped and not yet applied, in order of commits
	until       float64  // when the apply thread will have applied all of them
	cold        invariant.SlowStartChecker
}

// attempt is one transmission of a command to a backend.
type attempt struct {
	command  *command
	number   int
	at       *backend
	sent     float64
	open     bool // its router still waits for the result
	started  bool
	position float64 // of the data that it read
}

// capacityShare is the part of its capacity that it has at the time: less than 1 while it warms up.
func (b *backend) capacityShare(now float64) float64 {
	f := &b.world.spec.Fleet
	return math.Min(1, f.ColdShare+(1-f.ColdShare)*math.Max(0, now-b.started)/float64(f.WarmIn))
}

// receive takes in an attempt: it begins, waits in the queue or is rejected.
func (b *backend) receive(a *attempt) {
	w := b.world
	switch {
	case b.cut: // nothing arrives; the attempt times out
		return
	case b.down:
		w.deliverResult(a, router.ConnectFailed, w.networkDelay())
		return
	}
	if now := w.now; now-b.started < float64(w.spec.Fleet.WarmIn) {
		b.cold.AttemptSent(now, b.started)
		if p, how := b.cold.Broken(); p != "" {
			w.recordViolation(p, how)
			b.cold = w.coldBudget()
			b.crash()
			w.after(float64(w.spec.Fleet.WarmIn)/4, b.start)
			return
		}
	}
	if b.busy >= w.spec.Fleet.Slots || b.hung {
		if len(b.queue) >= w.spec.Fleet.Queue {
			w.deliverResult(a, router.Overloaded, w.networkDelay())
			return
		}
		b.queue = append(b.queue, a)
		return
	}
	b.begin(a)
}

// begin executes an attempt. Attempts that were canceled before are not begun.
func (b *backend) begin(a *attempt) {
	w := b.world
	g := &w.spec.Groups[a.command.group]
	if need := consistencies[g.Need]; need == router.PrimaryOnly && !b.primary {
		w.deliverResult(a, router.NotServed, w.networkDelay())
		b.beginQueued()
		return
	}
	b.busy++
	a.started = true
	a.position = b.position(w.now)
	b.working[a] = true
	took := w.drawWork(a.command.group) * b.slow / b.capacityShare(w.now)
	w.after(took, func() { b.finish(a) })
}

func (b *backend) finish(a *attempt) {
	if !b.working[a] { // it crashed, or the attempt was canceled
		return
	}
	delete(b.working, a)
	b.busy--
	if b.hung { // it is done, and no answer is sent
		return
	}
	if consistencies[b.world.spec.Groups[a.command.group].Need] == router.PrimaryOnly {
		a.position = b.world.commit(b)
	}
	if !b.cut {
		b.world.deliverResult(a, router.Answered, b.world.networkDelay())
	}
	b.beginQueued()
}

// beginQueued begins the next attempt of the queue whose router still waits, if a slot is free.
func (b *backend) beginQueued() {
	for len(b.queue) > 0 && b.busy < b.world.spec.Fleet.Slots && !b.hung {
		a := b.queue[0]
		b.queue = b.queue[1:]
		if a.open {
			b.begin(a)
			return
		}
	}
}

// cancel stops an attempt that is being executed.
func (b *backend) cancel(a *attempt) {
	if b.working[a] && !b.hung {
		delete(b.working, a)
		b.busy--
		b.beginQueued()
	}
}

// crash loses the connections of all attempts, executed and queued.
func (b *backend) crash() {
	b.down = true
	var lost []*attempt
	for a := range b.working {
		lost = append(lost, a)
	}
	lost = append(sortAttempts(lost), b.queue...)
	b.working, b.queue, b.busy = map[*attempt]bool{}, nil, 0
	for _, a := range lost {
		b.world.deliverResult(a, router.ConnectionLost, b.world.networkDelay())
	}
}

// start ends a crash. The backend warms up.
func (b *backend) start() {
	b.down, b.hung = false, false
	b.started = b.world.now
	b.cold = b.world.coldBudget()
	b.world.publishEndpoints()
}

// resume ends a hang: queued attempts begin.
func (b *backend) resume() {
	b.hung = false
	for range b.world.spec.Fleet.Slots {
		b.beginQueued()
	}
}
