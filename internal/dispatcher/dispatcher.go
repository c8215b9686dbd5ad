// Package dispatcher joins the parts of the data plane. In each turn of the event loop it gathers what the frontend, the
// connections to backends and discovery have to tell, hands that to the router, and carries out the router's decisions.
// It interns endpoints, shards and zones, gives commands their tracking ids, and decides nothing itself. All of it runs
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

// Dispatcher takes commands from the frontend and gives each one final answer.
type Dispatcher struct {
	loop     *eventloop.Loop
	clock    clock
	settings *config.Settings
	seed     uint64
	router   *router.Router // decides about new commands
	tracker  *inflight.Tracker
	backends *backend.Pool
	watch    *discovery.Watch
	counters *metrics.Counters
	log      zerolog.Logger

	endpoints *idtable.Table[string] // an id is released when the router lets the endpoint go
	shards    *idtable.Table[int]    // as many as the deployment has, so that none is ever released
	zones     *idtable.Table[string] // the same
	newestGeneration    newestListGeneration
	commands  commandTable

	pendingEvents events
	pendingDecisions  decisions
}

// New returns a dispatcher that knows the endpoint list of the configuration, which must outlive it, and begins to watch
// the list unless the settings have it polled on demand.
func New(config *config.Config, l *eventloop.Loop, blocks *buffer.Pool, counters *metrics.Counters, log zerolog.Logger) *Dispatcher {
	d := &Dispatcher{
		loop:      l,
		clock:     newClock(l, &config.Limits.Durations),
		settings:  &config.Settings,
		seed:      config.Seed,
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
	d.backends = backend.New(l, &config.Limits, blocks, d, counters)
	d.watch = discovery.New(l, &config.Limits, config.Discovery, config.Settings.PollList, blocks, d, log)
	d.pendingEvents.listUpdates = []listUpdate{{source: listFromConfig, list: config.KnownList}}
	if !config.Settings.PollList {
		d.watch.Poll()
	}
	return d
}

// newRouter returns a router under the present settings, which knows no endpoint yet.
func (d *Dispatcher) newRouter() *router.Router {
	config := d.settings.Config
	config.PositionEpoch = d.clock.positionEpoch
	if config.Zone >= 0 && config.Zone < len(d.settings.Zones) {
		config.Zone = d.zones.Intern(d.settings.Zones[config.Zone]) // an id that outlasts a change of the settings' order
	}
	return router.New(config, d.seed)
}

// ApplySettings has the settings as they are now decide about every command that is submitted from here on. RunTurn must
// have been called since the last Submit; commands in flight end under the earlier settings.
func (d *Dispatcher) ApplySettings() {
	d.router = d.newRouter()
	d.tracker.SwitchRouter(d.loop.Now(), d.router)
}

// SetDiscoveryAddress has the endpoint list watched at another address.
func (d *Dispatcher) SetDiscoveryAddress(address netip.AddrPort) { d.watch.SetAddress(address) }

// Close ends the watch of the endpoint list and closes all idle connections to backends.
func (d *Dispatcher) Close() {
	d.watch.Close()
	d.backends.CloseIdle()
}

// LookupShard returns the id of the shard that a client's cluster number names, and false if no list has named it.
func (d *Dispatcher) LookupShard(cluster int) (shard int, ok bool) { return d.shards.Lookup(cluster) }

// IsInFlight reports whether a command with this client's id is in flight. Another one must not be submitted then:
// backends would take it for a second copy of the first.
func (d *Dispatcher) IsInFlight(clientID string) bool { return d.commands.clientIDs[clientID] }

// SecondsSince returns how many seconds ago a Unix time in seconds was; negative if it lies in the future.
func (d *Dispatcher) SecondsSince(unixSeconds float64) float64 {
	return d.clock.secondsSince(unixSeconds)
}

// Submit takes a command over. The router hears of it in the next RunTurn.
func (d *Dispatcher) Submit(command *Command) {
	d.commands.add(command)
	d.pendingEvents.received = append(d.pendingEvents.received, command)
	d.counters.Received++
	d.counters.ReceivedByGroup[command.Group]++
}

// ClientGone notifies the dispatcher that the client of these commands has gone. They get no answer any more.
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

// EndpointRows returns the number of endpoints that have a row, and of rows, unused ones included.
func (d *Dispatcher) EndpointRows() (known, rows int) {
	return d.endpoints.Len(), d.backends.EndpointRows()
}

// CloseIdleBackend closes an idle connection to a backend if backends have more than the descriptors that are set aside
// for them, and reports whether it closed one.
func (d *Dispatcher) CloseIdleBackend() bool { return d.backends.CloseSurplus() }
