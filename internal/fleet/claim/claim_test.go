package claim

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	_ "stoatdale.example/stoatdale/internal/lab/fixed"
)

func fresh() Ledger { return Ledger{Term: 10} }

func TestEpochIsGrantedToOneHolderOnly(t *testing.T) {
	l := fresh()
	assert.Equal(t, Granted, l.Bid(0, Bid{Epoch: 1, Holder: "a"}))
	assert.Equal(t, Granted, l.Bid(1, Bid{Epoch: 1, Holder: "a"}), "a repeat")
	assert.Equal(t, LowerEpoch, l.Bid(1, Bid{Epoch: 1, Holder: "b", Takeover: true}))
	assert.Equal(t, HeldByOther, l.Bid(1, Bid{Epoch: 2, Holder: "b"}))
	s := l.Standing(4)
	assert.Equal(t, Standing{Epoch: 1, Holder: "a", Held: true, Since: 4, Left: 6}, s)
	assert.Equal(t, Granted, l.Bid(4, Bid{Epoch: 2, Holder: "b", Takeover: true}))
	assert.Equal(t, LowerEpoch, l.Admit(5, 1, "a"), "fenced")
	assert.Equal(t, NotHolder, l.Admit(5, 2, "a"))
	assert.Equal(t, NotHolder, l.Admit(5, 3, "b"), "never granted here")
	assert.Equal(t, Granted, l.Bid(5, Bid{Epoch: 3, Holder: "b"}), "a holder may go higher")
	assert.Equal(t, LowerEpoch, l.Admit(5, 2, "b"))
}

func TestClaimRunsOutByTheAgentsClock(t *testing.T) {
	l := fresh()
	l.Bid(0, Bid{Epoch: 1, Holder: "a"})
	assert.Equal(t, Granted, l.Admit(9, 1, "a"))
	assert.Equal(t, Granted, l.Admit(18, 1, "a"), "renewed by being used")
	assert.Equal(t, RanOut, l.Admit(28, 1, "a"))
	assert.Equal(t, RanOut, l.Admit(20, 1, "a"), "a clock that goes back brings nothing to life")
	assert.Equal(t, Granted, l.Bid(28, Bid{Epoch: 2, Holder: "b"}))
	assert.Equal(t, Granted, l.Release(28, 2, "b"))
	assert.Equal(t, RanOut, l.Admit(28, 2, "b"))
	assert.Equal(t, LowerEpoch, l.Release(28, 1, "a"))
}

func TestRestartKeepsThePromiseAndTheRecord(t *testing.T) {
	l := fresh()
	l.Bid(100, Bid{Epoch: 4, Holder: "a"})
	r := Record{Stamp{4, 7}, []byte("x")}
	assert.Equal(t, Granted, l.Keep(100, 4, "a", r))
	l = Restore(l.Durable, 10, 0)
	assert.Equal(t, HeldByOther, l.Bid(9, Bid{Epoch: 5, Holder: "b"}))
	assert.Equal(t, LowerEpoch, l.Bid(9, Bid{Epoch: 4, Holder: "b"}))
	assert.Equal(t, Granted, l.Bid(10, Bid{Epoch: 5, Holder: "b"}))
	assert.Equal(t, r, l.Record)
}

func TestRecordsAreNotPutBack(t *testing.T) {
	l := fresh()
	l.Bid(0, Bid{Epoch: 2, Holder: "a"})
	assert.Equal(t, Granted, l.Keep(0, 2, "a", Record{Stamp: Stamp{2, 5}}))
	assert.Equal(t, OldRecord, l.Keep(0, 2, "a", Record{Stamp: Stamp{2, 4}}))
	assert.Equal(t, OldRecord, l.Keep(0, 2, "a", Record{Stamp: Stamp{1, 9}}), "of another epoch than the holder's")
	assert.Equal(t, Granted, l.Keep(0, 2, "a", Record{Stamp: Stamp{2, 5}}), "a repeat")
}

func TestCampaign(t *testing.T) {
	c := NewCampaign(Bid{Epoch: 3, Holder: "a"}, 5)
	c.Heard(0, Granted, Standing{Epoch: 3}, Record{Stamp: Stamp{1, 4}, Body: []byte("new")})
	c.Heard(1, Granted, Standing{Epoch: 3}, Record{Stamp: Stamp{1, 3}})
	assert.Equal(t, Open, c.Result())
	c.Heard(2, HeldByOther, Standing{Epoch: 8, Holder: "b", Held: true, Left: 3}, Record{Stamp: Stamp{8, 1}})
	c.Gone(3)
	c.Gone(0) // has spoken already
	assert.Equal(t, Open, c.Result())
	c.Heard(4, Granted, Standing{Epoch: 3}, Record{})
	assert.Equal(t, Won, c.Result())
	assert.Equal(t, "new", string(c.Record().Body), "of those who granted")
	assert.Equal(t, "b", c.Holder().Holder)
	assert.EqualValues(t, 8, c.Top())
	assert.True(t, c.GrantedBy(4))
	assert.False(t, c.GrantedBy(3))
	c = NewCampaign(Bid{Epoch: 3, Holder: "a"}, 4)
	c.Gone(0)
	assert.Equal(t, Open, c.Result())
	c.Gone(1)
	assert.Equal(t, Lost, c.Result(), "two of four are no majority")
}

// TestNoTwoHoldOneEpochAndRecordsAreFound plays bidders against agents that restart and whose clocks leap,
// with messages lost and late.
func TestNoTwoHoldOneEpochAndRecordsAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := make([]Ledger, rapid.IntRange(1, 5).Draw(t, "agents"))
		clocks := make([]float64, len(agents))
		for i := range agents {
			agents[i].Term = 10
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
		var kept Stamp                       // newest record that a majority was seen to keep
		for range rapid.IntRange(1, 150).Draw(t, "turns") {
			b := rapid.IntRange(0, len(bidders)-1).Draw(t, "bidder")
			a := rapid.IntRange(0, len(agents)-1).Draw(t, "agent")
			x, l := &bidders[b], &agents[a]
			clocks[a] += rapid.SampledFrom([]float64{0, 0, 1, 20, -5}).Draw(t, "clock")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				top := uint64(0)
				if x.c != nil {
					top = x.c.Top()
				}
				x.c = NewCampaign(Bid{Epoch: top + 1, Holder: fmt.Sprint(b, top), Takeover: rapid.Bool().Draw(t, "over")}, len(agents))
				x.number = 0
			case 1, 2:
				if x.c == nil {
					continue
				}
				no := l.Bid(clocks[a], x.c.Bid)
				if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
					continue // the answer
				}
				x.c.Heard(a, no, l.Standing(clocks[a]), l.Record)
				if x.c.Result() == Won {
					e := x.c.Bid.Epoch
					if w, taken := winner[e]; taken {
						assert.Equal(t, w, x.c.Bid.Holder, "two hold epoch %d", e)
					}
					winner[e] = x.c.Bid.Holder
				}
			case 3:
				*l = Restore(l.Durable, 10, 0)
				clocks[a] = 0
			case 4:
				if x.c == nil || x.c.Result() != Won {
					continue
				}
				assert.False(t, x.c.Record().Stamp.Epoch < kept.Epoch && kept.Epoch < x.c.Bid.Epoch, "a kept record was not found")
				x.number++
				r := Record{Stamp: Stamp{x.c.Bid.Epoch, x.number}}
				n := 0
				for i := range agents {
					if rapid.Bool().Draw(t, "reached") && agents[i].Keep(clocks[i], x.c.Bid.Epoch, x.c.Bid.Holder, r) == Granted {
						n++
					}
				}
				if n >= Majority(len(agents)) {
					kept = r.Stamp
				}
				delayed = append(delayed, late{x.c.Bid.Epoch, x.c.Bid.Holder})
			default:
				if len(delayed) == 0 {
					continue
				}
				m := delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "late")]
				if l.Admit(clocks[a], m.epoch, m.holder) == Granted {
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
	l.Bid(50, Bid{Epoch: 1, Holder: "a"})
	assert.Equal(t, Standing{Epoch: 1, Holder: "a", Held: true, Left: 10}, l.Standing(40))
}
