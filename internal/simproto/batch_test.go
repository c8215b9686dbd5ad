package simproto

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// recordingHandler stores the records of a batch. Methods that no test needs panic.
type recordingHandler struct {
	Handler
	commands []Command
	ended    []AttemptEnded
}

func (h *recordingHandler) SelectInstance(uint32) error { return nil }

func (h *recordingHandler) Command(command Command) error {
	h.commands = append(h.commands, command)
	return nil
}

func (h *recordingHandler) AttemptEnded(ended AttemptEnded) error {
	h.ended = append(h.ended, ended)
	return nil
}

// frame encodes a batch with a record count in its header and a body.
func frame(count uint32, body ...byte) []byte {
	const clock = 99
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, count)
	return append(binary.LittleEndian.AppendUint64(b, clock), body...)
}

func TestRecordsAreDecoded(t *testing.T) {
	body := []byte{5, 3, 0, 0, 0} // instance 3 is selected
	// a command, which ends with its shard and its session's write age as float32 and with its flags
	body = append(body, 9, 1, 0, 0, 0, 2, 0, 0, 0, 0, 0)
	body = append(body, make([]byte, 24)...)
	body = append(body, 0, 0, 0x30, 0x41, 0, 0x40, 0xce, 0x43, 4)
	// the result of an attempt, with a position and role packed into one number and with a load report of one value
	body = append(body, 4, 7, 0, 0, 0, 1, 10, 0, 0, 1, 9, 9, 8, 0)
	body = append(body, 1, 0, 0, 0, 0, 0, 0, 0, 1, 6, 0, 0, 0, 1, 0, 0, 0x80, 0x3f)
	batch, err := ReadBatch(bytes.NewReader(frame(3, body...)), nil)
	require.NoError(t, err)
	var h recordingHandler
	require.NoError(t, batch.Decode(&h))
	assert.Equal(t, []Command{{ID: 1, Group: 2, Shard: 11, LastWriteAgeMs: 412.5, Flags: 4}}, h.commands)
	assert.Equal(t, []AttemptEnded{{
		Command: 7, Attempt: 1, Address: Address{10, 0, 0, 1, 9, 9}, Result: 8, Elapsed: 1, Final: true,
		PositionMs: 1, Role: 2,
	}}, h.ended)
}

func TestMalformedFramesAreErrorsThatNameThePlace(t *testing.T) {
	for name, c := range map[string]struct {
		frame []byte
		text  string
	}{
		"header":   {[]byte{1, 2, 3}, "truncated frame header"},
		"body":     {frame(1, 5, 0, 0, 0, 0)[:18], "truncated frame body"},
		"huge":     {[]byte{255, 255, 255, 255, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, "truncated frame body"},
		"unknown":  {frame(1, 77), "record 0 (code 77) at byte 16: unknown event"},
		"overrun":  {frame(1, 11, 0, 0, 255, 255, 255, 255), "overruns its frame"},
		"loads":    {frame(1, append([]byte{12}, make([]byte, 16)...)...), "overruns its frame"},
		"trailing": {frame(1, 5, 0, 0, 0, 0, 1), "1 trailing bytes at byte 21"},
		"count":    {frame(2, 5, 0, 0, 0, 0), "record 1 (code 0) at byte 21"},
	} {
		batch, err := ReadBatch(bytes.NewReader(c.frame), nil)
		if err == nil {
			err = batch.Decode(&recordingHandler{})
		}
		assert.ErrorContains(t, err, c.text, name)
	}
}

func TestRecordErrorsCarryTheirCause(t *testing.T) {
	for _, c := range []struct {
		frame []byte
		want  RecordError
	}{
		{frame(1, 0), RecordError{Index: 0, Code: 0, Offset: 16, Err: ErrUnknownRecord}},
		{frame(2, 5, 0, 0, 0, 0, 77), RecordError{Index: 1, Code: 77, Offset: 21, Err: ErrUnknownRecord}},
		{frame(1, 8, 1), RecordError{Index: 0, Code: 8, Offset: 16, Err: ErrOverrun}},
	} {
		batch, err := ReadBatch(bytes.NewReader(c.frame), nil)
		require.NoError(t, err)
		err = batch.Decode(&recordingHandler{})
		var fault *RecordError
		require.ErrorAs(t, err, &fault)
		require.ErrorIs(t, err, c.want.Err)
		assert.Equal(t, c.want, *fault)
	}
}

func TestEndOfInputBetweenFramesIsEOF(t *testing.T) {
	_, err := ReadBatch(bytes.NewReader(nil), nil)
	assert.ErrorIs(t, err, io.EOF)
}
