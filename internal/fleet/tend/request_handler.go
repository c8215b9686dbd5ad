package tend

import (
	"fmt"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
)

// RequestHandler answers the fleet tool for one agent: its claim, its record, the wish that was left, its instances.
type RequestHandler struct {
	Agent           string
	Program         string // that answers, and its version
	AgentsDigest    string // digest of the list of agents that this one goes by
	Lease           claim.Lease
	OperatorRequest form.OperatorRequest
	InstanceNames   []string
	Supervisors     []Supervisor
	ListenAddresses []string
}

// Changes tells what a call has changed that must be stored before it is answered, and what is then done.
type Changes struct {
	Lease           bool // Desk.Claims
	OperatorRequest bool
	ChangedInstance int // its record, or -1
	Actions         []Action
}

// Handle answers a call. The calls for revisions and history are not the desk's.
func (d *RequestHandler) Handle(now float64, c form.Request) (form.Reply, Changes) {
	r := form.Reply{Agent: d.Agent, Program: d.Program}
	s := Changes{ChangedInstance: -1}
	if c.AgentsDigest != "" && c.AgentsDigest != d.AgentsDigest && c.Verb != form.StatusVerb {
		r.Denial = claim.NotHolder
		r.Failure = "it goes by another list of agents: bring the fleet file of the agent and the tool together"
		r.LeaseState = d.Lease.State(now)
		return r, s
	}
	switch c.Verb {
	case form.StatusVerb:
		if c.Epoch != 0 {
			r.Denial = d.Lease.Renew(now, c.Epoch, c.Holder)
		}
		for i := range d.Supervisors {
			r.Instances = append(r.Instances, d.told(now, i))
		}
		r.Record = d.Lease.Record
		if c.Epoch != 0 {
			r.Record.Body = nil // its holder has it
		}
		r.OperatorRequest = d.OperatorRequest
	case form.RequestLeaseVerb:
		r.Denial = d.Lease.Acquire(now, c.LeaseRequest)
		r.Record = d.Lease.Record
		s.Lease = r.Denial == claim.Granted
	case form.StoreRecordVerb:
		r.Denial = d.Lease.StoreRecord(now, c.Epoch, c.Holder, c.Record)
		s.Lease = r.Denial == claim.Granted
	case form.ReleaseLeaseVerb:
		r.Denial = d.Lease.Release(now, c.Epoch, c.Holder)
		s.Lease = r.Denial == claim.Granted
	case form.RequestActionVerb:
		d.OperatorRequest, s.OperatorRequest = c.OperatorRequest, true
	case form.BeginStepVerb:
		r.Denial = d.Lease.Renew(now, c.Epoch, c.Holder)
		if r.Denial == claim.Granted {
			s, r.Failure = d.begin(now, c.InstanceName, c.Step)
		}
	default:
		r.Failure = fmt.Sprintf("%s is not answered here", c.Verb)
	}
	r.LeaseState = d.Lease.State(now)
	return r, s
}

func (d *RequestHandler) begin(now float64, name string, step plan.Step) (Changes, string) {
	s := Changes{ChangedInstance: -1}
	for i, n := range d.InstanceNames {
		if n == name {
			out, fault := d.Supervisors[i].BeginStep(now, step)
			if out.Store {
				s.ChangedInstance = i
			}
			s.Actions = out.Actions
			return s, fault
		}
	}
	return s, fmt.Sprintf("there is no instance %s here", name)
}

func (d *RequestHandler) told(now float64, i int) form.InstanceStatus {
	x := &d.Supervisors[i]
	t := form.InstanceStatus{Name: d.InstanceNames[i], Crashes: x.Crashes(), Observation: x.Observe(now), TargetRevision: x.Revision}
	if i < len(d.ListenAddresses) {
		t.Listen = d.ListenAddresses[i]
	}
	if x.open() {
		t.TargetRevision = x.Step.Revision
	}
	return t
}
