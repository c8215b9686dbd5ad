package lease

// Request asks an agent for a lease under an epoch.
type Request struct {
	Epoch    uint64 `cbor:"Epoch"`
	Holder   string `cbor:"Holder"`   // identifies one running tool; no two share it
	Takeover bool   `cbor:"Takeover"` // also from a holder whose lease has not expired
}

// State is what an agent reports of the lease that it granted last.
type State struct {
	Epoch            uint64  `cbor:"Epoch"`  // the highest granted; requests with a lower one are denied
	Holder           string  `cbor:"Holder"` // to whom it was granted
	Held             bool    `cbor:"Held"`   // neither expired nor released
	HeldSeconds      float64 `cbor:"Since"`  // since Holder acquired it
	RemainingSeconds float64 `cbor:"Left"`   // until it expires; 0 if it is not held
}

// Denial is why an agent does not do what it was asked.
type Denial int

// Denials. Granted, the zero value, is none. The numbers are sent: their order must stay.
const (
	Granted     Denial = iota
	StaleEpoch         // a higher epoch was granted: the caller is fenced off, or must request a higher one
	HeldByOther        // another holder's lease has not expired
	NotHolder          // this epoch was granted to another holder, or not by this agent
	Expired            // the caller's lease has expired by this agent's clock
	StaleRecord        // a newer record is stored
)

var denials = [...]string{
	"granted", "a higher epoch was promised", "held by another", "not the holder of this epoch",
	"the claim has run out", "a newer record is kept",
}

// String returns the denial as a text for people.
func (d Denial) String() string { return denials[d] }

// PersistentState is what an agent must have stored before it acknowledges a call that changed it.
type PersistentState struct {
	Epoch  uint64 `cbor:"Epoch"`  // the highest granted
	Holder string `cbor:"Holder"` // to whom it was granted
	Held   bool   `cbor:"Held"`   // neither expired nor released
	Record Record `cbor:"Record"` // the newest that a holder had stored
}

// Lease is an agent's side of the lease. The zero value has granted nothing. It is a plain value: a caller that
// fails to store a change goes back to a copy taken before.
type Lease struct {
	PersistentState
	TermSeconds float64 // after which a lease expires unless it is renewed
	now         float64 // the latest time handed in
	heldSince   float64
	expiresAt   float64
}

// Restore returns the lease of an agent that starts again. Its clock is a new one, so a lease that was held counts
// as renewed at now: it may last too long by that, and never too short.
func Restore(p PersistentState, termSeconds, now float64) Lease {
	return Lease{PersistentState: p, TermSeconds: termSeconds, now: now, heldSince: now, expiresAt: now + termSeconds}
}

// advance takes in the time and expires the lease. A time before the latest counts as that one: an expired lease
// must not become valid again.
func (l *Lease) advance(now float64) {
	l.now = max(l.now, now)
	if l.Held && l.now >= l.expiresAt {
		l.Held = false
	}
}

// State reports the lease as of now.
func (l *Lease) State(now float64) State {
	l.advance(now)
	s := State{Epoch: l.Epoch, Holder: l.Holder, Held: l.Held, HeldSeconds: l.now - l.heldSince}
	if l.Held {
		s.RemainingSeconds = l.expiresAt - l.now
	}
	return s
}

// Acquire grants the lease under a new epoch, or denies it. A repeat of the request that was granted last is
// granted again.
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

// Renew tells whether the holder may act here now, and extends its lease by a term if so.
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

// StoreRecord renews the lease and replaces the stored record by one of the holder's that is not older.
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

// Release ends the lease before it expires. Lower epochs stay denied. Releasing an expired lease is granted.
func (l *Lease) Release(now float64, epoch uint64, holder string) Denial {
	if denial := l.Renew(now, epoch, holder); denial != Granted && denial != Expired {
		return denial
	}
	l.Held = false
	return Granted
}
