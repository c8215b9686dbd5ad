package supervisor

import (
	"fmt"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// RequestHandler answers the requests of the operators' tools to one agent. They concern the lease and its record, the
// stored operator request and the instances. It identifies an instance by its index in InstanceNames and Supervisors.
type RequestHandler struct {
	Agent           string // name of the agent
	Program         string // name and version of the agent's program
	AgentsDigest    string // digest of the list of agents in this agent's fleet file
	Lease           lease.Lease
	OperatorRequest protocol.OperatorRequest // the one that was received last
	InstanceNames   []string
	Supervisors     []Supervisor
	ListenAddresses []string // listen addresses of the instances, shown to operators; may be shorter than InstanceNames
}

// noInstance is the value of Changes.ChangedInstance if no instance has changed.
const noInstance = -1

// Changes describes what a request has changed. The caller stores the changed parts before it sends the reply, and then
// carries out Actions. If storing fails, the request counts as not having happened: the caller restores the copy of the
// handler that it took before.
type Changes struct {
	Lease           bool     // RequestHandler.Lease has changed
	OperatorRequest bool     // RequestHandler.OperatorRequest has changed
	ChangedInstance int      // index of the instance whose record has changed, or -1
	Actions         []Action // actions that ChangedInstance's supervisor requests
}

// Handle answers a request and changes the state accordingly. The agent itself answers requests about revisions and the
// history.
func (h *RequestHandler) Handle(now float64, r protocol.Request) (protocol.Reply, Changes) {
	reply := protocol.Reply{Agent: h.Agent, Program: h.Program}
	changes := Changes{ChangedInstance: noInstance}
	otherAgents := r.AgentsDigest != "" && r.AgentsDigest != h.AgentsDigest
	if otherAgents && r.Verb != protocol.StatusVerb {
		reply.Denial = lease.NotHolder
		reply.Failure = "its fleet file has another list of agents than the tool's: use the same fleet file for the agent and the tool"
		reply.LeaseState = h.Lease.State(now)
		return reply, changes
	}
	switch r.Verb {
	case protocol.StatusVerb:
		h.reportStatus(now, r, &reply)
	case protocol.RequestLeaseVerb:
		reply.Denial = h.Lease.Acquire(now, r.LeaseRequest)
		reply.Record = h.Lease.Record
		changes.Lease = reply.Denial == lease.Granted
	case protocol.StoreRecordVerb:
		reply.Denial = h.Lease.StoreRecord(now, r.Epoch, r.Holder, r.Record)
		changes.Lease = reply.Denial == lease.Granted
	case protocol.ReleaseLeaseVerb:
		reply.Denial = h.Lease.Release(now, r.Epoch, r.Holder)
		changes.Lease = reply.Denial == lease.Granted
	case protocol.RequestActionVerb:
		h.OperatorRequest = r.OperatorRequest
		changes.OperatorRequest = true
	case protocol.BeginStepVerb:
		reply.Denial = h.Lease.Renew(now, r.Epoch, r.Holder)
		if reply.Denial == lease.Granted {
			reply.Failure = h.beginStep(r.InstanceName, r.Step, &changes)
		}
	default:
		reply.Failure = fmt.Sprintf("the request handler does not answer %s requests", r.Verb)
	}
	reply.LeaseState = h.Lease.State(now)
	return reply, changes
}

// reportStatus fills in the reply to a status request. A request with an epoch also renews the caller's lease.
func (h *RequestHandler) reportStatus(now float64, r protocol.Request, reply *protocol.Reply) {
	byHolder := r.Epoch != 0
	if byHolder {
		reply.Denial = h.Lease.Renew(now, r.Epoch, r.Holder)
	}
	for i := range h.Supervisors {
		reply.Instances = append(reply.Instances, h.instanceStatus(now, i))
	}
	reply.Record = h.Lease.Record
	if byHolder {
		reply.Record.Body = nil // the holder wrote the body and need not get it back
	}
	reply.OperatorRequest = h.OperatorRequest
}

// beginStep begins a step of the named instance. failure is the reason why the step was not begun, or empty.
func (h *RequestHandler) beginStep(name string, step rollout.Step, changes *Changes) (failure string) {
	for i, instance := range h.InstanceNames {
		if instance != name {
			continue
		}
		t, err := h.Supervisors[i].BeginStep(step)
		if t.Store {
			changes.ChangedInstance = i
		}
		changes.Actions = t.Actions
		if err != nil {
			return err.Error()
		}
		return ""
	}
	return fmt.Sprintf("the agent has no instance %s", name)
}

// instanceStatus returns the status of the instance with an index.
func (h *RequestHandler) instanceStatus(now float64, instance int) protocol.InstanceStatus {
	s := &h.Supervisors[instance]
	status := protocol.InstanceStatus{
		Name:           h.InstanceNames[instance],
		Crashes:        s.Crashes(),
		Observation:    s.Observe(now),
		TargetRevision: s.Revision,
	}
	if instance < len(h.ListenAddresses) {
		status.Listen = h.ListenAddresses[instance]
	}
	if s.stepPending() {
		status.TargetRevision = s.Step.Revision
	}
	return status
}
