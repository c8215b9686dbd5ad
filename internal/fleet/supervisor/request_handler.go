package supervisor

import (
	"fmt"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// RequestHandler answers the operators' tools for one agent: about its lease and its record, the operator's request
// that was left with it, and its instances. Instances are referred to by their index.
type RequestHandler struct {
	Agent           string // name
	Program         string // that answers, with its version
	AgentsDigest    string // of the list of agents that this one goes by
	Lease           lease.Lease
	OperatorRequest protocol.OperatorRequest // the newest that was left
	InstanceNames   []string
	Supervisors     []Supervisor
	ListenAddresses []string // of the instances, for people; may be shorter
}

// noInstance is Changes.ChangedInstance if no instance has changed.
const noInstance = -1

// Changes tells what a request has changed, which must be stored before its reply is sent, and what to do then. If it
// cannot be stored, the request has not happened: the caller goes back to a copy of the handler.
type Changes struct {
	Lease           bool     // RequestHandler.Lease has changed
	OperatorRequest bool     // RequestHandler.OperatorRequest has changed
	ChangedInstance int      // the instance whose record has changed, or -1
	Actions         []Action // of ChangedInstance's supervisor
}

// Handle answers a request. Requests about revisions and the history are answered by the agent itself.
func (h *RequestHandler) Handle(now float64, r protocol.Request) (protocol.Reply, Changes) {
	reply := protocol.Reply{Agent: h.Agent, Program: h.Program}
	changes := Changes{ChangedInstance: noInstance}
	otherList := r.AgentsDigest != "" && r.AgentsDigest != h.AgentsDigest
	if otherList && r.Verb != protocol.StatusVerb {
		reply.Denial = lease.NotHolder
		reply.Failure = "it goes by another list of agents: bring the fleet file of the agent and the tool together"
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
		reply.Failure = fmt.Sprintf("%s is not answered here", r.Verb)
	}
	reply.LeaseState = h.Lease.State(now)
	return reply, changes
}

// reportStatus fills in the reply to a status request. One with an epoch also renews the caller's lease.
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
		reply.Record.Body = nil // the holder wrote it
	}
	reply.OperatorRequest = h.OperatorRequest
}

// beginStep begins a step and returns why it was not begun, if so.
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
	return fmt.Sprintf("there is no instance %s here", name)
}

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
