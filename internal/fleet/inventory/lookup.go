package inventory

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// digestBytes is the length of the part of a list's hash that forms its digest.
const digestBytes = 8

// PlannerFleet returns the fleet in the form that the planner uses, with instances, zones and agents as indices in the order
// of the file.
func (f *Fleet) PlannerFleet() *rollout.Fleet {
	plannerFleet := &rollout.Fleet{
		MinAvailable: f.MinAvailable,
		Timing: rollout.Timing{
			SoakSeconds:           float64(f.Times.Soak),
			StaleAfterSeconds:     float64(f.Times.FreshFor),
			ContactTimeoutSeconds: float64(f.Times.ContactTimeout),
			StepTimeoutSeconds:    float64(f.Times.StepTimeout),
		},
	}
	for _, zone := range f.Zones {
		plannerFleet.ZoneMinAvailable = append(plannerFleet.ZoneMinAvailable, zone.MinAvailable)
	}
	for _, instance := range f.Instances {
		agent := f.agentIndex[instance.Agent]
		zone := f.zoneIndex[f.Agents[agent].Zone]
		plannerFleet.Instances = append(plannerFleet.Instances, rollout.Instance{Zone: zone, Agent: agent})
	}
	return plannerFleet
}

// InstanceNames returns the names of the instances, in the order of the file.
func (f *Fleet) InstanceNames() []string {
	var names []string
	for _, instance := range f.Instances {
		names = append(names, instance.Name)
	}
	return names
}

// Agent returns the agent with a name, or nil if there is none.
func (f *Fleet) Agent(name string) *Agent {
	if i, ok := f.agentIndex[name]; ok {
		return &f.Agents[i]
	}
	return nil
}

// InstancesOf returns an agent's instances, in the order of the file.
func (f *Fleet) InstancesOf(agent string) []Instance {
	var instances []Instance
	for _, instance := range f.Instances {
		if instance.Agent == agent {
			instances = append(instances, instance)
		}
	}
	return instances
}

// RevisionInstance returns the values of the instance that revision.Render sets in its configuration.
func (i *Instance) RevisionInstance() revision.Instance {
	instance := revision.Instance{Name: i.Name, Listen: i.Listen.String(), Discovery: i.Discovery, RouterIndex: -1}
	if i.RouterIndex != nil {
		instance.RouterIndex = *i.RouterIndex
	}
	return instance
}

// AgentsDigest returns a digest that identifies the list of agents. A majority of these agents grants a lease, so a tool and
// an agent with different lists must not work together.
func (f *Fleet) AgentsDigest() string {
	var list strings.Builder
	for _, agent := range f.Agents {
		fmt.Fprintf(&list, "%q ", agent.Name)
	}
	return digest(list.String())
}

// InstancesDigest returns a digest that identifies the list of instances. Rollout records refer to instances by their indices
// in this list.
func (f *Fleet) InstancesDigest() string {
	var list strings.Builder
	for _, instance := range f.Instances {
		fmt.Fprintf(&list, "%q %q ", instance.Name, instance.Agent)
	}
	return digest(list.String())
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:digestBytes])
}
