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

// Bid asks for an epoch.
type Bid struct {
	Epoch    uint64 `cbor:"Epoch"`
	Holder   string `cbor:"Holder"`   // one running tool: no two are the same
	Takeover bool   `cbor:"Takeover"` // also from a holder whose claim still runs
}

// Stamp orders records: by epoch, then by number.
type Stamp struct {
	Epoch  uint64 `cbor:"Epoch"`
	Number uint64 `cbor:"Number"`
}

// Before tells whether a record with another stamp is newer.
func (s Stamp) Before(o Stamp) bool {
	return s.Epoch < o.Epoch || s.Epoch == o.Epoch && s.Number < o.Number
}

// Record is what a holder has the agents keep.
type Record struct {
	Stamp Stamp  `cbor:"Stamp"`
	Body  []byte `cbor:"Body"`
}

// Standing is what an agent tells of the claim that it granted last.
type Standing struct {
	Epoch  uint64  `cbor:"Epoch"`  // the highest promised; what is below is refused
	Holder string  `cbor:"Holder"` // to whom
	Held   bool    `cbor:"Held"`   // and whether it still runs
	Since  float64 `cbor:"Since"`  // seconds ago
	Left   float64 `cbor:"Left"`   // seconds, if it runs
}

// Refusal is why an agent does not do what it was asked.
type Refusal int

// Refusals.
const (
	Granted     Refusal = iota
	LowerEpoch          // a higher one was promised: the asker has been fenced, or must bid higher
	HeldByOther         // a claim still runs
	NotHolder           // the epoch was granted to another, or not here
	RanOut              // the asker's claim has run out by this agent's clock
	OldRecord           // a newer one is kept
)

var refusals = [...]string{
	"granted", "a higher epoch was promised", "held by another", "not the holder of this epoch",
	"the claim has run out", "a newer record is kept",
}

func (r Refusal) String() string { return refusals[r] }

// Durable is what an agent must have stored before it acknowledges anything that changed it.
type Durable struct {
	Epoch  uint64 `cbor:"Epoch"`
	Holder string `cbor:"Holder"`
	Held   bool   `cbor:"Held"`
	Record Record `cbor:"Record"`
}

// Ledger is an agent's side. The zero value has promised nothing. It is a plain value: a copy is a state to
// go back to where storing fails.
type Ledger struct {
	Durable
	Term         float64 // seconds that a claim runs without a sign of its holder
	now          float64
	since, until float64
}

// Restore is the ledger of an agent that starts again. Its clock is a new one, so a claim that was held
// counts as renewed just now: it may run too long by that, and never too short.
func Restore(d Durable, term, now float64) Ledger {
	return Ledger{Durable: d, Term: term, now: now, since: now, until: now + term}
}

// at takes in the time. One that goes back is taken as standing still: a claim must not come alive again.
func (l *Ledger) at(now float64) {
	l.now = max(l.now, now)
	if l.Held && l.now >= l.until {
		l.Held = false
	}
}

// Standing tells how things stand.
func (l *Ledger) Standing(now float64) Standing {
	l.at(now)
	s := Standing{Epoch: l.Epoch, Holder: l.Holder, Held: l.Held, Since: l.now - l.since}
	if l.Held {
		s.Left = l.until - l.now
	}
	return s
}

// Bid grants an epoch or refuses it. A repeat of the bid that was granted is granted again.
func (l *Ledger) Bid(now float64, b Bid) Refusal {
	l.at(now)
	switch {
	case b.Epoch == l.Epoch && b.Holder == l.Holder && l.Held:
		return Granted
	case b.Epoch <= l.Epoch:
		return LowerEpoch
	case l.Held && b.Holder != l.Holder && !b.Takeover:
		return HeldByOther
	}
	if b.Holder != l.Holder || !l.Held {
		l.since = l.now
	}
	l.Epoch, l.Holder, l.Held = b.Epoch, b.Holder, true
	l.until = l.now + l.Term
	return Granted
}

// Admit tells whether a holder may act here now, and renews its claim if so.
func (l *Ledger) Admit(now float64, epoch uint64, holder string) Refusal {
	l.at(now)
	switch {
	case epoch < l.Epoch:
		return LowerEpoch
	case epoch > l.Epoch || holder != l.Holder:
		return NotHolder
	case !l.Held:
		return RanOut
	}
	l.until = l.now + l.Term
	return Granted
}

// Keep takes a holder's record in place of an older one. A repeat is granted.
func (l *Ledger) Keep(now float64, epoch uint64, holder string, r Record) Refusal {
	if no := l.Admit(now, epoch, holder); no != Granted {
		return no
	}
	if r.Stamp.Epoch != epoch || r.Stamp.Before(l.Record.Stamp) {
		return OldRecord
	}
	l.Record = r
	return Granted
}

// Release ends a claim before it runs out. The promise stays.
func (l *Ledger) Release(now float64, epoch uint64, holder string) Refusal {
	if no := l.Admit(now, epoch, holder); no != Granted && no != RanOut {
		return no
	}
	l.Held = false
	return Granted
}

// Majority is how many of so many agents have a say together: any two such groups share one.
func Majority(agents int) int { return agents/2 + 1 }

// Campaign is a bidder's side: it gathers what the agents say to one bid.
type Campaign struct {
	Bid    Bid
	agents int
	says   map[int]Refusal
	newest Record
	held   Standing // the one that stands in the way, with the longest to run
	top    uint64
}

// NewCampaign is one that nobody has answered.
func NewCampaign(b Bid, agents int) *Campaign {
	return &Campaign{Bid: b, agents: agents, says: map[int]Refusal{}, top: b.Epoch}
}

// Heard takes in one agent's answer, with its standing and record as they are after it.
func (c *Campaign) Heard(agent int, no Refusal, s Standing, r Record) {
	c.says[agent] = no
	c.top = max(c.top, s.Epoch)
	if no == Granted && c.newest.Stamp.Before(r.Stamp) {
		c.newest = r
	}
	if no != Granted && s.Held && s.Holder != c.Bid.Holder && s.Left >= c.held.Left {
		c.held = s
	}
}

// Gone notes that an agent cannot be heard.
func (c *Campaign) Gone(agent int) {
	if _, said := c.says[agent]; !said {
		c.says[agent] = NotHolder
	}
}

// Result of a campaign.
type Result int

// Results. Lost is final: enough agents refused or are gone that no majority can come.
const (
	Open Result = iota
	Won
	Lost
)

// Result tells how the campaign stands.
func (c *Campaign) Result() Result {
	granted := 0
	for _, no := range c.says {
		if no == Granted {
			granted++
		}
	}
	switch need := Majority(c.agents); {
	case granted >= need:
		return Won
	case c.agents-len(c.says)+granted < need:
		return Lost
	}
	return Open
}

// Record is the newest that those who granted keep. Once the campaign is won no newer one can come to be
// under a lower epoch, for that would need a majority too.
func (c *Campaign) Record() Record { return c.newest }

// Holder is who stands in the way, if any.
func (c *Campaign) Holder() Standing { return c.held }

// Top is the highest epoch heard of: the next bid must be above it.
func (c *Campaign) Top() uint64 { return c.top }

// GrantedBy tells whether an agent has granted.
func (c *Campaign) GrantedBy(agent int) bool {
	no, said := c.says[agent]
	return said && no == Granted
}
