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

func (r *record) Forward(_ uint32, _, n int, until float64) { r.sent++; r.until, r.node = until, n }
func (r *record) Cancel(uint32, int)                        { r.recalled++ }
func (r *record) Reject(uint32, float64)                    { r.throttled++ }
func (r *record) Fail(uint32)                               { r.failed++ }

// holding is a hand with one replayable and one mutating group, and so many members.
func holding(members int) (*Tracker, *record) {
	row := router.CommandGroup{Consistency: router.Eventual, LatencyObjective: 0.5, ClientTimeout: 2, PriorityWeight: 1}
	write := row
	write.Idempotency = router.NonIdempotent
	m := router.New(router.Config{CommandGroups: []router.CommandGroup{row, write}, RouterCount: 1, BatchInterval: 0.005, MaxAttempts: 2,
		CanCancel: true}, 7)
	var list []router.EndpointInfo
	for i := range members {
		list = append(list, router.EndpointInfo{Index: i, State: router.Ready, StartedAt: math.Inf(-1)})
	}
	m.UpdateEndpoints(0, list, true, true)
	out := &record{}
	return New(m, out), out
}

func cmd(group int) router.Command {
	return router.Command{Group: group, ArrivedAt: 1, ClientDeadline: 3}
}

func TestAnsweredCommandIsForgotten(t *testing.T) {
	h, out := holding(1)
	h.Add(1, 4, cmd(0))
	assert.Equal(t, record{sent: 1, until: 1.5}, *out)
	h.AttemptEnded(1.1, 4, router.AttemptResult{Result: router.Answered, Final: true, Position: -1})
	assert.Zero(t, h.Len())
	h.AttemptEnded(1.2, 4, router.AttemptResult{Result: router.ConnectionLost})
	assert.Equal(t, record{sent: 1, until: 1.5}, *out, "a late outcome reaches nobody")
}

func TestOutcomeCountsOnce(t *testing.T) {
	h, out := holding(2)
	h.Add(1, 4, cmd(0))
	o := router.AttemptResult{Result: router.ConnectFailed, Position: -1}
	h.AttemptEnded(1.1, 4, o)
	h.AttemptEnded(1.1, 4, o)
	assert.Equal(t, 2, out.sent, "the second end of the first dispatch is passed over")
	h.AttemptEnded(1.1, 4, router.AttemptResult{Attempt: 7})
	assert.Equal(t, 1, h.Len())
}

func TestMutatingCommandThatMayHaveRunFails(t *testing.T) {
	h, out := holding(2)
	h.Add(1, 4, cmd(1))
	h.AttemptEnded(1.1, 4, router.AttemptResult{Result: router.ConnectionLost, Position: -1})
	assert.Equal(t, 1, out.sent)
	assert.Equal(t, 1, out.failed)
	assert.Zero(t, h.Len())
}

func TestLeftCommandIsRecalledAndKeptUntilItsDispatchEnds(t *testing.T) {
	h, out := holding(1)
	h.Add(1, 4, cmd(0))
	h.ClientGone(1.1, 4)
	h.ClientGone(1.1, 4)
	assert.Equal(t, 1, out.recalled)
	assert.Equal(t, 1, h.Len())
	h.AttemptEnded(1.1, 4, router.AttemptResult{Result: router.Canceled, Position: -1})
	assert.Zero(t, h.Len())
	assert.Equal(t, 1, out.sent, "nothing is sent for it afterwards")
	assert.Zero(t, out.throttled+out.failed, "and nobody is answered")
}

func TestHeldCommandIsAskedAboutUntilItIsGivenUp(t *testing.T) {
	h, out := holding(0)
	c := cmd(0)
	c.Shard = -1
	h.Add(1, 3, c)
	assert.Equal(t, 1, out.throttled, "no list has named its set")

	h, out = holding(1)
	h.router.UpdateEndpoints(1, []router.EndpointInfo{{Index: 0, State: router.Draining}}, false, false)
	h.Add(1, 4, cmd(0))
	assert.Zero(t, out.sent)
	last := 0.0
	for now := 1.0; h.Len() > 0 && now < 4; {
		next, _ := h.ReviewDue(now)
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
		h.Add(1, id, cmd(1))
	}
	h.SwitchRouter(1.1, router.New(router.Config{CommandGroups: []router.CommandGroup{{LatencyObjective: 9, ClientTimeout: 9}}, BatchInterval: 0.005, MaxAttempts: 1}, 7))
	h.UpdateEndpoints(1.2, []router.EndpointInfo{{Index: 0, State: router.Draining, StartedAt: math.Inf(-1)}}, false, false)
	for id := range uint32(many) {
		h.AttemptEnded(1.3, id, router.AttemptResult{Result: router.NotServed, Position: -1})
		assert.Equal(t, many+int(id)+1, out.sent, "by the tries of the settings that it came by")
		assert.Equal(t, 1, out.node, "nothing to one that drains")
	}
	h.ReviewDue(1.9)
	assert.Len(t, h.past, 1)
	for id := range uint32(many) {
		h.AttemptEnded(1.9, id, router.AttemptResult{Attempt: 1, Result: router.Answered, Final: true, Position: -1})
	}
	h.ReviewDue(1.9)
	assert.Empty(t, h.past)
}

func TestReadAfterAMoveSeesAWriteThatEndedAtTheRouterBefore(t *testing.T) {
	groups := []router.CommandGroup{{Consistency: router.PrimaryOnly, Idempotency: router.NonIdempotent, LatencyObjective: 0.5, ClientTimeout: 2, PriorityWeight: 1},
		{Consistency: router.SessionConsistent, LatencyObjective: 0.5, ClientTimeout: 2, PriorityWeight: 1}}
	fresh := func() *router.Router {
		return router.New(router.Config{CommandGroups: groups, BatchInterval: 0.005, MaxAttempts: 2, LoadReports: true}, 7)
	}
	out := &record{}
	h := New(fresh(), out)
	h.UpdateEndpoints(0, []router.EndpointInfo{{Index: 0, State: router.Ready, StartedAt: math.Inf(-1), Primary: true},
		{Index: 1, State: router.Ready, StartedAt: math.Inf(-1)}}, true, true)
	h.Add(10, 1, router.Command{Group: 0, Session: 9, ArrivedAt: 10, ClientDeadline: 12})
	m := fresh()
	h.SwitchRouter(10.1, m)
	h.AttemptEnded(10.2, 1, router.AttemptResult{Result: router.Answered, Final: true, Elapsed: 0.2, Position: 10.15, Role: router.RolePrimary})
	m.HealthChecked(10.25, 1, router.Answered, 0, 10.1, false)
	h.Add(10.3, 2, router.Command{Group: 1, Session: 9, ArrivedAt: 10.3, ClientDeadline: 12.3})
	assert.Equal(t, 1, out.sent, "the replica does not cover it yet")
	m.HealthChecked(10.31, 1, router.Answered, 0, 10.2, false)
	h.ReviewDue(10.32)
	assert.Equal(t, 2, out.sent)
	assert.Equal(t, 1, out.node)
}
