package dispatcher

import (
	"math"

	"stoatdale.example/stoatdale/internal/endpoint"
	"stoatdale.example/stoatdale/internal/router"
)

// listSource is the origin of a list update.
type listSource int

const (
	listFromDiscovery listSource = iota // a complete list or a list of changes
	listCallFailed                      // the call to discovery failed, so there is no list
)

// listUpdate is an endpoint list, or the failure to get one.
type listUpdate struct {
	source listSource
	list   endpoint.List
}

// HandleList implements discovery.ListHandler.
func (d *Dispatcher) HandleList(list endpoint.List) {
	d.pendingEvents.listUpdates = append(d.pendingEvents.listUpdates, listUpdate{source: listFromDiscovery, list: list})
}

// HandleCallFailure implements discovery.ListHandler.
func (d *Dispatcher) HandleCallFailure() {
	d.pendingEvents.listUpdates = append(d.pendingEvents.listUpdates, listUpdate{source: listCallFailed})
}

// deliverList passes a list update to the router and to the backend pool.
func (d *Dispatcher) deliverList(now float64, update listUpdate) {
	switch update.source {
	case listCallFailed:
		d.counters.ListCallsFailed++
		d.router.EndpointListFailed(now)
	case listFromDiscovery:
		d.counters.ListsReceived++
		d.updateEndpoints(now, update.list, false)
	}
}

// outdatedListWindow is the time in seconds after the newest list during which a list of a lower generation counts as
// outdated: it comes from an agent that is behind. A lower generation after that time means that generations were reset.
const outdatedListWindow = 60

// newestListGeneration is the generation of the newest endpoint list.
type newestListGeneration struct {
	generation int64
	receivedAt float64 // loop time
}

// isOutdated reports whether a list of a higher generation was received within the last outdatedListWindow. If not, it
// records the given generation as the newest one.
func (n *newestListGeneration) isOutdated(generation int64, now float64) bool {
	if generation < n.generation && now-n.receivedAt < outdatedListWindow {
		return true
	}
	*n = newestListGeneration{generation: generation, receivedAt: now}
	return false
}

// updateEndpoints passes an endpoint list to the backend pool and the router. A cached list counts as complete even if it is
// not marked as such.
func (d *Dispatcher) updateEndpoints(now float64, list endpoint.List, cached bool) {
	outdated := d.newestGeneration.isOutdated(list.Generation, d.loop.Now())
	infos := make([]router.EndpointInfo, 0, len(list.Endpoints))
	ready := map[int]bool{}
	for i := range list.Endpoints {
		row := &list.Endpoints[i]
		info := d.endpointInfo(row)
		info.Outdated = outdated
		d.backends.SetAddress(info.Index, row.Address, row.State == endpoint.StateGone)
		ready[info.Index] = row.State == endpoint.StateReady
		infos = append(infos, info)
	}
	d.abortConnecting(ready, list.Complete || cached)
	d.tracker.UpdateEndpoints(now, infos, list.Complete || cached, cached)
	if len(infos) == 0 { // the long poll ended without changes
		return
	}
	d.log.Info().
		Int64("generation", list.Generation).
		Bool("complete", list.Complete).
		Bool("cached", cached).
		Int("endpoints", len(list.Endpoints)).
		Msg("endpoint list updated")
}

// abortConnecting closes the connections that are being opened to endpoints that must not get new commands: those that the
// list contains as not ready, and those missing from a complete list.
func (d *Dispatcher) abortConnecting(ready map[int]bool, complete bool) {
	for index := range d.backends.EndpointRows() {
		isReady, listed := ready[index]
		if listed && !isReady || complete && !listed {
			d.backends.AbortConnecting(index)
		}
	}
}

// endpointInfo converts a row of the endpoint list to the router's type. It assigns ids to an endpoint, shard or zone that
// has none yet.
func (d *Dispatcher) endpointInfo(endpoint *endpoint.Endpoint) router.EndpointInfo {
	startedAt := math.Inf(-1)
	if endpoint.StartedUnixMs > 0 {
		startedAt = d.clock.loopTime(float64(endpoint.StartedUnixMs))
	}
	return router.EndpointInfo{
		Index:     d.endpoints.Intern(endpoint.ID),
		Shard:     d.shards.Intern(endpoint.Shard),
		Zone:      d.zones.Intern(endpoint.Zone),
		State:     endpointState(endpoint.State),
		StartedAt: startedAt,
		Primary:   endpoint.Primary,
	}
}

// endpointState converts a state in the endpoint list to the router's type.
func endpointState(state endpoint.State) router.EndpointState {
	switch state {
	case endpoint.StateReady:
		return router.Ready
	case endpoint.StateDraining:
		return router.Draining
	case endpoint.StateGone:
	}
	return router.Removed
}
