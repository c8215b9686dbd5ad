package inflight_test

import (
	"math"

	"stoatdale.example/stoatdale/internal/router"
)

// condition is the condition of a simulated backend: serving, or a kind of failure.
type condition int

const (
	serving condition = iota
	unreachable
	hung
	refusing
	erring
	breaking // closes connections while commands are in flight
	slow
)

const conditionCount = int(slow) + 1

func (s *simulation) drawCondition() condition { return condition(s.intn(conditionCount)) }

// endpoint is a simulated backend: its row in the endpoint list, and its actual state, which may differ from the row.
type endpoint struct {
	router.EndpointInfo
	condition  condition
	primary    bool
	lag        float64 // seconds by which a replica's data are behind
	workFactor float64 // duration of a command relative to other endpoints
	busyUntil  float64 // time at which the backend has finished all commands that it has received
	released   bool
}

// appliedPosition returns the log position up to which the backend has applied the log. Position 0 is at time zeroAt.
func (e *endpoint) appliedPosition(now, zeroAt float64) float64 {
	if e.primary {
		return math.Max(0, now-zeroAt)
	}
	return math.Max(0, now-e.lag-zeroAt)
}

// drawFleet creates the fleet and draws the rate at which it changes.
func (s *simulation) drawFleet() {
	s.shards = 1 + s.intn(4)
	s.meanChangeInterval = s.choose(0.3, 1, 3, 10)
	for range s.shards * (1 + s.intn(6)) {
		s.addEndpoint()
	}
	for shard := range s.shards {
		s.promote(shard)
	}
}

// addEndpoint adds an endpoint at a free index, or at a new one if none is free.
func (s *simulation) addEndpoint() {
	e := endpoint{lag: s.choose(0, 0.005, 0.05, 0.3, 2), workFactor: s.choose(0.7, 1, 1, 1, 1.5)}
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
	if len(s.freeIndices) == 0 {
		s.endpoints = append(s.endpoints, e)
		return
	}
	e.Index, s.freeIndices = s.freeIndices[0], s.freeIndices[1:]
	s.endpoints[e.Index] = e
}

// promote makes a random backend of a shard its primary. The endpoint list shows the change only in some cases.
func (s *simulation) promote(shard int) {
	listed := s.chance(0.7)
	chosen, candidates := -1, 0
	for i := range s.endpoints {
		if e := &s.endpoints[i]; e.Shard == shard && !e.released {
			e.primary = false
			e.Primary = e.Primary && !listed
			if candidates++; s.intn(candidates) == 0 {
				chosen = i
			}
		}
	}
	if chosen >= 0 {
		s.endpoints[chosen].primary = true
		s.endpoints[chosen].Primary = listed || s.endpoints[chosen].Primary
	}
}

// changeFleet makes a random change to the fleet and publishes it in the endpoint list a little later.
func (s *simulation) changeFleet() {
	s.schedule(s.exponential(s.meanChangeInterval), s.changeFleet)
	index := s.intn(len(s.endpoints))
	switch kind := s.intn(14); kind {
	case 0:
		s.promote(s.endpoints[index].Shard)
	case 1:
		s.addEndpoint()
		index = len(s.endpoints) - 1
	case 2:
		for i := range s.endpoints {
			s.endpoints[i].condition = serving
		}
	case 3:
		for i := range s.endpoints {
			if s.endpoints[i].Shard == s.endpoints[index].Shard {
				s.endpoints[i].condition = s.drawCondition()
			}
		}
	case 4:
		s.failList()
	default:
		s.changeEndpoint(&s.endpoints[index])
	}
	if !s.config.PollList || s.subscribed {
		s.schedule(s.choose(0.01, 0.1, 1), func() { s.publish(index) })
	}
}

func (s *simulation) changeEndpoint(e *endpoint) {
	switch s.intn(9) {
	case 0, 1:
		e.State = router.EndpointState(s.intn(3))
	case 2:
		e.StartedAt, e.State = s.now-s.choose(0, 1, 5), router.Ready
	case 3:
		e.lag = s.choose(0, 0.005, 0.05, 0.3, 2)
	case 4:
		e.busyUntil = s.now + s.choose(0.1, 0.5, 2)
	case 5:
		if !e.released && s.chance(0.3) {
			e.Shard = s.intn(s.shards)
		}
	default:
		e.condition = s.drawCondition()
	}
}

// publish passes a list update to the tracker: the row of one endpoint or, in some cases, the complete list.
func (s *simulation) publish(index int) {
	if s.chance(0.2) {
		s.publishAll(s.chance(0.1))
		return
	}
	if e := &s.endpoints[index]; !e.released {
		s.updateEndpoints([]router.EndpointInfo{e.EndpointInfo}, false, false)
	}
}

func (s *simulation) publishAll(cached bool) {
	var all []router.EndpointInfo
	for i := range s.endpoints {
		if e := &s.endpoints[i]; !e.released && (e.State != router.Removed || s.chance(0.5)) {
			all = append(all, e.EndpointInfo)
		}
	}
	s.updateEndpoints(all, true, cached)
}

func (s *simulation) updateEndpoints(list []router.EndpointInfo, complete, cached bool) {
	s.record(callUpdateEndpoints, s.now, boolValue(complete), boolValue(cached), float64(len(list)))
	for _, e := range list {
		s.record(callUpdateEndpoints, float64(e.Index), float64(e.Shard), float64(e.Zone), float64(e.State), e.StartedAt,
			boolValue(e.Primary))
	}
	s.tracker.UpdateEndpoints(s.now, list, complete, cached)
}
