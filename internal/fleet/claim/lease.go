// Package claim decides who may change a fleet: the agents' side of a claim that a majority grants, and the
// bidder's. It does no input or output and has no clock; time is handed in, in seconds on the clock of
// whoever asks, and is never compared with another's.
//
// A claim is an epoch. An agent grants an epoch to one holder only and then refuses all that bears a lower
// one, whenever it arrives, so two majorities cannot grant the same epoch to two. What a holder is doing
// stands in a record that it has a majority keep before it acts; the next holder reads it from the majority
// that grants, and so learns of every step that may have begun. Who may not be heard may still be acting:
// that is for package plan, which lets nothing happen while an agent is unknown.
package claim

// Request asks for an epoch.
type Request struct {
	Epoch    uint64 `cbor:"Epoch"`
	Holder   string `cbor:"Holder"`   // one running tool: no two are the same
	Takeover bool   `cbor:"Takeover"` // also from a holder whose claim still runs
}

// State is what an agent tells of the claim that it granted last.
type State struct {
	Epoch            uint64  `cbor:"Epoch"`  // the highest promised; what is below is refused
	Holder           string  `cbor:"Holder"` // to whom
	Held             bool    `cbor:"Held"`   // and whether it still runs
	HeldSeconds      float64 `cbor:"Since"`  // seconds ago
	RemainingSeconds float64 `cbor:"Left"`   // seconds, if it runs
}

// Denial is why an agent does not do what it was asked.
type Denial int

// Refusals.
const (
	Granted     Denial = iota
	StaleEpoch         // a higher one was promised: the asker has been fenced, or must bid higher
	HeldByOther        // a claim still runs
	NotHolder          // the epoch was granted to another, or not here
	Expired            // the asker's claim has run out by this agent's clock
	StaleRecord        // a newer one is kept
)

var denials = [...]string{
	"granted", "a higher epoch was promised", "held by another", "not the holder of this epoch",
	"the claim has run out", "a newer record is kept",
}

func (r Denial) String() string { return denials[r] }

// PersistentState is what an agent must have stored before it acknowledges anything that changed it.
type PersistentState struct {
	Epoch  uint64 `cbor:"Epoch"`
	Holder string `cbor:"Holder"`
	Held   bool   `cbor:"Held"`
	Record Record `cbor:"Record"`
}

// Lease is an agent's side. The zero value has promised nothing. It is a plain value: a copy is a state to
// go back to where storing fails.
type Lease struct {
	PersistentState
	TermSeconds  float64 // seconds that a claim runs without a sign of its holder
	now          float64
	since, until float64
}

// Restore is the ledger of an agent that starts again. Its clock is a new one, so a claim that was held
// counts as renewed just now: it may run too long by that, and never too short.
func Restore(d PersistentState, term, now float64) Lease {
	return Lease{PersistentState: d, TermSeconds: term, now: now, since: now, until: now + term}
}

// at takes in the time. One that goes back is taken as standing still: a claim must not come alive again.
func (l *Lease) at(now float64) {
	l.now = max(l.now, now)
	if l.Held && l.now >= l.until {
		l.Held = false
	}
}

// State tells how things stand.
func (l *Lease) State(now float64) State {
	l.at(now)
	s := State{Epoch: l.Epoch, Holder: l.Holder, Held: l.Held, HeldSeconds: l.now - l.since}
	if l.Held {
		s.RemainingSeconds = l.until - l.now
	}
	return s
}

// Acquire grants an epoch or refuses it. A repeat of the bid that was granted is granted again.
func (l *Lease) Acquire(now float64, b Request) Denial {
	l.at(now)
	switch {
	case b.Epoch == l.Epoch && b.Holder == l.Holder && l.Held:
		return Granted
	case b.Epoch <= l.Epoch:
		return StaleEpoch
	case l.Held && b.Holder != l.Holder && !b.Takeover:
		return HeldByOther
	}
	if b.Holder != l.Holder || !l.Held {
		l.since = l.now
	}
	l.Epoch, l.Holder, l.Held = b.Epoch, b.Holder, true
	l.until = l.now + l.TermSeconds
	return Granted
}

// Renew tells whether a holder may act here now, and renews its claim if so.
func (l *Lease) Renew(now float64, epoch uint64, holder string) Denial {
	l.at(now)
	switch {
	case epoch < l.Epoch:
		return StaleEpoch
	case epoch > l.Epoch || holder != l.Holder:
		return NotHolder
	case !l.Held:
		return Expired
	}
	l.until = l.now + l.TermSeconds
	return Granted
}

// StoreRecord takes a holder's record in place of an older one. A repeat is granted.
func (l *Lease) StoreRecord(now float64, epoch uint64, holder string, r Record) Denial {
	if no := l.Renew(now, epoch, holder); no != Granted {
		return no
	}
	if r.Version.Epoch != epoch || r.Version.Before(l.Record.Version) {
		return StaleRecord
	}
	l.Record = r
	return Granted
}

// Release ends a claim before it runs out. The promise stays.
func (l *Lease) Release(now float64, epoch uint64, holder string) Denial {
	if no := l.Renew(now, epoch, holder); no != Granted && no != Expired {
		return no
	}
	l.Held = false
	return Granted
}

// Majority is how many of so many agents have a say together: any two such groups share one.
func Majority(agents int) int { return agents/2 + 1 }
