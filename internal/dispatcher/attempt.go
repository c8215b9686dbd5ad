package dispatcher

import (
	"stoatdale.example/stoatdale/internal/backend"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// decisions holds the router's decisions that are not yet executed.
type decisions struct {
	cancels []*backend.Attempt
	sends   []*backend.Attempt
}

// rolesByRecovery maps the recovery mode in a backend's answer to the backend's role.
var rolesByRecovery = map[string]router.Role{"off": router.RolePrimary, "on": router.RoleReplica}

// MaySend implements backend.ResultHandler: an attempt may be sent while its client is there and the router still allows
// its endpoint.
func (d *Dispatcher) MaySend(attempt *backend.Attempt) bool {
	command := d.commands.get(attempt.CommandID)
	if command == nil || command.clientGone {
		return false
	}
	presence := command.Responder.ClientPresence(command)
	command.undecided = presence == ClientUndecided
	if presence != ClientPresent {
		d.counters.SendsWithoutClient++
		return false
	}
	if !d.tracker.MaySend(d.loop.Clock(), attempt.CommandID) {
		d.counters.SendsOutdated++
		return false
	}
	return true
}

// AttemptEnded implements backend.ResultHandler.
func (d *Dispatcher) AttemptEnded(attempt *backend.Attempt, result router.Result, elapsed float64, answer *pg.Answer) {
	ended := endedAttempt{
		attempt: attempt, result: result, elapsed: elapsed,
		sentAt: d.loop.Now() - elapsed, receivedAt: d.loop.Clock(),
	}
	if answer != nil {
		ended.answer = *answer
	}
	d.pendingEvents.endedAttempts = append(d.pendingEvents.endedAttempts, ended)
}

// HealthChecked implements backend.ResultHandler.
func (d *Dispatcher) HealthChecked(endpoint int, result router.Result, elapsed float64, report string) {
	check := healthCheckResult{endpoint: endpoint, result: result, elapsed: elapsed, report: report}
	d.pendingEvents.healthChecks = append(d.pendingEvents.healthChecks, check)
}

// deliverAttempt passes the result of an attempt to the router, and the answer, if there is one, to the client.
func (d *Dispatcher) deliverAttempt(now float64, ended *endedAttempt) {
	d.counters.AttemptResults[ended.result]++
	command := d.commands.get(ended.attempt.CommandID)
	d.observeAnswer(ended, command)
	if command != nil && command.attempt == ended.attempt {
		command.attempt = nil
		command.mayHaveRun = command.mayHaveRun || ended.result.MayHaveRun()
	}
	d.tracker.AttemptEnded(now, ended.attempt.CommandID, d.attemptResult(ended, command))
	if ended.result == router.Answered && command != nil && !command.done {
		d.counters.Answered++
		command.Responder.Answer(command, &ended.answer.Row)
		d.finish(command)
		return
	}
	ended.answer.Row.Free()
}

// observeAnswer uses the position in an answer as a reading of the clock. The position is the time at which the backend
// answered only if a primary answered a read. The answer to a write may have the position of an earlier commit, if the
// primary had already run a command with the same idempotency key.
func (d *Dispatcher) observeAnswer(ended *endedAttempt, command *Command) {
	if ended.result != router.Answered || ended.answer.PositionMs <= 0 || command == nil {
		return
	}
	position := float64(ended.answer.PositionMs) / millisecondsPerSecond
	isPrimary := rolesByRecovery[ended.answer.Role] == router.RolePrimary
	atPresent := isPrimary && !command.isWrite
	d.observeClock(newClockReading(position, ended.sentAt, ended.receivedAt, atPresent))
	if isPrimary {
		d.clock.confirm()
	}
}

// observeClock adds a reading to the clock. If that corrects the clock, observeClock shifts the times reported to the
// router accordingly.
func (d *Dispatcher) observeClock(reading clockReading) {
	behind := d.clock.observe(reading)
	if behind == 0 {
		return
	}
	d.log.Warn().Float64("behind_seconds", behind).Msg("clock corrected by backends' answers")
	d.tracker.ShiftReportedTimes(behind)
}

// attemptResult converts the result of an attempt to the router's type.
func (d *Dispatcher) attemptResult(ended *endedAttempt, command *Command) router.AttemptResult {
	result := router.AttemptResult{
		Attempt:  ended.attempt.Index,
		Result:   ended.result,
		Elapsed:  ended.elapsed,
		Final:    ended.result == router.Answered,
		Position: noPosition,
		Role:     rolesByRecovery[ended.answer.Role],
	}
	if ended.answer.PositionMs > 0 {
		result.Position = d.readPosition(float64(ended.answer.PositionMs) / millisecondsPerSecond)
	}
	if command != nil && ended.result == router.NeverSent {
		result.ClientUnknown = command.undecided
	}
	if report := d.readReport(ended.answer.LoadReport); report.position >= 0 {
		result.Report = &router.LoadReport{Position: report.position, Primary: report.primary}
	}
	return result
}

// abandon gives up a command whose client has gone or has canceled it with a cancel request, unless the command is done. If
// the command's current attempt is not sent completely, abandon cancels it. reported holds the groups of which the router knows
// already that this client has gone. It reports whether no attempt was in flight that may have reached a backend.
func (d *Dispatcher) abandon(now float64, command *Command, reported map[int]bool) (unsent bool) {
	if command.done {
		return false
	}
	d.counters.Abandoned++
	if reported[command.Group] {
		d.tracker.CommandAbandoned(command.trackingID)
	} else {
		reported[command.Group] = true
		d.tracker.ClientGone(now, command.trackingID)
	}
	unsent = command.attempt == nil || command.attempt.Unsent()
	command.mayHaveRun = command.mayHaveRun || !unsent
	if unsent && command.attempt != nil {
		d.pendingDecisions.cancels = append(d.pendingDecisions.cancels, command.attempt)
	}
	d.finish(command)
	return unsent
}

// finish removes a command that has its final answer, or whose client has gone or has canceled it. Its id is remembered if it
// may have run and must not run twice: an attempt may still run, and a client may send the command again although it must
// give each command an id of its own.
func (d *Dispatcher) finish(command *Command) {
	command.done = true
	if command.mayHaveRun && !command.idempotent {
		d.commands.ranIDs.add(d.loop.Now(), d.durations.MaxClientTimeout, command.ID)
	}
	command.Statement.Free()
	d.commands.remove(command)
}

// executeDecisions cancels and sends attempts as the router decided. It closes the connections of canceled attempts before
// it sends anything new.
func (d *Dispatcher) executeDecisions() {
	for _, attempt := range d.pendingDecisions.cancels {
		d.backends.Cancel(attempt)
	}
	for _, attempt := range d.pendingDecisions.sends {
		if d.commands.get(attempt.CommandID) == nil { // its client left or canceled it during this turn
			d.AttemptEnded(attempt, router.NeverSent, 0, nil)
			continue
		}
		d.backends.Send(attempt)
	}
	clear(d.pendingDecisions.cancels)
	clear(d.pendingDecisions.sends)
	d.pendingDecisions.cancels = d.pendingDecisions.cancels[:0]
	d.pendingDecisions.sends = d.pendingDecisions.sends[:0]
}

// Forward implements inflight.Executor.
func (d *Dispatcher) Forward(trackingID uint32, attemptIndex, endpoint int, deadline float64) {
	command := d.commands.get(trackingID)
	command.attempt = &backend.Attempt{
		CommandID: trackingID,
		Index:     attemptIndex,
		Endpoint:  endpoint,
		Statement: &command.Statement,
		WaitStart: command.WaitStart,
		WaitEnd:   command.WaitEnd,
		Deadline:  deadline,
	}
	d.pendingDecisions.sends = append(d.pendingDecisions.sends, command.attempt)
}

// Cancel implements inflight.Executor.
func (d *Dispatcher) Cancel(trackingID uint32, attemptIndex int) {
	command := d.commands.get(trackingID)
	if command != nil && command.attempt != nil && command.attempt.Index == attemptIndex {
		d.pendingDecisions.cancels = append(d.pendingDecisions.cancels, command.attempt)
	}
}

// Reject implements inflight.Executor.
func (d *Dispatcher) Reject(trackingID uint32, retryAfter float64) {
	command := d.commands.get(trackingID)
	d.counters.Rejected++
	command.Responder.Reject(command, retryAfter)
	d.finish(command)
}

// Fail implements inflight.Executor.
func (d *Dispatcher) Fail(trackingID uint32) {
	command := d.commands.get(trackingID)
	d.counters.Failed++
	command.Responder.Fail(command)
	d.finish(command)
}
