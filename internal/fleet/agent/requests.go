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

// Handle handles a request of an operator. It implements api.Handler, and may be called from any goroutine while Run
// runs; it fails if ctx ends before the reply is there.
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

// handleDecision handles a request that package supervisor decides on. What it changes is stored before the reply; if that
// fails the request has not happened and is denied.
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

// storeChange is what a request has changed that must be stored, and whether there is any.
func (a *Agent) storeChange(request protocol.Request, changes supervisor.Changes) (change store.Change, dirty bool) {
	if changes.Lease {
		lease := a.handler.Lease.PersistentState
		change.Lease = &lease
	}
	if changes.Lease && request.Verb == protocol.StoreRecordVerb {
		// A record of a later version may not be readable here. It is stored all the same, but not in the history.
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

// logRequest logs a request, but for those that a rollout makes all the time.
func (a *Agent) logRequest(operator string, request protocol.Request, reply protocol.Reply) {
	granted := reply.Denial == lease.Granted
	if request.Verb == protocol.StatusVerb || request.Verb == protocol.StoreRecordVerb && granted {
		return
	}
	epoch := max(request.Epoch, request.LeaseRequest.Epoch)
	a.log.Info().Str("operator", operator).Str("verb", string(request.Verb)).Uint64("epoch", epoch).
		Stringer("says", reply.Denial).Str("failure", reply.Failure).Msg("request")
}

// errorText is a reply's Failure for an error: empty for none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
