package lease

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCampaignIsWonOrLostByMajority(t *testing.T) {
	campaign := NewCampaign(Request{Epoch: 3, Holder: "a"}, 5)
	campaign.AddReply(0, Granted, State{Epoch: 3}, Record{Version: Version{Epoch: 1, Number: 4}, Body: []byte("new")})
	campaign.AddReply(1, Granted, State{Epoch: 3}, Record{Version: Version{Epoch: 1, Number: 3}})
	assert.Equal(t, Pending, campaign.Result())
	campaign.AddReply(2, HeldByOther, State{Epoch: 8, Holder: "b", Held: true, RemainingSeconds: 3}, Record{Version: Version{Epoch: 8, Number: 1}})
	campaign.AddUnreachable(3)
	campaign.AddUnreachable(0) // agent 0 has replied, so this changes nothing
	assert.Equal(t, Pending, campaign.Result())
	campaign.AddReply(4, Granted, State{Epoch: 3}, Record{})
	assert.Equal(t, Won, campaign.Result())
	assert.Equal(t, "new", string(campaign.NewestRecord().Body), "only records of granting agents count")
	assert.Equal(t, "b", campaign.BlockedBy().Holder)
	assert.EqualValues(t, 8, campaign.HighestEpoch())
	assert.True(t, campaign.GrantedBy(4))
	assert.False(t, campaign.GrantedBy(3))
	campaign = NewCampaign(Request{Epoch: 3, Holder: "a"}, 4)
	campaign.AddUnreachable(0)
	assert.Equal(t, Pending, campaign.Result())
	campaign.AddUnreachable(1)
	assert.Equal(t, Lost, campaign.Result(), "two of four are no majority")
}
