package service

import (
	runtimemetrics "runtime/metrics"

	"stoatdale.example/stoatdale/internal/metrics"
)

// Counters are the counts of what a router has accepted, forwarded and answered since its start, and gauges of its
// present state.
type Counters = metrics.Counters

// Counters returns the present counters while Run serves, and the final ones after Run has returned. Called before
// Run, it blocks until Run serves. It may be called from any goroutine.
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

// logCounters writes the counters to the log. It must be called on the event loop's goroutine, or after the loop has
// ended.
func (r *Router) logCounters() {
	counters := r.snapshot()
	r.log.Info().Object("counters", &counters).Msg("counters")
}

// snapshot returns a copy of the counters with the gauges filled in. It must be called on the event loop's goroutine,
// or after the loop has ended.
func (r *Router) snapshot() Counters {
	counters := r.counters.Clone()
	counters.ClientsOpen = uint64(r.frontend.OpenConnections())
	counters.InFlight = uint64(r.dispatcher.InFlight())
	counters.BackendConnectionsOpen = uint64(r.dispatcher.BackendConnections())
	counters.BufferBlocksInUse = uint64(r.buffers.BlocksInUse())
	r.frontend.CountBuffers(&counters.BufferBlocks)
	r.dispatcher.CountBuffers(&counters.BufferBlocks)
	counters.HeapBytes, counters.RuntimeBytes = readMemory()
	known, rows := r.dispatcher.EndpointRows()
	counters.EndpointsKnown = uint64(known)
	counters.EndpointRows = uint64(rows)
	counters.LongestTurnSeconds = r.loop.LongestTurn()
	return counters
}

// readMemory returns the memory of the heap's objects, and the memory that the Go runtime has taken from the system and not
// given back, in bytes.
func readMemory() (heap, held uint64) {
	samples := []runtimemetrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
	}
	runtimemetrics.Read(samples)
	total, released := samples[1].Value.Uint64(), samples[2].Value.Uint64()
	return samples[0].Value.Uint64(), total - released
}
