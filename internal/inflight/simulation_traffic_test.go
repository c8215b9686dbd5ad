package inflight_test

import (
	"math"

	"stoatdale.example/stoatdale/internal/router"
)

// drawConfig draws settings, including ones at the limits of what is allowed.
func (s *simulation) drawConfig() router.Config {
	config := router.Config{
		TotalWeight: s.choose(0, 1, 1), WorstGroupWeight: s.choose(0, 0.5, 2),
		RouterCount: int(s.choose(0, 1, 1, 3, 20, 300)), Instance: s.intn(20), Zone: s.intn(4) - 1,
		BatchInterval: s.choose(0, 0.001, 0.005, 0.02), PositionEpoch: s.choose(0, 50),
		ClientTokens: s.chance(0.3), ReplicasCheckReads: s.chance(0.3), LoadReports: s.chance(0.8),
		PollList: s.chance(0.5), PollWindow: s.choose(0, 1, 8, 30), SoftRemoval: s.chance(0.2),
		CanCancel: s.chance(0.8), HealthChecks: s.chance(0.8), RetryAfterAllowed: s.chance(0.5), MaxRetryAfter: s.choose(0.2, 1),
		MaxAttempts: int(s.choose(0, 1, 2, 3, 6)), ConnectTimeout: s.choose(0.05, 0.25), SlowStartFloor: s.choose(0.05, 0.2, 1),
		SlowStart: s.choose(0.5, 2, 10), OverloadFactor: s.choose(1.2, 2), OverloadWindow: s.choose(0.2, 2),
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
		LatencyObjective: s.choose(0.02, 0.1, 0.1, 0.5), PriorityWeight: s.choose(0.5, 1, 1, 3, 10), LateValue: s.choose(0, 0, 0.3),
		MaxStaleness: s.choose(0.02, 0.2, 1), IdempotencyWindow: s.choose(0.3, 1, 5),
	}
	g.ClientTimeout = g.LatencyObjective * s.choose(1, 2, 4, 10)
	if g.Consistency == router.Eventual && s.chance(0.4) {
		g.LatencyObjective, g.ClientTimeout = 2, 5 // heavy reads
	}
	return g
}

// drawTraffic draws the rate of commands, the number of sessions and how clients and errors behave.
func (s *simulation) drawTraffic() {
	s.meanCommandGap = s.choose(0.001, 0.005, 0.02, 0.1)
	s.leaveShare = s.choose(0, 0.05, 0.3, 0.9)
	s.sessions = int(s.choose(1, 5, 50, 1000))
	s.errorsAreFinal = s.chance(0.5)
}

// configureFlood makes all backends serve without failures, so that most commands are answered. The lag of the replicas is
// about the age of the sessions that the router has to forget.
func (s *simulation) configureFlood() {
	s.meanCommandGap, s.leaveShare, s.meanChangeInterval = 0.0004, 0, math.Inf(1)
	for i := range s.endpoints {
		s.endpoints[i].condition, s.endpoints[i].workFactor = serving, 0.1
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

// arrive adds a command to the tracker and schedules the next one.
func (s *simulation) arrive() {
	s.schedule(s.exponential(s.meanCommandGap), s.arrive)
	if !s.flood && s.chance(0.001) {
		s.meanCommandGap = s.choose(0.001, 0.005, 0.02, 0.1) // traffic rises and falls
	}
	groupIndex := s.intn(len(s.config.CommandGroups))
	g := &s.config.CommandGroups[groupIndex]
	arrivedAt := s.now - s.choose(0, 0, 0.001, 0.02)
	command := router.Command{
		Group: groupIndex, Shard: s.intn(s.shards),
		ArrivedAt: arrivedAt, ClientDeadline: arrivedAt + g.ClientTimeout*s.choose(1, 1, 1, 0.5),
		Session: uint64(s.intn(s.sessions + 1)), ClientRetry: s.chance(0.1),
	}
	if s.config.ClientTokens {
		command.LastWriteAge = s.choose(0, 0.01, 0.2, 3, -0.01)
	}
	if s.chance(0.002) {
		command.Shard = s.intn(2)*100 - 1
	}
	s.nextID++
	id := s.nextID
	if s.flood {
		command.Session = uint64(id)
		if s.chance(0.2) {
			command.Session = uint64(1 + s.intn(int(id)))
		}
	}
	s.record(callAdd, s.now, float64(id), float64(command.Group), float64(command.Shard), float64(command.Session),
		command.ArrivedAt, command.ClientDeadline,
		command.LastWriteAge, boolValue(command.ClientRetry))
	s.tracker.Add(s.now, id, command)
	if s.chance(s.leaveShare) {
		s.schedule(s.between(0, 1.2*g.ClientTimeout), func() {
			s.record(callClientGone, s.now, float64(id))
			s.tracker.ClientGone(s.now, id)
		})
	}
}

// scheduleAttemptEnd reports the result of an attempt to the tracker after a delay.
func (s *simulation) scheduleAttemptEnd(id uint32, result router.AttemptResult, delay float64) {
	s.schedule(delay, func() {
		s.record(callAttemptEnded, s.now, float64(id), float64(result.Attempt), float64(result.Result), result.Elapsed,
			boolValue(result.Final), result.Position,
			float64(result.Role))
		s.tracker.AttemptEnded(s.now, id, result)
	})
}

// Forward simulates an attempt at a backend. It implements inflight.Executor.
func (s *simulation) Forward(id uint32, attempt, index int, deadline float64) {
	s.record(callForward, float64(id), float64(attempt), float64(index), deadline)
	result := s.drawResult(&s.endpoints[index])
	result.Attempt = attempt
	if remaining := deadline - s.now; result.Elapsed >= remaining {
		result = router.AttemptResult{Attempt: attempt, Result: router.TimedOut, Elapsed: math.Max(0, remaining), Position: -1}
	}
	s.scheduleAttemptEnd(id, result, result.Elapsed)
}

// drawResult draws the result of an attempt at a backend.
func (s *simulation) drawResult(e *endpoint) router.AttemptResult {
	failed := router.AttemptResult{Elapsed: s.between(0.0005, 0.01), Position: -1}
	switch e.condition {
	case unreachable:
		failed.Result, failed.Elapsed = router.ConnectFailed, s.choose(0.001, s.config.ConnectTimeout)
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

// serve returns the result of an attempt at a backend that works. The attempt waits for the commands before it.
func (s *simulation) serve(e *endpoint) router.AttemptResult {
	work := 0.01 * e.workFactor * s.between(0.5, 2)
	if e.condition == slow || s.chance(0.01) {
		work *= s.choose(3, 30)
	}
	e.busyUntil = math.Max(e.busyUntil, s.now) + work/8 // it runs eight commands at a time
	result := router.AttemptResult{Result: router.Answered, Final: true, Elapsed: e.busyUntil - s.now + work, Position: -1}
	if result.Elapsed > 1 {
		return router.AttemptResult{Result: router.Overloaded, Elapsed: 0.001, Position: -1}
	}
	if s.config.LoadReports || s.chance(0.3) {
		result.Position = e.appliedPosition(s.now, s.config.PositionEpoch)
		result.Role = router.RoleReplica
		if e.primary {
			result.Role = router.RolePrimary
		}
	}
	if !e.primary && s.chance(0.15) || s.chance(0.002) {
		result.Result, result.Final = router.NotServed, false
	}
	return result
}

// Cancel simulates the cancellation of an attempt. If the attempt ends on its own first, that result counts.
func (s *simulation) Cancel(id uint32, attempt int) {
	s.record(callCancel, float64(id), float64(attempt))
	result := router.AttemptResult{Attempt: attempt, Result: router.Canceled, Position: -1}
	result.Elapsed = s.between(0.001, 0.05)
	s.scheduleAttemptEnd(id, result, s.between(0, 0.02))
}

// Reject records the rejection of a command.
func (s *simulation) Reject(id uint32, retryAfter float64) {
	s.record(callReject, float64(id), retryAfter)
}

// Fail records the failure of a command.
func (s *simulation) Fail(id uint32) { s.record(callFail, float64(id)) }
