package dispatcher

import (
	"stoatdale.example/stoatdale/internal/backend"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// events is what was gathered since the last delivery.
type events struct {
	listUpdates   []listUpdate
	healthChecks  []healthCheckResult
	endedAttempts []endedAttempt
	goneClients   [][]*Command // the commands of each client
	received      []*Command
}

// empty reports whether nothing was gathered.
func (e *events) empty() bool {
	return len(e.listUpdates)+len(e.healthChecks)+len(e.endedAttempts)+len(e.goneClients)+len(e.received) == 0
}

// healthCheckResult is the end of a health check.
type healthCheckResult struct {
	endpoint int
	result   router.Result
	elapsed  float64 // seconds
	report   string  // a load report, or empty
}

// endedAttempt is the end of an attempt.
type endedAttempt struct {
	attempt *backend.Attempt
	result  router.Result
	elapsed float64 // seconds
	answer  pg.Answer

	receivedAt float64 // loop time
}

// RunTurn tells the router what was gathered, and carries out its decisions, until nothing more comes of it. It returns
// the loop time at which to call it next at the latest.
func (d *Dispatcher) RunTurn(now float64) float64 {
	for {
		d.deliverEvents(now)
		next, maintenance := d.tracker.ReviewDue(now)
		d.executeDecisions()
		d.runMaintenance(maintenance)
		if d.pendingEvents.empty() {
			return next
		}
	}
}

// runMaintenance carries out the work that is due besides commands.
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

// deliverEvents tells the router what was gathered. The order is that of what the router should know first. Answers that are
// given meanwhile let the frontend submit more, which the next delivery tells.
func (d *Dispatcher) deliverEvents(now float64) {
	gathered := d.pendingEvents
	d.pendingEvents = events{}
	for _, update := range gathered.listUpdates {
		d.deliverList(now, update)
	}
	for _, check := range gathered.healthChecks {
		d.deliverHealthCheck(now, check)
	}
	for i := range gathered.endedAttempts {
		d.deliverAttempt(now, &gathered.endedAttempts[i])
	}
	for _, commands := range gathered.goneClients {
		d.deliverGoneClient(now, commands)
	}
	d.deliverReceived(now, gathered.received)
}

func (d *Dispatcher) deliverHealthCheck(now float64, check healthCheckResult) {
	report := d.readReport(check.report)
	if check.result == router.Answered && report.unixSeconds > 0 {
		receivedAt := d.loop.Clock()
		d.observeClock(newClockReading(report.unixSeconds, receivedAt-check.elapsed, receivedAt, false))
	}
	d.router.HealthChecked(now, check.endpoint, check.result, check.elapsed, report.position, report.primary)
}

// deliverGoneClient gives up the commands of a client that has gone.
func (d *Dispatcher) deliverGoneClient(now float64, commands []*Command) {
	anyUnsent := false
	for _, command := range commands {
		if unsent := d.abandon(now, command); unsent {
			anyUnsent = true
		}
	}
	if anyUnsent {
		d.counters.ClientsLeftUnsent++
	}
}

// deliverReceived hands commands to the router, except for those whose client has gone meanwhile. Their time of arrival is
// the present: a turn may be held up between its poll and its reading, and no command may count as older than it is.
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
		})
	}
}
