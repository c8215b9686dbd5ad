// Package simadapter hosts router instances behind the simulator's frames. It decodes records into calls, keeps the
// instances' timers and encodes what they decide. Package hand keeps the commands in flight; nothing is decided here.
package simadapter

import (
	"errors"
	"fmt"
	"io"

	"stoatdale.example/stoatdale/internal/simproto"
)

// Serve answers each batch from in with one reply on out, until the input ends. Its errors name the frame, counted
// from 0.
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
