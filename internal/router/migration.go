package router

// MigrateFrom makes the router the successor of another one of the same process, before the first command.
// It shares everything that the process knows of its endpoints and sessions: the endpoint list, roles,
// positions, start times, health, attempts in flight, and the budgets that bind the process as a whole.
// What the previous router has measured of its command groups and of its traffic (latencies, service times,
// rates) is not taken over; commands that it has received go on to be decided by it. New commands belong to
// the successor, which also maintains the endpoints.
func (r *Router) MigrateFrom(from *Router) {
	r.fleetState = from.fleetState
	r.sessionRetention = max(r.sessionRetention, retentionTimeouts*r.longestTimeout)
	r.current = r
}
