package agent

import (
	"context"
	"errors"
	"slices"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/store"
	"stoatdale.example/stoatdale/internal/fleet/supervisor"
)

// Handle answers an operator's request. It implements api.Handler and may be called from any goroutine while Run runs. It
// returns an error if ctx ends before the reply is ready.
func (a *Agent) Handle(ctx context.Context, operator string, request protocol.Request) (protocol.Reply, error) {
	replies := make(chan protocol.Reply, 1)
	handle := func(runContext context.Context) { replies <- a.handleRequest(runContext, operator, request) }
	select {
	case a.events <- handle:
	case <-ctx.Done():
		return protocol.Reply{}, ctx.Err()
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return protocol.Reply{}, ctx.Err()
	}
}

// handleRequest answers a request in the goroutine of Run.
func (a *Agent) handleRequest(ctx context.Context, operator string, request protocol.Request) protocol.Reply {
	reply := protocol.Reply{Agent: a.handler.Agent, Program: a.handler.Program}
	switch request.Verb {
	case protocol.PutRevisionVerb:
		reply.Failure = errorText(a.putRevision(operator, request.Revision))
	case protocol.GetRevisionVerb:
		rev, found, err := a.store.Revision(request.Revision.Digest)
		if err == nil && found {
			reply.Revisions = []protocol.Revision{rev}
		}
		reply.Failure = errorText(err)
	case protocol.HistoryVerb:
		var revisionsErr, rolloutsErr error
		reply.Revisions, revisionsErr = a.store.Revisions()
		reply.Rollouts, rolloutsErr = a.store.Rollouts()
		reply.Failure = errorText(errors.Join(revisionsErr, rolloutsErr))
	default:
		return a.handleDecision(ctx, operator, request)
	}
	return reply
}

// handleDecision answers a request that package supervisor decides on. It stores the changes before it replies. If storing
// fails, it restores the state from before the request and denies the request.
func (a *Agent) handleDecision(ctx context.Context, operator string, request protocol.Request) protocol.Reply {
	request.OperatorRequest.Operator = operator
	before := a.handler
	before.Supervisors = slices.Clone(a.handler.Supervisors)
	reply, changes := a.handler.Handle(a.now(), request)
	if change, dirty := a.storeChange(request, changes); dirty {
		if err := a.store.Save(change); err != nil {
			a.handler = before
			a.log.Error().Err(err).Str("verb", string(request.Verb)).Msg("state not stored: request denied")
			return protocol.Reply{
				Agent: reply.Agent, Program: reply.Program, Denial: lease.NotHolder, Failure: err.Error(),
				LeaseState: a.handler.Lease.State(a.now()),
			}
		}
	}
	a.logRequest(operator, request, reply)
	for i := range reply.Instances {
		if process := a.routers[i].process; process != nil {
			reply.Instances[i].ProcessID = process.pid
		}
	}
	if changes.ChangedInstance >= 0 {
		r := &a.routers[changes.ChangedInstance]
		r.logStep()
		r.carryOut(ctx, supervisor.Transition{Actions: changes.Actions})
	}
	return reply
}

// storeChange returns the parts of the state that a request has changed. dirty reports whether there are any to store.
func (a *Agent) storeChange(request protocol.Request, changes supervisor.Changes) (change store.Change, dirty bool) {
	if changes.Lease {
		lease := a.handler.Lease.PersistentState
		change.Lease = &lease
	}
	if changes.Lease && request.Verb == protocol.StoreRecordVerb {
		// This agent may be unable to decode a record of a later version. It stores that record with the lease, but does not
		// add it to the history.
		var rollout protocol.Rollout
		if err := protocol.Decode("record", request.Record.Body, &rollout); err == nil && rollout.ID != "" {
			change.Rollout = &rollout
		}
	}
	if changes.OperatorRequest {
		change.OperatorRequest = &a.handler.OperatorRequest
	}
	if i := changes.ChangedInstance; i >= 0 {
		change.Instances = map[string]supervisor.Record{a.handler.InstanceNames[i]: a.handler.Supervisors[i].Record}
	}
	return change, changes.Lease || changes.OperatorRequest || changes.ChangedInstance >= 0
}

// logRequest logs a request. It leaves out status requests and granted record requests, which a rollout sends all the time.
func (a *Agent) logRequest(operator string, request protocol.Request, reply protocol.Reply) {
	granted := reply.Denial == lease.Granted
	if request.Verb == protocol.StatusVerb || request.Verb == protocol.StoreRecordVerb && granted {
		return
	}
	epoch := max(request.Epoch, request.LeaseRequest.Epoch)
	a.log.Info().Str("operator", operator).Str("verb", string(request.Verb)).Uint64("epoch", epoch).
		Stringer("says", reply.Denial).Str("failure", reply.Failure).Msg("request")
}

// errorText returns the text of an error for a reply's Failure, or an empty string if err is nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
