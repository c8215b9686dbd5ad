package inflight_test

import (
	"math"

	"stoatdale.example/stoatdale/internal/router"
)

// condition is what is wrong with a database server, if anything.
type condition int

const (
	serving condition = iota
	unreachable
	hung
	refusing
	erring
	breaking // closes its connections under commands
	slow
)

const conditionCount = int(slow) + 1

func (s *simulation) drawCondition() condition { return condition(s.intn(conditionCount)) }

// endpoint is a database server as it is, beside what the list says of it.
type endpoint struct {
	router.EndpointInfo
	condition condition
	primary   bool
	lag       float64 // of a replica's data
	work      float64 // time of a command, over its group's
	busyUntil float64 // when all that was sent to it is done
	released  bool
}

// position is how far its data reach, by the time from which positions count.
func (e *endpoint) position(now, zeroAt float64) float64 {
	if e.primary {
		return math.Max(0, now-zeroAt)
	}
	return math.Max(0, now-e.lag-zeroAt)
}

// drawFleet makes the fleet and says how fast it changes.
func (s *simulation) drawFleet() {
	s.shards = 1 + s.intn(4)
	s.turbulence = s.of(0.3, 1, 3, 10)
	for range s.shards * (1 + s.intn(6)) {
		s.addEndpoint()
	}
	for shard := range s.shards {
		s.promote(shard)
	}
}

// addEndpoint adds a server in an index that is free, or a new one.
func (s *simulation) addEndpoint() {
	e := endpoint{lag: s.of(0, 0.005, 0.05, 0.3, 2), work: s.of(0.7, 1, 1, 1, 1.5)}
	e.EndpointInfo = router.EndpointInfo{
		Index: len(s.endpoints), Shard: s.intn(s.shards), Zone: s.intn(3), State: router.Ready,
		StartedAt: math.Inf(-1),
	}
	if s.calls > 0 || s.chance(0.1) {
		e.StartedAt = s.now
	}
	if s.chance(0.3) {
		e.condition = s.drawCondition()
	}
	if len(s.free) == 0 {
		s.endpoints = append(s.endpoints, e)
		return
	}
	e.Index, s.free = s.free[0], s.free[1:]
	s.endpoints[e.Index] = e
}

// promote makes a server of a shard its primary, and tells the list of it, or does not.
func (s *simulation) promote(shard int) {
	told := s.chance(0.7)
	chosen, seen := -1, 0
	for i := range s.endpoints {
		if e := &s.endpoints[i]; e.Shard == shard && !e.released {
			e.primary = false
			e.Primary = e.Primary && !told
			if seen++; s.intn(seen) == 0 {
				chosen = i
			}
		}
	}
	if chosen >= 0 {
		s.endpoints[chosen].primary = true
		s.endpoints[chosen].Primary = told || s.endpoints[chosen].Primary
	}
}

// disturb changes something about the fleet, and the list of it a little later.
func (s *simulation) disturb() {
	s.after(s.exponential(s.turbulence), s.disturb)
	at := s.intn(len(s.endpoints))
	switch kind := s.intn(14); kind {
	case 0:
		s.promote(s.endpoints[at].Shard)
	case 1:
		s.addEndpoint()
		at = len(s.endpoints) - 1
	case 2:
		for i := range s.endpoints {
			s.endpoints[i].condition = serving
		}
	case 3:
		for i := range s.endpoints {
			if s.endpoints[i].Shard == s.endpoints[at].Shard {
				s.endpoints[i].condition = s.drawCondition()
			}
		}
	case 4:
		s.failList()
	default:
		s.disturbEndpoint(&s.endpoints[at])
	}
	if !s.config.PollList || s.following {
		s.after(s.of(0.01, 0.1, 1), func() { s.publish(at) })
	}
}

func (s *simulation) disturbEndpoint(e *endpoint) {
	switch s.intn(9) {
	case 0, 1:
		e.State = router.EndpointState(s.intn(3))
	case 2:
		e.StartedAt, e.State = s.now-s.of(0, 1, 5), router.Ready
	case 3:
		e.lag = s.of(0, 0.005, 0.05, 0.3, 2)
	case 4:
		e.busyUntil = s.now + s.of(0.1, 0.5, 2)
	case 5:
		if !e.released && s.chance(0.3) {
			e.Shard = s.intn(s.shards)
		}
	default:
		e.condition = s.drawCondition()
	}
}

// publish hands in a change of the list, or all of it.
func (s *simulation) publish(at int) {
	if s.chance(0.2) {
		s.publishAll(s.chance(0.1))
		return
	}
	if e := &s.endpoints[at]; !e.released {
		s.list([]router.EndpointInfo{e.EndpointInfo}, false, false)
	}
}

func (s *simulation) publishAll(cached bool) {
	var all []router.EndpointInfo
	for i := range s.endpoints {
		if e := &s.endpoints[i]; !e.released && (e.State != router.Removed || s.chance(0.5)) {
			all = append(all, e.EndpointInfo)
		}
	}
	s.list(all, true, cached)
}

func (s *simulation) list(l []router.EndpointInfo, complete, cached bool) {
	s.note(callUpdateEndpoints, s.now, flagged(complete), flagged(cached), float64(len(l)))
	for _, e := range l {
		s.note(callUpdateEndpoints, float64(e.Index), float64(e.Shard), float64(e.Zone), float64(e.State), e.StartedAt,
			flagged(e.Primary))
	}
	s.tracker.UpdateEndpoints(s.now, l, complete, cached)
}
