package simproto

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestReplyFrameHoldsItsLength(t *testing.T) {
	var r Reply
	r.Reset()
	r.SelectInstance(3)
	r.Forward(1, Address{10, 0, 0, 1, 9, 9}, 5)
	frame := r.Frame()
	assert.Equal(t, uint32(len(frame)-4), binary.LittleEndian.Uint32(frame))
	assert.Equal(t, []byte{13, 3, 0, 0, 0, 1, 1, 0, 0, 0, 10, 0, 0, 1, 9, 9, 5, 0, 0, 0, 0, 0, 0, 0}, frame[4:])
}
