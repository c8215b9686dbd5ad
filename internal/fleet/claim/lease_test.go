package claim

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	_ "stoatdale.example/stoatdale/internal/lab/fixed"
)

func fresh() Lease { return Lease{TermSeconds: 10} }

func TestEpochIsGrantedToOneHolderOnly(t *testing.T) {
	l := fresh()
	assert.Equal(t, Granted, l.Acquire(0, Request{Epoch: 1, Holder: "a"}))
	assert.Equal(t, Granted, l.Acquire(1, Request{Epoch: 1, Holder: "a"}), "a repeat")
	assert.Equal(t, StaleEpoch, l.Acquire(1, Request{Epoch: 1, Holder: "b", Takeover: true}))
	assert.Equal(t, HeldByOther, l.Acquire(1, Request{Epoch: 2, Holder: "b"}))
	s := l.State(4)
	assert.Equal(t, State{Epoch: 1, Holder: "a", Held: true, HeldSeconds: 4, RemainingSeconds: 6}, s)
	assert.Equal(t, Granted, l.Acquire(4, Request{Epoch: 2, Holder: "b", Takeover: true}))
	assert.Equal(t, StaleEpoch, l.Renew(5, 1, "a"), "fenced")
	assert.Equal(t, NotHolder, l.Renew(5, 2, "a"))
	assert.Equal(t, NotHolder, l.Renew(5, 3, "b"), "never granted here")
	assert.Equal(t, Granted, l.Acquire(5, Request{Epoch: 3, Holder: "b"}), "a holder may go higher")
	assert.Equal(t, StaleEpoch, l.Renew(5, 2, "b"))
}

func TestClaimRunsOutByTheAgentsClock(t *testing.T) {
	l := fresh()
	l.Acquire(0, Request{Epoch: 1, Holder: "a"})
	assert.Equal(t, Granted, l.Renew(9, 1, "a"))
	assert.Equal(t, Granted, l.Renew(18, 1, "a"), "renewed by being used")
	assert.Equal(t, Expired, l.Renew(28, 1, "a"))
	assert.Equal(t, Expired, l.Renew(20, 1, "a"), "a clock that goes back brings nothing to life")
	assert.Equal(t, Granted, l.Acquire(28, Request{Epoch: 2, Holder: "b"}))
	assert.Equal(t, Granted, l.Release(28, 2, "b"))
	assert.Equal(t, Expired, l.Renew(28, 2, "b"))
	assert.Equal(t, StaleEpoch, l.Release(28, 1, "a"))
}

func TestRestartKeepsThePromiseAndTheRecord(t *testing.T) {
	l := fresh()
	l.Acquire(100, Request{Epoch: 4, Holder: "a"})
	r := Record{Version{4, 7}, []byte("x")}
	assert.Equal(t, Granted, l.StoreRecord(100, 4, "a", r))
	l = Restore(l.PersistentState, 10, 0)
	assert.Equal(t, HeldByOther, l.Acquire(9, Request{Epoch: 5, Holder: "b"}))
	assert.Equal(t, StaleEpoch, l.Acquire(9, Request{Epoch: 4, Holder: "b"}))
	assert.Equal(t, Granted, l.Acquire(10, Request{Epoch: 5, Holder: "b"}))
	assert.Equal(t, r, l.Record)
}

func TestRecordsAreNotPutBack(t *testing.T) {
	l := fresh()
	l.Acquire(0, Request{Epoch: 2, Holder: "a"})
	assert.Equal(t, Granted, l.StoreRecord(0, 2, "a", Record{Version: Version{2, 5}}))
	assert.Equal(t, StaleRecord, l.StoreRecord(0, 2, "a", Record{Version: Version{2, 4}}))
	assert.Equal(t, StaleRecord, l.StoreRecord(0, 2, "a", Record{Version: Version{1, 9}}), "of another epoch than the holder's")
	assert.Equal(t, Granted, l.StoreRecord(0, 2, "a", Record{Version: Version{2, 5}}), "a repeat")
}

func TestCampaign(t *testing.T) {
	c := NewCampaign(Request{Epoch: 3, Holder: "a"}, 5)
	c.AddReply(0, Granted, State{Epoch: 3}, Record{Version: Version{1, 4}, Body: []byte("new")})
	c.AddReply(1, Granted, State{Epoch: 3}, Record{Version: Version{1, 3}})
	assert.Equal(t, Pending, c.Result())
	c.AddReply(2, HeldByOther, State{Epoch: 8, Holder: "b", Held: true, RemainingSeconds: 3}, Record{Version: Version{8, 1}})
	c.AddUnreachable(3)
	c.AddUnreachable(0) // has spoken already
	assert.Equal(t, Pending, c.Result())
	c.AddReply(4, Granted, State{Epoch: 3}, Record{})
	assert.Equal(t, Won, c.Result())
	assert.Equal(t, "new", string(c.NewestRecord().Body), "of those who granted")
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

// TestNoTwoHoldOneEpochAndRecordsAreFound plays bidders against agents that restart and whose clocks leap,
// with messages lost and late.
func TestNoTwoHoldOneEpochAndRecordsAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := make([]Lease, rapid.IntRange(1, 5).Draw(t, "agents"))
		clocks := make([]float64, len(agents))
		for i := range agents {
			agents[i].TermSeconds = 10
		}
		type bidder struct {
			c      *Campaign
			number uint64
		}
		bidders := make([]bidder, 3)
		winner := map[uint64]string{}
		type late struct {
			epoch  uint64
			holder string
		}
		var delayed []late
		acted := make([]uint64, len(agents)) // highest epoch that acted at each
		var kept Version                     // newest record that a majority was seen to keep
		for range rapid.IntRange(1, 150).Draw(t, "turns") {
			b := rapid.IntRange(0, len(bidders)-1).Draw(t, "bidder")
			a := rapid.IntRange(0, len(agents)-1).Draw(t, "agent")
			x, l := &bidders[b], &agents[a]
			clocks[a] += rapid.SampledFrom([]float64{0, 0, 1, 20, -5}).Draw(t, "clock")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				top := uint64(0)
				if x.c != nil {
					top = x.c.HighestEpoch()
				}
				x.c = NewCampaign(Request{Epoch: top + 1, Holder: fmt.Sprint(b, top), Takeover: rapid.Bool().Draw(t, "over")}, len(agents))
				x.number = 0
			case 1, 2:
				if x.c == nil {
					continue
				}
				no := l.Acquire(clocks[a], x.c.Request)
				if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
					continue // the answer
				}
				x.c.AddReply(a, no, l.State(clocks[a]), l.Record)
				if x.c.Result() == Won {
					e := x.c.Request.Epoch
					if w, taken := winner[e]; taken {
						assert.Equal(t, w, x.c.Request.Holder, "two hold epoch %d", e)
					}
					winner[e] = x.c.Request.Holder
				}
			case 3:
				*l = Restore(l.PersistentState, 10, 0)
				clocks[a] = 0
			case 4:
				if x.c == nil || x.c.Result() != Won {
					continue
				}
				assert.False(t, x.c.NewestRecord().Version.Epoch < kept.Epoch && kept.Epoch < x.c.Request.Epoch, "a kept record was not found")
				x.number++
				r := Record{Version: Version{x.c.Request.Epoch, x.number}}
				n := 0
				for i := range agents {
					if rapid.Bool().Draw(t, "reached") && agents[i].StoreRecord(clocks[i], x.c.Request.Epoch, x.c.Request.Holder, r) == Granted {
						n++
					}
				}
				if n >= Majority(len(agents)) {
					kept = r.Version
				}
				delayed = append(delayed, late{x.c.Request.Epoch, x.c.Request.Holder})
			default:
				if len(delayed) == 0 {
					continue
				}
				m := delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "late")]
				if l.Renew(clocks[a], m.epoch, m.holder) == Granted {
					assert.GreaterOrEqual(t, m.epoch, acted[a], "a fenced holder acted")
					assert.Equal(t, winner[m.epoch], m.holder)
					acted[a] = m.epoch
				}
			}
		}
	})
}

func TestClockThatGoesBackStandsStill(t *testing.T) {
	l := fresh()
	l.Acquire(50, Request{Epoch: 1, Holder: "a"})
	assert.Equal(t, State{Epoch: 1, Holder: "a", Held: true, RemainingSeconds: 10}, l.State(40))
}
