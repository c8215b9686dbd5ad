package protocol_test

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
	"stoatdale.example/stoatdale/internal/fleet/supervisor"
)

var recordEncodings = flag.Bool("record-encodings", false, "write testdata/*.cbor from the values of this test")

// TestStoredRecordsKeepTheirNames guards the field names under which agents store and send the records of packages lease,
// rollout and supervisor. Each value must encode to the bytes that the program wrote before its fields had tags, and these
// bytes must decode to the value.
func TestStoredRecordsKeepTheirNames(t *testing.T) {
	step := rollout.Step{RolloutID: "r", Number: 7, Instance: 3, Revision: "b", Rollback: true, Restart: true, OnlyIfNotServing: true}
	reason := rollout.Reason{Kind: rollout.ReasonZoneMinimum, Instance: 3, Zone: 2, Have: 4, Need: 5, Detail: "detail"}
	record := lease.Record{Version: lease.Version{Epoch: 4, Number: 9}, Body: []byte("body")}
	checkFieldNames(t, "bid", lease.Request{Epoch: 4, Holder: "ayla/host", Takeover: true})
	checkFieldNames(t, "record", record)
	checkFieldNames(t, "standing", lease.State{Epoch: 4, Holder: "ayla/host", Held: true, HeldSeconds: 1.5, RemainingSeconds: 2.5})
	checkFieldNames(t, "durable", lease.PersistentState{Epoch: 4, Holder: "ayla/host", Held: true, Record: record})
	checkFieldNames(t, "step", step)
	checkFieldNames(t, "tally", rollout.CommandCounts{Completed: 90, Unanswered: 4})
	checkFieldNames(t, "reason", reason)
	checkFieldNames(t, "sight", rollout.Observation{
		SeenAt: 1.5, State: rollout.ProcessReady, Revision: "b", LastStep: step, LastResult: rollout.StepFailed, LastFailure: "why", PreviousRevision: "a",
		RecentCommands: rollout.CommandCounts{Completed: 90, Unanswered: 4}, CommandsSinceStep: rollout.CommandCounts{Completed: 80, Unanswered: 3}, ReadySeconds: 2.5,
	})
	checkFieldNames(t, "rollout", rollout.Rollout{
		ID: "r", Revision: "b", Restart: true, RollingBack: true, State: rollout.Paused, Reason: reason, RollbackCause: reason,
		ExcludedInstances: []int{1, 4}, CurrentStep: step, CommandsBeforeStep: rollout.CommandCounts{Completed: 70, Unanswered: 2}, StepsBegun: 7, StepsNotApplied: 2,
	})
	checkFieldNames(t, "instance", supervisor.Record{
		ShouldRun: true, Revision: "b", Incarnation: 11, Step: step, Result: rollout.StepNotApplied, Failure: "why", PreviousRevision: "a",
		MayHaveChanged: true, Reload: true, Replaced: true, DrainSeconds: 3.5,
	})
}

// checkFieldNames checks that value has no zero field and that it encodes to the bytes in testdata, which
// must decode to the same value.
func checkFieldNames[T any](t *testing.T, name string, value T) {
	t.Helper()
	fields := reflect.ValueOf(value)
	for i := range fields.NumField() {
		assert.False(t, fields.Field(i).IsZero(), "%s: field %s has no value", name, fields.Type().Field(i).Name)
	}
	path := filepath.Join("testdata", name+".cbor")
	if *recordEncodings {
		require.NoError(t, os.WriteFile(path, protocol.Encode(value), 0o600))
	}
	recorded, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, recorded, protocol.Encode(value), name)
	var decoded T
	require.NoError(t, protocol.Decode(name, recorded, &decoded))
	assert.Equal(t, value, decoded, name)
}
