// Package layout reads the fleet file: agents, halls and instances, floors and times, as S-expressions.
package layout

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/sexp"
)

// Fleet is the file.
type Fleet struct {
	Name         string     `sexp:"name,must"`
	MinAvailable int        `sexp:"floor,must"` // instances of the whole that must serve
	Times        Times      `sexp:"times"`
	Zones        []Zone     `sexp:"hall"`
	Agents       []Agent    `sexp:"agent"`
	Instances    []Instance `sexp:"instance"`
	zoneIndex    map[string]int
	agentIndex   map[string]int
}

// Times of a rollout, an agent and a claim.
type Times struct {
	Soak           sexp.Seconds `sexp:"soak"`
	FreshFor       sexp.Seconds `sexp:"fresh"`
	ContactTimeout sexp.Seconds `sexp:"contact"`
	StepTimeout    sexp.Seconds `sexp:"step"`
	LeaseTerm      sexp.Seconds `sexp:"claim"`
	PollInterval   sexp.Seconds `sexp:"look"`
	ReadyTimeout   sexp.Seconds `sexp:"ready"`
	DrainGrace     sexp.Seconds `sexp:"grace"`
}

// Hall is where instances serve.
type Zone struct {
	Name         string        `sexp:",name"`
	MinAvailable int           `sexp:"floor,must"`
	Place        sexp.Position `sexp:",place"`
}

// Agent is one machine's.
type Agent struct {
	Name    string         `sexp:",name"`
	Listen  netip.AddrPort `sexp:"listen,must"`
	Zone    string         `sexp:"hall,must"`
	Folder  string         `sexp:"folder,must"`  // for its store and its routers' files
	Program string         `sexp:"program,must"` // the router
	Place   sexp.Position  `sexp:",place"`
}

// Instance is one router.
type Instance struct {
	Name        string         `sexp:",name"`
	Agent       string         `sexp:"agent,must"`
	Listen      netip.AddrPort `sexp:"listen,must"`
	Discovery   string         `sexp:"discovery"` // in place of the revision's
	RouterIndex *int           `sexp:"me"`        // in place of the revision's settings.me
	Place       sexp.Position  `sexp:",place"`
}

func defaults() Fleet {
	return Fleet{Times: Times{Soak: 5, FreshFor: 3, ContactTimeout: 30, StepTimeout: 120, LeaseTerm: 15, PollInterval: 0.5, ReadyTimeout: 10, DrainGrace: 2}}
}

// Load reads and checks a fleet file.
func Load(path string) (*Fleet, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet file: %w", err)
	}
	return Parse(path, raw)
}

// Parse reads and checks a fleet file's text. Errors name the file, line and column, and the key.
func Parse(file string, raw []byte) (*Fleet, error) {
	nodes, err := sexp.Read(file, raw)
	if err != nil {
		return nil, err
	}
	f := defaults()
	if err := sexp.Decode(file, nodes, &f); err != nil {
		return nil, err
	}
	if err := f.check(file); err != nil {
		return nil, err
	}
	return &f, nil
}

// Text is the file that reads back as f.
func (f *Fleet) Text() []byte { return sexp.Print(sexp.Encode(f)) }

func (f *Fleet) check(file string) error {
	whole := sexp.Position{File: file, Line: 1, Column: 1}
	fault := func(at sexp.Position, format string, args ...any) error {
		return &sexp.Error{Position: at, Reason: fmt.Sprintf(format, args...)}
	}
	for _, t := range []struct {
		key   string
		value sexp.Seconds
	}{
		{"fresh", f.Times.FreshFor},
		{"contact", f.Times.ContactTimeout},
		{"step", f.Times.StepTimeout},
		{"claim", f.Times.LeaseTerm},
		{"look", f.Times.PollInterval},
		{"ready", f.Times.ReadyTimeout},
	} {
		if t.value <= 0 {
			return fault(whole, "times: %s must be above 0", t.key)
		}
	}
	switch {
	case f.Times.FreshFor < 2*f.Times.PollInterval:
		return fault(whole, "times: fresh must be twice look at least, or nothing is ever known")
	case f.Times.LeaseTerm < 4*f.Times.PollInterval:
		return fault(whole, "times: claim must be four times look at least, or claims run out in use")
	case len(f.Agents) == 0:
		return fault(whole, "the file has no agent")
	case len(f.Instances) == 0:
		return fault(whole, "the file has no instance")
	}
	f.zoneIndex, f.agentIndex = map[string]int{}, map[string]int{}
	for i, h := range f.Zones {
		if _, twice := f.zoneIndex[h.Name]; twice {
			return fault(h.Place, "hall %s is given twice", h.Name)
		}
		f.zoneIndex[h.Name] = i
	}
	taken := map[netip.AddrPort]string{}
	listen := func(at sexp.Position, a netip.AddrPort, who string) error {
		if a.Port() == 0 {
			return fault(at, "%s: listen wants a port", who)
		}
		if other, twice := taken[a]; twice {
			return fault(at, "%s listens on %s, as %s does", who, a, other)
		}
		taken[a] = who
		return nil
	}
	for i, a := range f.Agents {
		if _, twice := f.agentIndex[a.Name]; twice {
			return fault(a.Place, "agent %s is given twice", a.Name)
		}
		if _, known := f.zoneIndex[a.Zone]; !known {
			return fault(a.Place, "agent %s: there is no hall %s", a.Name, a.Zone)
		}
		if err := listen(a.Place, a.Listen, "agent "+a.Name); err != nil {
			return err
		}
		f.agentIndex[a.Name] = i
	}
	return f.checkInstances(fault, listen, whole)
}

func (f *Fleet) checkInstances(fault func(sexp.Position, string, ...any) error,
	listen func(sexp.Position, netip.AddrPort, string) error, whole sexp.Position,
) error {
	names := map[string]bool{}
	perHall := make([]int, len(f.Zones))
	for _, x := range f.Instances {
		a, known := f.agentIndex[x.Agent]
		switch {
		case names[x.Name]:
			return fault(x.Place, "instance %s is given twice", x.Name)
		case !known:
			return fault(x.Place, "instance %s: there is no agent %s", x.Name, x.Agent)
		case strings.ContainsAny(x.Name, "/\x00") || x.Name == "" || x.Name[0] == '.':
			return fault(x.Place, "instance %q: the name must do as a folder's", x.Name)
		case x.RouterIndex != nil && *x.RouterIndex < 0:
			return fault(x.Place, "instance %s: me must not be below 0", x.Name)
		}
		if x.Discovery != "" {
			if _, err := netip.ParseAddrPort(x.Discovery); err != nil {
				return fault(x.Place, "instance %s: discovery: %v", x.Name, err)
			}
		}
		if err := listen(x.Place, x.Listen, "instance "+x.Name); err != nil {
			return err
		}
		names[x.Name] = true
		perHall[f.zoneIndex[f.Agents[a].Zone]]++
	}
	for i, h := range f.Zones {
		if h.MinAvailable < 0 || h.MinAvailable > perHall[i] {
			return fault(h.Place, "hall %s: its floor is %d, and it has %d instances", h.Name, h.MinAvailable, perHall[i])
		}
	}
	if f.MinAvailable < 0 || f.MinAvailable > len(f.Instances) {
		return fault(whole, "the floor is %d, and there are %d instances", f.MinAvailable, len(f.Instances))
	}
	return nil
}

// Plan is the fleet as the decisions see it; instances, halls and agents keep the file's order.
func (f *Fleet) PlannerFleet() *plan.Fleet {
	p := &plan.Fleet{MinAvailable: f.MinAvailable, Timing: plan.Timing{
		SoakSeconds: float64(f.Times.Soak), StaleAfterSeconds: float64(f.Times.FreshFor),
		ContactTimeoutSeconds: float64(f.Times.ContactTimeout), StepTimeoutSeconds: float64(f.Times.StepTimeout),
	}}
	for _, h := range f.Zones {
		p.ZoneMinAvailable = append(p.ZoneMinAvailable, h.MinAvailable)
	}
	for _, x := range f.Instances {
		a := f.agentIndex[x.Agent]
		p.Instances = append(p.Instances, plan.Instance{Zone: f.zoneIndex[f.Agents[a].Zone], Agent: a})
	}
	return p
}

// Names are the instances'.
func (f *Fleet) InstanceNames() []string {
	var out []string
	for _, x := range f.Instances {
		out = append(out, x.Name)
	}
	return out
}

// Agent finds one by its name, or returns nil.
func (f *Fleet) Agent(name string) *Agent {
	if i, ok := f.agentIndex[name]; ok {
		return &f.Agents[i]
	}
	return nil
}

// Of are an agent's instances.
func (f *Fleet) InstancesOf(agent string) []Instance {
	var out []Instance
	for _, x := range f.Instances {
		if x.Agent == agent {
			out = append(out, x)
		}
	}
	return out
}

// Revised is what belongs to an instance and not to a revision.
func (x *Instance) RevisionInstance() revision.Instance {
	at := revision.Instance{Name: x.Name, Listen: x.Listen.String(), Discovery: x.Discovery, RouterIndex: -1}
	if x.RouterIndex != nil {
		at.RouterIndex = *x.RouterIndex
	}
	return at
}

// AgentsDigest stands for the list of agents, a majority of whom grants claims.
func (f *Fleet) AgentsDigest() string {
	var b strings.Builder
	for _, a := range f.Agents {
		fmt.Fprintf(&b, "%q ", a.Name)
	}
	return digest(b.String())
}

// InstancesDigest stands for the list of instances, whose places a rollout's record speaks of.
func (f *Fleet) InstancesDigest() string {
	var b strings.Builder
	for _, x := range f.Instances {
		fmt.Fprintf(&b, "%q %q ", x.Name, x.Agent)
	}
	return digest(b.String())
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}
