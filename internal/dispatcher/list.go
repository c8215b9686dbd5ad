package dispatcher

import (
	"math"

	"stoatdale.example/stoatdale/internal/endpoint"
	"stoatdale.example/stoatdale/internal/router"
)

// listSource is where a list update came from.
type listSource int

const (
	listFromConfig    listSource = iota // the list of the configuration, which the router knew before its start
	listFromDiscovery                   // a complete list, or changes
	listCallFailed                      // none came
)

// listUpdate is what happened to the endpoint list.
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

// deliverList tells the router and the backends' connections of an update.
func (d *Dispatcher) deliverList(now float64, update listUpdate) {
	switch update.source {
	case listCallFailed:
		d.counters.ListCallsFailed++
		d.router.EndpointListFailed(now)
	case listFromDiscovery:
		d.counters.ListsReceived++
		d.updateEndpoints(now, update.list, false)
	case listFromConfig:
		d.updateEndpoints(now, update.list, true)
	}
}

// outdatedListWindow is how long, in seconds, an older list counts as that of an agent that is behind. One that stays behind for
// longer counts its generations anew.
const outdatedListWindow = 60

// newestListGeneration is the newest generation of the list that was told.
type newestListGeneration struct {
	generation int64
	receivedAt     float64 // loop time
}

// isOutdated takes in a generation, and reports whether a newer one was told lately.
func (n *newestListGeneration) isOutdated(generation int64, now float64) bool {
	if generation < n.generation && now-n.receivedAt < outdatedListWindow {
		return true
	}
	*n = newestListGeneration{generation: generation, receivedAt: now}
	return false
}

// updateEndpoints takes a list over. One that is cached counts as complete, whatever it says.
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
	if len(infos) == 0 { // a long poll that ended without changes
		return
	}
	d.log.Info().
		Int64("generation", list.Generation).
		Bool("complete", list.Complete).
		Bool("cached", cached).
		Int("endpoints", len(list.Endpoints)).
		Msg("list")
}

// abortConnecting ends the connections that are being made to endpoints which take nothing new by a list: what is not ready,
// and what a complete list does not name.
func (d *Dispatcher) abortConnecting(ready map[int]bool, complete bool) {
	for index := range d.backends.EndpointRows() {
		isReady, listed := ready[index]
		if listed && !isReady || complete && !listed {
			d.backends.StopOpening(index)
		}
	}
}

// endpointInfo converts a row of the list to the router's terms. It gives ids to an endpoint, shard and zone that have
// none.
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

// endpointState converts a list's state to the router's.
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
