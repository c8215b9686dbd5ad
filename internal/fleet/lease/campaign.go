package lease

// Majority returns how many of so many agents form a majority: any two majorities share an agent.
func Majority(agents int) int { return agents/2 + 1 }

// Campaign is the requester's side: it collects the agents' replies to one request.
type Campaign struct {
	Request      Request
	agents       int // in all
	replies      map[int]Denial
	newestRecord Record
	blockedBy    State // another holder's lease; of several, the one that lasts longest
	highestEpoch uint64
}

// NewCampaign returns a campaign without a reply. Agents are numbered from 0.
func NewCampaign(r Request, agents int) *Campaign {
	return &Campaign{Request: r, agents: agents, replies: map[int]Denial{}, highestEpoch: r.Epoch}
}

// AddReply takes in one agent's reply, with its lease and record as they are after it.
func (c *Campaign) AddReply(agent int, denial Denial, s State, r Record) {
	c.replies[agent] = denial
	c.highestEpoch = max(c.highestEpoch, s.Epoch)
	if denial == Granted {
		if c.newestRecord.Version.Before(r.Version) {
			c.newestRecord = r
		}
		return
	}
	heldByOther := s.Held && s.Holder != c.Request.Holder
	if heldByOther && s.RemainingSeconds >= c.blockedBy.RemainingSeconds {
		c.blockedBy = s
	}
}

// AddUnreachable notes that an agent cannot be reached. A reply that was heard before stands.
func (c *Campaign) AddUnreachable(agent int) {
	if _, replied := c.replies[agent]; !replied {
		c.replies[agent] = NotHolder
	}
}

// Result is how a campaign stands.
type Result int

// Results of a campaign. Won and Lost are final.
const (
	Pending Result = iota
	Won            // a majority has granted the request
	Lost           // so many agents denied it or cannot be reached that no majority is left
)

// Result tells how the campaign stands.
func (c *Campaign) Result() Result {
	granted := 0
	for _, denial := range c.replies {
		if denial == Granted {
			granted++
		}
	}
	outstanding := c.agents - len(c.replies)
	switch majority := Majority(c.agents); {
	case granted >= majority:
		return Won
	case outstanding+granted < majority:
		return Lost
	}
	return Pending
}

// NewestRecord returns the newest record that the granting agents store. Once the campaign is won, no newer one
// can come up under a lower epoch, for that would need a majority too.
func (c *Campaign) NewestRecord() Record { return c.newestRecord }

// BlockedBy returns another holder's lease that was given as the reason of a denial; the zero value if there is none.
func (c *Campaign) BlockedBy() State { return c.blockedBy }

// HighestEpoch returns the highest epoch heard of: the next request must be above it.
func (c *Campaign) HighestEpoch() uint64 { return c.highestEpoch }

// GrantedBy tells whether an agent has granted the request.
func (c *Campaign) GrantedBy(agent int) bool {
	denial, replied := c.replies[agent]
	return replied && denial == Granted
}
