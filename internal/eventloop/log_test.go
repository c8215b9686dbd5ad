package eventloop

import (
	"bytes"
	"io"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDroppingWriterDropsLinesInsteadOfWaiting(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer func() { _ = reader.Close() }()
	line := append(bytes.Repeat([]byte{'x'}, 999), '\n')
	for range 1000 { // more than a pipe holds
		n, err := DroppingWriter(writer.Fd()).Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	_ = writer.Close()
	received, err := io.ReadAll(reader)
	require.NoError(t, err)
	assert.NotEmpty(t, received)
	assert.Zero(t, len(received)%len(line), "complete lines only")
}
