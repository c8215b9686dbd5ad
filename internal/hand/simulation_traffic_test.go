package hand_test

import (
	"math"

	"stoatdale.example/stoatdale/internal/router"
)

// drawSite draws settings, among them those at the edges of what is allowed.
func (s *simulation) drawSite() router.Site {
	site := router.Site{
		Whole: s.of(0, 1, 1), Worst: s.of(0, 0.5, 2),
		Routers: int(s.of(0, 1, 1, 3, 20, 300)), Me: s.intn(20), Zone: s.intn(4) - 1,
		Tick: s.of(0, 0.001, 0.005, 0.02), ZeroAt: s.of(0, 50),
		Brought: s.chance(0.3), Guarded: s.chance(0.3), Reports: s.chance(0.8),
		Ask: s.chance(0.5), AskWithin: s.of(0, 1, 8, 30), SoftRemoval: s.chance(0.2),
		Cancel: s.chance(0.8), Probes: s.chance(0.8), Advice: s.chance(0.5), MaxAdvice: s.of(0.2, 1),
		Tries: int(s.of(0, 1, 2, 3, 6)), Dial: s.of(0.05, 0.25), ColdShare: s.of(0.05, 0.2, 1),
		WarmIn: s.of(0, 2, 10), Overload: s.of(1.2, 2), FallSpan: s.of(0.2, 2),
	}
	for range 2 + s.intn(6) {
		site.Groups = append(site.Groups, s.drawGroup())
	}
	return site
}

func (s *simulation) drawGroup() router.CommandGroup {
	g := router.CommandGroup{
		Need: router.Need(s.intn(5)), Effect: router.Effect(s.intn(3)), Scope: router.Scope(s.intn(3)),
		Target: s.of(0.02, 0.1, 0.1, 0.5), Benefit: s.of(0.5, 1, 1, 3, 10), Late: s.of(0, 0, 0.3),
		Bound: s.of(0.02, 0.2, 1), Memory: s.of(0.3, 1, 5),
	}
	if s.flood {
		g.Need, g.Effect = router.NeedWrite, router.Keyed
	}
	g.Timeout = g.Target * s.of(1, 2, 4, 10)
	if g.Need == router.NeedAny && s.chance(0.4) {
		g.Target, g.Timeout = 2, 5 // heavy reads
	}
	return g
}

// drawTraffic says how many commands come, and from whom.
func (s *simulation) drawTraffic() {
	s.gap = s.of(0.001, 0.005, 0.02, 0.1)
	s.leavers = s.of(0, 0.05, 0.3, 0.9)
	s.sessions = int(s.of(1, 5, 50, 1000))
	s.answered = s.chance(0.5)
	if s.flood {
		s.gap, s.leavers = 0.0002, 0
	}
}

// arrive takes a command in.
func (s *simulation) arrive() {
	s.after(s.exponential(s.gap), s.arrive)
	if s.chance(0.001) {
		s.gap = s.of(0.001, 0.005, 0.02, 0.1) // traffic rises and falls
	}
	at := s.intn(len(s.site.Groups))
	g := &s.site.Groups[at]
	arrived := s.now - s.of(0, 0, 0.001, 0.02)
	c := router.Command{
		Group: at, Set: s.intn(s.shards), Arrived: arrived, GiveUp: arrived + g.Timeout*s.of(1, 1, 1, 0.5),
		Session: uint64(s.intn(s.sessions + 1)), Repeat: s.chance(0.1),
	}
	if s.site.Brought {
		c.WriteAge = s.of(0, 0.01, 0.2, 3, -0.01)
	}
	if s.chance(0.002) {
		c.Set = s.intn(2)*100 - 1
	}
	s.nextID++
	id := s.nextID
	if s.flood {
		c.Session = uint64(id)
	}
	s.note(callTake, s.now, float64(id), float64(c.Group), float64(c.Set), float64(c.Session), c.Arrived, c.GiveUp,
		c.WriteAge, flagged(c.Repeat))
	s.hand.Take(s.now, id, c)
	if s.chance(s.leavers) {
		s.after(s.between(0, 1.2*g.Timeout), func() {
			s.note(callLeft, s.now, float64(id))
			s.hand.Left(s.now, id)
		})
	}
}

// end hands in how an attempt ended, after a while.
func (s *simulation) end(id uint32, o router.Outcome, delay float64) {
	s.after(delay, func() {
		s.note(callEnded, s.now, float64(id), float64(o.Leg), float64(o.Ending), o.Took, flagged(o.Over), o.Position,
			float64(o.Role))
		s.hand.Ended(s.now, id, o)
	})
}

// Dispatch sends an attempt to a simulated server.
func (s *simulation) Dispatch(id uint32, leg, node int, until float64) {
	s.note(callDispatch, float64(id), float64(leg), float64(node), until)
	o := s.outcome(&s.endpoints[node])
	o.Leg = leg
	if left := until - s.now; o.Took >= left {
		o = router.Outcome{Leg: leg, Ending: router.TimedOut, Took: math.Max(0, left), Position: -1}
	}
	s.end(id, o, o.Took)
}

// outcome draws how an attempt at a server ends.
func (s *simulation) outcome(e *endpoint) router.Outcome {
	failed := router.Outcome{Took: s.between(0.0005, 0.01), Position: -1}
	switch e.condition {
	case unreachable:
		failed.Ending, failed.Took = router.Unreached, s.of(0.001, s.site.Dial)
		return failed
	case hung:
		failed.Ending, failed.Took = router.TimedOut, math.Inf(1)
		return failed
	case refusing:
		failed.Ending = router.Full
		return failed
	case erring:
		failed.Ending, failed.Over = router.Errored, s.answered
		return failed
	case breaking:
		failed.Ending = router.Broken
		return failed
	case serving, slow:
	}
	if s.chance(0.02) {
		failed.Ending = router.Ending(1 + s.intn(int(router.Missed)))
		return failed
	}
	return s.serve(e)
}

// serve has a server answer, when it is done with what it has.
func (s *simulation) serve(e *endpoint) router.Outcome {
	work := 0.01 * e.work * s.between(0.5, 2)
	if e.condition == slow || s.chance(0.01) {
		work *= s.of(3, 30)
	}
	e.busyUntil = math.Max(e.busyUntil, s.now) + work/8 // it does eight at a time
	o := router.Outcome{Ending: router.Answered, Over: true, Took: e.busyUntil - s.now + work, Position: -1}
	if o.Took > 1 {
		return router.Outcome{Ending: router.Full, Took: 0.001, Position: -1}
	}
	if s.site.Reports || s.chance(0.3) {
		o.Position = e.position(s.now, s.site.ZeroAt)
		o.Role = router.RoleReplica
		if e.primary {
			o.Role = router.RolePrimary
		}
	}
	if !e.primary && s.chance(0.15) || s.chance(0.002) {
		o.Ending, o.Over = router.Missed, false
	}
	return o
}

// Recall calls an attempt off: the server stops, or was quicker.
func (s *simulation) Recall(id uint32, leg int) {
	s.note(callRecall, float64(id), float64(leg))
	s.end(id, router.Outcome{Leg: leg, Ending: router.Recalled, Took: s.between(0.001, 0.05), Position: -1}, s.between(0, 0.02))
}

// Throttle turns a command away.
func (s *simulation) Throttle(id uint32, comeBack float64) {
	s.note(callThrottle, float64(id), comeBack)
}

// Fail ends a command with an error.
func (s *simulation) Fail(id uint32) { s.note(callFail, float64(id)) }
