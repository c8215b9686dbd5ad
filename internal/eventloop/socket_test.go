package eventloop

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"stoatdale.example/stoatdale/internal/buffer"
)

func TestSocketsReadAndWriteChains(t *testing.T) {
	const sent = "hello, this is longer than a block"
	var sockets Sockets
	listener, err := sockets.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 5)
	require.NoError(t, err)
	defer sockets.CloseUnwatched(listener)
	_, ok, err := sockets.Accept(listener)
	require.NoError(t, err)
	require.False(t, ok, "no connection is waiting")
	address, err := sockets.LocalAddress(listener)
	require.NoError(t, err)
	client, err := net.Dial("tcp", address.String())
	require.NoError(t, err)
	fd, ok, err := sockets.Accept(listener)
	require.NoError(t, err)
	require.True(t, ok)
	defer sockets.CloseUnwatched(fd)
	assert.True(t, sockets.NothingToRead(fd))

	_, err = client.Write([]byte(sent))
	require.NoError(t, err)
	assert.False(t, sockets.NothingToRead(fd))
	chain := buffer.NewPool(8, 10).NewChain()
	n, err := sockets.Read(fd, &chain, 100)
	require.NoError(t, err)
	assert.Equal(t, 34, n)
	require.NoError(t, sockets.Write(fd, &chain))
	assert.Zero(t, chain.Len())
	received := make([]byte, 34)
	_, err = client.Read(received)
	require.NoError(t, err)
	assert.Equal(t, sent, string(received))

	_ = client.Close()
	_, err = sockets.Read(fd, &chain, 100)
	require.ErrorIs(t, err, ErrPeerClosed)
	assert.False(t, sockets.NothingToRead(fd), "the end of the connection counts as something to read")
}

// On Linux, accept may return the error of a connection that failed in the backlog. Such an error must not be taken for a
// failure of the listener or for a lack of descriptors.
func TestErrorsOfSystemCallsAreToldApart(t *testing.T) {
	for _, code := range []unix.Errno{
		unix.ECONNABORTED, unix.EPROTO, unix.ENETDOWN, unix.ENETUNREACH, unix.EHOSTDOWN, unix.EHOSTUNREACH, unix.ETIMEDOUT,
	} {
		assert.True(t, isAny(code, backlogErrors), code)
		assert.False(t, IsOutOfDescriptors(code), code)
	}
	for _, code := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOMEM} {
		assert.True(t, IsLocalFailure(fmt.Errorf("connecting: %w", code)), code)
	}
	for _, code := range []unix.Errno{unix.ECONNREFUSED, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH} {
		assert.False(t, IsLocalFailure(code), code)
	}
	assert.True(t, IsOutOfDescriptors(fmt.Errorf("accepting: %w", unix.EMFILE)))
}
