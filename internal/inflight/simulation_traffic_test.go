package inflight_test

import (
	"math"

	"stoatdale.example/stoatdale/internal/router"
)

// drawConfig draws settings, among them those at the edges of what is allowed.
func (s *simulation) drawConfig() router.Config {
	config := router.Config{
		TotalWeight: s.of(0, 1, 1), WorstGroupWeight: s.of(0, 0.5, 2),
		RouterCount: int(s.of(0, 1, 1, 3, 20, 300)), Instance: s.intn(20), Zone: s.intn(4) - 1,
		BatchInterval: s.of(0, 0.001, 0.005, 0.02), PositionEpoch: s.of(0, 50),
		ClientTokens: s.chance(0.3), ReplicasCheckReads: s.chance(0.3), LoadReports: s.chance(0.8),
		PollList: s.chance(0.5), PollWindow: s.of(0, 1, 8, 30), SoftRemoval: s.chance(0.2),
		CanCancel: s.chance(0.8), HealthChecks: s.chance(0.8), RetryAfterAllowed: s.chance(0.5), MaxRetryAfter: s.of(0.2, 1),
		MaxAttempts: int(s.of(0, 1, 2, 3, 6)), ConnectTimeout: s.of(0.05, 0.25), SlowStartFloor: s.of(0.05, 0.2, 1),
		SlowStart: s.of(0.5, 2, 10), OverloadFactor: s.of(1.2, 2), OverloadWindow: s.of(0.2, 2),
	}
	for range 2 + s.intn(6) {
		config.CommandGroups = append(config.CommandGroups, s.drawGroup())
	}
	return config
}

func (s *simulation) drawGroup() router.CommandGroup {
	g := router.CommandGroup{
		Consistency: router.Consistency(s.intn(5)),
		Idempotency: router.Idempotency(s.intn(3)), KeyScope: router.KeyScope(s.intn(3)),
		LatencyObjective: s.of(0.02, 0.1, 0.1, 0.5), PriorityWeight: s.of(0.5, 1, 1, 3, 10), LateValue: s.of(0, 0, 0.3),
		MaxStaleness: s.of(0.02, 0.2, 1), IdempotencyWindow: s.of(0.3, 1, 5),
	}
	g.ClientTimeout = g.LatencyObjective * s.of(1, 2, 4, 10)
	if g.Consistency == router.Eventual && s.chance(0.4) {
		g.LatencyObjective, g.ClientTimeout = 2, 5 // heavy reads
	}
	return g
}

// drawTraffic says how many commands come, and from whom.
func (s *simulation) drawTraffic() {
	s.gap = s.of(0.001, 0.005, 0.02, 0.1)
	s.leavers = s.of(0, 0.05, 0.3, 0.9)
	s.sessions = int(s.of(1, 5, 50, 1000))
	s.errorsAreFinal = s.chance(0.5)
}

// settleFlood has all servers serve for good, so that most commands are answered. Replicas are as far behind as the
// sessions reach back that were let go.
func (s *simulation) settleFlood() {
	s.gap, s.leavers, s.turbulence = 0.0004, 0, math.Inf(1)
	for i := range s.endpoints {
		s.endpoints[i].condition, s.endpoints[i].work = serving, 0.1
		s.endpoints[i].lag = s.between(10, 40)
	}
	write := router.CommandGroup{
		Consistency: router.PrimaryOnly, LatencyObjective: 0.5, ClientTimeout: 8, PriorityWeight: 1,
	}
	read := write
	read.Consistency = router.SessionConsistent
	s.config.CommandGroups = []router.CommandGroup{write, write, write, read}
	s.config.RouterCount, s.config.MaxAttempts, s.config.HealthChecks = 1, 6, true
	s.config.PollList, s.config.ClientTokens, s.config.LoadReports = false, false, true
}

// arrive takes a command in.
func (s *simulation) arrive() {
	s.after(s.exponential(s.gap), s.arrive)
	if !s.flood && s.chance(0.001) {
		s.gap = s.of(0.001, 0.005, 0.02, 0.1) // traffic rises and falls
	}
	at := s.intn(len(s.config.CommandGroups))
	g := &s.config.CommandGroups[at]
	arrived := s.now - s.of(0, 0, 0.001, 0.02)
	c := router.Command{
		Group: at, Shard: s.intn(s.shards), ArrivedAt: arrived, ClientDeadline: arrived + g.ClientTimeout*s.of(1, 1, 1, 0.5),
		Session: uint64(s.intn(s.sessions + 1)), ClientRetry: s.chance(0.1),
	}
	if s.config.ClientTokens {
		c.LastWriteAge = s.of(0, 0.01, 0.2, 3, -0.01)
	}
	if s.chance(0.002) {
		c.Shard = s.intn(2)*100 - 1
	}
	s.nextID++
	id := s.nextID
	if s.flood {
		c.Session = uint64(id)
		if s.chance(0.2) {
			c.Session = uint64(1 + s.intn(int(id)))
		}
	}
	s.note(callAdd, s.now, float64(id), float64(c.Group), float64(c.Shard), float64(c.Session),
		c.ArrivedAt, c.ClientDeadline,
		c.LastWriteAge, flagged(c.ClientRetry))
	s.tracker.Add(s.now, id, c)
	if s.chance(s.leavers) {
		s.after(s.between(0, 1.2*g.ClientTimeout), func() {
			s.note(callClientGone, s.now, float64(id))
			s.tracker.ClientGone(s.now, id)
		})
	}
}

// end hands in how an attempt ended, after a while.
func (s *simulation) end(id uint32, o router.AttemptResult, delay float64) {
	s.after(delay, func() {
		s.note(callAttemptEnded, s.now, float64(id), float64(o.Attempt), float64(o.Result), o.Elapsed,
			flagged(o.Final), o.Position,
			float64(o.Role))
		s.tracker.AttemptEnded(s.now, id, o)
	})
}

// Dispatch sends an attempt to a simulated server.
func (s *simulation) Forward(id uint32, attempt, node int, until float64) {
	s.note(callForward, float64(id), float64(attempt), float64(node), until)
	o := s.outcome(&s.endpoints[node])
	o.Attempt = attempt
	if left := until - s.now; o.Elapsed >= left {
		o = router.AttemptResult{Attempt: attempt, Result: router.TimedOut, Elapsed: math.Max(0, left), Position: -1}
	}
	s.end(id, o, o.Elapsed)
}

// outcome draws how an attempt at a server ends.
func (s *simulation) outcome(e *endpoint) router.AttemptResult {
	failed := router.AttemptResult{Elapsed: s.between(0.0005, 0.01), Position: -1}
	switch e.condition {
	case unreachable:
		failed.Result, failed.Elapsed = router.ConnectFailed, s.of(0.001, s.config.ConnectTimeout)
		return failed
	case hung:
		failed.Result, failed.Elapsed = router.TimedOut, math.Inf(1)
		return failed
	case refusing:
		failed.Result = router.Overloaded
		return failed
	case erring:
		failed.Result, failed.Final = router.Errored, s.errorsAreFinal
		return failed
	case breaking:
		failed.Result = router.ConnectionLost
		return failed
	case serving, slow:
	}
	if s.chance(0.02) {
		failed.Result = router.Result(1 + s.intn(int(router.NotServed)))
		return failed
	}
	return s.serve(e)
}

// serve has a server answer, when it is done with what it has.
func (s *simulation) serve(e *endpoint) router.AttemptResult {
	work := 0.01 * e.work * s.between(0.5, 2)
	if e.condition == slow || s.chance(0.01) {
		work *= s.of(3, 30)
	}
	e.busyUntil = math.Max(e.busyUntil, s.now) + work/8 // it does eight at a time
	o := router.AttemptResult{Result: router.Answered, Final: true, Elapsed: e.busyUntil - s.now + work, Position: -1}
	if o.Elapsed > 1 {
		return router.AttemptResult{Result: router.Overloaded, Elapsed: 0.001, Position: -1}
	}
	if s.config.LoadReports || s.chance(0.3) {
		o.Position = e.position(s.now, s.config.PositionEpoch)
		o.Role = router.RoleReplica
		if e.primary {
			o.Role = router.RolePrimary
		}
	}
	if !e.primary && s.chance(0.15) || s.chance(0.002) {
		o.Result, o.Final = router.NotServed, false
	}
	return o
}

// Recall calls an attempt off: the server stops, or was quicker.
func (s *simulation) Cancel(id uint32, attempt int) {
	s.note(callCancel, float64(id), float64(attempt))
	o := router.AttemptResult{Attempt: attempt, Result: router.Canceled, Position: -1}
	o.Elapsed = s.between(0.001, 0.05)
	s.end(id, o, s.between(0, 0.02))
}

// Throttle turns a command away.
func (s *simulation) Reject(id uint32, retryAfter float64) {
	s.note(callReject, float64(id), retryAfter)
}

// Fail ends a command with an error.
func (s *simulation) Fail(id uint32) { s.note(callFail, float64(id)) }
