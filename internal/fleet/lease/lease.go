package lease

// Request asks an agent for a lease under an epoch.
type Request struct {
	Epoch    uint64 `cbor:"Epoch"`
	Holder   string `cbor:"Holder"`   // identifies one running tool; every tool has a different one
	Takeover bool   `cbor:"Takeover"` // grant it even if another holder's lease has not expired
}

// State is an agent's report of the lease that it granted last.
type State struct {
	Epoch            uint64  `cbor:"Epoch"`  // highest epoch granted; requests with a lower one are denied
	Holder           string  `cbor:"Holder"` // holder to whom Epoch was granted
	Held             bool    `cbor:"Held"`   // the lease has neither expired nor been released
	HeldSeconds      float64 `cbor:"Since"`  // time since Holder acquired the lease
	RemainingSeconds float64 `cbor:"Left"`   // time until the lease expires; 0 if it is not held
}

// Denial is the reason for which an agent denies a call, or Granted.
type Denial int

// Denials. The zero value, Granted, means that the agent has not denied the call. The numbers are sent to other
// processes, so their order must stay.
const (
	Granted     Denial = iota
	StaleEpoch         // a higher epoch was granted: the caller is fenced off or must request a higher epoch
	HeldByOther        // another holder's lease has not expired
	NotHolder          // this agent granted the epoch to another holder, or has not granted it
	Expired            // the caller's lease has expired by this agent's clock, or was released
	StaleRecord        // the agent has stored a newer record
)

var denials = [...]string{
	"granted", "a higher epoch was promised", "held by another", "not the holder of this epoch",
	"the claim has run out", "a newer record is kept",
}

// String returns the denial as text for operators.
func (d Denial) String() string { return denials[d] }

// PersistentState is the part of a lease that an agent stores durably. An agent acknowledges a call that changes it only
// after the change is stored.
type PersistentState struct {
	Epoch  uint64 `cbor:"Epoch"`  // highest epoch granted
	Holder string `cbor:"Holder"` // holder to whom Epoch was granted
	Held   bool   `cbor:"Held"`   // the lease has neither expired nor been released
	Record Record `cbor:"Record"` // newest record that a holder has sent to this agent
}

// Lease is an agent's side of the lease. The zero value has granted nothing. Assignment copies a Lease in full, so a
// caller that fails to store a change can restore a copy that it took before the change.
type Lease struct {
	PersistentState
	TermSeconds float64 // time after which a lease expires unless it is renewed
	now         float64 // latest time passed by a caller, in seconds
	heldSince   float64 // when Holder acquired the lease, in seconds
	expiresAt   float64 // when the lease expires unless it is renewed, in seconds
}

// Restore returns the lease of an agent that has restarted. Times of the clock before the restart mean nothing on the
// new one, so a lease that was held counts as renewed at now. It may therefore last too long, but never too short.
func Restore(p PersistentState, termSeconds, now float64) Lease {
	return Lease{PersistentState: p, TermSeconds: termSeconds, now: now, heldSince: now, expiresAt: now + termSeconds}
}

// advance sets the time and ends the lease if it has expired. If now is before the latest time, the latest time stays:
// otherwise an expired lease could become valid again.
func (l *Lease) advance(now float64) {
	l.now = max(l.now, now)
	if l.Held && l.now >= l.expiresAt {
		l.Held = false
	}
}

// State returns the state of the lease at now.
func (l *Lease) State(now float64) State {
	l.advance(now)
	s := State{Epoch: l.Epoch, Holder: l.Holder, Held: l.Held, HeldSeconds: l.now - l.heldSince}
	if l.Held {
		s.RemainingSeconds = l.expiresAt - l.now
	}
	return s
}

// Acquire grants the lease under a higher epoch, or denies the request. It grants a repeat of the request that it granted
// last.
func (l *Lease) Acquire(now float64, r Request) Denial {
	l.advance(now)
	switch {
	case r.Epoch == l.Epoch && r.Holder == l.Holder && l.Held:
		return Granted
	case r.Epoch <= l.Epoch:
		return StaleEpoch
	case l.Held && r.Holder != l.Holder && !r.Takeover:
		return HeldByOther
	}
	if r.Holder != l.Holder || !l.Held {
		l.heldSince = l.now
	}
	l.Epoch, l.Holder, l.Held = r.Epoch, r.Holder, true
	l.expiresAt = l.now + l.TermSeconds
	return Granted
}

// Renew extends the holder's lease to one term from now and returns Granted if the holder may act at this agent.
// Otherwise it returns the reason.
func (l *Lease) Renew(now float64, epoch uint64, holder string) Denial {
	l.advance(now)
	switch {
	case epoch < l.Epoch:
		return StaleEpoch
	case epoch > l.Epoch || holder != l.Holder:
		return NotHolder
	case !l.Held:
		return Expired
	}
	l.expiresAt = l.now + l.TermSeconds
	return Granted
}

// StoreRecord renews the lease and replaces the stored record by the holder's, unless the stored one is newer.
func (l *Lease) StoreRecord(now float64, epoch uint64, holder string, r Record) Denial {
	if denial := l.Renew(now, epoch, holder); denial != Granted {
		return denial
	}
	if r.Version.Epoch != epoch || r.Version.Before(l.Record.Version) {
		return StaleRecord
	}
	l.Record = r
	return Granted
}

// Release ends the lease before it expires. The agent goes on denying lower epochs. Releasing an expired lease returns
// Granted.
func (l *Lease) Release(now float64, epoch uint64, holder string) Denial {
	if denial := l.Renew(now, epoch, holder); denial != Granted && denial != Expired {
		return denial
	}
	l.Held = false
	return Granted
}
