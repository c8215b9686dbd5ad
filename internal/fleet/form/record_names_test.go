package form_test

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/tend"
)

var recordEncodings = flag.Bool("record-encodings", false, "write testdata/*.cbor from the values of this test")

// TestStoredRecordsKeepTheirNames holds the names under which agents store and send the records of packages
// claim, plan and tend: each value must encode to the bytes that the program wrote before its fields had tags,
// and those bytes must be read back as the value.
func TestStoredRecordsKeepTheirNames(t *testing.T) {
	step := plan.Step{Rollout: "r", Number: 7, Instance: 3, Revision: "b", Back: true, Restart: true, Idle: true}
	reason := plan.Reason{Kind: plan.HallFloor, Instance: 3, Hall: 2, Have: 4, Need: 5, Detail: "detail"}
	record := claim.Record{Stamp: claim.Stamp{Epoch: 4, Number: 9}, Body: []byte("body")}
	holdsNames(t, "bid", claim.Bid{Epoch: 4, Holder: "ayla/host", Takeover: true})
	holdsNames(t, "record", record)
	holdsNames(t, "standing", claim.Standing{Epoch: 4, Holder: "ayla/host", Held: true, Since: 1.5, Left: 2.5})
	holdsNames(t, "durable", claim.Durable{Epoch: 4, Holder: "ayla/host", Held: true, Record: record})
	holdsNames(t, "step", step)
	holdsNames(t, "tally", plan.Tally{Ended: 90, Unanswered: 4})
	holdsNames(t, "reason", reason)
	holdsNames(t, "sight", plan.Sight{
		Seen: 1.5, Life: plan.Ready, Revision: "b", Last: step, End: plan.Failed, Why: "why", Before: "a",
		Recent: plan.Tally{Ended: 90, Unanswered: 4}, Since: plan.Tally{Ended: 80, Unanswered: 3}, ReadyFor: 2.5,
	})
	holdsNames(t, "rollout", plan.Rollout{
		ID: "r", Revision: "b", Restart: true, Back: true, State: plan.Paused, Why: reason, Cause: reason,
		Out: []int{1, 4}, Step: step, Was: plan.Tally{Ended: 70, Unanswered: 2}, Steps: 7, Undone: 2,
	})
	holdsNames(t, "instance", tend.Record{
		Up: true, Revision: "b", Mark: 11, Step: step, End: plan.Undone, Why: "why", Before: "a",
		Acted: true, Reload: true, Replaced: true, Drain: 3.5,
	})
}

func holdsNames[T any](t *testing.T, name string, value T) {
	t.Helper()
	fields := reflect.ValueOf(value)
	for i := range fields.NumField() {
		assert.False(t, fields.Field(i).IsZero(), "%s: field %s is not filled", name, fields.Type().Field(i).Name)
	}
	path := filepath.Join("testdata", name+".cbor")
	if *recordEncodings {
		require.NoError(t, os.WriteFile(path, form.Encode(value), 0o600))
	}
	recorded, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, recorded, form.Encode(value), name)
	var back T
	require.NoError(t, form.Decode(name, recorded, &back))
	assert.Equal(t, value, back, name)
}
