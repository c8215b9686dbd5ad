package protocol

import (
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// The files under testdata hold one request (call) of each verb and its reply, as version 1 of the protocol encodes them.
// During an upgrade, tools and agents of different releases talk to each other. Every later release that speaks version 1
// must therefore decode these bytes and encode the same ones. The functions below state every value in the files.

func recordedCalls() map[Verb]Request {
	return map[Verb]Request{
		StatusVerb: {Verb: StatusVerb, AgentsDigest: "a1b2c3d4e5f60718", Epoch: 41, Holder: "ayla/host-1/00ff"},
		RequestLeaseVerb: {
			Verb: RequestLeaseVerb, AgentsDigest: "a1b2c3d4e5f60718",
			LeaseRequest: lease.Request{Epoch: 42, Holder: "ayla/host-1/00ff", Takeover: true},
		},
		StoreRecordVerb: {
			Verb: StoreRecordVerb, AgentsDigest: "a1b2c3d4e5f60718", Epoch: 43, Holder: "ayla/host-1/00ff",
			Record: lease.Record{Version: lease.Version{Epoch: 43, Number: 7}, Body: []byte{0x01, 0x02, 0xff}},
		},
		BeginStepVerb: {
			Verb: BeginStepVerb, AgentsDigest: "a1b2c3d4e5f60718", Epoch: 44, Holder: "ayla/host-1/00ff", InstanceName: "n1",
			Step: rollout.Step{RolloutID: "0123456789ab", Number: 8, Instance: 3, Revision: "feedbeef", Rollback: true, Restart: true, OnlyIfNotServing: true},
		},
		ReleaseLeaseVerb: {Verb: ReleaseLeaseVerb, AgentsDigest: "a1b2c3d4e5f60718", Epoch: 45, Holder: "ayla/host-1/00ff"},
		RequestActionVerb: {
			Verb: RequestActionVerb, AgentsDigest: "a1b2c3d4e5f60718",
			OperatorRequest: OperatorRequest{RolloutID: "0123456789ab", Run: 2, Action: rollout.RequestRollback, Operator: "mehmet"},
		},
		PutRevisionVerb: {Verb: PutRevisionVerb, Revision: Revision{
			Digest: "feedbeef", Name: "bigger pool", PushedBy: "ayla", PushedAt: 1767323045,
			Content: []byte(`{"discovery":"127.0.0.1:9"}`),
		}},
		GetRevisionVerb: {Verb: GetRevisionVerb, Revision: Revision{Digest: "feedbeef"}},
		HistoryVerb:     {Verb: HistoryVerb},
	}
}

func recordedRollout(id string, state rollout.State) Rollout {
	return Rollout{
		Rollout: rollout.Rollout{
			ID: id, Revision: "feedbeef", Restart: true, RollingBack: true, State: state,
			Reason:            rollout.Reason{Kind: rollout.ReasonZoneMinimum, Instance: 2, Zone: 1, Have: 3, Need: 4, Detail: "detail of why"},
			RollbackCause:     rollout.Reason{Kind: rollout.ReasonStepFailed, Instance: 5, Zone: 6, Have: 7, Need: 8, Detail: "detail of cause"},
			ExcludedInstances: []int{1, 4},
			CurrentStep: rollout.Step{
				RolloutID: id, Number: 9, Instance: 2, Revision: "0ddba11", Rollback: true, Restart: true,
				OnlyIfNotServing: true,
			},
			CommandsBeforeStep: rollout.CommandCounts{Completed: 1000, Unanswered: 10}, StepsBegun: 9, StepsNotApplied: 2,
		},
		Run: 3, RevisionName: "bigger pool", StartedBy: "ayla", StartedAt: 1767323046, RequestedBy: "mehmet", InstancesDigest: "1122334455667788",
	}
}

func recordedReplies() map[Verb]Reply {
	return map[Verb]Reply{
		StatusVerb: {
			Agent: "a1", Program: "stoatctl 1",
			LeaseState:      lease.State{Epoch: 41, Holder: "ayla/host-1/00ff", Held: true, HeldSeconds: 12.5, RemainingSeconds: 2.25},
			Record:          lease.Record{Version: lease.Version{Epoch: 41, Number: 6}, Body: []byte{0xa0}},
			OperatorRequest: OperatorRequest{RolloutID: "0123456789ab", Run: 2, Action: rollout.RequestPause, Operator: "mehmet"},
			Instances: []InstanceStatus{
				{
					Name: "n1", AgeSeconds: 0.5, Listen: "127.0.0.1:5432", ProcessID: 4711, Crashes: 2, TargetRevision: "feedbeef",
					Observation: rollout.Observation{
						SeenAt: 17.5, State: rollout.ProcessDraining, Revision: "0ddba11",
						LastStep:   rollout.Step{RolloutID: "0123456789ab", Number: 8, Instance: 3, Revision: "feedbeef", Rollback: true, Restart: true, OnlyIfNotServing: true},
						LastResult: rollout.StepFailed, LastFailure: "it ended with status 3", PreviousRevision: "0ddba11",
						RecentCommands: rollout.CommandCounts{Completed: 500, Unanswered: 5}, CommandsSinceStep: rollout.CommandCounts{Completed: 70, Unanswered: 6}, ReadySeconds: 3.75,
					},
				},
				{Name: "n2", Observation: rollout.Observation{SeenAt: math.Inf(-1)}},
			},
		},
		RequestLeaseVerb: {
			Agent: "a1", Program: "stoatctl 1", Denial: lease.HeldByOther,
			LeaseState: lease.State{Epoch: 41, Holder: "mehmet/host-2/11ee", Held: true, HeldSeconds: 1, RemainingSeconds: 14},
		},
		StoreRecordVerb: {
			Agent: "a1", Program: "stoatctl 1", Denial: lease.StaleRecord,
			LeaseState: lease.State{Epoch: 43, Holder: "ayla/host-1/00ff", Held: true, HeldSeconds: 2, RemainingSeconds: 13},
		},
		BeginStepVerb: {
			Agent: "a1", Program: "stoatctl 1", Failure: "there is no instance n1 here",
			LeaseState: lease.State{Epoch: 44, Holder: "ayla/host-1/00ff", Held: true, HeldSeconds: 3, RemainingSeconds: 15},
		},
		ReleaseLeaseVerb: {
			Agent: "a1", Program: "stoatctl 1", Denial: lease.StaleEpoch,
			LeaseState: lease.State{Epoch: 46, Holder: "mehmet/host-2/11ee", HeldSeconds: 4},
		},
		RequestActionVerb: {
			Agent: "a1", Program: "stoatctl 1",
			Denial: lease.NotHolder, Failure: "it goes by another list of agents: bring the fleet file of the agent and the tool together",
		},
		PutRevisionVerb: {Agent: "a1", Program: "stoatctl 1", Failure: "instance n1: discovery: not an address"},
		GetRevisionVerb: {Agent: "a1", Program: "stoatctl 1", Revisions: []Revision{{
			Digest: "feedbeef", Name: "bigger pool", PushedBy: "ayla", PushedAt: 1767323045, Content: []byte(`{"discovery":"127.0.0.1:9"}`),
		}}},
		HistoryVerb: {
			Agent: "a1", Program: "stoatctl 1", Denial: lease.Expired,
			Revisions: []Revision{{Digest: "feedbeef", Name: "bigger pool", PushedBy: "ayla", PushedAt: 1767323045}, {Digest: "0ddba11", PushedAt: 1767323044}},
			Rollouts: []Rollout{
				recordedRollout("r-none", rollout.None), recordedRollout("r-running", rollout.Running),
				recordedRollout("r-paused", rollout.Paused), recordedRollout("r-complete", rollout.Complete),
				recordedRollout("r-rolled-back", rollout.RolledBack), recordedRollout("r-aborted", rollout.Aborted),
			},
		},
	}
}

// recorded returns the recorded bytes of a verb's request (folder "calls") or reply (folder "replies").
func recorded(t *testing.T, folder string, verb Verb) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", folder, string(verb)+".cbor"))
	require.NoError(t, err)
	return raw
}

func TestRecordedCallsAreReadAndWrittenTheSame(t *testing.T) {
	calls := recordedCalls()
	assert.Len(t, calls, len(knownVerbs), "one call of each verb")
	for verb, want := range calls {
		raw := recorded(t, "calls", verb)
		got, err := DecodeRequest(raw)
		require.NoError(t, err, verb)
		assert.Equal(t, want, got, verb)
		assert.Equal(t, raw, Encode(want), "%s: written as recorded", verb)
	}
}

func TestRecordedRepliesAreReadAndWrittenTheSame(t *testing.T) {
	replies := recordedReplies()
	assert.Len(t, replies, len(knownVerbs), "one reply to each verb")
	for verb, want := range replies {
		raw := recorded(t, "replies", verb)
		var got Reply
		require.NoError(t, Decode("reply", raw, &got), verb)
		assert.Equal(t, want, got, verb)
		assert.Equal(t, raw, Encode(want), "%s: written as recorded", verb)
	}
}
