// Package agent runs the routers of one machine for the fleet tool: it starts and watches their processes, carries out
// the actions that package supervisor requests, and saves its state before it acknowledges a request or acts on a router.
//
// Routers keep running when their agent ends. A restarted agent finds their processes and continues their steps.
//
// All state belongs to the goroutine of Run. Work that may block runs in separate goroutines, which post its outcome to
// Run as an event. Run waits for these goroutines before it returns.
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
	configName     = "config.json" // configuration of a router
	nextConfigName = "next.json"   // configuration for a step, written in advance to check that the disk has room for it
	logName        = "router.log"  // standard output and standard error of a router
)

const (
	eventQueueLength = 256
	storeRetryDelay  = time.Second      // delay before an event whose state could not be stored is repeated
	maxEventWait     = 60 * time.Second // longest time that Run waits for an event
	minRecentSeconds = 5                // shortest window of the recent command counts
)

// Store holds the agent's durable state. *store.Store implements it.
type Store interface {
	// Load returns the state to continue from.
	Load() (store.State, error)
	// Save writes a change. If it returns nil, the change is durable; otherwise the store is unchanged.
	Save(store.Change) error
	// Revision returns the revision with a digest, including its content. The bool reports whether it exists.
	Revision(digest string) (protocol.Revision, bool, error)
	// Revisions lists the revisions without their contents, newest first.
	Revisions() ([]protocol.Revision, error)
	// Rollouts lists the rollouts, newest first.
	Rollouts() ([]protocol.Rollout, error)
}

// event is a function that Run calls in its goroutine, one at a time. ctx is Run's context.
type event func(ctx context.Context)

// Agent is the agent of one machine.
type Agent struct {
	fleet      *inventory.Fleet
	self       *inventory.Agent
	store      Store
	log        zerolog.Logger
	handler    supervisor.RequestHandler // handler.Supervisors[i] belongs to routers[i]
	limits     supervisor.Limits
	routers    []router
	events     chan event
	startedAt  time.Time      // time 0 of the agent's clock, by its monotonic reading
	goroutines sync.WaitGroup // goroutines that Run waits for
}

// OpenStore opens the store in an agent's folder.
func OpenStore(self *inventory.Agent) (*store.Store, error) {
	return store.Open(filepath.Join(self.Folder, storeName))
}

// New returns an agent with the state that it loads from the store, and creates the folders of the agent's instances.
// name is the agent's name in the fleet file. program is the name and version of this program, shown to operators.
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
		// Run creates the supervisor again, to carry out its first actions.
		supervised, _ := supervisor.NewSupervisor(state.Instances[instance.Name], &a.limits)
		a.handler.Supervisors = append(a.handler.Supervisors, supervised)
	}
	return a, nil
}

// Run handles events until ctx ends. The routers keep running after that. It may be called only once.
func (a *Agent) Run(ctx context.Context) {
	defer a.goroutines.Wait()
	for i := range a.routers {
		supervised, first := supervisor.NewSupervisor(a.handler.Supervisors[i].Record, &a.limits)
		a.handler.Supervisors[i] = supervised
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

// untilNextTick returns the time until the earliest tick of a supervisor, at most maxEventWait.
func (a *Agent) untilNextTick() time.Duration {
	next := math.Inf(1)
	for i := range a.routers {
		next = min(next, a.routers[i].nextTick())
	}
	seconds := min(next-a.now(), maxEventWait.Seconds()) // next may be infinite, which a time.Duration cannot hold
	return time.Duration(seconds * float64(time.Second))
}

// now returns the time on the agent's clock, in seconds since New.
func (a *Agent) now() float64 { return time.Since(a.startedAt).Seconds() }

// post queues an event for Run. ctx is Run's context; if it ends first, post returns without queueing the event.
func (a *Agent) post(ctx context.Context, e event) {
	select {
	case a.events <- e:
	case <-ctx.Done():
	}
}
