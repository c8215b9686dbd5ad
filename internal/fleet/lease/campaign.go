package lease

// Majority returns the size of the smallest majority of the given number of agents. Any two majorities share an agent.
func Majority(agents int) int { return agents/2 + 1 }

// Campaign is the requester's side of one lease request. It collects the agents' replies and determines the result.
type Campaign struct {
	Request      Request
	agentCount   int            // number of agents in the fleet
	replies      map[int]Denial // by agent; an unreachable agent counts as NotHolder
	newestRecord Record         // newest record that a granting agent reported
	blockedBy    State          // another holder's lease that a denying agent reported; the longest-lasting of several
	highestEpoch uint64         // highest epoch in the request and the replies
}

// NewCampaign returns a campaign that has no replies yet. Agents are numbered from 0.
func NewCampaign(r Request, agents int) *Campaign {
	return &Campaign{Request: r, agentCount: agents, replies: map[int]Denial{}, highestEpoch: r.Epoch}
}

// AddReply adds one agent's reply: its denial, or Granted, and its lease and record after it handled the request.
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

// AddUnreachable records that an agent cannot be reached. An earlier reply of that agent stays valid.
func (c *Campaign) AddUnreachable(agent int) {
	if _, replied := c.replies[agent]; !replied {
		c.replies[agent] = NotHolder
	}
}

// Result is the result of a campaign so far.
type Result int

// Results of a campaign. Won and Lost are final.
const (
	Pending Result = iota
	Won            // a majority has granted the request
	Lost           // too many agents denied it or cannot be reached for a majority to grant it
)

// Result returns the campaign's result so far.
func (c *Campaign) Result() Result {
	granted := 0
	for _, denial := range c.replies {
		if denial == Granted {
			granted++
		}
	}
	outstanding := c.agentCount - len(c.replies)
	switch majority := Majority(c.agentCount); {
	case granted >= majority:
		return Won
	case outstanding+granted < majority:
		return Lost
	}
	return Pending
}

// NewestRecord returns the newest record that the granting agents have stored. Once the campaign is won, a majority
// can no longer store a newer record under a lower epoch, because every majority includes a granting agent.
func (c *Campaign) NewestRecord() Record { return c.newestRecord }

// BlockedBy returns another holder's lease that led an agent to deny the request, or the zero value if there is none.
func (c *Campaign) BlockedBy() State { return c.blockedBy }

// HighestEpoch returns the highest epoch in the request and the replies. The next request needs a higher one.
func (c *Campaign) HighestEpoch() uint64 { return c.highestEpoch }

// GrantedBy reports whether an agent has granted the request.
func (c *Campaign) GrantedBy(agent int) bool {
	denial, replied := c.replies[agent]
	return replied && denial == Granted
}
