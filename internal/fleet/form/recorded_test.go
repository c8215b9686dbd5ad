package form

import (
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/plan"
)

// The files under testdata hold one call of each verb and one reply to each as version 1 of the protocol writes
// them. Tools and agents of different releases meet during an upgrade, so these bytes must be read and written
// the same by every later release that speaks version 1. The tests below state every value that the files hold.

func recordedCalls() map[Verb]Call {
	return map[Verb]Call{
		Look: {Verb: Look, Agents: "a1b2c3d4e5f60718", Epoch: 41, Holder: "ayla/host-1/00ff"},
		Bid: {
			Verb: Bid, Agents: "a1b2c3d4e5f60718",
			Bid: claim.Bid{Epoch: 42, Holder: "ayla/host-1/00ff", Takeover: true},
		},
		Keep: {
			Verb: Keep, Agents: "a1b2c3d4e5f60718", Epoch: 43, Holder: "ayla/host-1/00ff",
			Record: claim.Record{Stamp: claim.Stamp{Epoch: 43, Number: 7}, Body: []byte{0x01, 0x02, 0xff}},
		},
		Act: {
			Verb: Act, Agents: "a1b2c3d4e5f60718", Epoch: 44, Holder: "ayla/host-1/00ff", Name: "n1",
			Step: plan.Step{Rollout: "0123456789ab", Number: 8, Instance: 3, Revision: "feedbeef", Back: true, Restart: true, Idle: true},
		},
		Release: {Verb: Release, Agents: "a1b2c3d4e5f60718", Epoch: 45, Holder: "ayla/host-1/00ff"},
		Ask: {
			Verb: Ask, Agents: "a1b2c3d4e5f60718",
			Wish: Wish{Rollout: "0123456789ab", Run: 2, Wish: plan.Rollback, By: "mehmet"},
		},
		Put: {Verb: Put, Revision: Revision{
			Digest: "feedbeef", Name: "bigger pool", By: "ayla", At: 1767323045,
			Content: []byte(`{"discovery":"127.0.0.1:9"}`),
		}},
		Get:     {Verb: Get, Revision: Revision{Digest: "feedbeef"}},
		History: {Verb: History},
	}
}

func recordedRollout(id string, state plan.State) Rollout {
	return Rollout{
		Rollout: plan.Rollout{
			ID: id, Revision: "feedbeef", Restart: true, Back: true, State: state,
			Why:   plan.Reason{Kind: plan.HallFloor, Instance: 2, Hall: 1, Have: 3, Need: 4, Detail: "detail of why"},
			Cause: plan.Reason{Kind: plan.StepFailed, Instance: 5, Hall: 6, Have: 7, Need: 8, Detail: "detail of cause"},
			Out:   []int{1, 4},
			Step: plan.Step{
				Rollout: id, Number: 9, Instance: 2, Revision: "0ddba11", Back: true, Restart: true,
				Idle: true,
			},
			Was: plan.Tally{Ended: 1000, Unanswered: 10}, Steps: 9, Undone: 2,
		},
		Run: 3, Name: "bigger pool", By: "ayla", Began: 1767323046, Asked: "mehmet", Fleet: "1122334455667788",
	}
}

func recordedReplies() map[Verb]Reply {
	return map[Verb]Reply{
		Look: {
			Agent: "a1", Program: "stoatctl 1",
			Standing: claim.Standing{Epoch: 41, Holder: "ayla/host-1/00ff", Held: true, Since: 12.5, Left: 2.25},
			Record:   claim.Record{Stamp: claim.Stamp{Epoch: 41, Number: 6}, Body: []byte{0xa0}},
			Wish:     Wish{Rollout: "0123456789ab", Run: 2, Wish: plan.Pause, By: "mehmet"},
			Instances: []Told{
				{
					Name: "n1", Age: 0.5, Listen: "127.0.0.1:5432", Process: 4711, Crashes: 2, Wants: "feedbeef",
					Sight: plan.Sight{
						Seen: 17.5, Life: plan.Draining, Revision: "0ddba11",
						Last: plan.Step{Rollout: "0123456789ab", Number: 8, Instance: 3, Revision: "feedbeef", Back: true, Restart: true, Idle: true},
						End:  plan.Failed, Why: "it ended with status 3", Before: "0ddba11",
						Recent: plan.Tally{Ended: 500, Unanswered: 5}, Since: plan.Tally{Ended: 70, Unanswered: 6}, ReadyFor: 3.75,
					},
				},
				{Name: "n2", Sight: plan.Sight{Seen: math.Inf(-1)}},
			},
		},
		Bid: {
			Agent: "a1", Program: "stoatctl 1", Refusal: claim.HeldByOther,
			Standing: claim.Standing{Epoch: 41, Holder: "mehmet/host-2/11ee", Held: true, Since: 1, Left: 14},
		},
		Keep: {
			Agent: "a1", Program: "stoatctl 1", Refusal: claim.OldRecord,
			Standing: claim.Standing{Epoch: 43, Holder: "ayla/host-1/00ff", Held: true, Since: 2, Left: 13},
		},
		Act: {
			Agent: "a1", Program: "stoatctl 1", Fault: "there is no instance n1 here",
			Standing: claim.Standing{Epoch: 44, Holder: "ayla/host-1/00ff", Held: true, Since: 3, Left: 15},
		},
		Release: {
			Agent: "a1", Program: "stoatctl 1", Refusal: claim.LowerEpoch,
			Standing: claim.Standing{Epoch: 46, Holder: "mehmet/host-2/11ee", Since: 4},
		},
		Ask: {
			Agent: "a1", Program: "stoatctl 1",
			Refusal: claim.NotHolder, Fault: "it goes by another list of agents: bring the fleet file of the agent and the tool together",
		},
		Put: {Agent: "a1", Program: "stoatctl 1", Fault: "instance n1: discovery: not an address"},
		Get: {Agent: "a1", Program: "stoatctl 1", Revisions: []Revision{{
			Digest: "feedbeef", Name: "bigger pool", By: "ayla", At: 1767323045, Content: []byte(`{"discovery":"127.0.0.1:9"}`),
		}}},
		History: {
			Agent: "a1", Program: "stoatctl 1", Refusal: claim.RanOut,
			Revisions: []Revision{{Digest: "feedbeef", Name: "bigger pool", By: "ayla", At: 1767323045}, {Digest: "0ddba11", At: 1767323044}},
			Rollouts: []Rollout{
				recordedRollout("r-none", plan.None), recordedRollout("r-running", plan.Running),
				recordedRollout("r-paused", plan.Paused), recordedRollout("r-complete", plan.Complete),
				recordedRollout("r-rolled-back", plan.RolledBack), recordedRollout("r-aborted", plan.Aborted),
			},
		},
	}
}

func recorded(t *testing.T, folder string, v Verb) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", folder, string(v)+".cbor"))
	require.NoError(t, err)
	return raw
}

func TestRecordedCallsAreReadAndWrittenTheSame(t *testing.T) {
	calls := recordedCalls()
	assert.Len(t, calls, len(known), "a call of each verb")
	for v, want := range calls {
		raw := recorded(t, "calls", v)
		got, err := DecodeCall(raw)
		require.NoError(t, err, v)
		assert.Equal(t, want, got, v)
		assert.Equal(t, raw, Encode(want), "%s: written as recorded", v)
	}
}

func TestRecordedRepliesAreReadAndWrittenTheSame(t *testing.T) {
	replies := recordedReplies()
	assert.Len(t, replies, len(known), "a reply to each verb")
	for v, want := range replies {
		raw := recorded(t, "replies", v)
		var got Reply
		require.NoError(t, Decode("reply", raw, &got), v)
		assert.Equal(t, want, got, v)
		assert.Equal(t, raw, Encode(want), "%s: written as recorded", v)
	}
}
