package tend

import (
	"fmt"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
)

// Desk answers the fleet tool for one agent: its claim, its record, the wish that was left, its instances.
type Desk struct {
	Agent     string
	Program   string // that answers, and its version
	Agents    string // digest of the list of agents that this one goes by
	Claims    claim.Ledger
	Wish      form.OperatorRequest
	Names     []string
	Instances []Instance
	Listens   []string
}

// Saves tells what a call has changed that must be stored before it is answered, and what is then done.
type Saves struct {
	Claims   bool // Desk.Claims
	Wish     bool
	Instance int // its record, or -1
	Do       []Effect
}

// Handle answers a call. The calls for revisions and history are not the desk's.
func (d *Desk) Handle(now float64, c form.Request) (form.Reply, Saves) {
	r := form.Reply{Agent: d.Agent, Program: d.Program}
	s := Saves{Instance: -1}
	if c.AgentsDigest != "" && c.AgentsDigest != d.Agents && c.Verb != form.StatusVerb {
		r.Denial = claim.NotHolder
		r.Failure = "it goes by another list of agents: bring the fleet file of the agent and the tool together"
		r.LeaseState = d.Claims.Standing(now)
		return r, s
	}
	switch c.Verb {
	case form.StatusVerb:
		if c.Epoch != 0 {
			r.Denial = d.Claims.Admit(now, c.Epoch, c.Holder)
		}
		for i := range d.Instances {
			r.Instances = append(r.Instances, d.told(now, i))
		}
		r.Record = d.Claims.Record
		if c.Epoch != 0 {
			r.Record.Body = nil // its holder has it
		}
		r.OperatorRequest = d.Wish
	case form.RequestLeaseVerb:
		r.Denial = d.Claims.Bid(now, c.LeaseRequest)
		r.Record = d.Claims.Record
		s.Claims = r.Denial == claim.Granted
	case form.StoreRecordVerb:
		r.Denial = d.Claims.Keep(now, c.Epoch, c.Holder, c.Record)
		s.Claims = r.Denial == claim.Granted
	case form.ReleaseLeaseVerb:
		r.Denial = d.Claims.Release(now, c.Epoch, c.Holder)
		s.Claims = r.Denial == claim.Granted
	case form.RequestActionVerb:
		d.Wish, s.Wish = c.OperatorRequest, true
	case form.BeginStepVerb:
		r.Denial = d.Claims.Admit(now, c.Epoch, c.Holder)
		if r.Denial == claim.Granted {
			s, r.Failure = d.begin(now, c.InstanceName, c.Step)
		}
	default:
		r.Failure = fmt.Sprintf("%s is not answered here", c.Verb)
	}
	r.LeaseState = d.Claims.Standing(now)
	return r, s
}

func (d *Desk) begin(now float64, name string, step plan.Step) (Saves, string) {
	s := Saves{Instance: -1}
	for i, n := range d.Names {
		if n == name {
			out, fault := d.Instances[i].Begin(now, step)
			if out.Store {
				s.Instance = i
			}
			s.Do = out.Do
			return s, fault
		}
	}
	return s, fmt.Sprintf("there is no instance %s here", name)
}

func (d *Desk) told(now float64, i int) form.InstanceStatus {
	x := &d.Instances[i]
	t := form.InstanceStatus{Name: d.Names[i], Crashes: x.Crashes(), Sight: x.Sight(now), TargetRevision: x.Revision}
	if i < len(d.Listens) {
		t.Listen = d.Listens[i]
	}
	if x.open() {
		t.TargetRevision = x.Step.Revision
	}
	return t
}
