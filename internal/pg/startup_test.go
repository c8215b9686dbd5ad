package pg

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestStartupPacketIsReadOnceComplete(t *testing.T) {
	packet := func(code string) []byte { return append([]byte{0, 0, 0, 8}, code...) }
	for kind, b := range map[StartupKind][]byte{
		StartupSession: AppendStartupMessage(nil), StartupEncryption: packet("\x04\xd2\x16\x2f"), StartupCancel: packet("\x04\xd2\x16\x2e"),
	} {
		for n := range b {
			_, ok, err := ReadStartup(chain(b[:n]), 10000)
			require.NoError(t, err)
			require.False(t, ok, "%d bytes", n)
		}
		c := chain(append(b, "rest"...))
		got, ok, err := ReadStartup(c, 10000)
		require.NoError(t, err)
		require.True(t, ok)
		assert.Equal(t, kind, got.Kind)
		assert.Equal(t, 4, c.Len(), "bytes after the packet stay on the chain")
	}
}

func TestCancelRequestNamesTheKeyOfASession(t *testing.T) {
	const key = "\x00\x00\x01\x02\x03\x04\x05\x06"
	startup, ok, err := ReadStartup(chain([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e"+key)), 10000)
	require.NoError(t, err)
	require.True(t, ok)
	assert.Equal(t, Startup{Kind: StartupCancel, Key: CancelKey([]byte(key))}, startup)
}

func TestBadStartupPacketIsAnError(t *testing.T) {
	for _, b := range []string{"\xff\xff\xff\xff", "\x00\x00\x00\x07", "\x7f\x00\x00\x00", "\x00\x00\x00\x08\x00\x02\x00\x00"} {
		_, _, err := ReadStartup(chain([]byte(b)), 10000)
		assert.Error(t, err, "%q", b)
	}
}

func TestStartupErrorsDescribeTheFault(t *testing.T) {
	_, _, err := ReadStartup(chain([]byte("\x00\x00\x00\x07")), 10000)
	var badLength *StartupLengthError
	require.ErrorAs(t, err, &badLength)
	assert.Equal(t, 7, badLength.Length)
	_, _, err = ReadStartup(chain([]byte("\x00\x00\x00\x08\x00\x02\x00\x01")), 10000)
	var version *VersionError
	require.ErrorAs(t, err, &version)
	assert.Equal(t, VersionError{Major: 2, Minor: 1}, *version)
	require.EqualError(t, err, "protocol version 2.1 is not known")
	_, _, err = ReadStartup(chain(make([]byte, 8)), 10000)
	require.EqualError(t, err, "start-up packet of 0 bytes")
	_, _, err = ReadStartup(chain([]byte("\x00\x00\x00\x08\x00\x00\x00\x00")), 10000)
	require.EqualError(t, err, "protocol version 0.0 is not known")
}
