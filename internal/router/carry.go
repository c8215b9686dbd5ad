package router

import (
	"maps"
	"math"
	"slices"
)

// MigrateFrom takes over from a router of the same process what still means the same under other settings, before
// the first command: where members are, their states, roles and positions, when they started, what is doubted
// or out of reach, what was spent on cold ones, and the sessions. What was learnt in terms of the old command
// groups, traffic or routers (paces, work, shares, rates, how groups were served) starts afresh, and so does
// what is out: the old router's dispatches end there.
func (r *Router) MigrateFrom(now float64, from *Router) {
	r.nodes = make([]node, len(from.nodes))
	for i, n := range from.nodes {
		n.out, n.legs, n.unheard, n.sent = 0, 0, 0, 0
		n.lat, n.places, n.done = 0, 0, 0
		r.nodes[i] = n
	}
	r.sets = make([]set, len(from.sets))
	for i, s := range from.sets {
		s.nodes, s.lat, s.done = slices.Clone(s.nodes), 0, 0
		r.sets[i] = s
	}
	r.young, r.old, r.turnedAt = maps.Clone(from.young), maps.Clone(from.old), now
	for _, sessions := range []map[uint64]session{r.young, r.old} {
		for id, s := range sessions {
			if s.out > 0 { // those writes end there: a half stands for them until LearnFrom finds none out
				s.out = 0.5
				sessions[id] = s
			}
		}
	}
	r.following, r.followAt, r.followFailures = from.following, from.followAt, from.followFailures
}

// LearnFrom takes over what another router of the process has just learnt of a command's session: its last
// commands end there after the switch, and a read that is taken here must see what they wrote.
func (r *Router) LearnFrom(c *Command, from *Router) {
	told, s := from.session(c.Session), r.session(c.Session)
	if told.out == 0 {
		s.out = math.Floor(s.out)
	}
	if s.out == r.session(c.Session).out && math.IsInf(max(told.token, told.seen), -1) {
		return
	}
	s.token, s.seen = max(s.token, told.token), max(s.seen, told.seen)
	r.young[c.Session] = s
	r.sets[c.Shard].top = max(r.sets[c.Shard].top, s.token, s.seen)
}
