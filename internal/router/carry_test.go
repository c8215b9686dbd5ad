package router

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCarryKeepsWhatStillMeansTheSame(t *testing.T) {
	old := testRouter(t, testSite())
	old.nodes[1].pos, old.nodes[1].lat, old.nodes[1].done, old.nodes[1].legs, old.nodes[1].unheard = 11, 40, 100, 3, 2
	old.nodes[2].shunned, old.nodes[2].started, old.nodes[2].budget = true, 9, 5
	old.UpdateEndpoints(10, []EndpointInfo{{Index: 0, State: Draining, StartedAt: math.Inf(-1)}}, false, false)
	old.young[9], old.old[7] = session{token: 10.5, seen: 10.7}, session{token: 10.5, seen: 10.7, out: 2}
	old.sets[0].lat, old.sets[0].done = 40, 100
	old.sets[0].floor, old.lat, old.warmRate = 9.5, 0.4, 50
	s := testSite()
	s.CommandGroups = append(s.CommandGroups[:1:1], s.CommandGroups[gSession]) // other groups, in another order
	r := New(s, 8)
	r.MigrateFrom(12, old)
	assert.Equal(t, 11.0, r.nodes[1].pos, "a position holds for good")
	assert.Equal(t, RolePrimary, r.nodes[0].role)
	assert.False(t, r.usable(&r.nodes[0]), "what was told of drains binds on")
	assert.True(t, r.nodes[2].shunned, "a doubt stands until it answers")
	assert.Equal(t, 9.0, r.nodes[2].started, "and a cold one is cold")
	assert.Equal(t, 5.0, r.nodes[2].budget)
	assert.True(t, r.following)
	assert.Zero(t, r.nodes[1].lat+r.nodes[1].done, "paces were of other commands")
	assert.Zero(t, r.nodes[1].legs+r.nodes[1].unheard, "what is out ends at the old one")
	assert.Zero(t, r.lat+r.warmRate+r.sets[0].lat+r.sets[0].done)
	c := &Command{Group: 1, Session: 9, ArrivedAt: 12, ClientDeadline: 14}
	assert.Equal(t, 1, r.pick(12, c, &r.groups[1], r.session(9).seen), "it covers what the session has seen")
	assert.Equal(t, 10.7, r.owed(12, c))
	writes := &Command{Group: 1, Session: 7, ArrivedAt: 12, ClientDeadline: 14}
	assert.Equal(t, 12.5, r.owed(12.5, writes), "its writes are out at the old one")
	r.note(writes, &group{CommandGroup: CommandGroup{Consistency: PrimaryOnly}}, 1, math.Inf(-1)) // and one here
	for out := 1.0; out >= 0; out-- {
		old.old[7] = session{token: math.Inf(-1), seen: math.Inf(-1), out: out}
		r.LearnFrom(writes, old)
		assert.Equal(t, 12.5, r.owed(12.5, writes))
	}
	r.note(writes, &group{CommandGroup: CommandGroup{Consistency: PrimaryOnly}}, -1, math.Inf(-1))
	assert.Equal(t, 10.7, r.owed(12.5, writes), "none is out any more")
	other := &Command{Group: 1, Session: 4, ArrivedAt: 12, ClientDeadline: 14}
	assert.Equal(t, 9.5, r.owed(12, other), "nor is the floor lost")
	old.nodes[1].pos, old.sets[0].nodes[0] = 0, 7
	assert.Equal(t, 11.0, r.nodes[1].pos, "nothing is shared")
	assert.Equal(t, []int{0, 1, 2}, r.sets[0].nodes)
}
