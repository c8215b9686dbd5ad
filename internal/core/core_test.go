package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/count"
	"stoatdale.example/stoatdale/internal/loop"
	"stoatdale.example/stoatdale/internal/member"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/roster"
	"stoatdale.example/stoatdale/internal/router"
	"stoatdale.example/stoatdale/internal/site"
)

// said notes the answers that commands got.
type said []string

func (s *said) Answer(_ *Command, row *buffer.Chain) { *s = append(*s, "answered"); row.Free() }
func (s *said) Reject(*Command, float64)             { *s = append(*s, "throttled") }
func (s *said) Fail(*Command)                        { *s = append(*s, "failed") }

// newCore knows one member of cluster 7, whose address takes connections and says nothing.
func newCore(t *testing.T) (*Dispatcher, *buffer.Pool) {
	l, err := loop.New(16)
	require.NoError(t, err)
	s := &site.Config{KnownList: roster.List{Complete: true, Endpoints: []roster.Endpoint{{ID: "a", Shard: 7, State: roster.StateReady}}}}
	group := router.CommandGroup{Consistency: router.Eventual, LatencyObjective: 1, ClientTimeout: 2, PriorityWeight: 1}
	s.Settings.Config = router.Config{CommandGroups: []router.CommandGroup{group}, RouterCount: 1, MaxAttempts: 4, BatchInterval: 0.005, PollList: true, CanCancel: true}
	s.Limits = site.Limits{
		Counts: site.Counts{
			BackendConnections: 8,
		},
		Durations: site.Durations{
			PositionEpoch: 3600, ConnectTimeout: 1, HealthCheckTimeout: 1, SilenceTimeout: 1, MinBackoff: 1, MaxBackoff: 1,
			LongPollHold: 1,
		},
	}
	s.Discovery = s.KnownList.Endpoints[0].Address
	blocks := buffer.NewPool(64, 1000)
	o := New(s, l, blocks, &count.Counters{ReceivedByGroup: make([]uint64, 1)}, zerolog.Nop())
	o.deliver(0)
	return o, blocks
}

func command(o *Dispatcher, blocks *buffer.Pool, f Responder) *Command {
	set, _ := o.LookupShard(7)
	c := &Command{ID: "9b1f", Shard: set, ClientDeadline: 1, Statement: blocks.New(), Responder: f}
	c.Statement.Write([]byte("d=99\x00"))
	o.Submit(c)
	return c
}

func TestClustersAreKnownByTheList(t *testing.T) {
	o, _ := newCore(t)
	_, ok := o.LookupShard(7)
	assert.True(t, ok)
	_, ok = o.LookupShard(8)
	assert.False(t, ok)
}

func TestReportsCountFromTheEpoch(t *testing.T) {
	o, _ := newCore(t)
	unix := float64(o.loop.StartedAt().UnixMilli()) / 1000
	position, primary := o.report(fmt.Sprintf("x1=1, x0=%.3f", unix))
	assert.InDelta(t, 3600, position, 0.01)
	assert.True(t, primary)
	assert.InDelta(t, 0, o.loopTime(o.positionEpochUnixMs)+position, 0.01, "which is when the router's clock read 0")
	for _, nonsense := range []string{
		"", "x0", "x0=soon", "x0=NaN", "x0=-Inf", "util=0.5", "x0=-5", "x0=1e18",
		fmt.Sprintf("x0=%.3f", unix+60), fmt.Sprintf("x0=%.3f,x1=perhaps", unix), fmt.Sprintf("x0=%.3f,x1=7", unix),
	} {
		position, _ = o.report(nonsense)
		assert.Negative(t, position, nonsense)
	}
}

func TestClientThatLeavesInTheSameTurnHasNothingSent(t *testing.T) {
	o, blocks := newCore(t)
	var s said
	c := command(o, blocks, &s)
	o.ClientGone([]*Command{c})
	o.RunTurn(0.1)
	assert.Empty(t, s)
	assert.Zero(t, o.counters.Attempts)
	assert.Zero(t, o.InFlight())
	assert.Zero(t, blocks.Out())
}

func TestNothingIsSentForACommandThatIsOver(t *testing.T) {
	o, blocks := newCore(t)
	var s said
	c := command(o, blocks, &s)
	o.deliver(0.1)
	require.Len(t, o.sends, 1)
	o.ClientGone([]*Command{c}) // before the dispatch was carried out
	o.deliver(0.1)
	o.carryOut()
	assert.Zero(t, o.counters.Attempts)
	o.RunTurn(0.1)
	assert.EqualValues(t, 1, o.counters.AttemptResults[router.NeverSent])
	assert.Zero(t, o.tracker.Len())
}

func TestAnswerReachesItsClientOnce(t *testing.T) {
	o, blocks := newCore(t)
	var s said
	command(o, blocks, &s)
	o.deliver(0.1)
	d := o.sends[0]
	o.sends = nil
	answer := func() *pg.Answer {
		a := &pg.Answer{Row: blocks.New()}
		a.Row.Write([]byte("row"))
		return a
	}
	o.Ended(d, router.Answered, 0.1, answer())
	o.Ended(d, router.Answered, 0.1, answer())
	o.RunTurn(0.2)
	assert.Equal(t, said{"answered"}, s)
	assert.Zero(t, blocks.Out(), "every block is given back")
	o.Ended(&member.Dispatch{ID: 99}, router.ConnectionLost, 0, nil)
	o.RunTurn(0.3)
}

func TestMembersThatComeAndGoLeaveNoRows(t *testing.T) {
	o, _ := newCore(t)
	span := 0.0
	for i := range 500 {
		now := float64(i)
		list := roster.List{Endpoints: []roster.Endpoint{
			{ID: fmt.Sprint("m", i), Shard: 7, State: roster.StateReady},
			{ID: fmt.Sprint("m", i-1), Shard: 7, State: roster.StateGone},
		}}
		o.HandleList(list)
		o.RunTurn(now)
		if known, _ := o.EndpointRows(); float64(known) > span {
			span = float64(known)
		}
	}
	known, rows := o.EndpointRows()
	assert.Less(t, span, 30.0, "rows level off")
	assert.Less(t, rows, 30)
	o.RunTurn(2000)
	known, _ = o.EndpointRows()
	assert.Equal(t, 2, known, "those that are listed")
}

func TestNamesAreOpenUntilTheFinalAnswer(t *testing.T) {
	o, blocks := newCore(t)
	var s said
	c := command(o, blocks, &s)
	assert.True(t, o.IsInFlight(c.ID))
	o.ClientGone([]*Command{c})
	o.RunTurn(0.1)
	assert.False(t, o.IsInFlight(c.ID))
	assert.Empty(t, o.clientIDs)
}

// A router that was held up for 8 ms between its poll and its reading took a current read for one of the poll's time,
// and a position told for that time covered it.
func TestCurrentReadCountsFromItsReadingNotFromThePoll(t *testing.T) {
	o, blocks := newCore(t)
	o.settings.CommandGroups[0].Consistency, o.settings.LoadReports, o.maxClockSkewSeconds = router.Linearizable, true, 1
	o.ApplySettings()
	o.deliverList(0, listUpdate{list: roster.List{Complete: true, Endpoints: []roster.Endpoint{{ID: "a", Shard: 7, State: roster.StateReady}}}})
	polled := o.loop.Now()
	time.Sleep(20 * time.Millisecond)
	at := float64(o.loop.StartedAt().UnixNano())/1e9 + polled + 0.005
	o.Probed(0, router.Answered, 0, fmt.Sprintf("x0=%.6f,x1=0", at))
	command(o, blocks, &said{})
	o.deliver(polled)
	assert.Empty(t, o.sends, "a position of 5 ms after the poll does not cover what came 20 ms after it")
	o.Probed(0, router.Answered, 0, fmt.Sprintf("x0=%.6f,x1=0", at+0.5))
	o.deliver(polled)
	o.tracker.ReviewDue(polled + 0.05)
	assert.Len(t, o.sends, 1, "one of later does")
}
