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
	fleet            *Fleet
	filePosition     sexp.Position             // position of errors that concern the file as a whole
	listeners        map[netip.AddrPort]string // agent or instance that listens on each address, as in errors
	instances        map[string]bool           // by name; true for those already checked
	instancesPerZone []int                     // number of instances, by the zone's index
}

// check checks a decoded fleet file and sets zoneIndex and agentIndex.
func (f *Fleet) check(file string) error {
	f.zoneIndex = map[string]int{}
	f.agentIndex = map[string]int{}
	c := &checker{
		fleet:            f,
		filePosition:     sexp.Position{File: file, Line: 1, Column: 1},
		listeners:        map[netip.AddrPort]string{},
		instances:        map[string]bool{},
		instancesPerZone: make([]int, len(f.Zones)),
	}
	for _, check := range []func() error{c.checkTimes, c.checkZones, c.checkAgents, c.checkInstances, c.checkMinimums} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func errorAt(position sexp.Position, format string, args ...any) error {
	return &sexp.Error{Position: position, Reason: fmt.Sprintf(format, args...)}
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
			return errorAt(c.filePosition, "times: %s must be above 0", t.key)
		}
	}
	switch {
	case times.FreshFor < minPollsWhileFresh*times.PollInterval:
		return errorAt(c.filePosition, "times: fresh must be at least twice look, or no instance is ever known")
	case times.LeaseTerm < minPollsPerLease*times.PollInterval:
		return errorAt(c.filePosition, "times: claim must be at least four times look, or a claim can expire while it is in use")
	case len(c.fleet.Agents) == 0:
		return errorAt(c.filePosition, "the file has no agent")
	case len(c.fleet.Instances) == 0:
		return errorAt(c.filePosition, "the file has no instance")
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
func (c *checker) checkListener(position sexp.Position, address netip.AddrPort, owner string) error {
	if address.Port() == 0 {
		return errorAt(position, "%s: listen needs a port", owner)
	}
	if other, taken := c.listeners[address]; taken {
		return errorAt(position, "%s listens on %s, as %s does", owner, address, other)
	}
	c.listeners[address] = owner
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

func (c *checker) checkInstance(instance *Instance) error {
	agent, known := c.fleet.agentIndex[instance.Agent]
	switch {
	case c.instances[instance.Name]:
		return errorAt(instance.Position, "instance %s is given twice", instance.Name)
	case !known:
		return errorAt(instance.Position, "instance %s: there is no agent %s", instance.Name, instance.Agent)
	case !isFolderName(instance.Name):
		return errorAt(instance.Position, "instance %q: the name must be usable as a folder name", instance.Name)
	case instance.RouterIndex != nil && *instance.RouterIndex < 0:
		return errorAt(instance.Position, "instance %s: me must not be negative", instance.Name)
	}
	if instance.Discovery != "" {
		if _, err := netip.ParseAddrPort(instance.Discovery); err != nil {
			return errorAt(instance.Position, "instance %s: discovery: %v", instance.Name, err)
		}
	}
	if err := c.checkListener(instance.Position, instance.Listen, "instance "+instance.Name); err != nil {
		return err
	}
	c.instances[instance.Name] = true
	c.instancesPerZone[c.fleet.zoneIndex[c.fleet.Agents[agent].Zone]]++
	return nil
}

// isFolderName reports whether a name can be that of a folder within another folder and is not a hidden one.
func isFolderName(name string) bool {
	return name != "" && name[0] != '.' && !strings.ContainsAny(name, "/\x00")
}

// checkMinimums checks that no minimum of serving instances exceeds the number of instances.
func (c *checker) checkMinimums() error {
	for i, zone := range c.fleet.Zones {
		if zone.MinAvailable < 0 || zone.MinAvailable > c.instancesPerZone[i] {
			return errorAt(zone.Position, "hall %s: its floor is %d, but it has %d instances",
				zone.Name, zone.MinAvailable, c.instancesPerZone[i])
		}
	}
	if c.fleet.MinAvailable < 0 || c.fleet.MinAvailable > len(c.fleet.Instances) {
		return errorAt(c.filePosition, "the floor is %d, but there are %d instances", c.fleet.MinAvailable, len(c.fleet.Instances))
	}
	return nil
}
