// Package agent runs the routers of one machine for the fleet tool: it starts and watches their processes, carries out
// what package supervisor decides, and saves its state before it acknowledges a request or acts on a router.
//
// Routers outlive their agent. One that starts again finds the processes of the one before and continues their steps.
//
// All state belongs to one goroutine, that of Run. Work that may block runs in goroutines of its own, which hand in what
// came of it as an event; Run waits for them before it returns.
package agent

import (
	"context"
	"fmt"
	"math"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/fleet/inventory"
	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/store"
	"stoatdale.example/stoatdale/internal/fleet/supervisor"
)

// Files in an agent's folder and in those of its instances.
const (
	storeName      = "agent.db"    // the agent's store
	configName     = "config.json" // what a router runs with
	nextConfigName = "next.json"   // written before a step, to see that there is room for it
	logName        = "router.log"  // standard output and error of a router
)

const (
	eventQueueLength = 256
	storeRetryDelay  = time.Second      // after which an event that could not be stored is handed in again
	maxIdle          = 60 * time.Second // that Run sleeps at most
	minRecentSeconds = 5                // of counters that are reported as recent
)

// Store is what an agent needs of its store. *store.Store implements it.
type Store interface {
	// Load returns the state to continue from.
	Load() (store.State, error)
	// Save writes a change, which is durable when it returns nil and has not happened otherwise.
	Save(store.Change) error
	// Revision returns a revision with its content, and whether there is one of the digest.
	Revision(digest string) (protocol.Revision, bool, error)
	// Revisions lists the revisions without their contents, newest first.
	Revisions() ([]protocol.Revision, error)
	// Rollouts lists the rollouts, newest first.
	Rollouts() ([]protocol.Rollout, error)
}

// event is something that Run does in its goroutine, between others. ctx is that of Run.
type event func(ctx context.Context)

// Agent is the agent of one machine.
type Agent struct {
	fleet     *inventory.Fleet
	self      *inventory.Agent
	store     Store
	log       zerolog.Logger
	handler   supervisor.RequestHandler // its supervisors are in the order of routers
	limits    supervisor.Limits
	routers   []router
	events    chan event
	startedAt time.Time // its monotonic reading is the origin of the agent's clock
	work      sync.WaitGroup
}

// OpenStore opens the store in an agent's folder.
func OpenStore(self *inventory.Agent) (*store.Store, error) {
	return store.Open(filepath.Join(self.Folder, storeName))
}

// New returns an agent that has loaded its state from the store. name is the agent's in the fleet file; program names
// this program and its version, for people. It creates the folders of the agent's instances.
func New(f *inventory.Fleet, name, program string, s Store, log zerolog.Logger) (*Agent, error) {
	self := f.Agent(name)
	if self == nil {
		return nil, fmt.Errorf("the fleet file has no agent %s", name)
	}
	state, err := s.Load()
	if err != nil {
		return nil, err
	}
	limits := supervisor.DefaultLimits()
	limits.ReadyTimeoutSeconds = float64(f.Times.ReadyTimeout)
	limits.RecentSeconds = max(float64(f.Times.Soak), minRecentSeconds)
	a := &Agent{
		fleet: f, self: self, store: s, log: log, limits: limits,
		events: make(chan event, eventQueueLength), startedAt: time.Now(),
		handler: supervisor.RequestHandler{
			Agent: name, Program: program, AgentsDigest: f.AgentsDigest(), OperatorRequest: state.OperatorRequest,
			Lease: lease.Restore(state.Lease, float64(f.Times.LeaseTerm), 0),
		},
	}
	for i, instance := range f.InstancesOf(name) {
		r, err := newRouter(a, i, instance)
		if err != nil {
			return nil, err
		}
		a.routers = append(a.routers, r)
		a.handler.InstanceNames = append(a.handler.InstanceNames, instance.Name)
		a.handler.ListenAddresses = append(a.handler.ListenAddresses, instance.Listen.String())
		supervisor, _ := supervisor.NewSupervisor(state.Instances[instance.Name], &a.limits) // Run carries out its first actions
		a.handler.Supervisors = append(a.handler.Supervisors, supervisor)
	}
	return a, nil
}

// Run serves until ctx ends, and leaves the routers as they are. It may be called once.
func (a *Agent) Run(ctx context.Context) {
	defer a.work.Wait()
	for i := range a.routers {
		supervisor, first := supervisor.NewSupervisor(a.handler.Supervisors[i].Record, &a.limits)
		a.handler.Supervisors[i] = supervisor
		a.routers[i].carryOut(ctx, first)
	}
	for ctx.Err() == nil {
		a.awaitEvent(ctx)
		for i := range a.routers {
			a.routers[i].tickIfDue(ctx)
		}
	}
}

// awaitEvent handles the next event, or returns when a supervisor's tick is due or ctx has ended.
func (a *Agent) awaitEvent(ctx context.Context) {
	timer := time.NewTimer(a.untilNextTick())
	defer timer.Stop()
	select {
	case handle := <-a.events:
		handle(ctx)
	case <-timer.C:
	case <-ctx.Done():
	}
}

// untilNextTick is the time until the first supervisor's tick, not above maxIdle.
func (a *Agent) untilNextTick() time.Duration {
	next := math.Inf(1)
	for i := range a.routers {
		next = min(next, a.routers[i].nextTick())
	}
	seconds := min(next-a.now(), maxIdle.Seconds()) // infinity is no duration
	return time.Duration(seconds * float64(time.Second))
}

// now is the time on the agent's clock, in seconds since it was made.
func (a *Agent) now() float64 { return time.Since(a.startedAt).Seconds() }

// post has an event handled by Run. It returns without effect once ctx, which is that of Run, has ended.
func (a *Agent) post(ctx context.Context, e event) {
	select {
	case a.events <- e:
	case <-ctx.Done():
	}
}
