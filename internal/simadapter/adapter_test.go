package simadapter

import (
	"bytes"
	"encoding/binary"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/simproto"
)

const settings = `{"balancers": 1, "classes": [{"effect": "pure", "keyScope": "cell", "targetNs": 500000000,
 "deadlineNs": 2000000000, "worth": 1, "memorySpanNs": 2000000000}], "familyInfo": {"tokens": "kept",
 "guards": "none", "tellsPosition": true, "needsByClass": ["eventual"], "classBoundNs": [0], "zeroNs": 0},
 "limits": {"mostTries": 4}, "unheardOf": {"skipped": true}}`

// frame encodes one batch with a clock time in nanoseconds, a record count in its header and records.
func frame(clock uint64, count uint32, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, count)
	return append(binary.LittleEndian.AppendUint64(b, clock), body...)
}

// startRecord returns records that select instance 0 and start it with the settings, a JSON text.
func startRecord(rawSettings string) []byte {
	b := append([]byte{5, 0, 0, 0, 0, 3}, make([]byte, 8)...)
	return append(binary.LittleEndian.AppendUint32(b, uint32(len(rawSettings))), rawSettings...)
}

// listRecords returns records that define an endpoint list of one ready endpoint and pass it to the selected instance as a
// complete list.
func listRecords() []byte {
	b := append([]byte{11, 0, 0, 1, 0, 0, 0, 10, 0, 0, 1, 9, 9}, make([]byte, 22)...)
	b[7+11] = 1
	return append(b, 10, 2, 0, 0, 0, 0, 0, 0)
}

// commandRecord returns the record of a command whose client waits for the answer until the clock time deadline, in
// nanoseconds.
func commandRecord(id byte, deadline uint64) []byte {
	b := append([]byte{9, id, 0, 0, 0}, make([]byte, 14)...)
	b = binary.LittleEndian.AppendUint64(b, deadline)
	return append(b, make([]byte, 17)...)
}

// serve returns the adapter's replies to frames.
func serve(t *testing.T, frames ...[]byte) ([]byte, error) {
	t.Helper()
	var replies bytes.Buffer
	err := Serve(bytes.NewReader(bytes.Join(frames, nil)), &replies)
	return replies.Bytes(), err
}

func TestCommandIsForwarded(t *testing.T) {
	out, err := serve(t,
		frame(1e9, 4, startRecord(settings), listRecords(), nil),
		frame(1e9, 2, []byte{5, 0, 0, 0, 0}, commandRecord(7, 2e9)))
	require.NoError(t, err)
	want := []byte{1, 7, 0, 0, 0, 10, 0, 0, 1, 9, 9}
	assert.True(t, bytes.Contains(out, want), "an attempt at the one endpoint")
}

func TestUnknownAndLateEventsAreAccepted(t *testing.T) {
	attemptEnded := append([]byte{4, 9, 0, 0, 0, 0}, make([]byte, 22)...)
	healthChecked := append([]byte{12}, make([]byte, 17)...)
	_, err := serve(t, frame(1e9, 8, startRecord(settings), listRecords(), attemptEnded, healthChecked, []byte{8, 1, 0, 0, 0}, []byte{7, 5, 0, 0, 0}))
	assert.NoError(t, err)
}

func TestInvalidRecordsAreErrors(t *testing.T) {
	for text, frame := range map[string][]byte{
		"event for unknown instance 4": frame(1, 2, []byte{5, 4, 0, 0, 0}, commandRecord(1, 1)),
		"before any instance":          frame(1, 1, commandRecord(1, 1)),
		"names command group 3 of 1":   frame(1, 3, startRecord(settings), append(append([]byte{9, 1, 0, 0, 0, 3}, make([]byte, 37)...), 0)),
		"never defined":                frame(1, 3, startRecord(settings), []byte{10, 1, 0, 0, 0, 0, 3, 0}),
		"unknown list mode":            frame(1, 3, startRecord(settings), []byte{10, 8, 0, 0, 0, 0, 3, 0}),
		"truncated frame":              frame(1, 1, commandRecord(1, 1))[:20],
	} {
		_, err := serve(t, frame)
		assert.ErrorContains(t, err, text)
	}
}

// changedSettings returns the settings with one text replaced.
func changedSettings(old, replacement string) string {
	return strings.Replace(settings, old, replacement, 1)
}

func TestInvalidSettingsAreReportedAsFaults(t *testing.T) {
	for settings, text := range map[string]string{
		"nonsense":                             "settings:",
		"{}":                                   "classes is missing",
		`{"classes":[{"effect":"pure"}]}`:      "needsByClass holds 0 of 1",
		changedSettings("eventual", "psychic"): "needsByClass",
		changedSettings("pure", "odd"):         "effect",
		changedSettings("pure\", \"keyScope\": \"cell", "token\", \"keyScope\": \"odd"): "keyScope",
		changedSettings("kept", "odd"):       "tokens",
		changedSettings("none", "odd"):       "guards",
		changedSettings("targetNs", "notIt"): "targetNs",
	} {
		out, err := serve(t, frame(1, 2, startRecord(settings)))
		require.NoError(t, err)
		assert.Contains(t, string(out), text)
	}
}

func TestRepeatedEndpointsKeepTheirIndex(t *testing.T) {
	h := newHost()
	b, err := simproto.ReadBatch(bytes.NewReader(frame(1e9, 5, startRecord(settings), listRecords(), listRecords()[35:])), nil)
	require.NoError(t, err)
	require.NoError(t, b.Decode(h))
	assert.Equal(t, 1, h.instances[0].addresses.Len())
	_, err = simproto.ReadBatch(bytes.NewReader(nil), nil)
	assert.ErrorIs(t, err, io.EOF)
}
