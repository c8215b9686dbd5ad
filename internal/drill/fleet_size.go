package drill

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/fleet/api"
	"stoatdale.example/stoatdale/internal/fleet/control"
	"stoatdale.example/stoatdale/internal/fleet/inventory"
	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
	"stoatdale.example/stoatdale/internal/pki"
)

const (
	readySeconds = 100 // seconds for which simulated instances report that they have been ready
	microseconds = 1e6 // per second
	milliseconds = 1e3 // per second

	sizeCertificateLifetime = 30 * time.Minute
	planDecisions           = 201 // planner decisions that are timed for the median
)

// SizeOptions are the parameters of the size drill. It measures fleets of simulated agents in this process, which answer over
// TLS like real agents.
type SizeOptions struct {
	Instances []int // sizes of the measured fleets
	PerAgent  int   // instances for each agent
	Rounds    int   // timed status requests for each fleet, over established connections
}

// SizesReport is the result of the size drill: how the times of a planner decision and of a status request grow with the fleet.
type SizesReport struct {
	Report
	Cores          int     `json:"cores"`
	PerAgent       int     `json:"instances_an_agent"`
	Sizes          []Size  `json:"sizes"`           // one for each of SizeOptions.Instances
	PlanExponent   float64 `json:"plan_exponent"`   // exponent of plan time over instances, from the first size to the last
	StatusExponent float64 `json:"status_exponent"` // exponent of status time over instances, over established connections
}

// Size holds the measurements of one fleet.
type Size struct {
	Instances        int     `json:"instances"`
	Agents           int     `json:"agents"`
	PlanMicroseconds float64 `json:"plan_step_us"`    // median time of a planner decision
	FirstStatusMs    float64 `json:"status_first_ms"` // first status request, with a TLS handshake for each agent
	MedianStatusMs   float64 `json:"status_ms"`
	MaxStatusMs      float64 `json:"status_most_ms"`
}

// staticAgent is a simulated agent that always reports all its instances as serving.
type staticAgent struct {
	name          string
	instanceNames []string
}

// Handle implements api.Handler.
func (a *staticAgent) Handle(_ context.Context, _ string, request protocol.Request) (protocol.Reply, error) {
	if request.Verb != protocol.StatusVerb {
		return protocol.Reply{Failure: "this simulated agent answers only status requests"}, nil
	}
	reply := protocol.Reply{Agent: a.name, Program: "stand-in", LeaseState: lease.State{Epoch: 3}}
	for _, name := range a.instanceNames {
		reply.Instances = append(reply.Instances, protocol.InstanceStatus{
			Name: name, Listen: "127.0.0.1:5432",
			Observation: rollout.Observation{
				State:          rollout.ProcessReady,
				Revision:       "0123456789abcdef0123456789abcdef",
				RecentCommands: rollout.CommandCounts{Completed: 1000, Unanswered: 3},
				ReadySeconds:   readySeconds,
			},
		})
	}
	return reply, nil
}

// RunSizes runs the size drill. It returns an error if it cannot set up a fleet, or if ctx is canceled.
func RunSizes(ctx context.Context, options SizeOptions) (SizesReport, error) {
	began := time.Now()
	report := SizesReport{Report: Report{Drill: "sizes", OK: true}, Cores: runtime.GOMAXPROCS(0), PerAgent: options.PerAgent}
	for _, instances := range options.Instances {
		size, err := measureSize(ctx, options, instances, &report)
		if err != nil {
			return report, fmt.Errorf("%d instances: %w", instances, err)
		}
		report.Sizes = append(report.Sizes, size)
	}
	if last := len(report.Sizes) - 1; last > 0 {
		smallest, largest := report.Sizes[0], report.Sizes[last]
		growth := math.Log(float64(largest.Instances) / float64(smallest.Instances))
		report.PlanExponent = math.Log(largest.PlanMicroseconds/smallest.PlanMicroseconds) / growth
		report.StatusExponent = math.Log(largest.MedianStatusMs/smallest.MedianStatusMs) / growth
	}
	report.Seconds = time.Since(began).Seconds()
	return report, ctx.Err()
}

// measureSize measures one fleet. It records a violation in the report if a status does not show all instances as serving.
func measureSize(ctx context.Context, options SizeOptions, instances int, report *SizesReport) (Size, error) {
	fleet, err := startSimulatedFleet(instances, options.PerAgent)
	defer fleet.close()
	if err != nil {
		return Size{}, err
	}
	client, err := control.New(fleet.file, fleet.keys, operatorName)
	if err != nil {
		return Size{}, err
	}
	defer client.Close()
	size := Size{Instances: instances, Agents: len(fleet.file.Agents), PlanMicroseconds: measurePlan(fleet.file.PlannerFleet())}
	timeStatus := func() float64 {
		began := time.Now()
		status := client.Status(ctx)
		elapsed := time.Since(began).Seconds() * milliseconds
		if status.Serving != instances {
			report.Fail("status of a fleet of %d instances reported %d as serving", instances, status.Serving)
		}
		return elapsed
	}
	size.FirstStatusMs = timeStatus()
	var elapsed []float64
	for range options.Rounds {
		elapsed = append(elapsed, timeStatus())
	}
	slices.Sort(elapsed)
	size.MedianStatusMs = elapsed[len(elapsed)/2]
	size.MaxStatusMs = elapsed[len(elapsed)-1]
	return size, nil
}

// simulatedFleet is a fleet whose static agents serve their API on loopback.
type simulatedFleet struct {
	folder  string // temporary
	keys    pki.Folder
	file    *inventory.Fleet
	servers []*api.Server
	serving sync.WaitGroup
}

// startSimulatedFleet starts a fleet with as many agents as the instances need. The caller must close the fleet, even if an
// error is returned.
func startSimulatedFleet(instances, perAgent int) (*simulatedFleet, error) {
	folder, err := os.MkdirTemp("", "sizes")
	if err != nil {
		return &simulatedFleet{}, err
	}
	fleet := &simulatedFleet{folder: folder, keys: pki.Folder(filepath.Join(folder, "keys"))}
	if err := fleet.keys.CreateAuthority("sizes", time.Hour, time.Now()); err != nil {
		return fleet, err
	}
	if err := fleet.keys.Issue(pki.Operator, operatorName, sizeCertificateLifetime, time.Now()); err != nil {
		return fleet, err
	}
	fleet.file = &inventory.Fleet{
		Name: "sizes", MinAvailable: instances - 1, Zones: []inventory.Zone{{Name: "h", MinAvailable: instances - 1}},
		Times: inventory.Times{
			Soak: 1, FreshFor: 10, ContactTimeout: 30, StepTimeout: 60, LeaseTerm: 60, PollInterval: 5, ReadyTimeout: 10,
		},
	}
	for first := 0; first < instances; first += perAgent {
		if err := fleet.startAgent(fmt.Sprint("a", first/perAgent), first, min(instances, first+perAgent)); err != nil {
			return fleet, err
		}
	}
	fleet.file, err = inventory.Parse("sizes", fleet.file.Text())
	return fleet, err
}

// startAgent starts an agent with the instances from first up to, but not including, end.
func (f *simulatedFleet) startAgent(name string, first, end int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	handler := &staticAgent{name: name}
	for i := first; i < end; i++ {
		instance := fmt.Sprint("n", i)
		handler.instanceNames = append(handler.instanceNames, instance)
		f.file.Instances = append(f.file.Instances, inventory.Instance{
			Name: instance, Agent: name,
			Listen: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 5432),
		})
	}
	if err := f.keys.Issue(pki.Agent, name, sizeCertificateLifetime, time.Now()); err != nil {
		_ = listener.Close()
		return err
	}
	f.file.Agents = append(f.file.Agents, inventory.Agent{
		Name: name, Zone: "h", Folder: f.folder, Program: "none",
		Listen: netip.MustParseAddrPort(listener.Addr().String()),
	})
	server := api.NewServer(listener, handler, f.keys.Credentials(pki.Agent, name), api.SupportedVersions, zerolog.Nop())
	f.servers = append(f.servers, server)
	f.serving.Go(func() { _ = server.Serve() }) // returns when close closes the server
	return nil
}

// close stops the agents and removes the folder.
func (f *simulatedFleet) close() {
	for _, server := range f.servers {
		server.Close()
	}
	f.serving.Wait()
	if f.folder != "" {
		_ = os.RemoveAll(f.folder)
	}
}

// measurePlan returns the median time in microseconds of a planner decision in the middle of a rollout, when half of the
// instances are done.
func measurePlan(fleet *rollout.Fleet) float64 {
	observations := make([]rollout.Observation, len(fleet.Instances))
	for i := range observations {
		observations[i] = rollout.Observation{State: rollout.ProcessReady, Revision: "a"}
		if i < len(observations)/2 {
			observations[i].LastStep = rollout.Step{RolloutID: "r", Number: 1}
			observations[i].LastResult = rollout.StepSucceeded
		}
	}
	planner := rollout.NewPlanner(fleet, rollout.Rollout{ID: "r", Revision: "b", State: rollout.Running})
	var elapsed []float64
	for range planDecisions {
		began := time.Now()
		planner.Next(0, observations, rollout.RequestNone)
		elapsed = append(elapsed, time.Since(began).Seconds()*microseconds)
	}
	slices.Sort(elapsed)
	return elapsed[len(elapsed)/2]
}
