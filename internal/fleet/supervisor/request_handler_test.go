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
	e := newServing(t)
	h := &RequestHandler{Agent: "a1", AgentsDigest: "list", Lease: lease.Lease{TermSeconds: 10}, InstanceNames: []string{"n1"}, Supervisors: []Supervisor{e.supervisor}}
	now := e.now
	call := func(c protocol.Request) (protocol.Reply, Changes) { return h.Handle(now, c) }
	r, s := call(protocol.Request{Verb: protocol.RequestLeaseVerb, AgentsDigest: "other", LeaseRequest: lease.Request{Epoch: 1, Holder: "h"}})
	assert.NotEqual(t, lease.Granted, r.Denial)
	assert.Contains(t, r.Failure, "another list of agents")
	assert.False(t, s.Lease)
	r, s = call(protocol.Request{Verb: protocol.RequestLeaseVerb, AgentsDigest: "list", LeaseRequest: lease.Request{Epoch: 1, Holder: "h"}})
	assert.Equal(t, lease.Granted, r.Denial)
	assert.True(t, s.Lease)
	step := rollout.Step{RolloutID: "r", Number: 1, Revision: "b"}
	r, s = call(protocol.Request{Verb: protocol.BeginStepVerb, Epoch: 1, Holder: "x", InstanceName: "n1", Step: step})
	assert.Equal(t, lease.NotHolder, r.Denial)
	assert.Equal(t, -1, s.ChangedInstance)
	r, _ = call(protocol.Request{Verb: protocol.BeginStepVerb, Epoch: 1, Holder: "h", InstanceName: "n9", Step: step})
	assert.Contains(t, r.Failure, "no instance n9")
	_, s = call(protocol.Request{Verb: protocol.BeginStepVerb, Epoch: 1, Holder: "h", InstanceName: "n1", Step: step})
	assert.Equal(t, 0, s.ChangedInstance)
	assert.Equal(t, ActionPrepareRevision, s.Actions[0].Kind)
	_, s = call(protocol.Request{Verb: protocol.RequestActionVerb, OperatorRequest: protocol.OperatorRequest{RolloutID: "r", Action: rollout.RequestPause}})
	assert.True(t, s.OperatorRequest)
	r, _ = call(protocol.Request{Verb: protocol.StatusVerb, Epoch: 1, Holder: "h"})
	assert.Equal(t, rollout.RequestPause, r.OperatorRequest.Action)
	require.Len(t, r.Instances, 1)
	assert.Equal(t, "b", r.Instances[0].TargetRevision)
	assert.Equal(t, "a", r.Instances[0].Revision)
	now += 20
	r, _ = call(protocol.Request{Verb: protocol.BeginStepVerb, Epoch: 1, Holder: "h", InstanceName: "n1", Step: step})
	assert.Equal(t, lease.Expired, r.Denial)
	r, _ = call(protocol.Request{Verb: protocol.PutRevisionVerb})
	assert.NotEmpty(t, r.Failure)
}
