package inventory

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// digestBytes is how much of a hash a digest of a list keeps.
const digestBytes = 8

// PlannerFleet is the fleet as the planner sees it: instances, zones and agents are indices in the file's order.
func (f *Fleet) PlannerFleet() *rollout.Fleet {
	p := &rollout.Fleet{
		MinAvailable: f.MinAvailable,
		Timing: rollout.Timing{
			SoakSeconds:           float64(f.Times.Soak),
			StaleAfterSeconds:     float64(f.Times.FreshFor),
			ContactTimeoutSeconds: float64(f.Times.ContactTimeout),
			StepTimeoutSeconds:    float64(f.Times.StepTimeout),
		},
	}
	for _, zone := range f.Zones {
		p.ZoneMinAvailable = append(p.ZoneMinAvailable, zone.MinAvailable)
	}
	for _, x := range f.Instances {
		agent := f.agentIndex[x.Agent]
		zone := f.zoneIndex[f.Agents[agent].Zone]
		p.Instances = append(p.Instances, rollout.Instance{Zone: zone, Agent: agent})
	}
	return p
}

// InstanceNames are the names of the instances, in the file's order.
func (f *Fleet) InstanceNames() []string {
	var names []string
	for _, x := range f.Instances {
		names = append(names, x.Name)
	}
	return names
}

// Agent returns the agent of a name, or nil.
func (f *Fleet) Agent(name string) *Agent {
	if i, ok := f.agentIndex[name]; ok {
		return &f.Agents[i]
	}
	return nil
}

// InstancesOf returns an agent's instances, in the file's order.
func (f *Fleet) InstancesOf(agent string) []Instance {
	var instances []Instance
	for _, x := range f.Instances {
		if x.Agent == agent {
			instances = append(instances, x)
		}
	}
	return instances
}

// RevisionInstance is what belongs to the instance in its configuration.
func (x *Instance) RevisionInstance() revision.Instance {
	instance := revision.Instance{Name: x.Name, Listen: x.Listen.String(), Discovery: x.Discovery, RouterIndex: -1}
	if x.RouterIndex != nil {
		instance.RouterIndex = *x.RouterIndex
	}
	return instance
}

// AgentsDigest identifies the list of agents, a majority of whom grants leases: a tool and an agent that go by different
// lists must not work together.
func (f *Fleet) AgentsDigest() string {
	var list strings.Builder
	for _, agent := range f.Agents {
		fmt.Fprintf(&list, "%q ", agent.Name)
	}
	return digest(list.String())
}

// InstancesDigest identifies the list of instances, whose indices a rollout's record refers to.
func (f *Fleet) InstancesDigest() string {
	var list strings.Builder
	for _, x := range f.Instances {
		fmt.Fprintf(&list, "%q %q ", x.Name, x.Agent)
	}
	return digest(list.String())
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:digestBytes])
}
