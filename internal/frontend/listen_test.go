package frontend

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"stoatdale.example/stoatdale/internal/eventloop"
)

// failingListener is an event loop on which the first calls of Listen fail with an error code of the operating system.
type failingListener struct {
	*eventloop.Loop
	code     unix.Errno
	failures int // number of calls that are still to fail
}

// Listen implements eventloop.ServerNetwork.
func (f *failingListener) Listen(address netip.AddrPort, backlog int) (int, error) {
	if f.failures > 0 {
		f.failures--
		return noDescriptor, fmt.Errorf("opening a socket: %w", f.code)
	}
	return f.Loop.Listen(address, backlog)
}

func (h *harness) listenOn(network eventloop.ServerNetwork) (*Server, error) {
	return Listen(netip.MustParseAddrPort("127.0.0.1:0"), network, Options{
		Limits: h.server.limits, Settings: h.server.settings, Buffers: h.buffers, Dispatcher: h.dispatcher, Counters: &h.counters,
	})
}

// The router starts even if the machine has no resources for a listening socket for a moment.
func TestStartOutlastsAMomentWithoutASocket(t *testing.T) {
	h := newHarness(t, noChange)
	for _, code := range []unix.Errno{unix.ENOBUFS, unix.ENFILE, unix.ENOMEM} {
		network := &failingListener{Loop: h.loop, code: code, failures: 3}
		server, err := h.listenOn(network)
		require.NoError(t, err, code)
		assert.NotZero(t, server.Address.Port())
	}
	_, err := h.listenOn(&failingListener{Loop: h.loop, code: unix.EADDRINUSE, failures: 1})
	require.ErrorIs(t, err, unix.EADDRINUSE, "an address in use is not retried")
}
