package service

import "stoatdale.example/stoatdale/internal/metrics"

// Counters is what a router has accepted, forwarded and answered since its start, and what it holds now.
type Counters = metrics.Counters

// Counters returns the counters while Run serves, and the last ones after it has returned; before Run it waits. It may
// be called from any goroutine.
func (r *Router) Counters() Counters {
	answer := make(chan Counters, 1)
	r.loop.Post(func() { answer <- r.snapshot() })
	select {
	case counters := <-answer:
		return counters
	case <-r.stopped:
		return r.snapshot()
	}
}

// LogCounters writes the counters to the log. It may be called from any goroutine.
func (r *Router) LogCounters() { r.loop.Post(r.logCounters) }

// logCounters is called on the event loop's goroutine only.
func (r *Router) logCounters() {
	counters := r.snapshot()
	r.log.Info().Object("counters", &counters).Msg("counters")
}

// snapshot copies the counters and adds the gauges. It is called on the event loop's goroutine, or after that has
// ended.
func (r *Router) snapshot() Counters {
	counters := r.counters.Clone()
	counters.ClientsOpen = uint64(r.front.OpenConnections())
	counters.InFlight = uint64(r.core.InFlight())
	counters.BackendConnectionsOpen = uint64(r.core.BackendConnections())
	counters.BufferBlocksInUse = uint64(r.buffers.BlocksInUse())
	known, rows := r.core.EndpointRows()
	counters.EndpointsKnown = uint64(known)
	counters.EndpointRows = uint64(rows)
	counters.LongestTurnSeconds = r.loop.LongestTurn()
	return counters
}
