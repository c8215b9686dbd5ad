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
	"sort"
	"time"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/fleet/api"
	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/layout"
	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/tool"
	"stoatdale.example/stoatdale/internal/keys"
)

// Sizes is what the measurement of growth is played with: fleets of stand-in agents in this process, each
// with so many instances, that answer over TLS like real ones.
type Sizes struct {
	Instances []int
	PerAgent  int
	Rounds    int
}

// SizesReport is what it measured; one Size an entry of Instances.
type SizesReport struct {
	Report
	Cores    int     `json:"cores"`
	PerAgent int     `json:"instances_an_agent"`
	Sizes    []Size  `json:"sizes"`
	Plan     float64 `json:"plan_exponent"`   // of the time by the instances, from the smallest to the largest
	Status   float64 `json:"status_exponent"` // the same, over connections that stand
}

// Size is one fleet's figures: medians.
type Size struct {
	Instances int     `json:"instances"`
	Agents    int     `json:"agents"`
	PlanUs    float64 `json:"plan_step_us"`
	FirstMs   float64 `json:"status_first_ms"` // with a handshake each
	StatusMs  float64 `json:"status_ms"`
	StatusMax float64 `json:"status_most_ms"`
}

// canned is a stand-in agent: it tells of instances that serve.
type canned struct {
	name  string
	names []string
}

// Handle implements api.Handler.
func (c *canned) Handle(_ context.Context, _ string, call form.Request) (form.Reply, error) {
	if call.Verb != form.StatusVerb {
		return form.Reply{Failure: "this agent only looks"}, nil
	}
	r := form.Reply{Agent: c.name, Program: "stand-in", LeaseState: claim.State{Epoch: 3}}
	for _, n := range c.names {
		r.Instances = append(r.Instances, form.InstanceStatus{Name: n, Listen: "127.0.0.1:5432", Observation: plan.Observation{
			State:    plan.ProcessReady,
			Revision: "0123456789abcdef0123456789abcdef", RecentCommands: plan.CommandCounts{Completed: 1000, Unanswered: 3}, ReadySeconds: 100,
		}})
	}
	return r, nil
}

// RunSizes measures.
func RunSizes(ctx context.Context, s Sizes) (SizesReport, error) {
	began := time.Now()
	r := SizesReport{Report: Report{Drill: "sizes", OK: true}, Cores: runtime.GOMAXPROCS(0), PerAgent: s.PerAgent}
	for _, n := range s.Instances {
		size, err := measure(ctx, s, n, &r)
		if err != nil {
			return r, fmt.Errorf("%d instances: %w", n, err)
		}
		r.Sizes = append(r.Sizes, size)
	}
	if last := len(r.Sizes) - 1; last > 0 {
		a, b := r.Sizes[0], r.Sizes[last]
		grown := math.Log(float64(b.Instances) / float64(a.Instances))
		r.Plan = math.Log(b.PlanUs/a.PlanUs) / grown
		r.Status = math.Log(b.StatusMs/a.StatusMs) / grown
	}
	r.Seconds = time.Since(began).Seconds()
	return r, ctx.Err()
}

func measure(ctx context.Context, s Sizes, n int, r *SizesReport) (Size, error) {
	dir, err := os.MkdirTemp("", "sizes")
	if err != nil {
		return Size{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	folder := keys.Folder(filepath.Join(dir, "keys"))
	if err := folder.MakeAuthority("sizes", time.Hour, time.Now()); err != nil {
		return Size{}, err
	}
	if err := folder.Issue(keys.Operator, operatorName, time.Minute*30, time.Now()); err != nil {
		return Size{}, err
	}
	f := &layout.Fleet{
		Name: "sizes", MinAvailable: n - 1, Zones: []layout.Zone{{Name: "h", MinAvailable: n - 1}},
		Times: layout.Times{Soak: 1, FreshFor: 10, ContactTimeout: 30, StepTimeout: 60, LeaseTerm: 60, PollInterval: 5, ReadyTimeout: 10},
	}
	var servers []*api.Server
	defer func() {
		for _, x := range servers {
			x.Close()
		}
	}()
	for first := 0; first < n; first += s.PerAgent {
		a := &canned{name: fmt.Sprint("a", first/s.PerAgent)}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return Size{}, err
		}
		for i := first; i < min(n, first+s.PerAgent); i++ {
			a.names = append(a.names, fmt.Sprint("n", i))
			f.Instances = append(f.Instances, layout.Instance{
				Name: fmt.Sprint("n", i), Agent: a.name,
				Listen: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 5432),
			})
		}
		if err := folder.Issue(keys.Agent, a.name, time.Minute*30, time.Now()); err != nil {
			return Size{}, err
		}
		f.Agents = append(f.Agents, layout.Agent{
			Name: a.name, Zone: "h", Folder: dir, Program: "none",
			Listen: netip.MustParseAddrPort(l.Addr().String()),
		})
		server := api.NewServer(l, a, folder.Source(keys.Agent, a.name), api.SupportedVersions, zerolog.Nop())
		servers = append(servers, server)
		go func() { _ = server.Serve() }()
	}
	if f, err = layout.Parse("sizes", f.Text()); err != nil {
		return Size{}, err
	}
	t, err := tool.New(f, folder, operatorName)
	if err != nil {
		return Size{}, err
	}
	defer t.Close()
	size := Size{Instances: n, Agents: len(f.Agents), PlanUs: planStep(f.PlannerFleet())}
	var took []float64
	for i := range s.Rounds + 1 {
		from := time.Now()
		st := t.Status(ctx)
		ms := time.Since(from).Seconds() * 1000
		if st.Serving != n {
			r.Fail("status with %d instances told of %d", n, st.Serving)
		}
		if i == 0 {
			size.FirstMs = ms
		} else {
			took = append(took, ms)
		}
	}
	sort.Float64s(took)
	size.StatusMs, size.StatusMax = took[len(took)/2], took[len(took)-1]
	return size, nil
}

// planStep is the median time of a decision over a fleet of which half is done, in microseconds.
func planStep(f *plan.Fleet) float64 {
	sights := make([]plan.Observation, len(f.Instances))
	for i := range sights {
		sights[i] = plan.Observation{State: plan.ProcessReady, Revision: "a"}
		if i < len(sights)/2 {
			sights[i].LastStep, sights[i].LastResult = plan.Step{RolloutID: "r", Number: 1}, plan.StepSucceeded
		}
	}
	p := plan.NewPlanner(f, plan.Rollout{ID: "r", Revision: "b", State: plan.Running})
	var took []float64
	for range 201 {
		from := time.Now()
		p.Next(0, sights, plan.RequestNone)
		took = append(took, time.Since(from).Seconds()*1e6)
	}
	sort.Float64s(took)
	return took[len(took)/2]
}
