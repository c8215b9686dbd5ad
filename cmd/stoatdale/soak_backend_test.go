package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"stoatdale.example/stoatdale/internal/pg"
)

// soakFault is a kind of fault of a backend.
type soakFault int32

const (
	soakNoFault soakFault = iota
	soakHangs
	soakRejects // rejects statements as overloaded, without running them
	soakErrs
	soakDisconnects  // closes connections that have a command in flight
	soakSendsGarbage // sends answers that cannot be parsed
	soakSlow
	soakGreetsLate // is late to send the start-up reply on new connections
	soakFaultCount // number of kinds
)

// soakGreetingDelay is the delay of the start-up reply of a backend with the fault soakGreetsLate.
const soakGreetingDelay = 1200 * time.Millisecond

// soakBackend is a backend whose fault, state and replication lag change.
type soakBackend struct {
	*testBackend
	id         string
	primary    bool
	fault      atomic.Int32
	draining   atomic.Bool
	notifiedAt atomic.Pointer[time.Time] // when its drain was published; nil while it does not drain
	lag        atomic.Int64              // lag of a replica's data, in nanoseconds
	applied    atomic.Int64              // log position in Unix nanoseconds, which never goes back
}

// appliedPosition returns the backend's log position.
func (b *soakBackend) appliedPosition() time.Time {
	reached := time.Now().UnixNano() - b.lag.Load()
	for {
		before := b.applied.Load()
		if reached <= before {
			return time.Unix(0, before)
		}
		if b.applied.CompareAndSwap(before, reached) {
			return time.Unix(0, reached)
		}
	}
}

func (s *soak) newBackend(number int) *soakBackend {
	b := &soakBackend{id: fmt.Sprint("b", number), primary: number == 0}
	b.testBackend = newTestBackend(s.t, func(statement string) []byte { return s.answer(b, statement) })
	b.position = b.appliedPosition
	b.beforeGreeting = func() {
		if soakFault(b.fault.Load()) == soakGreetsLate {
			time.Sleep(soakGreetingDelay)
		}
	}
	go func() {
		for range b.statements { // drains the channel; the ledger records the statements
		}
	}()
	return b
}

func (b *soakBackend) recovery() string {
	if b.primary {
		return "off"
	}
	return "on"
}

// answer records a statement, checks it, and answers it as the backend's fault demands.
func (s *soak) answer(b *soakBackend, statement string) []byte {
	markNotRun := s.ledger.recordArrival(b.id, statement)
	s.checkDrain(b)
	position := b.appliedPosition()
	s.checkStaleness(b, statement, position)
	refusal := func(code string) []byte {
		markNotRun()
		return pg.AppendReadyForQuery(pg.AppendErrorResponse(nil, false, code, "", ""))
	}
	if strings.HasPrefix(statement, "INSERT") && !b.primary {
		return refusal(pg.CodeReadOnlyTransaction)
	}
	time.Sleep(3 * time.Millisecond)
	switch soakFault(b.fault.Load()) {
	case soakHangs:
		for soakFault(b.fault.Load()) == soakHangs && !s.killed.Load() {
			time.Sleep(10 * time.Millisecond)
		}
	case soakRejects:
		return refusal(pg.CodeTooManyConnections)
	case soakErrs:
		return pg.AppendReadyForQuery(pg.AppendErrorResponse(nil, false, "XX000", "", ""))
	case soakDisconnects:
		return nil
	case soakSendsGarbage:
		return []byte("D\x7f\xff\xff\xff nonsense")
	case soakSlow:
		time.Sleep(200 * time.Millisecond)
	case soakNoFault, soakGreetsLate, soakFaultCount:
	}
	return rowAnswerAt(position, "value of "+strings.Split(statement, "'")[1], b.recovery())
}

// checkStaleness records a violation if a read has come to a replica whose data is older than the read's group allows.
func (s *soak) checkStaleness(b *soakBackend, statement string, position time.Time) {
	for _, g := range s.groups {
		if b.primary || g.staleness == 0 || !strings.Contains(statement, ",c="+g.name+",") {
			continue
		}
		late := time.Since(position) - g.staleness - graceSlack
		s.ledger.update(func() {
			if late > s.ledger.longestStall {
				s.ledger.violations = append(s.ledger.violations, fmt.Sprintf("%s got a read with data %v older than the bound %v", b.id, late, g.staleness))
			}
		})
	}
}

// checkDrain records a violation if a command has come to a draining backend after the drain grace.
func (s *soak) checkDrain(b *soakBackend) {
	at := b.notifiedAt.Load()
	if at == nil {
		return
	}
	late := time.Since(*at) - s.grace - graceSlack
	s.ledger.update(func() {
		if late > s.ledger.longestStall {
			s.ledger.violations = append(s.ledger.violations, fmt.Sprintf("%s got a command %v after the drain grace", b.id, late))
		}
	})
}

// entries returns the rows of the present endpoint list.
func (s *soak) entries() []string {
	var entries []string
	for _, b := range s.backends {
		state := "ready"
		if b.draining.Load() {
			state = "draining"
		}
		entries = append(entries, listEntry(b.testBackend, b.id, state, b.recovery()))
	}
	return entries
}

// injectFaults changes the backends' faults and lags, and makes replicas drain and return, until a channel is closed.
func (s *soak) injectFaults(rng *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+rng.IntN(300)) * time.Millisecond):
		}
		b := s.backends[rng.IntN(len(s.backends))]
		if !b.primary && rng.IntN(2) == 0 {
			b.lag.Store(int64(time.Duration(rng.IntN(1500)) * time.Millisecond))
		}
		if rng.IntN(3) > 0 || b.primary {
			fault := soakNoFault
			if rng.IntN(2) == 0 {
				fault = soakFault(rng.IntN(int(soakFaultCount)))
			}
			b.fault.Store(int32(fault))
			continue
		}
		s.toggleDrain(b)
	}
}

// toggleDrain makes a replica drain, or ready again, and publishes that. After a reload, a router need only keep to a
// drain within 4 s; this test demands the ordinary time, which a reload lengthens by one call at most.
func (s *soak) toggleDrain(b *soakBackend) {
	if b.draining.Load() {
		b.draining.Store(false)
		b.notifiedAt.Store(nil)
	} else {
		b.draining.Store(true)
		now := time.Now()
		b.notifiedAt.Store(&now)
	}
	s.discovery.Load().publish(strings.Join(s.entries(), ","))
}
