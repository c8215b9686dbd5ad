package lease

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	_ "stoatdale.example/stoatdale/internal/lab/fixed"
)

const modelTermSeconds = 10

// candidate is a tool that requests one lease after another and stores records while it holds one.
type candidate struct {
	campaign *Campaign
	records  uint64 // number of records sent under the campaign's epoch
}

// lateCall is a holder's call that may arrive at an agent at any later time.
type lateCall struct {
	epoch  uint64
	holder string
}

// leaseModel simulates candidates and agents. Agents restart, their clocks jump, and messages are lost or late.
type leaseModel struct {
	agents      []Lease
	clocks      []float64 // by agent, in seconds
	candidates  []candidate
	winners     map[uint64]string // holder that won each epoch
	lateCalls   []lateCall
	actedEpochs []uint64 // highest epoch under which a holder acted, by agent
	stored      Version  // version of the newest record that a majority has stored
}

func newLeaseModel(agents int) *leaseModel {
	m := &leaseModel{
		agents: make([]Lease, agents), clocks: make([]float64, agents), actedEpochs: make([]uint64, agents),
		candidates: make([]candidate, 3), winners: map[uint64]string{},
	}
	for i := range m.agents {
		m.agents[i].TermSeconds = modelTermSeconds
	}
	return m
}

func TestNoEpochHasTwoHoldersAndStoredRecordsAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(rapid.IntRange(1, 5).Draw(t, "agents"))
		for range rapid.IntRange(1, 150).Draw(t, "turns") {
			m.turn(t)
		}
	})
}

// turn lets one random event happen at a random agent or candidate.
func (m *leaseModel) turn(t *rapid.T) {
	number := rapid.IntRange(0, len(m.candidates)-1).Draw(t, "candidate")
	agent := rapid.IntRange(0, len(m.agents)-1).Draw(t, "agent")
	m.clocks[agent] += rapid.SampledFrom([]float64{0, 0, 1, 20, -5}).Draw(t, "clock")
	c := &m.candidates[number]
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0:
		m.startCampaign(t, number)
	case 1, 2:
		m.request(t, c, agent)
	case 3:
		m.agents[agent] = Restore(m.agents[agent].PersistentState, modelTermSeconds, 0)
		m.clocks[agent] = 0
	case 4:
		m.storeRecord(t, c)
	default:
		m.deliverLateCall(t, agent)
	}
}

func (m *leaseModel) startCampaign(t *rapid.T, number int) {
	c := &m.candidates[number]
	highest := uint64(0)
	if c.campaign != nil {
		highest = c.campaign.HighestEpoch()
	}
	takeover := rapid.Bool().Draw(t, "takeover")
	r := Request{Epoch: highest + 1, Holder: fmt.Sprint(number, highest), Takeover: takeover}
	*c = candidate{campaign: NewCampaign(r, len(m.agents))}
}

// request delivers a candidate's request to an agent, and delivers the reply unless it is lost.
func (m *leaseModel) request(t *rapid.T, c *candidate, agent int) {
	if c.campaign == nil {
		return
	}
	l := &m.agents[agent]
	denial := l.Acquire(m.clocks[agent], c.campaign.Request)
	if replyLost := rapid.IntRange(0, 4).Draw(t, "lost") == 0; replyLost {
		return
	}
	c.campaign.AddReply(agent, denial, l.State(m.clocks[agent]), l.Record)
	if c.campaign.Result() != Won {
		return
	}
	epoch := c.campaign.Request.Epoch
	if winner, taken := m.winners[epoch]; taken {
		assert.Equal(t, winner, c.campaign.Request.Holder, "two candidates hold epoch %d", epoch)
	}
	m.winners[epoch] = c.campaign.Request.Holder
}

// storeRecord sends a record of a lease holder to the agents that it reaches.
func (m *leaseModel) storeRecord(t *rapid.T, c *candidate) {
	if c.campaign == nil || c.campaign.Result() != Won {
		return
	}
	epoch, holder := c.campaign.Request.Epoch, c.campaign.Request.Holder
	found := c.campaign.NewestRecord().Version.Epoch
	assert.False(t, found < m.stored.Epoch && m.stored.Epoch < epoch, "the winner did not find a record that a majority had stored")
	c.records++
	r := Record{Version: Version{Epoch: epoch, Number: c.records}}
	granted := 0
	for i := range m.agents {
		reached := rapid.Bool().Draw(t, "reached")
		if reached && m.agents[i].StoreRecord(m.clocks[i], epoch, holder, r) == Granted {
			granted++
		}
	}
	if granted >= Majority(len(m.agents)) {
		m.stored = r.Version
	}
	m.lateCalls = append(m.lateCalls, lateCall{epoch, holder})
}

// deliverLateCall delivers to an agent a call that a holder made earlier. If the agent grants it, the caller must have won the
// call's epoch, and the agent must not have granted a late call of a higher epoch before.
func (m *leaseModel) deliverLateCall(t *rapid.T, agent int) {
	if len(m.lateCalls) == 0 {
		return
	}
	call := m.lateCalls[rapid.IntRange(0, len(m.lateCalls)-1).Draw(t, "late")]
	if m.agents[agent].Renew(m.clocks[agent], call.epoch, call.holder) != Granted {
		return
	}
	assert.GreaterOrEqual(t, call.epoch, m.actedEpochs[agent], "a fenced holder acted")
	assert.Equal(t, m.winners[call.epoch], call.holder)
	m.actedEpochs[agent] = call.epoch
}
