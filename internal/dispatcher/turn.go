package dispatcher

import (
	"stoatdale.example/stoatdale/internal/backend"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// events holds the events since the last call of deliverEvents.
type events struct {
	listUpdates   []listUpdate
	healthChecks  []healthCheckResult
	endedAttempts []endedAttempt
	goneClients   [][]*Command // for each client that has gone, its commands
	received      []*Command
}

// empty reports whether there are no events.
func (e *events) empty() bool {
	return len(e.listUpdates)+len(e.healthChecks)+len(e.endedAttempts)+len(e.goneClients)+len(e.received) == 0
}

// healthCheckResult is the result of a health check.
type healthCheckResult struct {
	endpoint int
	result   router.Result
	elapsed  float64 // seconds
	report   string  // text of the load report; empty unless the check was answered
}

// endedAttempt is the result of an attempt.
type endedAttempt struct {
	attempt *backend.Attempt
	result  router.Result
	elapsed float64 // seconds
	answer  pg.Answer

	// Loop times. The turn may be held up before the answer is read, so receivedAt may be later than sentAt by more than elapsed.
	sentAt, receivedAt float64
}

// RunTurn delivers the pending events to the router, runs the reviews and the maintenance that are due, and executes the
// router's decisions. It repeats this until no new events come up. It returns the loop time by which the caller must call
// it again.
func (d *Dispatcher) RunTurn(now float64) float64 {
	for {
		d.deliverEvents(now)
		next, maintenance := d.tracker.ReviewDue(now)
		d.executeDecisions()
		d.runMaintenance(maintenance)
		if d.pendingEvents.empty() {
			d.backends.ResumeReading()
			return next
		}
	}
}

// runMaintenance executes the router's requests that concern no command: health checks, the release of endpoints and a
// poll of the endpoint list.
func (d *Dispatcher) runMaintenance(work router.Maintenance) {
	for _, endpoint := range work.HealthCheck {
		d.backends.CheckHealth(endpoint)
	}
	for _, endpoint := range work.Release {
		d.backends.Release(endpoint)
		d.endpoints.Release(endpoint)
	}
	if work.Subscribe {
		d.watch.Poll()
	}
}

// deliverEvents passes the pending events to the router: news about endpoints and clients first, so that the decisions on
// new commands take them into account. Answers given meanwhile may make the frontend submit more commands; these stay
// pending until the next call.
func (d *Dispatcher) deliverEvents(now float64) {
	pendingEvents := d.pendingEvents
	d.pendingEvents = events{}
	for _, update := range pendingEvents.listUpdates {
		d.deliverList(now, update)
	}
	for _, check := range pendingEvents.healthChecks {
		d.deliverHealthCheck(now, check)
	}
	for i := range pendingEvents.endedAttempts {
		d.deliverAttempt(now, &pendingEvents.endedAttempts[i])
	}
	for _, commands := range pendingEvents.goneClients {
		d.deliverGoneClient(now, commands)
	}
	d.deliverReceived(now, pendingEvents.received)
}

// deliverHealthCheck passes the result of a health check to the router. The position in its load report is also used as a
// reading of the clock.
func (d *Dispatcher) deliverHealthCheck(now float64, check healthCheckResult) {
	report := d.readReport(check.report)
	if check.result == router.Answered && report.unixSeconds > 0 {
		receivedAt := d.loop.Clock()
		d.observeClock(newClockReading(report.unixSeconds, now-check.elapsed, receivedAt, false))
	}
	d.router.HealthChecked(now, check.endpoint, check.result, check.elapsed, report.position, report.primary)
}

// deliverGoneClient gives up the commands of a client that has gone, or those that a client has canceled with a cancel
// request. It counts the client if one of them was unfinished and had no attempt in flight that may have reached a backend.
func (d *Dispatcher) deliverGoneClient(now float64, commands []*Command) {
	anyUnsent := false
	reported := map[int]bool{}
	for _, command := range commands {
		if unsent := d.abandon(now, command, reported); unsent {
			anyUnsent = true
		}
	}
	if anyUnsent {
		d.counters.ClientsLeftUnsent++
	}
}

// deliverReceived passes new commands to the router, except for those whose client has gone or has canceled them in the
// meantime. The time of arrival is the current time rather than that of the turn's poll: the turn may have been delayed
// between polling and reading, and a command must not count as older than it is.
func (d *Dispatcher) deliverReceived(now float64, commands []*Command) {
	arrivedAt := d.loop.Clock()
	for _, command := range commands {
		if command.done {
			continue
		}
		d.tracker.Add(now, command.trackingID, router.Command{
			Group:          command.Group,
			Shard:          command.Shard,
			Session:        command.Session,
			ArrivedAt:      arrivedAt,
			ClientDeadline: command.ClientDeadline,
			LastWriteAge:   command.LastWriteAge,
			ClientRetry:    command.ClientRetry,
			NoBuffers:      d.buffers.Exhausted(),
		})
	}
}
