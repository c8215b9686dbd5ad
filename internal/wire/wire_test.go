package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// heard collects what a batch says; a method that no test needs panics.
type heard struct {
	Handler
	jobs  []Asked
	ended []Ended
}

func (h *heard) At(uint32) error      { return nil }
func (h *heard) Job(a Asked) error    { h.jobs = append(h.jobs, a); return nil }
func (h *heard) Closed(e Ended) error { h.ended = append(h.ended, e); return nil }

func frame(count uint32, body ...byte) []byte {
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, count)
	return append(binary.LittleEndian.AppendUint64(b, 99), body...)
}

func TestRecordsAreRead(t *testing.T) {
	body := []byte{5, 3, 0, 0, 0}
	body = append(body, 9, 1, 0, 0, 0, 2, 0, 0, 0, 0, 0)
	body = append(body, make([]byte, 24)...)
	body = append(body, 0, 0, 0x30, 0x41, 0, 0x40, 0xce, 0x43, 4)
	body = append(body, 4, 7, 0, 0, 0, 1, 10, 0, 0, 1, 9, 9, 8, 0)
	body = append(body, 1, 0, 0, 0, 0, 0, 0, 0, 1, 6, 0, 0, 0, 1, 0, 0, 0x80, 0x3f)
	b, err := ReadBatch(bytes.NewReader(frame(3, body...)), nil)
	require.NoError(t, err)
	var h heard
	require.NoError(t, b.Decode(&h))
	assert.Equal(t, []Asked{{ID: 1, Class: 2, Cell: 11, WriteAge: 412.5, Marks: 4}}, h.jobs)
	assert.Equal(t, []Ended{{ID: 7, Leg: 1, Host: Host{10, 0, 0, 1, 9, 9}, Code: 8, Took: 1, Over: true, Note: 6}}, h.ended)
}

func TestMalformedFramesSayWhatAndWhere(t *testing.T) {
	for name, c := range map[string]struct {
		frame []byte
		says  string
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
		b, err := ReadBatch(bytes.NewReader(c.frame), nil)
		if err == nil {
			err = b.Decode(&heard{})
		}
		assert.ErrorContains(t, err, c.says, name)
	}
}

func TestEndBetweenFrames(t *testing.T) {
	_, err := ReadBatch(bytes.NewReader(nil), nil)
	assert.True(t, errors.Is(err, io.EOF))
}

func TestReplyLength(t *testing.T) {
	var r Reply
	r.Reset()
	r.As(3)
	r.Attempt(1, Host{10, 0, 0, 1, 9, 9}, 5)
	f := r.Frame()
	assert.Equal(t, uint32(len(f)-4), binary.LittleEndian.Uint32(f))
	assert.Equal(t, []byte{13, 3, 0, 0, 0, 1, 1, 0, 0, 0, 10, 0, 0, 1, 9, 9, 5, 0, 0, 0, 0, 0, 0, 0}, f[4:])
}
