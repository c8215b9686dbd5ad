package pg

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLengthIsCheckedBeforeTheMessageIsComplete(t *testing.T) {
	for _, b := range []string{"Q\xff\xff\xff\xff", "Q\x00\x00\x00\x03", "Q\x00\x00\x04\x01"} {
		_, err := PeekMessage(chain([]byte(b)), 1024)
		require.ErrorIs(t, err, ErrMessageLength, "%q", b)
	}
	_, err := PeekMessage(chain([]byte("Q\x00\x00\x04\x01")), 1024)
	var bad *MessageError
	require.ErrorAs(t, err, &bad)
	assert.Equal(t, byte('Q'), bad.Kind)
	assert.Equal(t, 1025, bad.Length)
	require.EqualError(t, err, `bad message length: 1025 bytes in a message 'Q'`)
	message, err := PeekMessage(chain([]byte("Q\x00\x00\x04\x00")), 1024)
	require.NoError(t, err)
	assert.False(t, message.Complete)
	assert.Equal(t, 1025, message.Size)
}

func TestReceiveMessage(t *testing.T) {
	r := bytes.NewReader(AppendQuery(AppendReadyForQuery(nil), "abc"))
	kind, body, err := ReceiveMessage(r, 100)
	require.NoError(t, err)
	assert.Equal(t, byte('Z'), kind)
	assert.Equal(t, "I", string(body))
	_, body, err = ReceiveMessage(r, 100)
	require.NoError(t, err)
	assert.Equal(t, "abc\x00", string(body))
	for text, want := range map[string]string{
		"": "EOF", "Q\x00": "unexpected EOF", "Q\x00\x00\x00\x08a": "unexpected EOF",
		"Q\x00\x00\x00\x03": "its length is -1", "Q\x00\x00\x01\x00": "100 at most", "Q\xff\xff\xff\xff": "100 at most",
	} {
		_, _, err := ReceiveMessage(bytes.NewReader([]byte(text)), 100)
		require.ErrorContains(t, err, want, "%q", text)
	}
	_, _, err = ReceiveMessage(bytes.NewReader([]byte("Q\x00\x00\x00\x03")), 100)
	assert.ErrorIs(t, err, ErrMessageLength)
}
