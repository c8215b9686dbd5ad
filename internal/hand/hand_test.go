package hand

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"stoatdale.example/stoatdale/internal/router"
)

// record notes what is carried out.
type record struct {
	sent, recalled, throttled, failed int
	until                             float64
	node                              int
}

func (r *record) Dispatch(_ uint32, _, n int, until float64) { r.sent++; r.until, r.node = until, n }
func (r *record) Recall(uint32, int)                         { r.recalled++ }
func (r *record) Throttle(uint32, float64)                   { r.throttled++ }
func (r *record) Fail(uint32)                                { r.failed++ }

// holding is a hand with one replayable and one mutating group, and so many members.
func holding(members int) (*Hand, *record) {
	row := router.CommandGroup{Need: router.NeedAny, Target: 0.5, Timeout: 2, Benefit: 1}
	write := row
	write.Effect = router.Mutating
	m := router.New(router.Site{Groups: []router.CommandGroup{row, write}, Routers: 1, Tick: 0.005, Tries: 2,
		Cancel: true}, 7)
	var list []router.Listing
	for i := range members {
		list = append(list, router.Listing{Node: i, State: router.Ready, Started: math.Inf(-1)})
	}
	m.Listed(0, list, true, true)
	out := &record{}
	return New(m, out), out
}

func cmd(group int) router.Command {
	return router.Command{Group: group, Arrived: 1, GiveUp: 3}
}

func TestAnsweredCommandIsForgotten(t *testing.T) {
	h, out := holding(1)
	h.Take(1, 4, cmd(0))
	assert.Equal(t, record{sent: 1, until: 1.5}, *out)
	h.Ended(1.1, 4, router.Outcome{Ending: router.Answered, Over: true, Position: -1})
	assert.Zero(t, h.Len())
	h.Ended(1.2, 4, router.Outcome{Ending: router.Broken})
	assert.Equal(t, record{sent: 1, until: 1.5}, *out, "a late outcome reaches nobody")
}

func TestOutcomeCountsOnce(t *testing.T) {
	h, out := holding(2)
	h.Take(1, 4, cmd(0))
	o := router.Outcome{Ending: router.Unreached, Position: -1}
	h.Ended(1.1, 4, o)
	h.Ended(1.1, 4, o)
	assert.Equal(t, 2, out.sent, "the second end of the first dispatch is passed over")
	h.Ended(1.1, 4, router.Outcome{Leg: 7})
	assert.Equal(t, 1, h.Len())
}

func TestMutatingCommandThatMayHaveRunFails(t *testing.T) {
	h, out := holding(2)
	h.Take(1, 4, cmd(1))
	h.Ended(1.1, 4, router.Outcome{Ending: router.Broken, Position: -1})
	assert.Equal(t, 1, out.sent)
	assert.Equal(t, 1, out.failed)
	assert.Zero(t, h.Len())
}

func TestLeftCommandIsRecalledAndKeptUntilItsDispatchEnds(t *testing.T) {
	h, out := holding(1)
	h.Take(1, 4, cmd(0))
	h.Left(1.1, 4)
	h.Left(1.1, 4)
	assert.Equal(t, 1, out.recalled)
	assert.Equal(t, 1, h.Len())
	h.Ended(1.1, 4, router.Outcome{Ending: router.Recalled, Position: -1})
	assert.Zero(t, h.Len())
	assert.Equal(t, 1, out.sent, "nothing is sent for it afterwards")
	assert.Zero(t, out.throttled+out.failed, "and nobody is answered")
}

func TestHeldCommandIsAskedAboutUntilItIsGivenUp(t *testing.T) {
	h, out := holding(0)
	c := cmd(0)
	c.Set = -1
	h.Take(1, 3, c)
	assert.Equal(t, 1, out.throttled, "no list has named its set")

	h, out = holding(1)
	h.router.Listed(1, []router.Listing{{Node: 0, State: router.Draining}}, false, false)
	h.Take(1, 4, cmd(0))
	assert.Zero(t, out.sent)
	last := 0.0
	for now := 1.0; h.Len() > 0 && now < 4; {
		next, _ := h.Settle(now)
		assert.Greater(t, next, now)
		last, now = now, next
	}
	assert.Equal(t, 1, out.throttled)
	assert.Less(t, last, 3.0, "before its client timeout")
}

// What is in hand at a move ends by the router that took it, which hears of drains until then; and what it learns of
// a session there binds the reads that come after.
func TestCommandsInHandAtAMoveEndWhereTheyWereTaken(t *testing.T) {
	const many = 20
	h, out := holding(2)
	for id := range uint32(many) {
		h.Take(1, id, cmd(1))
	}
	h.Move(1.1, router.New(router.Site{Groups: []router.CommandGroup{{Target: 9, Timeout: 9}}, Tick: 0.005, Tries: 1}, 7))
	h.Listed(1.2, []router.Listing{{Node: 0, State: router.Draining, Started: math.Inf(-1)}}, false, false)
	for id := range uint32(many) {
		h.Ended(1.3, id, router.Outcome{Ending: router.Missed, Position: -1})
		assert.Equal(t, many+int(id)+1, out.sent, "by the tries of the settings that it came by")
		assert.Equal(t, 1, out.node, "nothing to one that drains")
	}
	h.Settle(1.9)
	assert.Len(t, h.past, 1)
	for id := range uint32(many) {
		h.Ended(1.9, id, router.Outcome{Leg: 1, Ending: router.Answered, Over: true, Position: -1})
	}
	h.Settle(1.9)
	assert.Empty(t, h.past)
}

func TestReadAfterAMoveSeesAWriteThatEndedAtTheRouterBefore(t *testing.T) {
	groups := []router.CommandGroup{{Need: router.NeedWrite, Effect: router.Mutating, Target: 0.5, Timeout: 2, Benefit: 1},
		{Need: router.NeedSession, Target: 0.5, Timeout: 2, Benefit: 1}}
	fresh := func() *router.Router {
		return router.New(router.Site{Groups: groups, Tick: 0.005, Tries: 2, Reports: true}, 7)
	}
	out := &record{}
	h := New(fresh(), out)
	h.Listed(0, []router.Listing{{Node: 0, State: router.Ready, Started: math.Inf(-1), Primary: true},
		{Node: 1, State: router.Ready, Started: math.Inf(-1)}}, true, true)
	h.Take(10, 1, router.Command{Group: 0, Session: 9, Arrived: 10, GiveUp: 12})
	m := fresh()
	h.Move(10.1, m)
	h.Ended(10.2, 1, router.Outcome{Ending: router.Answered, Over: true, Took: 0.2, Position: 10.15, Role: router.RolePrimary})
	m.Probed(10.25, 1, router.Answered, 0, 10.1, false)
	h.Take(10.3, 2, router.Command{Group: 1, Session: 9, Arrived: 10.3, GiveUp: 12.3})
	assert.Equal(t, 1, out.sent, "the replica does not cover it yet")
	m.Probed(10.31, 1, router.Answered, 0, 10.2, false)
	h.Settle(10.32)
	assert.Equal(t, 2, out.sent)
	assert.Equal(t, 1, out.node)
}
