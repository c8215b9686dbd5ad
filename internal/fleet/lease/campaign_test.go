package lease

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCampaignIsWonOrLostByMajority(t *testing.T) {
	c := NewCampaign(Request{Epoch: 3, Holder: "a"}, 5)
	c.AddReply(0, Granted, State{Epoch: 3}, Record{Version: Version{Epoch: 1, Number: 4}, Body: []byte("new")})
	c.AddReply(1, Granted, State{Epoch: 3}, Record{Version: Version{Epoch: 1, Number: 3}})
	assert.Equal(t, Pending, c.Result())
	c.AddReply(2, HeldByOther, State{Epoch: 8, Holder: "b", Held: true, RemainingSeconds: 3}, Record{Version: Version{Epoch: 8, Number: 1}})
	c.AddUnreachable(3)
	c.AddUnreachable(0) // agent 0 has replied, so this changes nothing
	assert.Equal(t, Pending, c.Result())
	c.AddReply(4, Granted, State{Epoch: 3}, Record{})
	assert.Equal(t, Won, c.Result())
	assert.Equal(t, "new", string(c.NewestRecord().Body), "only records of granting agents count")
	assert.Equal(t, "b", c.BlockedBy().Holder)
	assert.EqualValues(t, 8, c.HighestEpoch())
	assert.True(t, c.GrantedBy(4))
	assert.False(t, c.GrantedBy(3))
	c = NewCampaign(Request{Epoch: 3, Holder: "a"}, 4)
	c.AddUnreachable(0)
	assert.Equal(t, Pending, c.Result())
	c.AddUnreachable(1)
	assert.Equal(t, Lost, c.Result(), "two of four are no majority")
}
