package supervisor

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

func TestRequestHandlerAnswersEachVerb(t *testing.T) {
	env := newServing(t)
	handler := &RequestHandler{Agent: "a1", AgentsDigest: "list", Lease: lease.Lease{TermSeconds: 10}, InstanceNames: []string{"n1"}, Supervisors: []Supervisor{env.supervisor}}
	now := env.now
	call := func(request protocol.Request) (protocol.Reply, Changes) { return handler.Handle(now, request) }
	reply, changes := call(protocol.Request{Verb: protocol.RequestLeaseVerb, AgentsDigest: "other", LeaseRequest: lease.Request{Epoch: 1, Holder: "h"}})
	assert.NotEqual(t, lease.Granted, reply.Denial)
	assert.Contains(t, reply.Failure, "another list of agents")
	assert.False(t, changes.Lease)
	reply, changes = call(protocol.Request{Verb: protocol.RequestLeaseVerb, AgentsDigest: "list", LeaseRequest: lease.Request{Epoch: 1, Holder: "h"}})
	assert.Equal(t, lease.Granted, reply.Denial)
	assert.True(t, changes.Lease)
	step := rollout.Step{RolloutID: "r", Number: 1, Revision: "b"}
	reply, changes = call(protocol.Request{Verb: protocol.BeginStepVerb, Epoch: 1, Holder: "x", InstanceName: "n1", Step: step})
	assert.Equal(t, lease.NotHolder, reply.Denial)
	assert.Equal(t, -1, changes.ChangedInstance)
	reply, _ = call(protocol.Request{Verb: protocol.BeginStepVerb, Epoch: 1, Holder: "h", InstanceName: "n9", Step: step})
	assert.Contains(t, reply.Failure, "no instance n9")
	_, changes = call(protocol.Request{Verb: protocol.BeginStepVerb, Epoch: 1, Holder: "h", InstanceName: "n1", Step: step})
	assert.Equal(t, 0, changes.ChangedInstance)
	assert.Equal(t, ActionPrepareRevision, changes.Actions[0].Kind)
	_, changes = call(protocol.Request{Verb: protocol.RequestActionVerb, OperatorRequest: protocol.OperatorRequest{RolloutID: "r", Action: rollout.RequestPause}})
	assert.True(t, changes.OperatorRequest)
	reply, _ = call(protocol.Request{Verb: protocol.StatusVerb, Epoch: 1, Holder: "h"})
	assert.Equal(t, rollout.RequestPause, reply.OperatorRequest.Action)
	require.Len(t, reply.Instances, 1)
	assert.Equal(t, "b", reply.Instances[0].TargetRevision)
	assert.Equal(t, "a", reply.Instances[0].Revision)
	now += 20
	reply, _ = call(protocol.Request{Verb: protocol.BeginStepVerb, Epoch: 1, Holder: "h", InstanceName: "n1", Step: step})
	assert.Equal(t, lease.Expired, reply.Denial)
	reply, _ = call(protocol.Request{Verb: protocol.PutRevisionVerb})
	assert.NotEmpty(t, reply.Failure)
}
