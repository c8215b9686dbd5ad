package claim

// Campaign is a bidder's side: it gathers what the agents say to one bid.
type Campaign struct {
	Request Request
	agents  int
	says    map[int]Denial
	newest  Record
	held    State // the one that stands in the way, with the longest to run
	top     uint64
}

// NewCampaign is one that nobody has answered.
func NewCampaign(b Request, agents int) *Campaign {
	return &Campaign{Request: b, agents: agents, says: map[int]Denial{}, top: b.Epoch}
}

// AddReply takes in one agent's answer, with its standing and record as they are after it.
func (c *Campaign) AddReply(agent int, no Denial, s State, r Record) {
	c.says[agent] = no
	c.top = max(c.top, s.Epoch)
	if no == Granted && c.newest.Version.Before(r.Version) {
		c.newest = r
	}
	if no != Granted && s.Held && s.Holder != c.Request.Holder && s.RemainingSeconds >= c.held.RemainingSeconds {
		c.held = s
	}
}

// AddUnreachable notes that an agent cannot be heard.
func (c *Campaign) AddUnreachable(agent int) {
	if _, said := c.says[agent]; !said {
		c.says[agent] = NotHolder
	}
}

// Result of a campaign.
type Result int

// Results. Lost is final: enough agents refused or are gone that no majority can come.
const (
	Pending Result = iota
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
	return Pending
}

// NewestRecord is the newest that those who granted keep. Once the campaign is won no newer one can come to be
// under a lower epoch, for that would need a majority too.
func (c *Campaign) NewestRecord() Record { return c.newest }

// BlockedBy is who stands in the way, if any.
func (c *Campaign) BlockedBy() State { return c.held }

// HighestEpoch is the highest epoch heard of: the next bid must be above it.
func (c *Campaign) HighestEpoch() uint64 { return c.top }

// GrantedBy tells whether an agent has granted.
func (c *Campaign) GrantedBy(agent int) bool {
	no, said := c.says[agent]
	return said && no == Granted
}
