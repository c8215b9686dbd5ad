package inventory

import (
	"fmt"
	"net/netip"
	"strings"

	"stoatdale.example/stoatdale/internal/sexp"
)

// Minimum numbers of poll intervals that the times depending on them must hold.
const (
	minPollsWhileFresh = 2
	minPollsPerLease   = 4
)

// checker checks the rules of a fleet file that the types of its fields do not enforce.
type checker struct {
	fleet     *Fleet
	file      sexp.Position             // position of errors that concern the file as a whole
	listeners map[netip.AddrPort]string // agent or instance that listens on each address, as in errors
	instances map[string]bool           // by name; true for those already checked
	perZone   []int                     // number of instances, by the zone's index
}

// check checks a decoded fleet file and sets zoneIndex and agentIndex.
func (f *Fleet) check(file string) error {
	f.zoneIndex = map[string]int{}
	f.agentIndex = map[string]int{}
	c := &checker{
		fleet:     f,
		file:      sexp.Position{File: file, Line: 1, Column: 1},
		listeners: map[netip.AddrPort]string{},
		instances: map[string]bool{},
		perZone:   make([]int, len(f.Zones)),
	}
	for _, step := range []func() error{c.checkTimes, c.checkZones, c.checkAgents, c.checkInstances, c.checkMinimums} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func errorAt(at sexp.Position, format string, args ...any) error {
	return &sexp.Error{Position: at, Reason: fmt.Sprintf(format, args...)}
}

func (c *checker) checkTimes() error {
	times := &c.fleet.Times
	for _, t := range []struct {
		key   string
		value sexp.Seconds
	}{
		{"fresh", times.FreshFor},
		{"contact", times.ContactTimeout},
		{"step", times.StepTimeout},
		{"claim", times.LeaseTerm},
		{"look", times.PollInterval},
		{"ready", times.ReadyTimeout},
	} {
		if t.value <= 0 {
			return errorAt(c.file, "times: %s must be above 0", t.key)
		}
	}
	switch {
	case times.FreshFor < minPollsWhileFresh*times.PollInterval:
		return errorAt(c.file, "times: fresh must be at least twice look, or no instance is ever known")
	case times.LeaseTerm < minPollsPerLease*times.PollInterval:
		return errorAt(c.file, "times: claim must be at least four times look, or a claim can expire while it is in use")
	case len(c.fleet.Agents) == 0:
		return errorAt(c.file, "the file has no agent")
	case len(c.fleet.Instances) == 0:
		return errorAt(c.file, "the file has no instance")
	}
	return nil
}

func (c *checker) checkZones() error {
	for i, zone := range c.fleet.Zones {
		if _, twice := c.fleet.zoneIndex[zone.Name]; twice {
			return errorAt(zone.Position, "hall %s is given twice", zone.Name)
		}
		c.fleet.zoneIndex[zone.Name] = i
	}
	return nil
}

func (c *checker) checkAgents() error {
	for i, agent := range c.fleet.Agents {
		if _, twice := c.fleet.agentIndex[agent.Name]; twice {
			return errorAt(agent.Position, "agent %s is given twice", agent.Name)
		}
		if _, known := c.fleet.zoneIndex[agent.Zone]; !known {
			return errorAt(agent.Position, "agent %s: there is no hall %s", agent.Name, agent.Zone)
		}
		if err := c.checkListener(agent.Position, agent.Listen, "agent "+agent.Name); err != nil {
			return err
		}
		c.fleet.agentIndex[agent.Name] = i
	}
	return nil
}

// checkListener checks that an address has a port and that no other agent or instance listens on it.
func (c *checker) checkListener(at sexp.Position, address netip.AddrPort, who string) error {
	if address.Port() == 0 {
		return errorAt(at, "%s: listen needs a port", who)
	}
	if other, taken := c.listeners[address]; taken {
		return errorAt(at, "%s listens on %s, as %s does", who, address, other)
	}
	c.listeners[address] = who
	return nil
}

func (c *checker) checkInstances() error {
	for i := range c.fleet.Instances {
		if err := c.checkInstance(&c.fleet.Instances[i]); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) checkInstance(x *Instance) error {
	agent, known := c.fleet.agentIndex[x.Agent]
	switch {
	case c.instances[x.Name]:
		return errorAt(x.Position, "instance %s is given twice", x.Name)
	case !known:
		return errorAt(x.Position, "instance %s: there is no agent %s", x.Name, x.Agent)
	case !isFolderName(x.Name):
		return errorAt(x.Position, "instance %q: the name must be usable as a folder name", x.Name)
	case x.RouterIndex != nil && *x.RouterIndex < 0:
		return errorAt(x.Position, "instance %s: me must not be negative", x.Name)
	}
	if x.Discovery != "" {
		if _, err := netip.ParseAddrPort(x.Discovery); err != nil {
			return errorAt(x.Position, "instance %s: discovery: %v", x.Name, err)
		}
	}
	if err := c.checkListener(x.Position, x.Listen, "instance "+x.Name); err != nil {
		return err
	}
	c.instances[x.Name] = true
	c.perZone[c.fleet.zoneIndex[c.fleet.Agents[agent].Zone]]++
	return nil
}

// isFolderName reports whether a name can be that of a folder within another folder and is not a hidden one.
func isFolderName(name string) bool {
	return name != "" && name[0] != '.' && !strings.ContainsAny(name, "/\x00")
}

// checkMinimums checks that no minimum of serving instances exceeds the number of instances.
func (c *checker) checkMinimums() error {
	for i, zone := range c.fleet.Zones {
		if zone.MinAvailable < 0 || zone.MinAvailable > c.perZone[i] {
			return errorAt(zone.Position, "hall %s: its floor is %d, but it has %d instances", zone.Name, zone.MinAvailable, c.perZone[i])
		}
	}
	if c.fleet.MinAvailable < 0 || c.fleet.MinAvailable > len(c.fleet.Instances) {
		return errorAt(c.file, "the floor is %d, but there are %d instances", c.fleet.MinAvailable, len(c.fleet.Instances))
	}
	return nil
}
