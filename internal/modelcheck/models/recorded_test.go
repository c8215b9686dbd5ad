package models

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/modelcheck"
	"stoatdale.example/stoatdale/internal/sexp"
)

// testdata/stopped.cbor, testdata/stopped-member.cbor and testdata/trace.json were written by stoatctl explore run. Operators keep such files across
// releases, so every later release must read all their values and write the same bytes.

func recordedStopped() Stopped {
	return Stopped{
		System: "watch",
		Bounds: Bounds{
			System: "watch", Depth: 30, States: 24, Ticks: 1, Faults: 1,
			Place: sexp.Position{File: "small2.sexp", Line: 1, Column: 1},
		},
		Saved: modelcheck.Saved{
			Parents: []int32{-1, 0, 0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 2, 3, 3, 4, 5, 5, 5, 5, 6, 6, 6},
			By:      []int32{-1, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 2, 3, 3, 10, 3, 2, 11, 9, 2, 3, 11, 12, 3},
			Prints: []uint64{
				0x5c388eef63655598, 0x23cb895998957ddd, 0x8c976720aeba473, 0xeb06170c6b12d7c3, 0x8c5010bfbccfc2e2,
				0xf4f4614631810670, 0x8900a3c942e5f051, 0x9c2f695592b3cb71, 0x359c944a4616b483, 0xfc216da8a9926e9,
				0x1cc3514493212810, 0x1ad425669f991cd1, 0x5dd5610a6bbf0c7c, 0xc0f5a1d2a7b811c8, 0xcc64b6b01f889d5a,
				0xb2f3b0e4fc01ee40, 0x16ad5bc01dc8cbd1, 0xa992143dd3db5dee, 0x8ffc924c73a697e8, 0xd5e9780ad2fac6df,
				0x12788477aea25f64, 0x58bac15c2b331da8, 0xb92d840dda589802, 0x45b4bde099516d62,
			},
			Ended: []bool{
				false, false, false, false, false, false, false, false, false, false, false, false,
				false, false, false, false, false, true, false, false, false, false, false, false,
			},
			Names: []string{
				"up 0", "refuse 0", "move", "tick", "answer 0", "half 0", "sick 0", "spoil 0", "old 0", "end 0", "up 1",
				"see 0", "rest 0",
			},
			Expanded: []bool{
				true, true, true, true, true, true, true, false, false, false, false, false,
				false, false, false, false, false, false, false, false, false, false, false, false,
			},
			Steps: 23,
		},
	}
}

func TestRecordedExplorationIsRead(t *testing.T) {
	file := filepath.Join("testdata", "stopped.cbor")
	s, err := LoadStopped(file)
	require.NoError(t, err)
	assert.Equal(t, recordedStopped(), s)
	again := filepath.Join(t.TempDir(), "stopped.cbor")
	require.NoError(t, s.Save(again))
	assertSameBytes(t, file, again)
}

// The file was written by the release before the watch of the endpoint list changed, of a system that has not changed since: an
// exploration can only be resumed on code that takes the same steps.
func TestRecordedExplorationIsReadAndResumed(t *testing.T) {
	file := filepath.Join("testdata", "stopped-member.cbor")
	s, err := LoadStopped(file)
	require.NoError(t, err)
	again := filepath.Join(t.TempDir(), "stopped.cbor")
	require.NoError(t, s.Save(again))
	assertSameBytes(t, file, again)

	k, err := FindKind(s.System)
	require.NoError(t, err)
	s.Bounds.States = 0
	r, saved := modelcheck.Resume(context.Background(), k.New(s.Bounds, s.Fault), s.Bounds.ExplorerBounds(0), &s.Saved, nil)
	assert.Nil(t, saved)
	assert.True(t, r.Complete, r.StopReason)
	assert.Nil(t, r.Counterexample)
	whole := modelcheck.Run(context.Background(), k.New(s.Bounds, s.Fault), s.Bounds.ExplorerBounds(0), nil)
	// Fingerprints cover the fields of the code. If those have changed since the file was written, states of the file are not
	// recognized and are explored again, so there may be more states than in a complete exploration, but none may be missing.
	assert.GreaterOrEqual(t, r.States, whole.States)
	assert.Equal(t, whole.Depth, r.Depth)
}

func TestRecordedTraceIsReadAndReplayed(t *testing.T) {
	file := filepath.Join("testdata", "trace.json")
	got, err := LoadTrace(file)
	require.NoError(t, err)
	assert.Equal(t, Trace{
		System: "watch", Fault: "old-bytes",
		Bounds: Bounds{System: "watch", Depth: 30, Ticks: 2, Faults: 1, Place: sexp.Position{File: "trace.sexp", Line: 1, Column: 1}},
		Trace: modelcheck.Trace{
			Steps:    []string{"up 0", "answer 0", "move"},
			Property: "after a move no list of the address before is taken",
			Detail:   "a list from 0 is taken while 1 is watched",
		},
	}, got)
	again := filepath.Join(t.TempDir(), "trace.json")
	require.NoError(t, got.Save(again))
	assertSameBytes(t, file, again)

	taken, property, _ := got.Replay()
	assert.Equal(t, 3, taken)
	assert.Equal(t, invariant.ListFromWatchedAddress, property)
	got.Fault = ""
	_, property, _ = got.Replay()
	assert.Empty(t, property, "without the injected fault, the same steps violate nothing")
}

func assertSameBytes(t *testing.T, recorded, written string) {
	t.Helper()
	want, err := os.ReadFile(recorded)
	require.NoError(t, err)
	got, err := os.ReadFile(written)
	require.NoError(t, err)
	assert.Equal(t, want, got, "the written file differs from the recorded one")
}
