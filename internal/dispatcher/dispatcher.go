// Package dispatcher connects the parts of the data plane. In each turn of the event loop it collects events from the
// frontend, the connections to backends and discovery, passes them to the router, and executes the router's decisions. It
// assigns integer ids to endpoints, shards, zones and commands, and takes no routing decisions itself. All of its code runs
// on the event loop's goroutine.
package dispatcher

import (
	"net/netip"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/backend"
	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/discovery"
	"stoatdale.example/stoatdale/internal/eventloop"
	"stoatdale.example/stoatdale/internal/idtable"
	"stoatdale.example/stoatdale/internal/inflight"
	"stoatdale.example/stoatdale/internal/metrics"
	"stoatdale.example/stoatdale/internal/router"
)

// Dispatcher receives commands from the frontend and gives each of them one final answer, unless its client has gone.
type Dispatcher struct {
	loop      *eventloop.Loop
	clock     clock
	settings  *config.Settings
	durations *config.Durations
	seed      uint64
	router    *router.Router // decides on new commands
	tracker   *inflight.Tracker
	backends  *backend.Pool
	watch     *discovery.Watch
	buffers   *buffer.Pool
	counters  *metrics.Counters
	log       zerolog.Logger

	endpoints        *idtable.Table[string] // ids of endpoints; an id is released once the router has released the endpoint
	shards           *idtable.Table[int]    // ids of shards, never released because a deployment has a limited number of shards
	zones            *idtable.Table[string] // ids of zones, never released for the same reason
	newestGeneration newestListGeneration
	commands         commandTable

	pendingEvents    events
	pendingDecisions decisions
}

// New returns a dispatcher that starts with the endpoint list in config. It starts watching the list immediately, unless the
// settings say that the list is polled only on demand. The dispatcher keeps using config, which must outlive it.
func New(config *config.Config, loop *eventloop.Loop, blocks *buffer.Pool, counters *metrics.Counters, log zerolog.Logger) *Dispatcher {
	d := &Dispatcher{
		loop:      loop,
		clock:     newClock(loop, &config.Limits.Durations),
		settings:  &config.Settings,
		durations: &config.Limits.Durations,
		seed:      config.Seed,
		buffers:   blocks,
		counters:  counters,
		log:       log,
		endpoints: idtable.New[string](),
		shards:    idtable.New[int](),
		zones:     idtable.New[string](),
		commands:  newCommandTable(),
	}
	for _, zone := range config.Settings.Zones {
		d.zones.Intern(zone)
	}
	d.router = d.newRouter()
	d.tracker = inflight.New(d.router, d)
	d.backends = backend.New(loop, &config.Limits, blocks, d, counters)
	d.watch = discovery.New(loop, &config.Limits, config.Discovery, config.Settings.PollList, blocks, d, log)
	d.updateEndpoints(loop.Now(), config.KnownList, true) // at once: the first turn may bring commands
	if !config.Settings.PollList {
		d.watch.Poll()
	}
	return d
}

// newRouter returns a router with the current settings and without endpoints.
func (d *Dispatcher) newRouter() *router.Router {
	config := d.settings.Config
	config.PositionEpoch = d.clock.positionEpoch
	if config.Zone >= 0 && config.Zone < len(d.settings.Zones) {
		// New settings may list the zones in another order; the id of a zone stays the same.
		config.Zone = d.zones.Intern(d.settings.Zones[config.Zone])
	}
	return router.New(config, d.seed)
}

// ApplySettings makes the current settings apply to every command that is submitted from now on. Commands in flight end
// under the earlier settings, so RunTurn must have been called since the last Submit.
func (d *Dispatcher) ApplySettings() {
	d.router = d.newRouter()
	d.tracker.SwitchRouter(d.router)
}

// SetDiscoveryAddress changes the address from which discovery requests the endpoint list.
func (d *Dispatcher) SetDiscoveryAddress(address netip.AddrPort) { d.watch.SetAddress(address) }

// Close stops watching the endpoint list and closes all idle connections to backends.
func (d *Dispatcher) Close() {
	d.watch.Close()
	d.backends.CloseIdle()
}

// LookupShard returns the id of the shard with the given number, by which clients and the endpoint list name it. It returns
// false if no endpoint list has contained that number.
func (d *Dispatcher) LookupShard(number int) (shard int, ok bool) { return d.shards.Lookup(number) }

// IsInFlight reports whether a command with the given Command.ID is in flight. If so, another command with that id must not
// be submitted, because backends would take it for a second copy of the first.
func (d *Dispatcher) IsInFlight(clientID string) bool { return d.commands.clientIDs[clientID] }

// MayHaveRun reports whether a command with the given Command.ID has ended lately that may have run and is not idempotent. If
// so, another command with that id must not be submitted, because it would run twice.
func (d *Dispatcher) MayHaveRun(clientID string) bool {
	return d.commands.ranIDs.contains(d.loop.Now(), d.durations.MaxClientTimeout, clientID)
}

// SecondsSince returns the number of seconds that have passed since a Unix time in seconds. It is negative if the time lies
// in the future.
func (d *Dispatcher) SecondsSince(unixSeconds float64) float64 {
	return d.clock.secondsSince(unixSeconds)
}

// Submit accepts a command. The next RunTurn passes it to the router.
func (d *Dispatcher) Submit(command *Command) {
	group := &d.settings.CommandGroups[command.Group]
	command.isWrite = group.Consistency == router.PrimaryOnly
	command.idempotent = group.Idempotency == router.Idempotent
	d.commands.add(command)
	d.pendingEvents.received = append(d.pendingEvents.received, command)
	d.counters.Received++
	d.counters.ReceivedByGroup[command.Group]++
}

// ClientGone notifies the dispatcher that the client of these commands has gone, or has canceled them with a cancel
// request. The dispatcher gives them no answer from then on.
func (d *Dispatcher) ClientGone(commands []*Command) {
	for _, command := range commands {
		command.clientGone = true
	}
	d.pendingEvents.goneClients = append(d.pendingEvents.goneClients, commands)
}

// InFlight returns the number of commands without a final answer.
func (d *Dispatcher) InFlight() int { return d.commands.size() }

// BackendConnections returns the number of connections to backends.
func (d *Dispatcher) BackendConnections() int { return d.backends.ConnectionCount() }

// CountBuffers adds the buffer blocks that the commands in flight and their attempts hold to the counts.
func (d *Dispatcher) CountBuffers(counts *metrics.BufferBlocks) {
	for _, command := range d.commands.byTrackingID {
		counts.Statements += uint64(command.Statement.Blocks())
		if command.attempt != nil {
			counts.Backends += uint64(command.attempt.BufferBlocks())
		}
	}
}

// EndpointRows returns the number of known endpoints, and the number of endpoint rows including unused ones.
func (d *Dispatcher) EndpointRows() (known, rows int) {
	return d.endpoints.Len(), d.backends.EndpointRows()
}

// CloseIdleBackend closes an idle connection to a backend if there are more such connections than descriptors reserved for
// backends. It reports whether it closed one.
func (d *Dispatcher) CloseIdleBackend() bool { return d.backends.CloseSurplus() }
