// Package simadapter runs router instances for the simulator. It decodes the records of the simulator's frames into
// calls of the instances, keeps the instances' timers and encodes their decisions as actions. Package inflight tracks
// the commands in flight. Package simadapter makes no routing decisions.
package simadapter

import (
	"errors"
	"fmt"
	"io"

	"stoatdale.example/stoatdale/internal/simproto"
)

// Serve reads batches from in until the input ends, and answers each with one reply on out. Its errors name the frame
// at fault, counted from 0.
func Serve(in io.Reader, out io.Writer) error {
	h := newHost()
	var buffer []byte
	for frame := 0; ; frame++ {
		batch, err := simproto.ReadBatch(in, buffer)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", frame, err)
		}
		buffer = batch.Buffer()
		reply, err := h.answer(batch)
		if err != nil {
			return fmt.Errorf("frame %d: %w", frame, err)
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("frame %d: writing the reply: %w", frame, err)
		}
	}
}
